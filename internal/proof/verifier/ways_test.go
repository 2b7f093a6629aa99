package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/lender"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/ranker"
)

// version is a way to enforce shares.
type version string

const (
	naive  version = "naive"
	owner  version = "owner"
	escrow version = "escrow"
)

// submit submits a request to the node, which queues it until its deadline.
func (n *node) submit(r *request) {
	if n.dead {
		return
	}
	r.node = n
	n.queue = append(n.queue, r)
	n.post()
}

// admit starts queued requests in order as far as their charges fit, and reports the shortfall of the others to the lender.
func (n *node) admit(tick *modeler.Tick) {
	var rest []*request
	wanted := map[modeler.MemberID]modeler.Tokens{}
	for _, r := range n.queue {
		switch {
		case n.cluster.clock.now > r.deadline || n.world.Leaving:
		case !n.world.Fenced(tick.Now) && n.charge(r):
			n.start(r)
		default:
			rest = append(rest, r)
			wanted[r.member] = max(wanted[r.member], r.amount)
		}
	}
	n.queue = rest
	if n.cluster.version != escrow {
		return
	}
	for i := range memberCount {
		id := memberID(i)
		member, _ := n.world.Members.Get(id)
		if shortfall := max(wanted[id]-member.Free(), 0); shortfall != member.Wanted {
			lender.SetWanted(n.world, id, shortfall)
			tick.WakeAt(tick.Now)
		}
	}
}

// charge charges a request to the balance or counter that the version uses, and reports whether the request fits.
func (n *node) charge(r *request) bool {
	r.chargedTo = n
	switch n.cluster.version {
	case escrow:
		return lender.Charge(n.world, r.member, r.amount)
	case owner:
		r.chargedTo = n.cluster.ownerOf(n, r.member)
		// The owner admits requests of every node that reaches it, by its own counter. It must run, be unfenced and be on the same
		// side of a partition.
		o := r.chargedTo
		if o == nil || o.dead || o.paused || n.cluster.fabric.side[o.id] != n.cluster.fabric.side[n.id] || o.world.Fenced(o.now()) {
			return false
		}
	}
	limit, _ := r.chargedTo.world.Rules.CapOf(r.member)
	if r.chargedTo.used[r.member]+r.amount > limit {
		return false
	}
	r.chargedTo.used[r.member] += r.amount
	return true
}

// ownerOf returns the first node by rendezvous hashing among the active nodes that n knows of.
func (c *cluster) ownerOf(n *node, id modeler.MemberID) *node {
	nodes := []modeler.NodeID{n.id}
	for other, entry := range n.world.Nodes.All() {
		if other != n.id && entry.Live() && entry.Phase == modeler.NodeActive {
			nodes = append(nodes, other)
		}
	}
	return c.node(ranker.Top(string(id), nodes)[0])
}

// start starts a request, which uses its amount until its end even if its node is killed, and checks the cap.
func (n *node) start(r *request) {
	c := n.cluster
	c.inFlight[r.id] = r
	c.served++
	var sum modeler.Tokens
	for _, other := range c.inFlight {
		if other.member == r.member {
			sum += other.amount
		}
	}
	if limit := c.effectiveCap(r.member); sum > limit {
		c.overshoots++
		c.tracef("overshoot of %s on %s: %d > %d", r.member, n.id, sum, limit)
	}
	c.clock.after(r.hold, func() {
		delete(c.inFlight, r.id)
		c.finish(r)
	})
}

// finish refunds a request to the node that was charged. If that node is paused, it tries again every 100 ms.
func (c *cluster) finish(r *request) {
	n := r.chargedTo
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

// effectiveCap returns the cap in force: the largest of all versions from the oldest that a live unfenced node still uses to the
// newest minted one. Once all such nodes have read that a cap was reduced, no charge may exceed the reduced cap.
func (c *cluster) effectiveCap(id modeler.MemberID) modeler.Tokens {
	oldest := c.mintedVersions[len(c.mintedVersions)-1]
	for _, n := range c.nodes {
		if !n.dead && !n.world.Fenced(n.now()) {
			oldest = min(oldest, n.capsVersion())
		}
	}
	var limit modeler.Tokens
	for i, v := range c.mintedVersions {
		if v >= oldest {
			limit = max(limit, c.caps[i][id])
		}
	}
	return limit
}

// capsVersion returns the newest version of the caps that the node uses.
func (n *node) capsVersion() modeler.Version {
	if n.cluster.version == escrow {
		return n.lender.Minted()
	}
	return min(n.world.Rules.Version, n.lender.Minted())
}

// strandedPercent returns the percentage of all caps that no running, unfenced node can use.
func (c *cluster) strandedPercent() float64 {
	var total, usable modeler.Tokens
	for i := range memberCount {
		id := memberID(i)
		limit := c.caps[len(c.caps)-1][id]
		total += limit
		usable += min(limit, c.usableTokens(id))
	}
	return 100 * float64(total-usable) / float64(max(total, 1))
}

func (c *cluster) usableTokens(id modeler.MemberID) modeler.Tokens {
	var sum, largest modeler.Tokens
	for _, n := range c.alive() {
		if n.paused || n.world.Fenced(n.now()) {
			continue
		}
		member, _ := n.world.Members.Get(id)
		if !member.Frozen {
			sum += member.Balance
		}
		counted := n
		if c.version == owner {
			counted = c.ownerOf(n, id)
		}
		if limit, _ := n.world.Rules.CapOf(id); counted != nil && !counted.dead {
			largest = max(largest, limit-counted.used[id])
		}
	}
	if c.version == escrow {
		return sum
	}
	return largest
}
