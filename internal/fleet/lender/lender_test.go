package lender_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/fleet/lender"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestNeverMoreThanLent guards against lending more than the fraction in any window, which would exceed the budget of all nodes together.
func TestNeverMoreThanLent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		slack := float64(rapid.IntRange(0, 400).Draw(t, "slack"))
		l := lender.New(lender.Options{Slack: slack, Fraction: 0.25, Window: window})
		now := time.Unix(1000, 0)
		var lent []time.Time
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if l.Lend(now, "s") {
				lent = append(lent, now)
			}
			within := 0
			for _, at := range lent {
				if now.Sub(at) < window {
					within++
				}
			}
			assert.Assert(t, float64(within) <= 0.25*slack, "%d lent", within)
		}
	})
}

// TestLend guards against a lender that begins with retries which its predecessor has lent already, or never has any, and against services that share.
func TestLend(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lender.New(lender.Options{Slack: 100, Fraction: 0.25, Window: 10 * time.Second})
	steps := []struct {
		name    string
		after   time.Duration
		service modeler.ServiceID
		want    bool
	}{
		{"begins with nothing", 0, "a", false},
		{"after a second", time.Second, "a", true},
		{"used up", 0, "a", false},
		{"another service begins", 0, "b", false},
		{"another service later", time.Second, "b", true},
		{"the first one again", 0, "a", true},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		assert.Equal(t, l.Lend(now, step.service), step.want, step.name)
	}
	l.Forget(func(id modeler.ServiceID) bool { return id == "b" })
	assert.Equal(t, l.Lend(now.Add(time.Minute), "a"), false, "a service that comes back begins with nothing")
	none := lender.New(lender.Options{Slack: 100, Window: 10 * time.Second})
	assert.Equal(t, none.Lend(now, "a"), false, "nothing is lent without a fraction")
}
