// Package router chooses the endpoint for a request. The policy is a type parameter, so that deployments and benchmarks can
// exchange it without changes to the admission system.
package router

import (
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Policy scores an endpoint for a request.
type Policy interface {
	// Score returns the cost of sending request to endpoint; lower is better. It returns false when the endpoint must
	// not be used now.
	Score(request modeler.Request, endpoint modeler.Endpoint) (cost float64, ok bool)
	// Sample returns the number of usable candidates to compare. Zero compares all.
	Sample() int
	// ChecksLoad reports whether the holder must refuse a permit if the endpoint was chosen based on outdated load.
	ChecksLoad() bool
}

// Choose returns the candidate with the lowest cost among a random sample, and whether there is one. Sampling prevents nodes
// with the same outdated digests from all choosing the same endpoint. Only usable candidates count towards the sample size: sampling
// continues until policy.Sample() of them are found or no candidates are left.
func Choose[P Policy](policy P, request modeler.Request, candidates []modeler.Endpoint, random *rand.Rand) (modeler.Endpoint, bool) {
	var best modeler.Endpoint
	bestCost, found := 0.0, 0
	for _, i := range random.Perm(len(candidates)) {
		cost, ok := policy.Score(request, candidates[i])
		if !ok {
			continue
		}
		if found == 0 || cost < bestCost {
			best, bestCost = candidates[i], cost
		}
		found++
		if found == policy.Sample() {
			break
		}
	}
	return best, found > 0
}

// PredictFirstToken estimates the time to first token of a request on an endpoint with the given load. Engines serve short and
// medium prompts before longer ones, so that longer prompts do not count for short and medium requests.
func PredictFirstToken(weights modeler.Weights, request modeler.Request, load modeler.EndpointLoad) time.Duration {
	ahead := load.Prefill
	if request.Class() <= modeler.Medium {
		ahead = load.UrgentPrefill
	}
	return PrefillTime(weights, ahead) + PrefillTime(weights, request.Prompt)
}

// quadraticTokens is the prompt length at which the quadratic cost of attention doubles the processing time of a prompt.
const quadraticTokens = 200_000

// PrefillTime estimates the time that an engine needs to process prompt tokens.
func PrefillTime(weights modeler.Weights, prompt modeler.Tokens) time.Duration {
	seconds := float64(prompt) / weights.PrefillRate * (1 + float64(prompt)/quadraticTokens)
	return time.Duration(seconds * float64(time.Second))
}
