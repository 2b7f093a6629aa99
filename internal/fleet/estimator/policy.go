package estimator

import (
	"math"
	"time"
)

// Observation is what a request has shown of its cost.
type Observation struct {
	At time.Time
	// Value is the cost, or a lower bound of it if Censored is set: the request broke off, timed out or was given up before its end.
	Value    float64
	Censored bool
}

// Policy turns the observations of a key into a prediction. S is its state, an immutable value whose zero value has seen nothing.
type Policy[S any] interface {
	Learn(state S, observation Observation) S
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

// Learn implements Policy. A censored observation counts only if it exceeds the prediction: it shows that the cost is at least that, never that it is
// low.
func (m Mean) Learn(state MeanState, o Observation) MeanState {
	value, weight := m.Predict(state, o.At)
	if o.Censored && o.Value <= value {
		return state
	}
	weight = min(weight, m.MaxWeight)
	return MeanState{value: (value*weight + o.Value) / (weight + 1), weight: weight + 1, at: o.At}
}

// Predict implements Policy.
func (m Mean) Predict(state MeanState, now time.Time) (value, weight float64) {
	if state.weight == 0 {
		return 0, 0
	}
	age := max(now.Sub(state.at), 0)
	return state.value, state.weight * math.Exp2(-float64(age)/float64(m.HalfLife))
}
