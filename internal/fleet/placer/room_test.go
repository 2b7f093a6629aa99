package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// newRoomNode returns a coordinator with engines of twelve slots that started long ago and keeps room.
func newRoomNode(engines int) *testNode {
	n := newTestNode("a", "a", 0)
	n.system = New(Options{ColdFactor: 1.5, ColdSlack: 5, KeepsRoom: true})
	for i := range engines {
		e := modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("e%d", i)), Service: "engines", Slots: 12, DataCentre: "dc", Address: "x"}
		n.world.Endpoints.Put(e.ID, e)
	}
	n.run()
	n.now = n.now.Add(time.Minute)
	return n
}

// newRequest returns a request that has arrived now. Callers of short prompts leave after two seconds without an event.
func (n *testNode) newRequest(id string, prompt modeler.Tokens, target, leaves time.Duration) modeler.Request {
	return modeler.Request{
		ID: modeler.RequestID(id), Node: "a", Service: "engines", Kind: modeler.Stream, Prompt: prompt, Output: 1000,
		Arrived: n.now, Due: n.now.Add(target), Deadline: n.now.Add(leaves), RunsUntil: n.now.Add(leaves), Gap: 250 * time.Millisecond,
	}
}

func (n *testNode) newShort(id string) modeler.Request {
	return n.newRequest(id, 5000, 300*time.Millisecond, 2*time.Second)
}

func (n *testNode) newLong(id string) modeler.Request {
	return n.newRequest(id, 260_000, 4*time.Second, 15*time.Second)
}

// replies runs ticks for a time and returns the decisions with the times at which they came.
func (n *testNode) replies(length time.Duration, events ...modeler.Event) map[modeler.RequestID]time.Duration {
	decided := map[modeler.RequestID]time.Duration{}
	begin := n.now
	for ; n.now.Sub(begin) <= length; n.now = n.now.Add(5 * time.Millisecond) {
		for _, reply := range effects[modeler.Reply](n.run(events...)) {
			if !reply.Decision.Refused {
				decided[reply.ID] = n.now.Sub(begin)
			}
		}
		events = nil
	}
	return decided
}

// TestReturnOfAll answers the load after all nodes were gone: within half a second, the callers of short prompts fill most slots. It guards against a long
// prompt that takes engines at the first moment, although it has seconds to spare, so that callers of short ones leave without an answer.
func TestReturnOfAll(t *testing.T) {
	tests := []struct {
		name string
		// upFor is the time since the start of the node, and loads what a predecessor told.
		upFor  time.Duration
		loads  int
		target time.Duration
		least  time.Duration
	}{
		{"the first request after the start", time.Second, 0, 4 * time.Second, settleTime},
		{"a predecessor has told what runs", time.Second, 8, 4 * time.Second, 0},
		{"a node that has run for long", time.Minute, 0, 4 * time.Second, 0},
		{"a long prompt without time to spare", time.Second, 0, 900 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newRoomNode(16)
			n.system.startedAt = n.now.Add(-tt.upFor)
			n.world.Loads = map[modeler.EndpointID]modeler.LoadSummary{}
			for i := range tt.loads {
				n.world.Loads[modeler.EndpointID(fmt.Sprintf("e%d", i))] = modeler.LoadSummary{Running: 1}
			}
			long := n.newLong("long")
			long.Due = n.now.Add(tt.target)
			decided := n.replies(2*time.Second, modeler.PlacementRequested{Request: n.newShort("short")}, modeler.PlacementRequested{Request: long})
			_, ok := decided["short"]
			assert.Assert(t, ok)
			at, ok := decided["long"]
			assert.Assert(t, ok, "the long prompt was not placed")
			assert.Assert(t, at >= tt.least && at <= tt.least+100*time.Millisecond, "placed after %s", at)
		})
	}
}

// TestRoomForShort answers many short prompts beside a few long ones. It guards against long prompts that take the last slots while they have time to
// spare, and against ones that are starved.
func TestRoomForShort(t *testing.T) {
	tests := []struct {
		name string
		// running short prompts are spread over the first engines; the others are idle.
		running, engines int
		// least and most bound the time after which the long prompt is placed. It has 4 s, of which it needs 2.2 on one engine.
		least, most time.Duration
	}{
		{"few short ones", 20, 2, 0, 100 * time.Millisecond},
		{"short ones in nearly all slots", 84, 7, time.Second, 1700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newRoomNode(8)
			for i := range tt.running {
				r := n.newShort(fmt.Sprint("s", i))
				endpoint, _ := n.world.Endpoints.Get(modeler.EndpointID(fmt.Sprintf("e%d", i%tt.engines)))
				n.world.Assign(modeler.Assignment{Request: r, Plan: modeler.Plan{Endpoint: endpoint}, Placed: n.now}.WithFirstEvent(n.now))
			}
			at, ok := n.replies(4*time.Second, modeler.PlacementRequested{Request: n.newRequest("long", 130_000, 4*time.Second, 15*time.Second)})["long"]
			assert.Assert(t, ok, "the long prompt was not placed")
			assert.Assert(t, at >= tt.least && at <= tt.most, "placed after %s", at)
		})
	}
}

// TestWaitsHere answers short prompts that come while all engines read long ones. It guards against requests that stand in the queue of an engine until
// their callers leave, although another engine gets a free slot before.
func TestWaitsHere(t *testing.T) {
	n := newRoomNode(2)
	for i := range 2 {
		endpoint, _ := n.world.Endpoints.Get(modeler.EndpointID(fmt.Sprintf("e%d", i)))
		long := n.newLong(fmt.Sprint("long", i))
		n.world.Assign(modeler.Assignment{
			Request: long, Plan: modeler.Plan{Endpoint: endpoint, PartPrefill: 1600 * time.Millisecond, TimeToFirstEvent: 1650 * time.Millisecond}, Placed: n.now,
		})
		n.world.PrefillEnd.Put(endpoint.ID, n.now.Add(1600*time.Millisecond))
	}
	short := n.newShort("short")
	assert.Equal(t, len(n.replies(300*time.Millisecond, modeler.PlacementRequested{Request: short})), 0)
	// One of the long prompts is given up: its engine is free.
	n.run(modeler.PeerReceived{Message: modeler.Message{From: "b", Body: modeler.Queued{}}})
	n.world.Unassign("long1")
	at, ok := n.replies(200 * time.Millisecond)["short"]
	assert.Assert(t, ok && at <= 50*time.Millisecond, "placed: %t, after %s", ok, at)
	assignment, _ := n.world.Assignments.Get("short")
	assert.Equal(t, assignment.Plan.Endpoint.ID, modeler.EndpointID("e1"))
}
