package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// mixedPrompts are the lengths of prompts of three classes.
var mixedPrompts = []modeler.Tokens{5_000, 45_000, 260_000}

// newFullNode returns a coordinator whose engines have no free slot, and on which the given number of requests waits for up to an hour. Their
// prompts have the given lengths in turn.
func newFullNode(engines, waiting int, prompts []modeler.Tokens) *testNode {
	n := newTestNode("a", "a", engines)
	for i := range engines {
		e, _ := n.world.Endpoints.Get(modeler.EndpointID(fmt.Sprintf("e%d", i)))
		for slot := range e.Slots {
			r := request(modeler.RequestID(fmt.Sprintf("running-%d-%d", i, slot)), "b")
			r.Deadline = start.Add(time.Hour)
			n.world.Assign(modeler.Assignment{Request: r, Plan: modeler.Plan{Endpoint: e}, Placed: start}.WithFirstEvent(start))
		}
	}
	for i := range waiting {
		r := request(modeler.RequestID(fmt.Sprintf("waiting-%d", i)), "b")
		r.Prompt, r.Deadline = prompts[i%len(prompts)], start.Add(time.Hour)
		n.run(peer("b", modeler.Ask{Request: r}))
	}
	return n
}

// BenchmarkQueue measures ticks of a coordinator whose engines have no free slot: without an event, and with an engine's slot that is freed and
// taken again.
func BenchmarkQueue(b *testing.B) {
	for _, engines := range []int{23, 135, 660} {
		for _, waiting := range []int{0, 10, 100, 1000} {
			n := newFullNode(engines, waiting, mixedPrompts)
			b.Run(fmt.Sprintf("unchanged/engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				n.run()
				for b.Loop() {
					n.run()
				}
			})
			b.Run(fmt.Sprintf("freed/engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				running, _ := n.world.Assignments.Get("running-0-0")
				for b.Loop() {
					n.now = n.now.Add(passInterval)
					n.world.Unassign("running-0-0")
					n.run()
					n.world.Assign(running)
				}
			})
		}
	}
}

// TestQueueCost guards against a coordinator that falls silent while requests wait: with 300 of them, a tick took 71 ms and nodes stop waiting
// for an answer after 100 ms. The bound is on decisions, so that the test does not depend on the machine.
func TestQueueCost(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		act     func(n *testNode)
		// most is the largest number of decisions that the ticks may make.
		most int
	}{
		{"nothing changed", 1000, func(n *testNode) { n.run() }, 0},
		{"another request of a blocked group", 1000, func(n *testNode) { n.run(peer("b", modeler.Ask{Request: request("new", "b")})) }, 0},
		{"a slot was freed", 1000, func(n *testNode) {
			n.now = n.now.Add(passInterval)
			n.world.Unassign("running-0-0")
			n.run()
		}, 8},
		{"the retry interval has passed", 1000, func(n *testNode) {
			n.now = n.now.Add(retryInterval)
			n.run()
		}, 8},
		{"all requests have waited long enough", 1000, func(n *testNode) {
			n.now = n.now.Add(time.Hour)
			n.run()
		}, maxDecisions},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newFullNode(23, tt.waiting, mixedPrompts)
			n.run()
			before := n.system.decisions
			tt.act(n)
			assert.Assert(t, n.system.decisions-before <= tt.most, "%d decisions", n.system.decisions-before)
		})
	}
}

// TestQueueGroups guards against a request that keeps waiting although it could be placed, because another one that needs more cannot.
func TestQueueGroups(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		prompts []modeler.Tokens
		// free frees capacity; placed is the number of requests that must then be placed within the given ticks.
		free          func(n *testNode)
		placed, ticks int
	}{
		{"one slot", 50, mixedPrompts, func(n *testNode) { n.world.Unassign("running-0-0") }, 1, 1},
		{"all slots", 50, mixedPrompts[:1], func(n *testNode) {
			for i := range 23 {
				n.world.Unassign(modeler.RequestID(fmt.Sprintf("running-%d-0", i)))
				n.world.Unassign(modeler.RequestID(fmt.Sprintf("running-%d-1", i)))
			}
		}, 46, 4},
		{"a new endpoint", 50, mixedPrompts, func(n *testNode) {
			n.world.Endpoints.Put("new", modeler.Endpoint{ID: "new", Service: "engines", Slots: 2, DataCentre: "dc", Address: "x"})
		}, 2, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newFullNode(23, tt.waiting, tt.prompts)
			n.run()
			tt.free(n)
			n.now = n.now.Add(passInterval)
			placed := 0
			for range tt.ticks {
				placed += len(bodies[modeler.Granted](n.run()))
			}
			assert.Equal(t, placed, tt.placed)
		})
	}
}
