package modeler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
)

// CostEstimator predicts costs by means with decay.
type CostEstimator = estimator.Estimator[estimator.MeanState, estimator.Mean]

const (
	// costWeight and costHalfLife: a kind of request that turns costly is predicted so after about ten of them, and what was seen counts half after
	// a minute.
	costWeight   = 8
	costHalfLife = time.Minute
	// maxCostRows bounds the rows of an estimator, and costOwnerFraction the part of them that the requests of one member may have. A row has some 150
	// bytes.
	maxCostRows       = 4096
	costOwnerFraction = 0.1
	maxCostGroups     = 1024
)

// NewCostEstimator returns an estimator that has seen nothing.
func NewCostEstimator() *CostEstimator {
	return estimator.New[estimator.MeanState](estimator.Mean{MaxWeight: costWeight, HalfLife: costHalfLife}, estimator.Options{
		MaxRows: maxCostRows, OwnerFraction: costOwnerFraction, MaxGroups: maxCostGroups,
	})
}

// CostGroup returns the group of cost keys of a service.
func CostGroup(service ServiceID) uint64 { return xxhash.Sum64String(string(service)) }

// CostSummary is what a node has learned of the requests of a route.
type CostSummary struct {
	Group, Subgroup uint64
	// Value is the mean cost: milliseconds for a plain service, tokens for engines. Weight is the number of observations that it rests on.
	Value, Weight float64
}

// PredictedCall returns the time for which a call to a plain service is expected to occupy a slot, or zero if nothing is known.
func (w *World) PredictedCall(request Request, now time.Time) time.Duration {
	if w.CallTimes == nil {
		return 0
	}
	return time.Duration(w.CallTimes.Predict(request.Cost, now, 0) * float64(time.Millisecond))
}

// PredictedAnswer returns the tokens that an engine is expected to generate for a request: at most the number that it allows, which is returned if
// nothing is known.
func (w *World) PredictedAnswer(request Request, now time.Time) Tokens {
	if w.AnswerLengths == nil {
		return request.Output
	}
	return min(Tokens(w.AnswerLengths.Predict(request.Cost, now, float64(request.Output))), request.Output)
}
