package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const suspectCall modeler.Fingerprint = 77

// newSuspectNode returns a node with a plain service of three endpoints, on whose control state one attempt of suspectCall has broken.
func newSuspectNode(id modeler.NodeID) *testNode {
	n := newTestNode(id, "a", 3)
	for i := range 3 {
		e := modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("copy%d", i)), Service: "plain", Slots: 100, DataCentre: "dc", Address: "x"}
		n.world.Endpoints.Put(e.ID, e)
	}
	n.world.BrokenAttempts.Put(suspectCall, modeler.BrokenAttempts{}.WithBrokenAttempt(start))
	return n
}

func suspectRequest(id modeler.RequestID, node modeler.NodeID, service modeler.ServiceID, fingerprint modeler.Fingerprint, now time.Time) modeler.Request {
	r := request(id, node)
	r.Service, r.Fingerprint, r.Arrived, r.Due, r.Deadline = service, fingerprint, now, now.Add(300*time.Millisecond), now.Add(3*time.Second)
	return r
}

// TestSuspectRunsAlone guards against a request that has ended one or two endpoints and goes to several more at once, before it is known whether the next
// one survives it (BUDGET), and against such a request that holds up others, or sound repeats of it for long.
func TestSuspectRunsAlone(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name        string
		service     modeler.ServiceID
		fingerprint modeler.Fingerprint
		// broke is how long ago the attempt broke.
		broke time.Duration
		// after is the time between the placement of the first of three requests and the check, and ended is set if the first one has ended by then.
		after time.Duration
		ended bool
		want  int
	}{
		{"plain service", "plain", suspectCall, 0, 0, false, 1},
		{"engines", "engines", suspectCall, 0, 0, false, 1},
		{"at the return of an empty service", "plain", suspectCall, 10 * time.Second, 0, false, 1},
		{"the first has ended", "plain", suspectCall, 0, 50 * ms, true, 2},
		{"the first runs for long", "plain", suspectCall, 0, modeler.ObservationTime, false, 2},
		{"another request", "plain", 78, 0, 0, false, 3},
		{"without a fingerprint", "plain", modeler.NoFingerprint, 0, 0, false, 3},
		{"long ago", "plain", suspectCall, 2 * time.Minute, 0, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newSuspectNode("a")
			n.now = start.Add(tt.broke)
			var placed []modeler.RequestID
			collect := func(all []modeler.Effect) {
				for _, grant := range bodies[modeler.Granted](all) {
					assert.Assert(t, !grant.Decision.Refused)
					placed = append(placed, grant.ID)
				}
			}
			for i, from := range []modeler.NodeID{"b", "c", "b"} {
				id := modeler.RequestID(fmt.Sprint("r", i))
				collect(n.run(peer(from, modeler.Ask{Request: suspectRequest(id, from, tt.service, tt.fingerprint, n.now)})))
			}
			assert.Assert(t, len(placed) > 0)
			// Other requests of the service do not wait for it.
			all := n.run(peer("c", modeler.Ask{Request: suspectRequest("other", "c", tt.service, 99, n.now)}))
			assert.Equal(t, len(bodies[modeler.Granted](all)), 1)
			if tt.ended {
				n.world.Unassign(placed[0])
			}
			n.now = n.now.Add(tt.after)
			collect(n.run())
			assert.Equal(t, len(placed), tt.want)
		})
	}
}

// TestSuspectIsForwarded guards against nodes that each place a suspect call of a plain service themselves, so that it reaches all endpoints at once, and
// against a call that bounces between a node and a coordinator that does not respond.
func TestSuspectIsForwarded(t *testing.T) {
	tests := []struct {
		name string
		// waits is set if the call waits at the node when the node learns of the broken attempt.
		waits bool
		// silent is set if no other node responds.
		silent bool
		asks   int
	}{
		{"arrives later", false, false, 1},
		{"waits already", true, false, 1},
		{"no other node responds", false, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newSuspectNode("b")
			r := suspectRequest("r", "b", "plain", suspectCall, n.now)
			var all []modeler.Effect
			if tt.waits {
				known, _ := n.world.BrokenAttempts.Get(suspectCall)
				n.world.BrokenAttempts.Delete(suspectCall)
				for id, endpoint := range n.world.Endpoints.All() {
					endpoint.Draining = true
					n.world.Endpoints.Put(id, endpoint)
				}
				assert.Equal(t, len(bodies[modeler.Ask](n.run(modeler.PlacementRequested{Request: r}))), 0)
				n.world.BrokenAttempts.Put(suspectCall, known)
				n.now = n.now.Add(retryInterval)
				all = n.run()
			} else {
				all = n.run(modeler.PlacementRequested{Request: r})
			}
			if !tt.silent {
				assert.Equal(t, len(bodies[modeler.Ask](all)), tt.asks)
				assert.Equal(t, len(effects[modeler.Reply](all)), 0)
				return
			}
			replies := len(effects[modeler.Reply](all))
			for end := n.now.Add(500 * time.Millisecond); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
				replies += len(effects[modeler.Reply](n.run()))
			}
			assert.Equal(t, replies, 1)
		})
	}
}

// TestReleasedRequest guards against a request that crashes one more endpoint with each failure of the node that sent it (BUDGET): after its quarantine, nobody
// knows how the last one with the fingerprint ended. It also guards against sound requests that wait for an end that is known.
func TestReleasedRequest(t *testing.T) {
	released := modeler.BrokenAttempts{Count: 3}.WithBrokenAttempt(start.Add(-2*time.Minute)).WithQuarantine(start.Add(-2*time.Minute), start.Add(-2*time.Minute), time.Minute, 10)
	tests := []struct {
		name string
		row  modeler.BrokenAttempts
		// running is set if the last one with the fingerprint runs.
		running bool
		// placed is set if the request is placed once the others were told of it, else it is refused with reason.
		placed bool
		reason modeler.RefusalReason
		after  time.Duration
	}{
		{"the first one", released, false, true, "", 0},
		{"the last one has ended", released.WithProbe("x", start.Add(-time.Second)).WithProbeEnded("x", false), false, true, "", 0},
		{"the last one runs for long", released.WithProbe("x", start.Add(-time.Second)), true, true, "", 0},
		{"nobody knows how the last one ended", released.WithProbe("x", start.Add(-4*time.Second)), false, false, modeler.ReasonSuspected, time.Second},
		{"nobody knows it after some time", released.WithProbe("x", start.Add(-5*time.Second)), false, true, "", 0},
		{
			"nobody knows how the last two ended", released.WithProbe("w", start.Add(-15*time.Second)).WithProbe("x", start.Add(-9*time.Second)), false,
			false, modeler.ReasonSuspected, maxRetryAfter,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newSuspectNode("a")
			n.world.BrokenAttempts.Put(suspectCall, tt.row)
			if tt.running {
				n.world.Assign(modeler.Assignment{Request: modeler.Request{ID: "x", Node: "b"}, Placed: start.Add(-time.Second)})
			}
			var granted []modeler.Granted
			for i := range 2 {
				id := modeler.RequestID(fmt.Sprint("r", i))
				granted = append(granted, bodies[modeler.Granted](n.run(peer("b", modeler.Ask{Request: suspectRequest(id, "b", "plain", suspectCall, start)})))...)
			}
			if !tt.placed {
				assert.Equal(t, len(granted), 2)
				assert.DeepEqual(t, granted[0].Decision, modeler.Decision{Refused: true, Reason: tt.reason, RetryAfter: tt.after})
				return
			}
			assert.Equal(t, len(granted), 0, "the request must wait until the other nodes have been told")
			assert.Assert(t, n.world.SuspectsDue)
			n.now = n.now.Add(retryInterval)
			n.world.SuspectsSentAt = n.now
			granted = bodies[modeler.Granted](n.run())
			assert.Equal(t, len(granted), 1, "one request runs at a time")
			assert.Assert(t, !granted[0].Decision.Refused)
		})
	}
}

// TestReleasedRequestWaits guards against a request that waits until its deadline for another one with the same fingerprint that waits for a free endpoint.
func TestReleasedRequestWaits(t *testing.T) {
	tests := []struct {
		name string
		// after is how long the requests have waited when they are decided again.
		after time.Duration
		want  int
	}{{"while there is time", time.Second, 0}, {"for too long", 1400 * time.Millisecond, 2}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newSuspectNode("a")
			released := modeler.BrokenAttempts{Count: 3}.WithBrokenAttempt(start.Add(-2 * time.Minute))
			n.world.BrokenAttempts.Put(suspectCall, released.WithQuarantine(start.Add(-2*time.Minute), start.Add(-2*time.Minute), time.Minute, 10))
			n.world.Endpoints.Delete("copy0")
			n.world.Endpoints.Delete("copy1")
			n.world.Endpoints.Delete("copy2")
			for i := range 2 {
				n.run(peer("b", modeler.Ask{Request: suspectRequest(modeler.RequestID(fmt.Sprint("r", i)), "b", "plain", suspectCall, start)}))
			}
			n.now = start.Add(tt.after)
			n.world.SuspectsSentAt = n.now
			granted := bodies[modeler.Granted](n.run())
			assert.Equal(t, len(granted), tt.want)
			for _, grant := range granted {
				assert.Assert(t, grant.Decision.Refused)
			}
		})
	}
}
