package modeler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestState guards against an endpoint that counts as in service although another state applies, and against a state that hides one of
// higher precedence.
func TestState(t *testing.T) {
	now := time.Unix(1000, 0)
	endpoint := modeler.Endpoint{ID: "e", DataCentre: "dc"}
	cold := endpoint
	cold.ColdUntil = now.Add(time.Second)
	tests := []struct {
		name     string
		endpoint modeler.Endpoint
		health   modeler.Health
		out      bool
		want     modeler.EndpointState
	}{
		{"in service", endpoint, modeler.Health{}, false, modeler.StateInService},
		{"cold", cold, modeler.Health{}, false, modeler.StateCold},
		{"missing", cold.WithMissing(now), modeler.Health{}, false, modeler.StateMissing},
		{"avoided", endpoint.WithMissing(now), modeler.Health{}.WithNoResponse(now), false, modeler.StateAvoided},
		{"back-off ended", endpoint, modeler.Health{}.WithNoResponse(now.Add(-time.Hour)), false, modeler.StateInService},
		{"misdirected", endpoint, modeler.Health{}.WithNoResponse(now).WithMisdirected(), false, modeler.StateMisdirected},
		{"draining", endpoint.WithDraining(), modeler.Health{}.WithMisdirected(), false, modeler.StateDraining},
		{"out", endpoint.WithDraining(), modeler.Health{}, true, modeler.StateOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Endpoints.Put("e", tt.endpoint)
			world.Health.Put("e", tt.health)
			if tt.out {
				world.OutDataCentres.Put("dc", 1)
			}
			assert.Equal(t, world.State(tt.endpoint, now), tt.want)
			assert.Equal(t, modeler.NewSnapshot(world, nil, now).Endpoints[tt.want], 1)
		})
	}
}

// TestSuspectsAreMeasured guards against gauges that do not show which requests are held up or refused.
func TestSuspectsAreMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	once := modeler.BrokenAttempts{}.WithBrokenAttempt(now)
	tests := []struct {
		name                  string
		row                   modeler.BrokenAttempts
		after                 time.Duration
		suspects, quarantined int
	}{
		{"request", once, time.Second, 1, 0},
		{"request, long ago", once, time.Hour, 0, 0},
		{"shared part", once.WithRequest(1, nil), time.Second, 0, 0},
		{"quarantined request", once.WithQuarantine(now, now, time.Minute, 10), time.Second, 1, 1},
		{"request after its quarantine", once.WithQuarantine(now, now, time.Minute, 10), 2 * time.Minute, 1, 0},
		{"request long after its quarantine", once.WithQuarantine(now, now, time.Minute, 10), time.Hour, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.BrokenAttempts.Put(1, tt.row)
			snapshot := modeler.NewSnapshot(world, nil, now.Add(tt.after))
			assert.Equal(t, snapshot.SuspectRequests, tt.suspects)
			assert.Equal(t, snapshot.Quarantined, tt.quarantined)
		})
	}
}
