package forwarder

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// granting gives a place to every question and counts them.
type granting struct{ asked int }

func (g *granting) Place(context.Context, modeler.Request) (modeler.Decision, error) {
	g.asked++
	return modeler.Decision{}, nil
}
func (g *granting) Post(modeler.Event)          {}
func (g *granting) Snapshot() *modeler.Snapshot { return &modeler.Snapshot{} }

// TestSeekAfterSignOfLife guards against a timer that fires at the moment of a sign of life or of the end: the connection that it would end may
// carry another request by then.
func TestSeekAfterSignOfLife(t *testing.T) {
	tests := []struct {
		name string
		then func(g *silenceGuard)
		asks int
	}{
		{"silent", func(*silenceGuard) {}, 1},
		{"ended", func(g *silenceGuard) { g.stop() }, 0},
		{"sign of life", func(g *silenceGuard) { g.watch(time.Hour, true) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			control, aborted := &granting{}, 0
			f := &Forwarder{Control: control, Budget: limiter.NewBudget(limiter.Options{Slack: 100, Window: time.Second}, time.Now)}
			p := &progress{deadline: time.Now().Add(time.Hour)}
			g := f.guard(p, "r", func() { aborted++ }, time.Hour)
			defer g.stop()
			fired := g.signs
			tt.then(g)
			g.seek(fired)
			assert.Equal(t, control.asked, tt.asks)
			assert.Equal(t, aborted, tt.asks)
		})
	}
}
