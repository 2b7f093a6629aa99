package elector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// cluster runs the electors of several nodes on one simulated clock and delivers their messages.
type cluster struct {
	now     time.Time
	worlds  map[modeler.NodeID]*modeler.World
	systems map[modeler.NodeID]*elector.System
	inbox   map[modeler.NodeID][]modeler.Event
	// dead nodes do nothing. cut reports whether messages between two nodes are lost.
	dead map[modeler.NodeID]bool
	cut  func(from, to modeler.NodeID) bool
	sent int
}

// step is the time between two ticks. It is shorter than any interval of the elector.
const step = 50 * time.Millisecond

func newCluster(size int) *cluster {
	c := &cluster{
		now: time.Unix(1000, 0), worlds: map[modeler.NodeID]*modeler.World{}, systems: map[modeler.NodeID]*elector.System{},
		inbox: map[modeler.NodeID][]modeler.Event{}, dead: map[modeler.NodeID]bool{}, cut: func(_, _ modeler.NodeID) bool { return false },
	}
	for i := range size {
		c.start(name(i), int64(i), 1)
	}
	return c
}

func name(i int) modeler.NodeID { return modeler.NodeID(fmt.Sprintf("n%02d", i)) }

// start adds or restarts a node. It receives the registrations of all other nodes.
func (c *cluster) start(id modeler.NodeID, rank int64, incarnation uint64) {
	self := modeler.Node{ID: id, Incarnation: incarnation, Rank: modeler.UnregisteredRank, PeerAddress: string(id), CallerAddress: string(id)}
	c.dead[id] = false
	events := []modeler.Event{modeler.SelfRegistered{Rank: rank}}
	for _, world := range c.worlds {
		if world.Self.ID != id {
			events = append(events, modeler.NodeRegistered{Node: world.Self})
		}
	}
	c.worlds[id], c.systems[id], c.inbox[id] = modeler.NewWorld(self), elector.New(nil), events
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		deliveries := map[modeler.NodeID][]modeler.Event{}
		for id, system := range c.systems {
			if c.dead[id] {
				continue
			}
			tick := &modeler.Tick{Now: c.now, Events: c.inbox[id]}
			c.inbox[id] = nil
			system.Run(tick, c.worlds[id])
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					c.sent++
					if !c.dead[send.To.ID] && !c.cut(id, send.To.ID) {
						deliveries[send.To.ID] = append(deliveries[send.To.ID], modeler.PeerReceived{Message: send.Message})
					}
				}
			}
		}
		for id, events := range deliveries {
			c.inbox[id] = append(c.inbox[id], events...)
		}
	}
}

func (c *cluster) coordinators() map[modeler.NodeID]int {
	found := map[modeler.NodeID]int{}
	for id, world := range c.worlds {
		if !c.dead[id] {
			found[world.Coordinator]++
		}
	}
	return found
}

// TestCoordinator guards against nodes with no coordinator or a dead one, and against two coordinators after a network partition has healed.
func TestCoordinator(t *testing.T) {
	partition := func(from, to modeler.NodeID) bool { return (from < "n02") != (to < "n02") }
	tests := []struct {
		name string
		play func(c *cluster)
		want map[modeler.NodeID]int
	}{
		{"lowest rank", func(*cluster) {}, map[modeler.NodeID]int{"n00": 5}},
		{"coordinator dies", func(c *cluster) { c.dead["n00"] = true }, map[modeler.NodeID]int{"n01": 4}},
		{"the first two die", func(c *cluster) { c.dead["n00"], c.dead["n01"] = true, true }, map[modeler.NodeID]int{"n02": 3}},
		{"all but one die", func(c *cluster) {
			for i := range 4 {
				c.dead[name(i)] = true
			}
		}, map[modeler.NodeID]int{"n04": 1}},
		{"coordinator comes back at a higher rank", func(c *cluster) {
			c.dead["n00"] = true
			c.run(4 * time.Second)
			c.start("n00", 9, 2)
		}, map[modeler.NodeID]int{"n01": 5}},
		{"coordinator pauses and resumes", func(c *cluster) {
			c.dead["n00"] = true
			c.run(4 * time.Second)
			c.dead["n00"] = false
		}, map[modeler.NodeID]int{"n00": 5}},
		{"coordinator leaves", func(c *cluster) {
			c.inbox["n00"] = append(c.inbox["n00"], modeler.LeaveRequested{})
		}, map[modeler.NodeID]int{"n01": 5}},
		{"one on each side of a partition", func(c *cluster) { c.cut = partition }, map[modeler.NodeID]int{"n00": 2, "n02": 3}},
		{"one after a partition", func(c *cluster) {
			c.cut = partition
			c.run(8 * time.Second)
			c.cut = func(_, _ modeler.NodeID) bool { return false }
		}, map[modeler.NodeID]int{"n00": 5}},
		{"isolated node coordinates only itself", func(c *cluster) {
			c.cut = func(from, to modeler.NodeID) bool { return from == "n03" || to == "n03" }
		}, map[modeler.NodeID]int{"n00": 4, "n03": 1}},
		{"node that receives nothing from the coordinator", func(c *cluster) {
			c.cut = func(from, to modeler.NodeID) bool { return from == "n00" && to == "n03" }
		}, map[modeler.NodeID]int{"n00": 4, "n01": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(5)
			c.run(2 * time.Second)
			assert.DeepEqual(t, c.coordinators(), map[modeler.NodeID]int{"n00": 5})
			tt.play(c)
			c.run(4 * time.Second)
			assert.DeepEqual(t, c.coordinators(), tt.want)
		})
	}
}

// TestHubsAreReplaced guards against hubs that are dead and never replaced. Nodes would then send hellos to dead nodes only, and a node
// that receives nothing from the coordinator would know no other candidate.
func TestHubsAreReplaced(t *testing.T) {
	c := newCluster(14)
	c.run(3 * time.Second)
	for i := range 7 {
		c.dead[name(i)] = true
	}
	c.run(10 * time.Second)
	assert.DeepEqual(t, c.coordinators(), map[modeler.NodeID]int{"n07": 7})
	c.cut = func(from, to modeler.NodeID) bool { return from == "n07" && to == "n13" }
	c.run(4 * time.Second)
	assert.DeepEqual(t, c.coordinators(), map[modeler.NodeID]int{"n07": 6, "n08": 1})
}

// TestAlive guards against a dead node that is still reported as alive, so that callers are sent to it, and against a live node that is not.
func TestAlive(t *testing.T) {
	c := newCluster(12)
	c.run(3 * time.Second)
	for id, world := range c.worlds {
		assert.Equal(t, len(elector.Alive(world, c.now)), 12, "%s", id)
	}
	c.dead["n07"], c.dead["n00"] = true, true
	c.run(6 * time.Second)
	for id, world := range c.worlds {
		if c.dead[id] {
			continue
		}
		assert.Equal(t, len(elector.Alive(world, c.now)), 10, "%s", id)
	}
}

// TestMessages guards against a number of messages that grows with the square of the number of nodes. The target of 9 KB/s per node allows
// 30 heartbeats of about 300 bytes per second.
func TestMessages(t *testing.T) {
	c := newCluster(60)
	c.run(5 * time.Second)
	c.sent = 0
	c.run(10 * time.Second)
	perNode := float64(c.sent) / 10 / 60
	assert.Assert(t, perNode < 30, "%.1f messages per node and second", perNode)
}
