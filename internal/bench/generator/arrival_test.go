package generator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// TestArrivals guards against runs that are not comparable because the same seed gives different arrivals, or because the rate or the mix
// of lengths and teams differs from the plan's.
func TestArrivals(t *testing.T) {
	cases := []struct {
		name     string
		hugePart float64
		rate     float64
	}{
		{"target mix", 0.02, 50},
		{"no huge prompts", 0, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan := DefaultPlan()
			plan.Teams = []Team{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}
			plan.HugePart, plan.Rate, plan.Duration = c.hugePart, c.rate, loader.Duration(200*time.Second)
			arrivals := Arrivals(plan)
			assert.DeepEqual(t, arrivals, Arrivals(plan))
			huge, teamA := 0, 0
			for _, a := range arrivals {
				assert.Assert(t, a.Prompt >= minPromptTokens && a.Prompt <= plan.MaxPrompt)
				assert.Assert(t, a.Output >= 1 && a.Output <= plan.MaxOutput)
				if a.Class() == modeler.Huge {
					huge++
				}
				if a.Team.Name == "a" {
					teamA++
				}
			}
			n := float64(len(arrivals))
			assert.Assert(t, n > 0.9*c.rate*200 && n < 1.1*c.rate*200)
			assert.Assert(t, float64(huge) <= 1.3*c.hugePart*n && float64(huge) >= 0.7*c.hugePart*n)
			assert.Assert(t, float64(teamA) > 0.7*n && float64(teamA) < 0.8*n)
		})
	}
}

// TestText guards against prompts whose size differs from the planned number of tokens.
func TestText(t *testing.T) {
	for _, a := range []Arrival{{Prompt: 1_000, Prefix: -1}, {Prompt: 1_001, Prefix: 3, Number: 7}} {
		assert.Equal(t, len(Text(a)), int(a.Prompt)*TokenBytes)
	}
}
