package applier_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// outage is how long the store is unavailable, and pollGap the time between two reads of a node that polls it.
	outage  = 3 * time.Second
	pollGap = 500 * time.Millisecond
	// drainTime is the bound drainMs of all sites: within it after the removal of its entry, an endpoint gets no more requests.
	drainTime = 2 * time.Second
)

// timeline is what a node learns of a store that is unavailable from 0 to outage, unless alone is set.
type timeline struct {
	name string
	// failures are failed calls of this node: when each was noticed, and its start.
	failures []failure
	// confirmed is when this node learns for the first time after the outage that a node has read the store. Reads follow at pollGap.
	confirmed time.Duration
	// alone is set if other nodes read the store all the time.
	alone bool
	// second is the start of a second outage of the same length, or zero.
	second time.Duration
	// removed is when the removal of the entry is read, and back when its new entry is, or zero.
	removed, back time.Duration
	// to is the time until which the endpoint must be in use, and gone the time from which on it must not be.
	to, gone time.Duration
}

type failure struct{ noticed, started time.Duration }

// TestRecoveredStore guards against endpoints that are used for longer than drainTime after they have left, because a failed call to the store was
// noticed only after the store had recovered, or because other calls of this node fail; and against live endpoints that are dropped because their
// entries expired while the store was unavailable.
func TestRecoveredStore(t *testing.T) {
	const never = time.Hour
	silent := []failure{{noticed: 1500 * time.Millisecond}, {noticed: 3100 * time.Millisecond, started: 1600 * time.Millisecond}}
	late := slices.Concat(silent, []failure{{noticed: 4400 * time.Millisecond, started: 2900 * time.Millisecond}})
	var refused []failure
	for at := time.Duration(0); at < 12*time.Second; at += 400 * time.Millisecond {
		refused = append(refused, failure{noticed: at + 10*time.Millisecond, started: at})
	}
	left := outage + 3050*time.Millisecond
	tests := []timeline{
		{name: "leaves after the recovery", failures: silent, confirmed: 3200 * time.Millisecond, removed: left, gone: left + drainTime},
		{name: "the last time-out is noticed late", failures: late, confirmed: 4500 * time.Millisecond, removed: left, gone: left + drainTime},
		{name: "another node reads before the last time-out", failures: late, confirmed: 3200 * time.Millisecond, removed: left, gone: left + drainTime},
		{name: "leaves 2.9 s after the recovery", failures: late, confirmed: 4500 * time.Millisecond, removed: 5900 * time.Millisecond, gone: 5900*time.Millisecond + drainTime},
		{name: "only this node is turned away", failures: refused, alone: true, removed: 6 * time.Second, gone: 6*time.Second + drainTime},
		{name: "only this node's answers are lost", failures: silent, alone: true, removed: 2 * time.Second, gone: 2*time.Second + drainTime},
		{
			name: "expires in the outage", failures: silent, confirmed: 3200 * time.Millisecond, removed: 3200 * time.Millisecond, back: 5100 * time.Millisecond,
			to: never, gone: never,
		},
		{name: "expires in the outage and is not back", failures: silent, confirmed: 3200 * time.Millisecond, removed: 3200 * time.Millisecond, to: 5 * time.Second, gone: 6 * time.Second},
		{
			name: "expires after the recovery", failures: silent, confirmed: 3200 * time.Millisecond, removed: 4 * time.Second, back: 4900 * time.Millisecond,
			to: never, gone: never,
		},
		{
			name: "second outage before the entry is back", failures: slices.Concat(silent, []failure{{noticed: 5600 * time.Millisecond, started: 4100 * time.Millisecond}}),
			confirmed: 3200 * time.Millisecond, removed: 3200 * time.Millisecond, second: 4 * time.Second, back: 8900 * time.Millisecond, to: never, gone: never,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			system := applier.New()
			known := func(at time.Duration, events ...modeler.Event) bool {
				system.Run(&modeler.Tick{Now: start.Add(at), Events: events}, world)
				_, ok := world.Endpoints.Get("e")
				return ok
			}
			known(-time.Second, changed(1))
			for at := -time.Second; at <= 12*time.Second; at += 10 * time.Millisecond {
				var events []modeler.Event
				for _, f := range tt.failures {
					if f.noticed == at {
						events = append(events, modeler.TopicFailed{Topic: modeler.Endpoints, Reason: "timeout", StartedAt: start.Add(f.started)})
					}
				}
				if at == tt.removed {
					events = append(events, modeler.EndpointRemoved{ID: "e", Offset: 2})
				}
				if tt.back > 0 && at == tt.back {
					events = append(events, changed(3))
				}
				away := !tt.alone && at >= 0 && at < tt.confirmed || tt.second > 0 && at >= tt.second && at < tt.second+outage
				if (at+outage)%pollGap == 200*time.Millisecond && !away {
					// The poller runs after the applier, so that the applier sees the new time in the next tick.
					world.ConfirmedAt[modeler.Endpoints] = start.Add(at - 100*time.Millisecond)
				}
				ok := known(at, events...)
				assert.Assert(t, ok || at >= tt.removed, "dropped before its removal")
				assert.Assert(t, ok || at >= tt.to, "dropped after %s", at)
				assert.Assert(t, !ok || at < tt.gone, "still used after %s", at)
			}
		})
	}
}
