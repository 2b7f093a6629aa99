package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestLeavingNodeRefuses guards against a request that a leaving node takes or keeps waiting although it can't end before the node stops: its
// connection would be closed without a complete answer.
func TestLeavingNodeRefuses(t *testing.T) {
	call := modeler.Request{Service: "plain", Arrived: start, Due: start.Add(200 * time.Millisecond), Deadline: start.Add(time.Second)}
	call.RunsUntil = call.Deadline
	stream := short()
	stream.Service, stream.RunsUntil = "engines", start.Add(10*time.Second)
	undeclared := stream
	undeclared.Output = 0
	resumed := stream
	resumed.Resumes = true
	tests := []struct {
		name    string
		request modeler.Request
		// left is the time until the node stops. It stops at all if left is not zero.
		left time.Duration
		// stale is set if callers may no longer use the node's address.
		stale, refused bool
	}{
		{"not leaving", stream, 0, false, false},
		{"stream that is expected to end in time", stream, 3 * time.Second, false, false},
		{"stream that is expected to run until the end", stream, 1900 * time.Millisecond, false, true},
		{"late stream whose timeout is after the end", stream, 9 * time.Second, true, true},
		{"late stream whose timeout is before the end", stream, 11 * time.Second, true, false},
		{"stream of unknown length", undeclared, 9 * time.Second, false, true},
		{"rest of a stream whose caller can't be refused", resumed, time.Second, true, false},
		{"call that is expected to end in time", call, 900 * time.Millisecond, false, false},
		{"late call whose timeout is after the end", call, 900 * time.Millisecond, true, true},
		{"call just before the end", call, 700 * time.Millisecond, false, true},
	}
	for _, tt := range tests {
		for _, coordinator := range []modeler.NodeID{"a", "b"} {
			t.Run(tt.name+"/coordinator "+string(coordinator), func(t *testing.T) {
				n := newTestNode("a", coordinator, 1)
				n.world.Endpoints.Put("p", modeler.Endpoint{ID: "p", Service: "plain", Slots: 2, Address: "x"})
				if tt.left > 0 {
					n.world.AddressUntil, n.world.StopAt = start, start.Add(tt.left)
				}
				if tt.stale {
					n.world.AddressUntil = start.Add(-time.Millisecond)
				}
				tt.request.ID, tt.request.Node = "r", "a"
				all := n.run(modeler.PlacementRequested{Request: tt.request})
				refusals := refusalsOf(all)
				assert.Equal(t, len(refusals) == 1, tt.refused)
				if tt.refused {
					assert.Equal(t, refusals[0].Reason, modeler.ReasonLeaving)
					assert.Equal(t, len(bodies[modeler.Ask](all)), 0)
					assert.Equal(t, n.world.Assignments.Len(), 0)
				}
			})
		}
	}
}

func refusalsOf(all []modeler.Effect) []modeler.Decision {
	var refusals []modeler.Decision
	for _, reply := range effects[modeler.Reply](all) {
		if reply.Decision.Refused {
			refusals = append(refusals, reply.Decision)
		}
	}
	return refusals
}

// TestLeavingNodeKeepsNoneWaiting guards against requests that a leaving node keeps unplaced until it stops, which closes their connections
// without an answer.
func TestLeavingNodeKeepsNoneWaiting(t *testing.T) {
	tests := []struct {
		name        string
		coordinator modeler.NodeID
		// granted is the time after which the coordinator places the request; zero if it does not.
		granted time.Duration
		// refused is the time until the refusal; zero if the request is placed.
		refused time.Duration
	}{
		{"waiting here", "a", 0, 2 * time.Second},
		{"waiting at the coordinator", "b", 0, 2 * time.Second},
		{"placed in time", "b", 500 * time.Millisecond, 0},
		{"placed too late for the end of the stream", "b", 1900 * time.Millisecond, 1900 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode("a", tt.coordinator, 1)
			r := short()
			r.ID, r.Node, r.Service = "r", "a", "engines"
			r.Due, r.Deadline, r.RunsUntil = start.Add(5*time.Second), start.Add(9*time.Second), start.Add(10*time.Second)
			for _, id := range []modeler.RequestID{"x", "y"} {
				n.world.Assign(modeler.Assignment{Request: modeler.Request{ID: id, Node: "a", Deadline: r.RunsUntil}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e0"}}, Placed: start})
			}
			assert.Equal(t, len(effects[modeler.Reply](n.run(modeler.PlacementRequested{Request: r}))), 0)
			n.world.AddressUntil = start
			work := typicalTimeToFirstEvent(n.world, r) + decodeTime(start, n.world, r)
			n.world.StopAt = start.Add(2*time.Second + work)
			var refusedAfter time.Duration
			for n.now = start; n.now.Before(n.world.StopAt) && refusedAfter == 0; n.now = n.now.Add(10 * time.Millisecond) {
				events := []modeler.Event{peer("b", modeler.Queued{ID: "r"})}
				if tt.granted > 0 && n.now.Sub(start) == tt.granted {
					plan := modeler.Plan{Endpoint: modeler.Endpoint{ID: "e0"}, TimeToFirstEvent: time.Second}
					events = append(events, peer("b", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: plan}}))
				}
				all := n.run(events...)
				if refusals := refusalsOf(all); len(refusals) > 0 {
					refusedAfter = n.now.Sub(start)
					assert.Equal(t, refusals[0].Reason, modeler.ReasonLeaving)
					// The coordinator must neither keep the request in its queue nor its place.
					assert.Equal(t, len(bodies[modeler.Ended](all)) > 0, tt.coordinator == "b")
				}
			}
			assert.Assert(t, refusedAfter >= tt.refused && refusedAfter <= tt.refused+retryInterval, "%v", refusedAfter)
		})
	}
}

// TestUnknownEndpointIsReleased guards against a coordinator that counts a placement as load although this node does not know its endpoint and
// places or refuses the request itself.
func TestUnknownEndpointIsReleased(t *testing.T) {
	n := newTestNode("a", "b", 1)
	n.run(modeler.PlacementRequested{Request: request("r", "a")})
	plan := modeler.Plan{Endpoint: modeler.Endpoint{ID: "unknown"}}
	all := n.run(peer("b", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: plan}}))
	assert.DeepEqual(t, bodies[modeler.Ended](all), []modeler.Ended{{ID: "r", Endpoint: "unknown", Outcome: modeler.Abandoned}})
}

// TestLeavingRetryAfter guards against callers that are sent away for long although other nodes serve, and against callers that come back before
// the only node has restarted.
func TestLeavingRetryAfter(t *testing.T) {
	tests := []struct {
		name           string
		leaving, alive bool
		want           time.Duration
	}{
		{"another node", false, true, leavingRetryAfter},
		{"all others are leaving", true, true, 3*time.Second + restartTime},
		{"all others are gone", false, false, 3*time.Second + restartTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "a"}.WithLeaving(true))
			world.StopAt = start.Add(3 * time.Second)
			other := modeler.Node{ID: "b"}.WithLeaving(tt.leaving)
			if tt.alive {
				other = other.WithLastSeen(start)
			}
			world.Nodes.Put("b", other)
			assert.Equal(t, leavingRefusal(start, world).RetryAfter, tt.want)
		})
	}
}
