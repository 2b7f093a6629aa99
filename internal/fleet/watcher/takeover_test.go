package watcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

// fleetNode is a node of a simulated fleet, of which the elector and the watcher run.
type fleetNode struct {
	world   *modeler.World
	systems []modeler.System
	inbox   []modeler.Event
	// frozen is set while the node does not run, cut while its messages are lost both ways.
	frozen, cut bool
}

// simulatedFleet delivers the messages of its nodes at the next step of 50 ms.
type simulatedFleet struct {
	now   time.Time
	nodes map[modeler.NodeID]*fleetNode
	order []modeler.NodeID
}

// add starts a node and announces it to the others.
func (s *simulatedFleet) add(id modeler.NodeID, rank modeler.Position, milliCores int) {
	self := modeler.Node{ID: id, Incarnation: uint64(rank) + 1, Rank: modeler.UnregisteredRank, PeerAddress: string(id), MilliCores: milliCores}
	m := &fleetNode{world: modeler.NewWorld(self), systems: []modeler.System{elector.New(nil), watcher.New()}}
	m.world.Configuration = modeler.NewConfiguration(1, nil, nil, nil, modeler.Limits{})
	m.world.ConfirmedAt[modeler.Endpoints] = s.now
	m.inbox = append(m.inbox, modeler.SelfRegistered{Rank: rank})
	for _, other := range s.order {
		m.inbox = append(m.inbox, modeler.NodeRegistered{Node: s.nodes[other].world.Self.WithRank(s.nodes[other].world.Self.Rank)})
		s.nodes[other].inbox = append(s.nodes[other].inbox, modeler.NodeRegistered{Node: self.WithRank(rank)})
	}
	s.nodes[id] = m
	s.order = append(s.order, id)
}

// run runs the fleet for a time.
func (s *simulatedFleet) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		out := map[modeler.NodeID][]modeler.Event{}
		for _, id := range s.order {
			m := s.nodes[id]
			if m.frozen {
				continue
			}
			tick := &modeler.Tick{Now: s.now, Events: m.inbox}
			m.inbox = nil
			for _, system := range m.systems {
				system.Run(tick, m.world)
			}
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					to := s.nodes[send.To.ID]
					if to != nil && !to.cut && !m.cut {
						out[send.To.ID] = append(out[send.To.ID], modeler.PeerReceived{Message: send.Message})
					}
				}
			}
		}
		for id, events := range out {
			s.nodes[id].inbox = append(s.nodes[id].inbox, events...)
		}
	}
}

// report sends a broken attempt of a request with the part to a node.
func (s *simulatedFleet) report(to modeler.NodeID, fingerprint modeler.Fingerprint) {
	r := broken(0, fingerprint)
	s.nodes[to].inbox = append(s.nodes[to].inbox, r.event())
	s.run(300 * time.Millisecond)
}

// quarantined reports whether a node refuses the part.
func (s *simulatedFleet) quarantined(id modeler.NodeID) bool {
	b, _ := s.nodes[id].world.BrokenAttempts.Get(part)
	return b.Quarantined(s.now)
}

// TestTakeoverKeepsQuarantine guards against a coordinator that takes over without knowing the quarantines of the one before, and against its digest
// removing them from all nodes.
func TestTakeoverKeepsQuarantine(t *testing.T) {
	tests := []struct {
		name string
		act  func(s *simulatedFleet)
	}{
		{"frozen coordinator goes on", func(s *simulatedFleet) {
			s.nodes["a"].frozen = true
			s.run(3 * time.Second)
			for i := range 4 {
				s.report("b", modeler.Fingerprint(i+1))
			}
			s.run(2 * time.Second)
			s.nodes["a"].frozen = false
		}},
		{"coordinator that was cut off comes back", func(s *simulatedFleet) {
			s.nodes["a"].cut = true
			s.run(4 * time.Second)
			for i := range 4 {
				s.report("b", modeler.Fingerprint(i+1))
			}
			s.run(2 * time.Second)
			s.nodes["a"].cut = false
		}},
		{"larger node joins", func(s *simulatedFleet) {
			for i := range 4 {
				s.report("a", modeler.Fingerprint(i+1))
			}
			s.run(2 * time.Second)
			s.add("d", 9, 8000)
		}},
		{"coordinator dies", func(s *simulatedFleet) {
			for i := range 4 {
				s.report("a", modeler.Fingerprint(i+1))
			}
			s.run(2 * time.Second)
			s.nodes["a"].frozen = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &simulatedFleet{now: start, nodes: map[modeler.NodeID]*fleetNode{}}
			s.add("a", 1, 1000)
			s.add("b", 2, 1000)
			s.add("c", 3, 1000)
			s.run(4 * time.Second)
			tt.act(s)
			assert.Assert(t, s.quarantined("b"), "b had no quarantine before")
			s.run(6 * time.Second)
			assert.Check(t, s.quarantined("c"))
			assert.Check(t, s.quarantined(s.nodes["c"].world.Coordinator))
		})
	}
}

// TestTakeoverKeepsCounts guards against a request, or a shared part, that crashes more endpoints each time that another node coordinates, because counts
// that have not become a quarantine yet are lost.
func TestTakeoverKeepsCounts(t *testing.T) {
	tests := []struct {
		name        string
		fingerprint modeler.Fingerprint
		requests    [3]modeler.Fingerprint
	}{
		{"request", 7, [3]modeler.Fingerprint{7, 7, 7}},
		{"shared part", part, [3]modeler.Fingerprint{1, 2, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &simulatedFleet{now: start, nodes: map[modeler.NodeID]*fleetNode{}}
			for i, id := range []modeler.NodeID{"a", "b", "c", "d"} {
				s.add(id, modeler.Position(i+1), 1000)
			}
			s.run(4 * time.Second)
			for i, id := range []modeler.NodeID{"a", "b", "c"} {
				assert.Equal(t, s.nodes[id].world.Coordinator, id)
				s.report(id, tt.requests[i])
				if id != "c" {
					s.run(1500 * time.Millisecond)
					s.nodes[id].frozen = true
					s.run(4 * time.Second)
				}
			}
			s.run(2 * time.Second)
			brokenAttempts, _ := s.nodes["c"].world.BrokenAttempts.Get(tt.fingerprint)
			assert.Assert(t, brokenAttempts.Quarantined(s.now), "count %d", brokenAttempts.Count)
		})
	}
}

// TestNewNodeHoldsUpSuspects guards against a node that has just started and places a request by itself of which one at a time runs in the fleet.
func TestNewNodeHoldsUpSuspects(t *testing.T) {
	tests := []struct {
		name    string
		suspect modeler.Suspect
		want    bool
	}{
		{"broken a short time ago", modeler.Suspect{Fingerprint: 1, Count: 1, Age: 10 * time.Second}, true},
		{"quarantined", modeler.Suspect{Fingerprint: 1, Count: 3, Age: 10 * time.Second, QuarantinedFor: 50 * time.Second}, true},
		{"after a quarantine", modeler.Suspect{Fingerprint: 1, Count: 3, Age: 5 * time.Minute}, true},
		{"shared part", modeler.Suspect{Fingerprint: 1, Count: 1, Age: 10 * time.Second, SharedPart: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Coordinator = "c"
			message := modeler.Message{From: "c", Incarnation: 1, Body: modeler.Digest{Suspects: []modeler.Suspect{tt.suspect}}}
			watcher.New().Run(&modeler.Tick{Now: start, Events: []modeler.Event{modeler.PeerReceived{Message: message}}}, world)
			brokenAttempts, _ := world.BrokenAttempts.Get(1)
			assert.Equal(t, brokenAttempts.RunsAlone(start), tt.want)
			assert.Equal(t, brokenAttempts.Quarantined(start), tt.suspect.QuarantinedFor > 0)
		})
	}
}
