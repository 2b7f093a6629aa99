package estimator_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
)

var (
	policy = estimator.Mean{MaxWeight: 8, HalfLife: 20 * time.Second}
	start  = time.Unix(1000, 0)
)

func newEstimator(maxRows int) *estimator.Estimator[estimator.MeanState, estimator.Mean] {
	return estimator.New[estimator.MeanState](policy, estimator.Options{MaxRows: maxRows, OwnerFraction: 0.25, MaxGroups: 16})
}

// TestPredict guards against predictions that take a broken request for a cheap one, follow a change late, or give a new key a cost that nothing shows.
func TestPredict(t *testing.T) {
	type step struct {
		after time.Duration
		key   estimator.Key
		value float64
		bound estimator.Bound
		// times is the number of equal observations.
		times int
	}
	cheap, costly := estimator.Key{Group: 1, Subgroup: 1, Special: 1}, estimator.Key{Group: 1, Subgroup: 1, Special: 2}
	other := estimator.Key{Group: 1, Subgroup: 2, Special: 3}
	tests := []struct {
		name      string
		steps     []step
		key       estimator.Key
		low, high float64
	}{
		{"nothing seen", nil, cheap, 7, 7},
		{"two kinds that look alike, the cheap one", []step{{0, cheap, 10, estimator.Exact, 20}, {0, costly, 300, estimator.Exact, 20}}, cheap, 10, 80},
		{"two kinds that look alike, the costly one", []step{{0, cheap, 10, estimator.Exact, 20}, {0, costly, 300, estimator.Exact, 20}}, costly, 250, 300},
		{"a kind that turns costly", []step{{0, cheap, 10, estimator.Exact, 50}, {time.Second, cheap, 300, estimator.Exact, 9}}, cheap, 150, 300},
		{"broken off early", []step{{0, cheap, 100, estimator.Exact, 10}, {0, cheap, 1, estimator.AtLeast, 50}}, cheap, 100, 100},
		{"broken off late", []step{{0, cheap, 100, estimator.Exact, 10}, {0, cheap, 900, estimator.AtLeast, 10}}, cheap, 500, 900},
		{"waited for others", []step{{0, cheap, 100, estimator.Exact, 10}, {0, cheap, 900, estimator.AtMost, 10}}, cheap, 100, 100},
		{"waited, and is cheaper than expected", []step{{0, cheap, 100, estimator.Exact, 10}, {0, cheap, 20, estimator.AtMost, 10}}, cheap, 20, 60},
		{"a new key of a known subgroup", []step{{0, cheap, 10, estimator.Exact, 20}}, costly, 10, 10},
		{"a new subgroup", []step{{0, cheap, 10, estimator.Exact, 20}}, other, 10, 10},
		{"a key that was not seen for long", []step{{0, costly, 300, estimator.Exact, 3}, {5 * time.Minute, cheap, 10, estimator.Exact, 20}}, costly, 10, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, now := newEstimator(64), start
			for _, s := range tt.steps {
				now = now.Add(s.after)
				for range s.times {
					e.Learn(s.key, estimator.Observation{At: now, Value: s.value, Bound: s.bound})
				}
			}
			got := e.Predict(tt.key, now, 7)
			assert.Assert(t, got >= tt.low && got <= tt.high, "%v", got)
		})
	}
}

// TestFlood guards against an owner that sends new keys without end and displaces what is known of others, and against a table that grows.
func TestFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRows = 40
		e := newEstimator(maxRows)
		quiet := estimator.Key{Group: 1, Subgroup: 1, Special: 1, Owner: 1}
		for range 10 {
			e.Learn(quiet, estimator.Observation{At: start, Value: 300})
		}
		floods := rapid.SliceOfN(rapid.Uint64Range(2, 9), 0, 200).Draw(t, "owners")
		for i, owner := range floods {
			e.Learn(estimator.Key{Group: 1, Subgroup: 1, Special: uint64(100 + i), Owner: owner}, estimator.Observation{At: start, Value: 1})
			assert.Assert(t, e.Len() <= maxRows)
		}
		got := e.Predict(quiet, start, 0)
		assert.Assert(t, got > 200 && !math.IsNaN(got), "%v", got)
	})
}
