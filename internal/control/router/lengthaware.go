package router

import "damaskpick.example/damaskpick/internal/control/modeler"

// LengthAware prefers the endpoint with the shortest predicted time to first token, limits the memory of long prompts on each
// engine and favours endpoints with a likely prefix cache hit.
type LengthAware struct {
	Weights modeler.Weights
	// DataCentre is the data centre of this node. Its endpoints are preferred over others with about the same cost.
	DataCentre modeler.DataCentreID
	// CachedOn returns the endpoint that last served a prompt with this prefix hash, or empty. It must not be nil.
	CachedOn func(prefix uint64) modeler.EndpointID
}

// Costs added to the predicted time to first token, in seconds.
const (
	// remoteCost applies to an endpoint in another data centre.
	remoteCost = 0.005
	// coldCost applies to an endpoint in cold start.
	coldCost = 0.5
	// longPrefillCost keeps short prompts away from engines that process a long one, because each of its chunks delays every token
	// that the engine generates.
	longPrefillCost = 1
)

// Score implements Policy.
func (p LengthAware) Score(request modeler.Request, endpoint modeler.Endpoint) (float64, bool) {
	if !fits(p.Weights, request, endpoint) {
		return 0, false
	}
	cost := PredictFirstToken(p.Weights, request, endpoint.EndpointLoad).Seconds()
	cost += p.interferenceCost(request, endpoint)
	if endpoint.DataCentre != p.DataCentre {
		cost += remoteCost
	}
	if endpoint.Phase == modeler.Cold {
		cost += coldCost
	}
	if request.PrefixHash != 0 && p.CachedOn(request.PrefixHash) == endpoint.ID {
		cost -= p.Weights.PrefixBonus * PrefillTime(p.Weights, request.Prompt).Seconds()
	}
	return cost, true
}

// interferenceCost returns the cost of the delays that the request and the work on the endpoint cause each other. The processing of the
// prompt delays every request that is generating tokens on the endpoint.
func (p LengthAware) interferenceCost(request modeler.Request, endpoint modeler.Endpoint) float64 {
	cost := PrefillTime(p.Weights, request.Prompt).Seconds() * float64(endpoint.Running)
	if request.Class() <= modeler.Medium && endpoint.LongPrefill() {
		cost += longPrefillCost
	}
	return cost
}

// Sample implements Policy. All endpoints are compared in order to find the few without a long prompt. Each answer to a permit request
// contains the exact load, so that nodes do not keep choosing the same endpoint.
func (p LengthAware) Sample() int { return 0 }

// ChecksLoad implements Policy.
func (p LengthAware) ChecksLoad() bool { return true }

// fits reports whether the endpoint can accept the request now, according to its last known load.
func fits(weights modeler.Weights, request modeler.Request, endpoint modeler.Endpoint) bool {
	if endpoint.Kind == modeler.Service {
		return true
	}
	if endpoint.Running >= weights.MaxRunning || endpoint.Reserved+request.Cost() > endpoint.Capacity {
		return false
	}
	if endpoint.Phase == modeler.Cold && endpoint.Running >= endpoint.ColdLimit {
		return false
	}
	if request.Class() >= modeler.Long && !LongFits(weights, endpoint, request.Cost()) {
		return false
	}
	return true
}

// LongFits reports whether cost fits into the fraction of an endpoint's memory that long and huge prompts may use. An endpoint without
// other long prompts accepts one of any length, since a prompt above the limit could not run anywhere else.
func LongFits(weights modeler.Weights, endpoint modeler.Endpoint, cost modeler.Tokens) bool {
	limit := modeler.Tokens(weights.LongPart * float64(endpoint.Capacity))
	return endpoint.LongTokens == 0 || endpoint.LongTokens+cost <= limit
}
