package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestProbe guards against a sound part that stays refused because nothing with it is placed that could clear it, and against more than one request
// that tries a part on which endpoints crash.
func TestProbe(t *testing.T) {
	quarantine := func(at time.Time) modeler.BrokenAttempts {
		return suspected(3, at, 9).WithQuarantine(at, at, time.Hour, 2)
	}
	const ms = time.Millisecond
	tests := []struct {
		name    string
		prepare func(w *modeler.World)
		parts   []modeler.Fingerprint
		want    bool
	}{
		{"too early", func(w *modeler.World) { w.BrokenAttempts.Put(9, quarantine(start.Add(-time.Second))) }, []modeler.Fingerprint{9}, false},
		{"due", func(w *modeler.World) { w.BrokenAttempts.Put(9, quarantine(start.Add(-1500*ms))) }, []modeler.Fingerprint{9}, true},
		{"another probe runs", func(w *modeler.World) {
			w.BrokenAttempts.Put(9, quarantine(start.Add(-5*time.Second)).WithProbe("x", start.Add(-time.Second)))
		}, []modeler.Fingerprint{9}, false},
		{"the probe broke", func(w *modeler.World) {
			b := quarantine(start.Add(-9*time.Second)).WithProbe("x", start.Add(-7*time.Second))
			w.BrokenAttempts.Put(9, b.WithBrokenAttempt(start.Add(-6*time.Second)))
		}, []modeler.Fingerprint{9}, false},
		{"the probe has shown nothing", func(w *modeler.World) {
			w.BrokenAttempts.Put(9, quarantine(start.Add(-9*time.Second)).WithProbe("x", start.Add(-5*time.Second)))
		}, []modeler.Fingerprint{9}, true},
		{"the second probe has shown nothing", func(w *modeler.World) {
			b := quarantine(start.Add(-time.Minute)).WithProbe("w", start.Add(-9*time.Second)).WithProbe("x", start.Add(-5*time.Second))
			w.BrokenAttempts.Put(9, b.WithProbeEnded("x", false))
		}, []modeler.Fingerprint{9}, true},
		{"nobody knows how the second probe ended", func(w *modeler.World) {
			b := quarantine(start.Add(-time.Minute)).WithProbe("w", start.Add(-35*time.Second)).WithProbe("x", start.Add(-29*time.Second))
			w.BrokenAttempts.Put(9, b)
		}, []modeler.Fingerprint{9}, false},
		{"this node has just begun to coordinate", func(w *modeler.World) {
			w.BrokenAttempts.Put(9, quarantine(start.Add(-9*time.Second)))
			w.CoordinatorSince = start.Add(-900 * ms)
		}, []modeler.Fingerprint{9}, false},
		{"this node has coordinated for a second", func(w *modeler.World) {
			w.BrokenAttempts.Put(9, quarantine(start.Add(-9*time.Second)))
			w.CoordinatorSince = start.Add(-time.Second)
		}, []modeler.Fingerprint{9}, true},
		{"this node has just been paused", func(w *modeler.World) {
			w.BrokenAttempts.Put(9, quarantine(start.Add(-9*time.Second)))
			w.BeginTick(start.Add(-5 * time.Second))
			w.BeginTick(start.Add(-900 * ms))
		}, []modeler.Fingerprint{9}, false},
		{"two quarantined parts", func(w *modeler.World) {
			w.BrokenAttempts.Put(8, suspected(3, start.Add(-9*time.Second), 8).WithQuarantine(start.Add(-9*time.Second), start.Add(-9*time.Second), time.Hour, 2))
			w.BrokenAttempts.Put(9, quarantine(start.Add(-9*time.Second)))
		}, []modeler.Fingerprint{8, 9}, false},
		{"two parts that always came together", func(w *modeler.World) {
			for _, part := range []modeler.Fingerprint{8, 9} {
				w.BrokenAttempts.Put(part, suspected(3, start.Add(-9*time.Second), 8, 9).WithQuarantine(start.Add(-9*time.Second), start.Add(-9*time.Second), time.Hour, 2))
			}
		}, []modeler.Fingerprint{8, 9}, true},
		{"this node does not coordinate", func(w *modeler.World) {
			w.BrokenAttempts.Put(9, quarantine(start.Add(-9*time.Second)))
			w.Coordinator = ""
		}, []modeler.Fingerprint{9}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode("a", "a", 2)
			tt.prepare(n.world)
			for i, want := range []bool{tt.want, false} {
				r := request(modeler.RequestID(fmt.Sprint("r", i)), "a")
				r.SharedParts = tt.parts
				replies := effects[modeler.Reply](n.run(modeler.PlacementRequested{Request: r}))
				if want {
					assert.Equal(t, len(replies), 0, "the probe must wait until the other nodes have been told of it")
					assert.Assert(t, n.world.SuspectsDue)
					n.now = n.now.Add(retryInterval)
					n.world.SuspectsSentAt = n.now
					replies = effects[modeler.Reply](n.run())
				}
				assert.Equal(t, len(replies), 1)
				assert.Equal(t, !replies[0].Decision.Refused, want, "request %d", i)
			}
		})
	}
}
