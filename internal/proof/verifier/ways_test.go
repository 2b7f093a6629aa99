package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/lender"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/ranker"
)

// version is a way to keep shares.
type version string

const (
	naive  version = "naive"
	owner  version = "owner"
	escrow version = "escrow"
)

// ask brings a request to a node, which queues it until its deadline.
func (n *node) ask(r *request) {
	if n.dead {
		return
	}
	r.at = n
	n.queue = append(n.queue, r)
	n.post()
}

// admit tries the queued requests in order and tells the lender what the rest wants.
func (n *node) admit(tick *modeler.Tick) {
	var rest []*request
	wanted := map[modeler.MemberID]modeler.Tokens{}
	for _, r := range n.queue {
		switch {
		case n.c.clock.now > r.deadline || n.world.Leaving:
		case !n.world.Fenced(tick.Now) && n.charge(r):
			n.start(r)
		default:
			rest = append(rest, r)
			wanted[r.member] = max(wanted[r.member], r.amount)
		}
	}
	n.queue = rest
	if n.c.version != escrow {
		return
	}
	for i := range members {
		id := memberID(i)
		row, _ := n.world.Members.Get(id)
		if shortfall := max(wanted[id]-row.Free(), 0); shortfall != row.Wanted {
			lender.SetWanted(n.world, id, shortfall)
			tick.Wake(tick.Now)
		}
	}
}

// charge takes the cost of a request from what the version lets this node use.
func (n *node) charge(r *request) bool {
	r.counted = n
	switch n.c.version {
	case escrow:
		return lender.Charge(n.world, r.member, r.amount)
	case owner:
		r.counted = n.c.ownerOf(n, r.member)
		// The owner admits whoever reaches it, by its own count. It must be open and the same side of a partition.
		o := r.counted
		if o == nil || o.dead || o.paused || n.c.fabric.side[o.id] != n.c.fabric.side[n.id] || o.world.Fenced(o.now()) {
			return false
		}
	}
	limit, _ := r.counted.world.Rules.CapOf(r.member)
	if r.counted.used[r.member]+r.amount > limit {
		return false
	}
	r.counted.used[r.member] += r.amount
	return true
}

// ownerOf is the first node by rendezvous hashing on the view of n.
func (c *cluster) ownerOf(n *node, id modeler.MemberID) *node {
	nodes := []modeler.NodeID{n.id}
	for other, row := range n.world.Nodes.All() {
		if other != n.id && row.Live() && row.Phase == modeler.NodeActive {
			nodes = append(nodes, other)
		}
	}
	return c.node(ranker.Top(string(id), nodes)[0])
}

// start holds what a request uses until its end, even if its node dies, and checks the cap.
func (n *node) start(r *request) {
	c := n.c
	c.held[r.id] = r
	c.served++
	var sum modeler.Tokens
	for _, other := range c.held {
		if other.member == r.member {
			sum += other.amount
		}
	}
	if limit := c.bound(r.member); sum > limit {
		c.over++
		c.note("overshoot of %s on %s: %d > %d", r.member, n.id, sum, limit)
	}
	c.clock.after(r.hold, func() {
		delete(c.held, r.id)
		c.finish(r)
	})
}

// finish gives the charge back where it is counted, as soon as that node runs.
func (c *cluster) finish(r *request) {
	n := r.counted
	switch {
	case n.dead:
	case n.paused:
		c.clock.after(100*time.Millisecond, func() { c.finish(r) })
	case c.version == escrow:
		lender.Refund(n.world, r.member, r.amount)
		n.post()
	default:
		n.used[r.member] -= r.amount
		n.post()
	}
}

// bound is the cap in force: the largest that a node which may still start work knows of, back from the newest minted one. Once
// all such nodes have read a cut, no charge may happen above it.
func (c *cluster) bound(id modeler.MemberID) modeler.Tokens {
	oldest := c.mints[len(c.mints)-1]
	for _, n := range c.nodes {
		if !n.dead && !n.world.Fenced(n.now()) {
			oldest = min(oldest, n.known())
		}
	}
	var limit modeler.Tokens
	for i, v := range c.mints {
		if v >= oldest {
			limit = max(limit, c.caps[i][id])
		}
	}
	return limit
}

// known is the newest version of the caps that the node goes by.
func (n *node) known() modeler.Version {
	if n.c.version == escrow {
		return n.lend.Minted()
	}
	return min(n.world.Rules.Version, n.lend.Minted())
}

// stranded is the part of all caps that no open node can use, in percent.
func (c *cluster) stranded() float64 {
	var total, usable modeler.Tokens
	for i := range members {
		id := memberID(i)
		limit := c.caps[len(c.caps)-1][id]
		total += limit
		usable += min(limit, c.usable(id))
	}
	return 100 * float64(total-usable) / float64(max(total, 1))
}

func (c *cluster) usable(id modeler.MemberID) modeler.Tokens {
	var sum, most modeler.Tokens
	for _, n := range c.alive() {
		if n.paused || n.world.Fenced(n.now()) {
			continue
		}
		row, _ := n.world.Members.Get(id)
		if !row.Frozen {
			sum += row.Balance
		}
		counted := n
		if c.version == owner {
			counted = c.ownerOf(n, id)
		}
		if limit, _ := n.world.Rules.CapOf(id); counted != nil && !counted.dead {
			most = max(most, limit-counted.used[id])
		}
	}
	if c.version == escrow {
		return sum
	}
	return most
}
