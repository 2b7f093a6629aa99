package estimator

import (
	"math"
	"time"
)

// Bound tells how the value of an observation relates to the cost.
type Bound uint8

const (
	// Exact means that the value is the cost.
	Exact Bound = iota
	// AtLeast means that the cost is not lower: the request broke off, timed out or was given up before its end.
	AtLeast
	// AtMost means that the cost is not higher: the request may have waited for others.
	AtMost
)

// Observation is what a request has shown of its cost.
type Observation struct {
	At    time.Time
	Value float64
	Bound Bound
}

// Policy turns the observations of a key into a prediction. S is its state, an immutable value whose zero value has seen nothing.
type Policy[S any] interface {
	Learn(state S, observation Observation) S
	// Told returns a state that predicts a value which rests on weight observations of others.
	Told(value, weight float64, at time.Time) S
	// Predict returns the prediction and how many observations it rests on, which may be a fraction.
	Predict(state S, now time.Time) (value, weight float64)
}

// Mean is a policy that predicts a mean with decay. Sums of predictions then are right on average, also for heavy tails.
type Mean struct {
	// MaxWeight bounds the weight of earlier observations, so that a change shows after about as many new ones. HalfLife is the time after which
	// they count half.
	MaxWeight float64
	HalfLife  time.Duration
}

// MeanState is the state of Mean.
type MeanState struct {
	value, weight float64
	at            time.Time
}

// Learn implements Policy. A bound counts only if the prediction is outside of it: a request that broke off never shows that its cost is low, nor one that
// waited that it is high.
func (m Mean) Learn(state MeanState, o Observation) MeanState {
	value, weight := m.Predict(state, o.At)
	if o.Bound == AtLeast && o.Value <= value || o.Bound == AtMost && weight > 0 && o.Value >= value {
		return state
	}
	weight = min(weight, m.MaxWeight)
	return MeanState{value: (value*weight + o.Value) / (weight + 1), weight: weight + 1, at: o.At}
}

// Told implements Policy.
func (m Mean) Told(value, weight float64, at time.Time) MeanState {
	return MeanState{value: value, weight: min(max(weight, 0), m.MaxWeight), at: at}
}

// Predict implements Policy.
func (m Mean) Predict(state MeanState, now time.Time) (value, weight float64) {
	if state.weight == 0 {
		return 0, 0
	}
	age := max(now.Sub(state.at), 0)
	return state.value, state.weight * math.Exp2(-float64(age)/float64(m.HalfLife))
}
