package detector

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// TestReclaimTakesEffect guards against a reclaim that takes effect although a live node may still vouch for the reclaimed node,
// or although its balances name a peer that is gone.
func TestReclaimTakesEffect(t *testing.T) {
	reclaim := func(by int, balancePeer int, nodes []int, promised ...int) modeler.NodeReclaim {
		record := modeler.NodeReclaim{Node: nodeID(nodes[0]), By: nodeID(by)}
		for _, n := range nodes[1:] {
			record.With = append(record.With, nodeID(n))
		}
		for _, n := range promised {
			record.Promised = append(record.Promised, nodeID(n))
		}
		record.Balances = []modeler.Balance{{Peer: nodeID(balancePeer), Member: "m", Amount: 1}}
		return record
	}
	late := modeler.NodeRegistered{Node: modeler.Sender{ID: nodeID(4)}}
	left := modeler.NodeDeparted{Node: nodeID(3), Heir: nodeID(0)}
	cases := []struct {
		name    string
		records []any
		gone    bool
	}{
		{"all others promised", []any{reclaim(1, 0, []int{2}, 0, 3)}, true},
		{"a promise is missing", []any{reclaim(1, 0, []int{2}, 0)}, false},
		{"a node registered meanwhile", []any{late, reclaim(1, 0, []int{2}, 0, 3)}, false},
		{"no promise needed from a node that left", []any{left, reclaim(1, 0, []int{2}, 0)}, true},
		{"flows with a node that left", []any{left, reclaim(1, 3, []int{2}, 0, 3)}, false},
		{"the reclaimer was reclaimed before", []any{reclaim(0, 0, []int{1}, 2, 3), reclaim(1, 0, []int{2}, 0, 3)}, false},
		{"two together", []any{reclaim(1, 0, []int{3, 2}, 0)}, true},
		{"two together without the promise of a third", []any{late, reclaim(1, 0, []int{3, 2}, 0)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			s, world := newRegisteredSystem(4, now)
			var records []modeler.Record
			for i, value := range c.records {
				records = append(records, modeler.Record{Offset: int64(5 + i), Value: value})
			}
			tick := &modeler.Tick{Now: now, Rand: rand.New(rand.NewPCG(1, 1)), Events: []modeler.Event{
				modeler.RecordsRead{Stream: modeler.StreamControl, Records: records},
			}}
			s.Run(tick, world)
			node, _ := world.Nodes.Get(nodeID(2))
			assert.Equal(t, node.Gone(), c.gone)
		})
	}
}

// TestFence guards against a node that starts new work later than FenceTimeout after it sent the request whose answer allowed
// that, or that accepts the vouch of a node that may be gone.
func TestFence(t *testing.T) {
	vouch := func(from int, nonce uint64) modeler.Event {
		return modeler.PeerReceived{
			From: modeler.Sender{ID: nodeID(from)}, Messages: []modeler.Message{modeler.Vouch{For: nodeID(0), Nonce: nonce}},
		}
	}
	promise := modeler.PeerReceived{From: modeler.Sender{ID: nodeID(1)}, Messages: []modeler.Message{modeler.Promise{Node: nodeID(0)}}}
	start := time.Unix(1_000, 0)
	// The first gossip round, at start, sends the nonces 1 to 3.
	cases := []struct {
		name     string
		promised bool
		at       time.Duration
		events   []modeler.Event
		until    time.Duration
	}{
		{"counts from the time of the request", false, 2 * time.Second, []modeler.Event{vouch(1, 2)}, modeler.FenceTimeout},
		{"unknown nonce", false, time.Second, []modeler.Event{vouch(1, 99)}, 0},
		{"node that is not registered", false, time.Second, []modeler.Event{vouch(7, 2)}, 0},
		{"this node promised not to vouch for the sender", true, time.Second, []modeler.Event{vouch(1, 2)}, 0},
		{"others promised not to vouch for this node", false, time.Second, []modeler.Event{promise, vouch(2, 2)}, 0},
		{"log read sent before a pause", false, time.Hour, []modeler.Event{
			modeler.RecordsRead{Stream: modeler.StreamControl, AtEnd: true, AskedAt: start.Add(time.Second)},
		}, time.Second + modeler.FenceTimeout},
		{"missed records", false, time.Second, []modeler.Event{modeler.RecordsRead{
			Stream: modeler.StreamControl, AtEnd: true, AskedAt: start.Add(time.Second),
			Records: []modeler.Record{{Offset: 9, Value: modeler.HoldReleased{}}},
		}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, world := newRegisteredSystem(4, start)
			world.FenceUntil = time.Time{}
			if c.promised {
				node, _ := world.Nodes.Get(nodeID(1))
				world.Nodes.Put(nodeID(1), node.WithPromise(nodeID(2)))
			}
			s.Run(&modeler.Tick{Now: start.Add(c.at), Rand: rand.New(rand.NewPCG(1, 1)), Events: c.events}, world)
			assert.Equal(t, world.Fenced(start.Add(c.until)), true)
			assert.Equal(t, world.Fenced(start.Add(c.until-1)), c.until == 0)
		})
	}
}

// TestUsableAt guards against balances that become usable while the node that they come from may still use them.
func TestUsableAt(t *testing.T) {
	now := time.Unix(1_000, 0)
	s, _ := newRegisteredSystem(4, now)
	a, b, c, d := nodeID(0), nodeID(1), nodeID(2), nodeID(3)
	steps := []struct {
		name string
		from []modeler.NodeID
		to   modeler.NodeID
		wait time.Duration
		want time.Duration
	}{
		{"one node", []modeler.NodeID{a}, b, modeler.ReclaimDelay, modeler.ReclaimDelay},
		{"two nodes that may vouch for each other", []modeler.NodeID{c, nodeID(9)}, b, time.Hour, time.Hour},
		{"a node whose own balances are not usable yet", []modeler.NodeID{b}, d, modeler.ReclaimDelay, time.Hour},
		{"a node that leaves before its balances are usable", []modeler.NodeID{d}, "", 0, time.Hour},
		{"a node that registers after the last one left", []modeler.NodeID{""}, a, 0, time.Hour},
	}
	for _, step := range steps {
		assert.Equal(t, s.balancesUsableAt(now, step.from, step.to, step.wait), now.Add(step.want), step.name)
	}
}

// TestReclaimRecordWait guards against a reclaim of two nodes whose balances are used while the two may still vouch for each other.
func TestReclaimRecordWait(t *testing.T) {
	cases := []struct {
		name    string
		dead    []string
		targets []modeler.NodeID
		atLeast time.Duration
		below   time.Duration
	}{
		{"one", nil, []modeler.NodeID{nodeID(1)}, modeler.ReclaimDelay, time.Minute},
		{"two", nil, []modeler.NodeID{nodeID(1), nodeID(2)}, DefaultOutageTolerance + time.Minute, 7 * time.Hour},
		{"one of two declared dead", []string{"entry-001"}, []modeler.NodeID{nodeID(1), nodeID(2)}, DefaultOutageTolerance + time.Minute, 7 * time.Hour},
		{"two declared dead", []string{"entry-001", "entry-002"}, []modeler.NodeID{nodeID(1), nodeID(2)}, modeler.ReclaimDelay, time.Minute},
	}
	for _, c := range cases {
		s, world := newRegisteredSystem(4, time.Unix(1_000, 0))
		world.Rules.DeadNodes = c.dead
		wait := s.reclaimRecord(world, c.targets, nil).Wait
		assert.Assert(t, wait >= c.atLeast && wait < c.below, "%s: %v", c.name, wait)
	}
}
