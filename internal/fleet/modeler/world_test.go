package modeler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestReceivesStaleMessages guards against messages from before a pause of this process that count as new, and against messages that are ignored
// although there was no pause.
func TestReceivesStaleMessages(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		ticks []time.Duration
		want  bool
	}{
		{"no tick", nil, false},
		{"first tick", []time.Duration{0}, false},
		{"idle", []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond}, false},
		{"slow", []time.Duration{0, 900 * time.Millisecond}, false},
		{"after a pause", []time.Duration{0, 2 * time.Second}, true},
		{"soon after a pause", []time.Duration{0, 2 * time.Second, 2250 * time.Millisecond}, true},
		{"some time after a pause", []time.Duration{0, 2 * time.Second, 2250 * time.Millisecond, 2500 * time.Millisecond}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world, now := modeler.NewWorld(modeler.Node{ID: "n"}), start
			for _, at := range tt.ticks {
				now = start.Add(at)
				world.BeginTick(now)
			}
			assert.Equal(t, world.ReceivesStaleMessages(now), tt.want)
		})
	}
}
