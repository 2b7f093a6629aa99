package watcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

// TestLateFirstEvent guards against a quarantine that comes late because attempts overlap: requests with a part that crashes engines arrive at a rate,
// and each breaks its engine the given time after it was placed. More than three must not be placed later than 3 s after the fifth crash.
func TestLateFirstEvent(t *testing.T) {
	for _, latency := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprint(latency, " every ", interval), func(t *testing.T) {
				world, system := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New()
				type run struct {
					placed time.Duration
					n      modeler.Fingerprint
				}
				var running []run
				var crashes, placed []time.Duration
				next := time.Duration(0)
				var n modeler.Fingerprint
				for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
					for len(running) > 0 && now-running[0].placed >= latency {
						r := running[0]
						running = running[1:]
						crashes = append(crashes, now)
						rep := report{at: now, placed: r.placed, id: modeler.RequestID(fmt.Sprint("r", r.n, "/0/i")), fingerprint: r.n, outcome: modeler.Broken}
						system.Run(&modeler.Tick{Now: start.Add(now), Events: []modeler.Event{rep.event()}}, world)
					}
					if now >= next {
						next += interval
						n++
						if b, _ := world.BrokenAttempts.Get(part); !b.Quarantined(start.Add(now)) {
							running = append(running, run{now, n})
							placed = append(placed, now)
						}
					}
				}
				slices.Sort(crashes)
				late := 0
				if len(crashes) >= 5 {
					for _, p := range placed {
						if p > crashes[4]+3*time.Second {
							late++
						}
					}
				}
				t.Logf("%d crashes, %d late", len(crashes), late)
				assert.Check(t, late <= 3)
			})
		}
	}
}

// TestProbeAgainAfterOutage guards against a sound part that is refused for long after all engines of its service crashed for some seconds, the one of
// the probe too.
func TestProbeAgainAfterOutage(t *testing.T) {
	world, system := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New()
	for _, r := range []report{broken(0, 1), broken(600*time.Millisecond, 2), broken(1200*time.Millisecond, 3)} {
		system.Run(&modeler.Tick{Now: start.Add(r.at), Events: []modeler.Event{r.event()}}, world)
	}
	b, _ := world.BrokenAttempts.Get(part)
	assert.Assert(t, b.ProbeDue(start.Add(2800*time.Millisecond)))
	world.BrokenAttempts.Put(part, b.WithProbe("r4/0/i", start.Add(2800*time.Millisecond)))
	probe := broken(3*time.Second, 4)
	system.Run(&modeler.Tick{Now: start.Add(probe.at), Events: []modeler.Event{probe.event()}}, world)
	b, _ = world.BrokenAttempts.Get(part)
	for _, after := range []time.Duration{40 * time.Second, time.Minute, 9 * time.Minute} {
		at := start.Add(after)
		assert.Check(t, !b.Quarantined(at) || b.ProbeDue(at), "refused after %v, no probe due", after)
	}
}
