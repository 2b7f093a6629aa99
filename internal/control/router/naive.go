package router

import "damaskpick.example/damaskpick/internal/control/modeler"

// LeastLoaded prefers the endpoint with the fewest running requests. It is a baseline for measurements.
type LeastLoaded struct{}

// Score implements Policy.
func (LeastLoaded) Score(request modeler.Request, endpoint modeler.Endpoint) (float64, bool) {
	if endpoint.Kind == modeler.Engine && endpoint.Reserved+request.Cost() > endpoint.Capacity {
		return 0, false
	}
	return float64(endpoint.Running), true
}

// Sample implements Policy.
func (LeastLoaded) Sample() int { return 0 }

// ChecksLoad implements Policy.
func (LeastLoaded) ChecksLoad() bool { return false }

// RoundRobin uses endpoints in turn, regardless of their load. It is a baseline for measurements.
type RoundRobin struct {
	// TimesChosen returns how often an endpoint was chosen. It must not be nil.
	TimesChosen func(modeler.EndpointID) uint64
}

// Score implements Policy.
func (p RoundRobin) Score(_ modeler.Request, endpoint modeler.Endpoint) (float64, bool) {
	return float64(p.TimesChosen(endpoint.ID)), true
}

// Sample implements Policy.
func (RoundRobin) Sample() int { return 0 }

// ChecksLoad implements Policy.
func (RoundRobin) ChecksLoad() bool { return false }
