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

// node simulates one process, which has its own clock.
type node struct {
	id           modeler.NodeID
	cluster      *cluster
	detector     *detector.System
	lender       *lender.System
	world        *modeler.World
	rand         *rand.Rand
	clockRate    float64
	inbox        []modeler.Event
	dead         bool
	paused       bool
	wakeAt       time.Duration
	readOffset   int64
	queue        []*request
	rulesVersion int
	// used is the usage of each member that the naive and owner versions count.
	used map[modeler.MemberID]modeler.Tokens
}

// request charges amount at its start and refunds it after hold.
type request struct {
	id       int
	member   modeler.MemberID
	amount   modeler.Tokens
	hold     time.Duration
	deadline time.Duration
	node     *node
	// chargedTo is the node whose balance or counter includes the request.
	chargedTo *node
}

// cluster simulates one plan under one version.
type cluster struct {
	plan      plan
	clock     *clock
	fabric    *fabric
	log       *fakeLog
	rand      *rand.Rand
	version   version
	nodes     []*node
	joinCount int
	// caps holds the minted caps in log order; mintedVersions holds the version of each.
	caps           []map[modeler.MemberID]modeler.Tokens
	mintedVersions []modeler.Version
	rules          []modeler.Rules
	declaredDead   []string
	inFlight       map[int]*request
	swept          map[modeler.NodeID]bool
	trace          []string
	served         int
	overshoots     int
}

func (c *cluster) tracef(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%8v ", c.clock.now)+fmt.Sprintf(format, args...))
}

func newCluster(p plan, v version) *cluster {
	clk := newClock()
	fab := &fabric{clock: clk, rand: rand.New(rand.NewPCG(p.Seed, 1)), loss: p.Loss}
	fab.side, fab.noLog = map[modeler.NodeID]int{}, map[modeler.NodeID]bool{}
	fab.slowLog, fab.delayed = map[modeler.NodeID]bool{}, map[modeler.NodeID]bool{}
	c := &cluster{
		plan: p, clock: clk, fabric: fab, rand: rand.New(rand.NewPCG(p.Seed, 2)), version: v,
		inFlight: map[int]*request{}, swept: map[modeler.NodeID]bool{},
	}
	c.log = &fakeLog{fabric: fab, onCommit: c.recordCommitted}
	c.caps = []map[modeler.MemberID]modeler.Tokens{{}}
	c.mintedVersions = []modeler.Version{0}
	c.publish(33)
	for range p.Nodes {
		c.join()
	}
	return c
}

// recordCommitted tracks the caps from the log, independently of the lender's own accounting.
func (c *cluster) recordCommitted(record modeler.Record) {
	switch value := record.Value.(type) {
	case modeler.Minted:
		if value.Base != c.mintedVersions[len(c.mintedVersions)-1] || value.Version <= value.Base || c.node(value.By) == nil || c.ended(value.By) {
			return
		}
		caps := map[modeler.MemberID]modeler.Tokens{}
		for _, share := range c.rules[value.Version-1].Shares {
			caps[share.Member] = share.Cap(fleetTokens)
		}
		c.caps, c.mintedVersions = append(c.caps, caps), append(c.mintedVersions, value.Version)
		c.tracef("minted %d by %s %v", value.Version, value.By, caps)
	case modeler.NodeReclaim:
		c.tracef("reclaim of %v by %s at %d", value.Nodes(), value.By, record.Offset)
	}
}

// ended reports whether a live node has read in the log that id departed or was reclaimed.
func (c *cluster) ended(id modeler.NodeID) bool {
	for _, n := range c.nodes {
		if entry, ok := n.world.Nodes.Get(id); ok && entry.Gone() && !n.dead {
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
	r := modeler.Rules{Version: modeler.Version(len(c.rules) + 1), Fleet: fleetTokens, DeadNodes: slices.Clone(c.declaredDead)}
	for i := range memberCount {
		r.Shares = append(r.Shares, modeler.ShareRule{Member: memberID(i), Percent: float64(percent)})
	}
	c.rules = append(c.rules, r)
	for _, n := range c.alive() {
		c.clock.after(time.Duration(c.rand.IntN(3_000))*time.Millisecond, n.applyRules)
	}
}

func memberID(i int) modeler.MemberID { return modeler.MemberID(fmt.Sprintf("member-%d", i)) }

func (c *cluster) join() {
	c.joinCount++
	id := modeler.NodeID(fmt.Sprintf("node-%d/1", c.joinCount))
	self := modeler.Self{Sender: modeler.Sender{ID: id, Address: string(id)}}
	n := &node{
		id: id, cluster: c, world: modeler.NewWorld(self), rand: rand.New(rand.NewPCG(c.plan.Seed, uint64(100+c.joinCount))),
		clockRate: 0.9 + 0.2*c.rand.Float64(), used: map[modeler.MemberID]modeler.Tokens{},
	}
	n.lender = lender.New(lender.Options{RequestsCancelled: c.sweep})
	n.detector = detector.New(detector.Options{Ledger: n.lender, OutageTolerance: c.plan.Tolerance})
	c.nodes = append(c.nodes, n)
	c.tracef("join %s", id)
	n.applyRules()
	n.pollLog()
}

// sweep cancels the requests of a reclaimed node at the engines after a delay, and reports whether that is done.
func (c *cluster) sweep(id modeler.NodeID) bool {
	if _, ok := c.swept[id]; !ok {
		c.swept[id] = false
		c.clock.after(c.fabric.delay(), func() {
			for key, r := range c.inFlight {
				if r.node.id == id {
					delete(c.inFlight, key)
				}
			}
			c.swept[id] = true
		})
	}
	return c.swept[id]
}

// now returns the time of the node's own clock, which runs up to 10 % fast or slow.
func (n *node) now() time.Time {
	return epoch.Add(time.Duration(float64(n.cluster.clock.now)*n.clockRate) + time.Hour)
}

func (n *node) applyRules() {
	n.rulesVersion = len(n.cluster.rules)
	n.world.Rules = n.cluster.rules[n.rulesVersion-1]
	n.post()
}

// pollLog reads the log, 50 to 250 ms after each answer again, until the node is dead.
func (n *node) pollLog() {
	if n.dead {
		return
	}
	asked := n.now()
	from := n.readOffset
	n.cluster.log.read(n.id, from, func(records []modeler.Record, failed bool) {
		if !failed && !n.cluster.fabric.noLog[n.id] {
			n.readOffset = max(n.readOffset, from+int64(len(records)))
			n.post(modeler.RecordsRead{Stream: modeler.StreamControl, Records: records, AskedAt: asked, AtEnd: true})
		}
		n.cluster.clock.after(time.Duration(50+n.rand.IntN(200))*time.Millisecond, n.pollLog)
	})
}

// post queues events for the node and runs a tick, unless the node is paused. Without events it only runs the tick.
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
	n.detector.Run(tick, n.world)
	n.lender.Run(tick, n.world)
	n.admit(tick)
	for _, effect := range tick.Effects() {
		n.execute(effect)
	}
	if n.detector.Evicted() || n.detector.Departed() {
		n.cluster.tracef("%s ends, condemned %v", n.id, n.detector.Evicted())
		n.dead = true
		if n.detector.Evicted() {
			n.cluster.join()
		}
		return
	}
	n.scheduleTick(tick.Next())
}

func (n *node) scheduleTick(next time.Time) {
	if next.IsZero() {
		return
	}
	at := n.cluster.clock.now + max(time.Millisecond, time.Duration(float64(next.Sub(n.now()))/n.clockRate)+time.Microsecond)
	if n.wakeAt > n.cluster.clock.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	n.cluster.clock.after(at-n.cluster.clock.now, func() {
		if n.wakeAt == at {
			n.post()
		}
	})
}

func (n *node) execute(effect modeler.Effect) {
	switch e := effect.(type) {
	case modeler.SendPeer:
		n.cluster.fabric.send(n.id, e.To, func() {
			if to := n.cluster.node(e.To); to != nil {
				to.post(modeler.PeerReceived{From: n.world.Self.Sender, Messages: e.Messages})
			}
		})
	case modeler.AppendRecord:
		if n.cluster.fabric.noLog[n.id] {
			return
		}
		n.cluster.log.append(e.Record, func(failed bool) {
			n.post(modeler.AppendEnded{Stream: e.Stream, Record: e.Record, Failed: failed})
		})
	}
}
