package elector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// fleet runs the electors of several nodes on one simulated clock and delivers their messages.
type fleet struct {
	now     time.Time
	worlds  map[modeler.NodeID]*modeler.World
	systems map[modeler.NodeID]*elector.System
	inbox   map[modeler.NodeID][]modeler.Event
	// dead nodes do nothing. paused nodes do nothing until they resume, and then receive the messages that were sent to them. cut reports whether
	// messages between two nodes are lost.
	dead, paused map[modeler.NodeID]bool
	cut          func(from, to modeler.NodeID) bool
	sent         int
}

// step is the time between two ticks. It is shorter than any interval of the elector.
const step = 50 * time.Millisecond

func newFleet(size int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), worlds: map[modeler.NodeID]*modeler.World{}, systems: map[modeler.NodeID]*elector.System{},
		inbox: map[modeler.NodeID][]modeler.Event{}, dead: map[modeler.NodeID]bool{}, paused: map[modeler.NodeID]bool{}, cut: func(_, _ modeler.NodeID) bool { return false },
	}
	for i := range size {
		f.start(name(i), modeler.Position(i), 1)
	}
	return f
}

func name(i int) modeler.NodeID { return modeler.NodeID(fmt.Sprintf("n%02d", i)) }

// start adds or restarts a node. It receives the registrations of all other nodes.
func (f *fleet) start(id modeler.NodeID, rank modeler.Position, incarnation uint64) {
	self := modeler.Node{ID: id, Incarnation: incarnation, Rank: modeler.UnregisteredRank, PeerAddress: string(id), CallerAddress: string(id)}
	f.dead[id] = false
	events := []modeler.Event{modeler.SelfRegistered{Rank: rank}}
	for _, world := range f.worlds {
		if world.Self.ID != id {
			events = append(events, modeler.NodeRegistered{Node: world.Self})
		}
	}
	f.worlds[id], f.systems[id], f.inbox[id] = modeler.NewWorld(self), elector.New(nil), events
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		deliveries := map[modeler.NodeID][]modeler.Event{}
		for id, system := range f.systems {
			if f.dead[id] || f.paused[id] {
				continue
			}
			tick := &modeler.Tick{Now: f.now, Events: f.inbox[id]}
			f.inbox[id] = nil
			f.worlds[id].BeginTick(f.now)
			system.Run(tick, f.worlds[id])
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					f.sent++
					if !f.dead[send.To.ID] && !f.cut(id, send.To.ID) {
						deliveries[send.To.ID] = append(deliveries[send.To.ID], modeler.PeerReceived{Message: send.Message})
					}
				}
			}
		}
		for id, events := range deliveries {
			f.inbox[id] = append(f.inbox[id], events...)
		}
	}
}

func (f *fleet) coordinators() map[modeler.NodeID]int {
	found := map[modeler.NodeID]int{}
	for id, world := range f.worlds {
		if !f.dead[id] {
			found[world.Coordinator]++
		}
	}
	return found
}

// TestCoordinator guards against nodes with no coordinator or a dead one, and against two coordinators after a network partition has healed.
func TestCoordinator(t *testing.T) {
	partition := func(from, to modeler.NodeID) bool { return (from < "n02") != (to < "n02") }
	tests := []struct {
		name   string
		change func(f *fleet)
		want   map[modeler.NodeID]int
	}{
		{"lowest rank", func(*fleet) {}, map[modeler.NodeID]int{"n00": 5}},
		{"coordinator dies", func(f *fleet) { f.dead["n00"] = true }, map[modeler.NodeID]int{"n01": 4}},
		{"the first two die", func(f *fleet) { f.dead["n00"], f.dead["n01"] = true, true }, map[modeler.NodeID]int{"n02": 3}},
		{"all but one die", func(f *fleet) {
			for i := range 4 {
				f.dead[name(i)] = true
			}
		}, map[modeler.NodeID]int{"n04": 1}},
		{"coordinator comes back with a larger rank", func(f *fleet) {
			f.dead["n00"] = true
			f.run(4 * time.Second)
			f.start("n00", 9, 2)
		}, map[modeler.NodeID]int{"n01": 5}},
		{"coordinator pauses and resumes", func(f *fleet) {
			f.dead["n00"] = true
			f.run(4 * time.Second)
			f.dead["n00"] = false
		}, map[modeler.NodeID]int{"n00": 5}},
		{"coordinator leaves", func(f *fleet) {
			f.inbox["n00"] = append(f.inbox["n00"], modeler.LeaveRequested{})
		}, map[modeler.NodeID]int{"n01": 5}},
		{"one on each side of a partition", func(f *fleet) { f.cut = partition }, map[modeler.NodeID]int{"n00": 2, "n02": 3}},
		{"one after a partition", func(f *fleet) {
			f.cut = partition
			f.run(8 * time.Second)
			f.cut = func(_, _ modeler.NodeID) bool { return false }
		}, map[modeler.NodeID]int{"n00": 5}},
		{"isolated node coordinates only itself", func(f *fleet) {
			f.cut = func(from, to modeler.NodeID) bool { return from == "n03" || to == "n03" }
		}, map[modeler.NodeID]int{"n00": 4, "n03": 1}},
		{"node that receives nothing from the coordinator", func(f *fleet) {
			f.cut = func(from, to modeler.NodeID) bool { return from == "n00" && to == "n03" }
		}, map[modeler.NodeID]int{"n00": 4, "n01": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(5)
			f.run(2 * time.Second)
			assert.DeepEqual(t, f.coordinators(), map[modeler.NodeID]int{"n00": 5})
			tt.change(f)
			f.run(4 * time.Second)
			assert.DeepEqual(t, f.coordinators(), tt.want)
		})
	}
}

// TestCapacity guards against a coordinator on a small instance while a larger one could coordinate, and against one that coordinates before it
// has read the store.
func TestCapacity(t *testing.T) {
	knows := func(f *fleet, id modeler.NodeID) {
		f.worlds[id].Configuration = modeler.NewConfiguration(1, nil, nil, nil, modeler.Limits{})
		f.worlds[id].ConfirmedAt[modeler.Endpoints] = f.now
	}
	resize := func(f *fleet, id modeler.NodeID, capacity int) {
		f.worlds[id].Self = f.worlds[id].Self.WithMilliCores(capacity)
	}
	tests := []struct {
		name   string
		change func(f *fleet)
		want   modeler.NodeID
	}{
		{"equal capacities", func(f *fleet) {
			for i := range 5 {
				resize(f, name(i), 400)
				knows(f, name(i))
			}
		}, "n00"},
		{"a larger one", func(f *fleet) {
			resize(f, "n03", 800)
			knows(f, "n03")
		}, "n03"},
		{"a larger one that has not read the store", func(f *fleet) { resize(f, "n03", 800) }, "n00"},
		{"the larger one dies", func(f *fleet) {
			resize(f, "n03", 800)
			knows(f, "n03")
			f.run(3 * time.Second)
			f.dead["n03"] = true
		}, "n00"},
		{"a little larger", func(f *fleet) {
			resize(f, "n00", 400)
			knows(f, "n00")
			resize(f, "n03", 500)
			knows(f, "n03")
		}, "n00"},
		{"the larger one leaves", func(f *fleet) {
			resize(f, "n03", 800)
			knows(f, "n03")
			f.run(3 * time.Second)
			f.inbox["n03"] = append(f.inbox["n03"], modeler.LeaveRequested{})
		}, "n00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(5)
			f.run(2 * time.Second)
			tt.change(f)
			f.run(4 * time.Second)
			coordinators := f.coordinators()
			assert.Equal(t, len(coordinators), 1)
			assert.Assert(t, coordinators[tt.want] > 0, "%v", coordinators)
		})
	}
}

// TestHubsAreReplaced guards against hubs that are dead and never replaced. Nodes would then send hellos to dead nodes only, and a node
// that receives nothing from the coordinator would know no other candidate.
func TestHubsAreReplaced(t *testing.T) {
	f := newFleet(14)
	f.run(3 * time.Second)
	for i := range 7 {
		f.dead[name(i)] = true
	}
	f.run(10 * time.Second)
	assert.DeepEqual(t, f.coordinators(), map[modeler.NodeID]int{"n07": 7})
	f.cut = func(from, to modeler.NodeID) bool { return from == "n07" && to == "n13" }
	f.run(4 * time.Second)
	assert.DeepEqual(t, f.coordinators(), map[modeler.NodeID]int{"n07": 6, "n08": 1})
}

// TestAlive guards against a dead node that is still reported as alive, so that callers are sent to it, and against a live node that is not.
func TestAlive(t *testing.T) {
	f := newFleet(12)
	f.run(3 * time.Second)
	for id, world := range f.worlds {
		assert.Equal(t, len(elector.Alive(world, f.now)), 12, "%s", id)
	}
	f.dead["n07"], f.dead["n00"] = true, true
	f.run(6 * time.Second)
	for id, world := range f.worlds {
		if f.dead[id] {
			continue
		}
		assert.Equal(t, len(elector.Alive(world, f.now)), 10, "%s", id)
	}
}

// TestMessages guards against a number of messages that grows with the square of the number of nodes. The target of 9 KB/s per node allows
// 30 heartbeats of about 300 bytes per second.
func TestMessages(t *testing.T) {
	f := newFleet(60)
	f.run(5 * time.Second)
	f.sent = 0
	f.run(10 * time.Second)
	perNode := float64(f.sent) / 10 / 60
	assert.Assert(t, perNode < 30, "%.1f messages per node and second", perNode)
}

// TestRegistrationAfterReturn guards against nodes that those which start later do not find, because their registrations were lost when the store came back
// from a copy.
func TestRegistrationAfterReturn(t *testing.T) {
	tests := []struct {
		name   string
		events []modeler.Event
		want   int
	}{
		{"first era of the process", []modeler.Event{modeler.StoreRestored{Era: 3}, modeler.SelfRegistered{Rank: modeler.NewPosition(3, 1)}}, 0},
		{"the store comes back", []modeler.Event{modeler.StoreRestored{Era: 1}, modeler.SelfRegistered{Rank: modeler.NewPosition(1, 1)}, modeler.StoreRestored{Era: 2}}, 1},
		{"twice", []modeler.Event{modeler.StoreRestored{Era: 1}, modeler.SelfRegistered{Rank: modeler.NewPosition(1, 1)}, modeler.StoreRestored{Era: 2}, modeler.StoreRestored{Era: 3}}, 2},
		{"an earlier era is named late", []modeler.Event{modeler.StoreRestored{Era: 2}, modeler.SelfRegistered{Rank: modeler.NewPosition(2, 1)}, modeler.StoreRestored{Era: 1}}, 0},
		{"the response to the registration is processed late", []modeler.Event{modeler.StoreRestored{Era: 1}, modeler.StoreRestored{Era: 2}, modeler.SelfRegistered{Rank: modeler.NewPosition(1, 1)}}, 1},
		{"not registered yet", []modeler.Event{modeler.StoreRestored{Era: 1}, modeler.StoreRestored{Era: 2}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n", Rank: modeler.UnregisteredRank})
			system, got := elector.New(nil), 0
			for _, e := range tt.events {
				tick := &modeler.Tick{Now: time.Unix(1000, 0), Events: []modeler.Event{e}}
				system.Run(tick, world)
				for _, effect := range tick.Effects() {
					if _, ok := effect.(modeler.RegisterAgain); ok {
						got++
					}
				}
			}
			assert.Equal(t, got, tt.want)
			assert.Assert(t, world.Self.Rank == modeler.UnregisteredRank || world.Self.Rank.Offset() == 1, "the rank stays")
		})
	}
}

// TestCopiedRegistrations guards against a live node that is ignored because the store's copy names an earlier process of it with a later position, and
// against a live process that is replaced by an earlier one.
func TestCopiedRegistrations(t *testing.T) {
	at := modeler.NewPosition
	now := time.Unix(1000, 0)
	copied := modeler.Node{ID: "x", Incarnation: 1, Rank: at(2, 3)}
	live := modeler.Node{ID: "x", Incarnation: 2, Rank: at(1, 9)}
	heartbeat := modeler.PeerReceived{Message: modeler.Message{From: "x", Incarnation: 2, Body: modeler.Beat{Node: live}}}
	earlier := modeler.PeerReceived{Message: modeler.Message{From: "x", Incarnation: 1, Body: modeler.Beat{Node: copied.WithRank(at(1, 3))}}}
	tests := []struct {
		name   string
		events []modeler.Event
		want   modeler.Node
	}{
		{"a new node reads the copy", []modeler.Event{modeler.NodeRegistered{Node: copied}}, copied},
		{"the live process sends a heartbeat", []modeler.Event{modeler.NodeRegistered{Node: copied}, heartbeat}, live},
		{"the copy is read after a heartbeat", []modeler.Event{heartbeat, modeler.NodeRegistered{Node: copied, Again: true}}, live},
		{"a heartbeat of the earlier process arrives late", []modeler.Event{heartbeat, earlier}, live},
		{"an unknown node is read again", []modeler.Event{modeler.NodeRegistered{Node: live, Again: true}}, live},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n", Rank: at(2, 10)})
			system := elector.New(nil)
			for _, e := range tt.events {
				system.Run(&modeler.Tick{Now: now, Events: []modeler.Event{e}}, world)
			}
			got, _ := world.Nodes.Get("x")
			assert.Equal(t, got.Incarnation, tt.want.Incarnation)
			assert.Equal(t, got.Rank, tt.want.Rank)
		})
	}
}
