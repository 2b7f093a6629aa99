package verifier

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/detector"
	"damaskpick.example/damaskpick/internal/control/lender"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

var epoch = time.Unix(0, 0)

// node is one process with its own clock.
type node struct {
	id     modeler.NodeID
	c      *cluster
	det    *detector.System
	lend   *lender.System
	world  *modeler.World
	rand   *rand.Rand
	rate   float64
	inbox  []modeler.Event
	dead   bool
	paused bool
	wakeAt time.Duration
	read   int64
	queue  []*request
	rules  int
	// used is what the naive and owner ways count for each member.
	used map[modeler.MemberID]modeler.Tokens
}

// request charges amount, holds it and gives it back.
type request struct {
	id       int
	member   modeler.MemberID
	amount   modeler.Tokens
	hold     time.Duration
	deadline time.Duration
	at       *node
	// counted is the node whose count carries the request.
	counted *node
}

// cluster is one run of a plan under one version.
type cluster struct {
	plan    plan
	clock   *clock
	fabric  *fabric
	log     *ledgerLog
	rand    *rand.Rand
	version version
	nodes   []*node
	names   int
	// caps holds the minted caps by version, in log order.
	caps   []map[modeler.MemberID]modeler.Tokens
	mints  []modeler.Version
	rules  []modeler.Rules
	dead   []string
	held   map[int]*request
	swept  map[modeler.NodeID]bool
	trace  []string
	served int
	over   int
}

func (c *cluster) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%8v ", c.clock.now)+fmt.Sprintf(format, args...))
}

func newCluster(p plan, v version) *cluster {
	clk := newClock()
	fab := &fabric{clock: clk, rand: rand.New(rand.NewPCG(p.Seed, 1)), loss: p.Loss}
	fab.side, fab.noLog = map[modeler.NodeID]int{}, map[modeler.NodeID]bool{}
	fab.slow, fab.late = map[modeler.NodeID]bool{}, map[modeler.NodeID]bool{}
	c := &cluster{
		plan: p, clock: clk, fabric: fab, rand: rand.New(rand.NewPCG(p.Seed, 2)), version: v,
		held: map[int]*request{}, swept: map[modeler.NodeID]bool{},
	}
	c.log = &ledgerLog{fabric: fab, landed: c.landed}
	c.caps = []map[modeler.MemberID]modeler.Tokens{{}}
	c.mints = []modeler.Version{0}
	c.publish(33)
	for range p.Nodes {
		c.join()
	}
	return c
}

// landed keeps the caps that the log gives, independently of the lender's own accounts.
func (c *cluster) landed(record modeler.Record) {
	switch value := record.Value.(type) {
	case modeler.Minted:
		if value.Base != c.mints[len(c.mints)-1] || value.Version <= value.Base || c.node(value.By) == nil || c.ended(value.By) {
			return
		}
		caps := map[modeler.MemberID]modeler.Tokens{}
		for _, share := range c.rules[value.Version-1].Shares {
			caps[share.Member] = share.Cap(fleet)
		}
		c.caps, c.mints = append(c.caps, caps), append(c.mints, value.Version)
		c.note("minted %d by %s %v", value.Version, value.By, caps)
	case modeler.NodeReclaim:
		c.note("reclaim of %v by %s at %d", value.Nodes(), value.By, record.Offset)
	}
}

// ended tells whether a live node has seen the end of id in the log.
func (c *cluster) ended(id modeler.NodeID) bool {
	for _, n := range c.nodes {
		if row, ok := n.world.Nodes.Get(id); ok && row.Gone() && !n.dead {
			return true
		}
	}
	return false
}

func (c *cluster) node(id modeler.NodeID) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (c *cluster) alive() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.dead })
}

func (c *cluster) publish(percent int) {
	r := modeler.Rules{Version: modeler.Version(len(c.rules) + 1), Fleet: fleet, DeadNodes: slices.Clone(c.dead)}
	for i := range members {
		r.Shares = append(r.Shares, modeler.ShareRule{Member: memberID(i), Percent: float64(percent)})
	}
	c.rules = append(c.rules, r)
	for _, n := range c.alive() {
		c.clock.after(time.Duration(c.rand.IntN(3_000))*time.Millisecond, n.adopt)
	}
}

func memberID(i int) modeler.MemberID { return modeler.MemberID(fmt.Sprintf("member-%d", i)) }

func (c *cluster) join() {
	c.names++
	id := modeler.NodeID(fmt.Sprintf("node-%d/1", c.names))
	self := modeler.Self{Sender: modeler.Sender{ID: id, Address: string(id)}}
	n := &node{
		id: id, c: c, world: modeler.NewWorld(self), rand: rand.New(rand.NewPCG(c.plan.Seed, uint64(100+c.names))),
		rate: 0.9 + 0.2*c.rand.Float64(), used: map[modeler.MemberID]modeler.Tokens{},
	}
	n.lend = lender.New(lender.Options{Cancelled: c.sweep})
	n.det = detector.New(detector.Options{Ledger: n.lend, OutageTolerance: c.plan.Tolerance})
	c.nodes = append(c.nodes, n)
	c.note("join %s", id)
	n.adopt()
	n.poll()
}

// sweep cancels the requests of a reclaimed node at the engines, which takes a while.
func (c *cluster) sweep(id modeler.NodeID) bool {
	if _, ok := c.swept[id]; !ok {
		c.swept[id] = false
		c.clock.after(c.fabric.delay(), func() {
			for key, r := range c.held {
				if r.at.id == id {
					delete(c.held, key)
				}
			}
			c.swept[id] = true
		})
	}
	return c.swept[id]
}

// now is the node's own clock, which runs up to ten percent fast or slow.
func (n *node) now() time.Time {
	return epoch.Add(time.Duration(float64(n.c.clock.now)*n.rate) + time.Hour)
}

func (n *node) adopt() {
	n.rules = len(n.c.rules)
	n.world.Rules = n.c.rules[n.rules-1]
	n.post()
}

// poll reads the log for ever.
func (n *node) poll() {
	if n.dead {
		return
	}
	asked := n.now()
	from := n.read
	n.c.log.read(n.id, from, func(records []modeler.Record, failed bool) {
		if !failed && !n.c.fabric.noLog[n.id] {
			n.read = max(n.read, from+int64(len(records)))
			n.post(modeler.RecordsRead{Stream: modeler.StreamControl, Records: records, AskedAt: asked, AtEnd: true})
		}
		n.c.clock.after(time.Duration(50+n.rand.IntN(200))*time.Millisecond, n.poll)
	})
}

// post gives events to the node, which handles them at once unless it is paused.
func (n *node) post(events ...modeler.Event) {
	if n.dead {
		return
	}
	n.inbox = append(n.inbox, events...)
	if !n.paused {
		n.tick()
	}
}

func (n *node) tick() {
	tick := &modeler.Tick{Now: n.now(), Events: n.inbox, Rand: n.rand}
	n.inbox = nil
	n.det.Run(tick, n.world)
	n.lend.Run(tick, n.world)
	n.admit(tick)
	for _, effect := range tick.Effects() {
		n.carry(effect)
	}
	if n.det.Evicted() || n.det.Departed() {
		n.c.note("%s ends, condemned %v", n.id, n.det.Evicted())
		n.dead = true
		if n.det.Evicted() {
			n.c.join()
		}
		return
	}
	n.wake(tick.Next())
}

func (n *node) wake(next time.Time) {
	if next.IsZero() {
		return
	}
	at := n.c.clock.now + max(time.Millisecond, time.Duration(float64(next.Sub(n.now()))/n.rate)+time.Microsecond)
	if n.wakeAt > n.c.clock.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	n.c.clock.after(at-n.c.clock.now, func() {
		if n.wakeAt == at {
			n.post()
		}
	})
}

func (n *node) carry(effect modeler.Effect) {
	switch e := effect.(type) {
	case modeler.SendPeer:
		n.c.fabric.carry(n.id, e.To, func() {
			if to := n.c.node(e.To); to != nil {
				to.post(modeler.PeerReceived{From: n.world.Self.Sender, Messages: e.Messages})
			}
		})
	case modeler.AppendRecord:
		if n.c.fabric.noLog[n.id] {
			return
		}
		n.c.log.append(e.Record, func(failed bool) {
			n.post(modeler.AppendEnded{Stream: e.Stream, Record: e.Record, Failed: failed})
		})
	}
}
