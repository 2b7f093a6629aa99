package forwarder

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// alwaysPlacing is a control that places every request and counts the requests.
type alwaysPlacing struct{ requests int }

func (c *alwaysPlacing) Place(context.Context, modeler.Request) (modeler.Decision, error) {
	c.requests++
	return modeler.Decision{}, nil
}
func (c *alwaysPlacing) Post(modeler.Event)          {}
func (c *alwaysPlacing) Snapshot() *modeler.Snapshot { return &modeler.Snapshot{} }

// TestSearchAfterActivity guards against a search whose timer fires just as an event arrives or the answer ends: the connection that it would
// abort may carry another request by then.
func TestSearchAfterActivity(t *testing.T) {
	tests := []struct {
		name string
		then func(g *silenceGuard)
		want int
	}{
		{"silent", func(*silenceGuard) {}, 1},
		{"stopped", func(g *silenceGuard) { g.stop() }, 0},
		{"event received", func(g *silenceGuard) { g.reset(time.Hour, true) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			control, aborted := &alwaysPlacing{}, 0
			f := &Forwarder{Control: control, Budget: limiter.NewBudget(limiter.Options{Slack: 100, Window: time.Second}, time.Now)}
			p := &progress{deadline: time.Now().Add(time.Hour)}
			g := f.guard(p, "r", func() { aborted++ }, time.Hour)
			defer g.stop()
			scheduled := g.activity
			tt.then(g)
			g.findReplacement(scheduled)
			assert.Equal(t, control.requests, tt.want)
			assert.Equal(t, aborted, tt.want)
		})
	}
}
