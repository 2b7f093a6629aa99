package limiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// window is the window of the required limit.
const window = 10 * time.Second

// TestBudgetHolds guards against retries that exceed the limit for all nodes in any window, for any order of requests and retries.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 40.0
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		budgets := make([]*limiter.Budget, nodes)
		for i := range budgets {
			budgets[i] = limiter.NewBudget(limiter.Options{Ratio: ratio, Slack: slack, Window: window}, clock)
		}
		var requests, retries []time.Time
		steps := rapid.IntRange(1, 600).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				budget.AddRequest("s")
				requests = append(requests, now)
			} else if budget.TryRetry("s", nodes) {
				retries = append(retries, now)
			}
			// The required limit counts the requests in the window or in the one before, whichever is more.
			within := count(retries, now)
			allowed := ratio*float64(max(count(requests, now), count(requests, now.Add(-window/2)), count(requests, now.Add(-window)))) + slack
			if float64(within) > allowed {
				t.Fatalf("%d retries in a window, want at most %v", within, allowed)
			}
		}
	})
}

func count(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(now) && now.Sub(at) < window {
			n++
		}
	}
	return n
}

// TestQuietThenBusy guards against retries that are allowed for the requests of two windows: the required limit counts only one.
func TestQuietThenBusy(t *testing.T) {
	const slack = 5.0
	now := time.Unix(1000, 0)
	b := limiter.NewBudget(limiter.Options{Ratio: 0.2, Slack: slack, Window: window}, func() time.Time { return now })
	tests := []struct {
		name    string
		retries bool
	}{{"quiet", false}, {"busy", true}, {"busy again", true}}
	for _, tt := range tests {
		requests, retries := 0, 0
		for end := now.Add(window); now.Before(end); now = now.Add(50 * time.Millisecond) {
			b.AddRequest("s")
			requests++
			if tt.retries && b.TryRetry("s", 1) {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= 0.2*float64(requests)+slack, "%s: %d retries for %d requests", tt.name, retries, requests)
	}
}

// TestBudget guards against services that share one budget, and against a budget that never recovers.
func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := limiter.NewBudget(limiter.Options{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}, func() time.Time { return now })
	tests := []struct {
		service modeler.ServiceID
		after   time.Duration
		want    []bool
	}{
		{"a", 0, []bool{true, true, false}},
		{"b", 0, []bool{true, true, false}},
		{"a", 5 * time.Second, []bool{false}},
		{"a", 6 * time.Second, []bool{true, true, false}},
	}
	for _, tt := range tests {
		now = now.Add(tt.after)
		for i, want := range tt.want {
			assert.Equal(t, b.TryRetry(tt.service, 1), want, "%s, retry %d", tt.service, i)
		}
	}
}
