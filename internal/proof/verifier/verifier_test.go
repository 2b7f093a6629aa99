package verifier

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/detector"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

var seeds = flag.Int("seeds", planSeeds, "plans in the comparison of versions")

// run simulates a plan to the end of the recovery span.
func run(p plan, v version) *cluster {
	c := newCluster(p, v)
	for _, f := range p.Faults {
		c.clock.after(f.At, func() { c.inject(f) })
	}
	c.scheduleRequests()
	c.clock.runUntil(faultSpan)
	c.endFaults()
	c.clock.runUntil(faultSpan + recoverySpan)
	return c
}

// scheduleRequests schedules the requests. All of them end before stranded capacity is measured.
func (c *cluster) scheduleRequests() {
	end := faultSpan + recoverySpan - c.plan.MaxHold - 6*time.Second
	id := 0
	for at := time.Second; at < end; at += time.Duration(20+c.rand.IntN(150)) * time.Millisecond {
		id++
		r := &request{
			id: id, member: memberID(c.rand.IntN(memberCount)), amount: modeler.Tokens(1 + c.rand.IntN(200)),
			hold: time.Duration(1 + c.rand.Int64N(int64(c.plan.MaxHold))), deadline: at + 5*time.Second,
		}
		if c.rand.IntN(20) == 0 {
			r.amount = 900
		}
		pick := c.rand.IntN(1 << 20)
		c.clock.after(at, func() {
			if alive := c.alive(); len(alive) > 0 {
				alive[pick%len(alive)].submit(r)
			}
		})
	}
}

// inject executes a fault. A kill or a leave is skipped if fewer than three nodes are alive.
func (c *cluster) inject(f fault) {
	c.tracef("fault %+v", f)
	alive := c.alive()
	if len(alive) == 0 {
		return
	}
	if (f.Kind == kill || f.Kind == leave) && len(alive) < 3 {
		return
	}
	n := alive[f.Node%len(alive)]
	switch f.Kind {
	case pause:
		n.paused = true
		c.clock.after(f.Span, func() { n.resume() })
	case kill:
		n.dead = true
	case join:
		c.join()
	case leave:
		n.post(modeler.StopRequested{})
	case partition:
		for i, m := range alive {
			c.setSide(m, (i+f.Node)%2, (i+f.Node)%2 == 1 && f.Percent > 20)
		}
		c.clock.after(f.Span, c.heal)
	case isolate:
		c.setSide(n, 2+f.Node, f.Percent > 20)
		c.fabric.slowLog[n.id], c.fabric.delayed[n.id] = true, true
		c.clock.after(f.Span, c.fabric.heal)
		c.clock.after(f.Span+6*time.Second, func() { c.fabric.noLog[n.id] = false })
	case isolatePair:
		other := alive[(f.Node+1)%len(alive)]
		c.setSide(n, 20, f.Percent > 20)
		c.setSide(other, 20, f.Percent > 20)
		c.clock.after(f.Span/2, func() { c.setSide(n, 20, true); c.setSide(other, 20, true) })
		c.clock.after(2*f.Span, c.heal)
	case logOutage:
		c.log.downUntil = max(c.log.downUntil, c.clock.now+f.Span)
	case changeRules:
		c.publish(f.Percent)
	case declareDead:
		for _, m := range c.nodes {
			if m.dead {
				c.declaredDead = append(c.declaredDead, m.id.Name())
			}
		}
		c.publish(33)
	}
}

func (c *cluster) heal() {
	c.fabric.heal()
	clear(c.fabric.noLog)
}

func (c *cluster) setSide(n *node, side int, noLog bool) {
	if !c.fabric.faultless {
		c.fabric.side[n.id], c.fabric.noLog[n.id] = side, noLog
	}
}

func (n *node) resume() {
	if n.paused && !n.dead {
		n.paused = false
		n.post()
	}
}

// endFaults ends all faults. Nodes that were killed stay dead.
func (c *cluster) endFaults() {
	c.tracef("all faults end")
	c.fabric.faultless = true
	c.heal()
	c.log.downUntil = 0
	for _, n := range c.nodes {
		n.resume()
	}
}

// TestEscrowNeverOvershoots guards against a member using more than its cap in total over all nodes, under randomly generated faults.
func TestEscrowNeverOvershoots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planGenerator.Draw(t, "plan")
		c := run(p, escrow)
		if mismatch := c.checkBalances(); c.overshoots > 0 || mismatch != "" {
			t.Fatalf("%s plan %+v\n%s", mismatch, p, traceTail(c))
		}
	})
}

// checkBalances compares the sum of all nodes' balances for each member with the member's cap, and describes the first mismatch. It
// returns "" if there is none. The sum must never exceed the cap. It must equal the cap if no transfer is in flight and every dead
// node was reclaimed.
func (c *cluster) checkBalances() string {
	// The balance of a node that was reclaimed is no longer valid, even if the node has not read its reclaim yet.
	alive := slices.DeleteFunc(c.alive(), func(n *node) bool { return c.ended(n.id) })
	exact := len(alive) > 0
	for _, n := range alive {
		for id, entry := range n.world.Nodes.All() {
			peer := c.node(id)
			exact = exact && (!entry.Live() || !peer.dead) && (id != n.id || entry.Live())
		}
		exact = exact && n.world.Transfers.Len() == 0 && n.lender.Settled() && n.lender.Minted() == c.mintedVersions[len(c.mintedVersions)-1]
	}
	for i := range memberCount {
		var sum modeler.Tokens
		for _, n := range alive {
			member, _ := n.world.Members.Get(memberID(i))
			sum += member.Balance - member.Debt
		}
		if limit := c.caps[len(c.caps)-1][memberID(i)]; sum > limit || (exact && sum < limit) {
			return fmt.Sprintf("%s: nodes hold %d of %d, exact %v", memberID(i), sum, limit, exact)
		}
	}
	return ""
}

func traceTail(c *cluster) string {
	return strings.Join(c.trace[max(0, len(c.trace)-60):], "\n")
}

// TestVersions guards against fault plans too mild to cause an overshoot: under the same plans the naive version must overshoot at
// least once, and escrow never.
func TestVersions(t *testing.T) {
	cases := []struct {
		name    string
		version version
		// tolerance replaces the outage tolerance of the plan if it is longer.
		tolerance time.Duration
	}{
		{"naive", naive, 0},
		{"owner", owner, 0},
		{"escrow", escrow, 0},
		{"escrow, 6 h tolerance", escrow, detector.DefaultOutageTolerance},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			compare(t, v.version, v.tolerance)
		})
	}
}

func compare(t *testing.T, v version, tolerance time.Duration) {
	overshoots, overshooting, served, strandedSum, strandedMax := 0, 0, 0, 0.0, 0.0
	for seed := range *seeds {
		p := planGenerator.Example(seed)
		p.Tolerance = max(p.Tolerance, tolerance)
		c := run(p, v)
		overshoots += c.overshoots
		served += c.served
		if c.overshoots > 0 {
			overshooting++
		}
		if c.overshoots > 0 && v == escrow {
			t.Errorf("seed %d plan %+v\n%s", seed, c.plan, traceTail(c))
		}
		strandedSum += c.strandedPercent()
		strandedMax = max(strandedMax, c.strandedPercent())
	}
	t.Logf("%s: seeds=%d overshooting=%d overshoots=%d served=%d stranded mean=%.1f%% max=%.1f%%",
		t.Name(), *seeds, overshooting, overshoots, served, strandedSum/float64(*seeds), strandedMax)
	assert.Assert(t, v != naive || overshooting > 0, "the naive version never overshot")
}

// TestWholeCapIsBorrowed guards against a node that cannot borrow enough balance from the others for a request of almost the whole
// cap, and against a deadlock in which nodes that borrow at the same time each keep the balance that another one needs.
func TestWholeCapIsBorrowed(t *testing.T) {
	cases := []struct {
		name      string
		borrowers []int
	}{
		{"one node", []int{4}},
		{"two nodes at once", []int{2, 7}},
		{"four nodes at once", []int{0, 3, 5, 8}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(plan{Seed: 1, Nodes: 9, Tolerance: time.Hour}, escrow)
			c.fabric.faultless = true
			for i, borrower := range test.borrowers {
				r := &request{id: i, member: memberID(0), amount: 990, hold: time.Second, deadline: 40 * time.Second}
				c.clock.after(20*time.Second, func() { c.nodes[borrower].submit(r) })
			}
			c.clock.runUntil(40 * time.Second)
			assert.Equal(t, c.served, len(test.borrowers))
			assert.Equal(t, c.overshoots, 0)
		})
	}
}
