package placer

import (
	"cmp"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Candidate is an endpoint that may get a request.
type Candidate struct {
	Endpoint modeler.Endpoint
	Load     Load
	// FailureRate is the fraction of recent answers that failed, from 0 to 1.
	FailureRate float64
	// SameDataCentre is set if the endpoint is in the data centre of the node that received the request.
	SameDataCentre bool
}

// Proposal is a plan for a request with its estimated costs.
type Proposal struct {
	Plan modeler.Plan
	// Interference is the cost to requests that already run. LateLoss is the part of the request's own weight that is lost by lateness.
	// OtherCost is the sum of costs that affect no request yet but make other engines preferable. All are in units of weight.
	Interference, LateLoss, OtherCost float64
}

func (p Proposal) cost() float64 { return p.Interference + p.LateLoss + p.OtherCost }

// Policy chooses among candidates. Propose returns false if no candidate can accept the request now.
type Policy interface {
	Propose(now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool)
}

// Choose applies a policy to the candidates. All policies are called through it. It returns false if there is no candidate or the policy
// finds none.
func Choose[P Policy](policy P, now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	if len(candidates) == 0 {
		return Proposal{}, false
	}
	return policy.Propose(now, request, candidates)
}

const (
	// lateLoss is the fraction of a request's weight that is lost when it is late: the users pay about a quarter for late answers.
	lateLoss = 0.75
	// losslessFraction is the fraction of an objective up to which an expected time causes no loss; the rest covers the error of the estimate.
	losslessFraction = 0.6
	// lossPerMultiple is the additional loss per multiple of the objective, so that the earlier of two late plans is preferred. Without an
	// objective, it is the loss per second.
	lossPerMultiple = 0.02
)

// lossFraction returns the fraction of a request's weight that is lost when the expected time to an event is compared with its objective.
func lossFraction(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return lateLoss + lossPerMultiple*expected.Seconds()
	}
	ratio := float64(expected) / float64(objective)
	switch {
	case ratio <= losslessFraction:
		return 0
	case ratio <= 1:
		return lateLoss * (ratio - losslessFraction) / (1 - losslessFraction)
	default:
		return lateLoss + lossPerMultiple*min(ratio-1, 10)
	}
}

// LeastBusy chooses the endpoint with the fewest running requests per slot, after adding the costs of failures and distance. It is used for
// plain services.
type LeastBusy struct{}

const (
	// failureCost is the cost of a failure rate of 1, in units of load (requests per slot).
	failureCost = 2.0
	// remoteCost is the cost of an endpoint in another data centre, in the same unit: less than one request on six slots.
	remoteCost = 0.1
)

// Propose implements Policy.
func (LeastBusy) Propose(_ time.Time, _ modeler.Request, candidates []Candidate) (Proposal, bool) {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		if c.Load.Running >= c.Endpoint.Slots {
			continue
		}
		cost := float64(c.Load.Running)/float64(c.Endpoint.Slots) + failureCost*c.FailureRate
		if !c.SameDataCentre {
			cost += remoteCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Proposal{}, false
	}
	return Proposal{Plan: modeler.Plan{Endpoint: candidates[best].Endpoint}}, true
}

// LengthAware places prompts on engines so that they delay each other as little as possible. It spreads the prefill of long prompts over
// several engines.
type LengthAware struct {
	Profile modeler.EngineProfile
	// MaxEngines bounds the engines that process one prompt.
	MaxEngines int
}

const (
	// helperCost is the cost of each additional engine of a plan, in units of weight: a part occupies an engine and its caller's connection.
	helperCost = 0.02
	// tightGapCost is the cost of a request with a shorter gap objective than all others on the engine: it keeps long prefills off the engine.
	tightGapCost = 0.3
	// packingGain is subtracted per request that already runs on the engine. It keeps the other engines free for long prefills.
	packingGain = 0.01
	// readyCostPerSecond is the cost of each second until the engine has processed its part, in units of weight.
	readyCostPerSecond = 0.05
	// partDelayFactor is the factor by which a part delays the prefills that wait on its engine: engines process parts of other prompts first,
	// so that later parts delay the same prefill again.
	partDelayFactor = 2
	// maxDeadlineFraction is the fraction of the time until the deadline within which the first event must be expected.
	maxDeadlineFraction = 0.85
	// networkDelay is the network delay of a request and its first event together.
	networkDelay = 6 * time.Millisecond
	// minPartDuration is the shortest prefill time for which a part of a prompt gets an additional engine.
	minPartDuration = 60 * time.Millisecond
)

// option is a candidate with the cost of assigning it a part of the prefill.
type option struct {
	index int
	// interference is the cost to requests on the engine, risk the expected cost of the engine's failures, and decodeCost the cost of
	// generating the request's output there. All are in units of weight.
	interference, risk, decodeCost float64
	ready                          time.Duration
	// canRun is set if the engine has a slot and the memory to run the request, canHold if it has the memory for a helper's part.
	canRun, canHold bool
}

// score is the total cost of assigning a part to the engine, without decodeCost. Lower is better.
func (o option) score() float64 {
	return o.interference + o.risk + readyCostPerSecond*o.ready.Seconds()
}

// Propose implements Policy.
func (p LengthAware) Propose(now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	prefill := p.Profile.PrefillTime(request.Prompt)
	maxParts := min(p.MaxEngines, len(candidates), max(1, int(prefill/minPartDuration)))
	var best Proposal
	found := false
	for engines := 1; engines <= maxParts; engines++ {
		proposal, ok := p.propose(now, request, candidates, engines, prefill/time.Duration(engines))
		if proposal.Plan.TimeToFirstEvent > time.Duration(maxDeadlineFraction*float64(request.Deadline.Sub(now))) {
			// The caller would probably have given up by then.
			continue
		}
		if ok && (!found || proposal.cost() < best.cost()) {
			best, found = proposal, true
		}
	}
	return best, found
}

// heldPerHelper returns the memory that each helper holds when a prompt that exceeds the memory of one engine is spread over several, or
// zero if the request fits in one engine.
func (p LengthAware) heldPerHelper(request modeler.Request, engines int) modeler.Tokens {
	if p.Profile.Capacity == 0 || request.MaxMemory() <= p.Profile.Capacity {
		return 0
	}
	return (request.Prompt + modeler.Tokens(engines) - 1) / modeler.Tokens(engines)
}

func (p LengthAware) propose(now time.Time, request modeler.Request, candidates []Candidate, engines int, partDuration time.Duration) (Proposal, bool) {
	heldPerHelper := p.heldPerHelper(request, engines)
	options := make([]option, 0, len(candidates))
	for i, c := range candidates {
		options = append(options, p.evaluate(request, c, i, partDuration, heldPerHelper, engines))
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.score(), b.score()), cmp.Compare(a.index, b.index)) })
	primary := -1
	for i, o := range options {
		if o.canRun && (primary < 0 || o.score()+o.decodeCost < options[primary].score()+options[primary].decodeCost) {
			primary = i
		}
	}
	if primary < 0 {
		return Proposal{}, false
	}
	chosen := options[primary]
	proposal := Proposal{Interference: chosen.interference, OtherCost: chosen.risk + chosen.decodeCost, Plan: modeler.Plan{Endpoint: candidates[chosen.index].Endpoint, PartPrefill: partDuration}}
	ready := chosen.ready
	for i, o := range options {
		if len(proposal.Plan.Helpers) == engines-1 {
			break
		}
		if i == primary || !o.canHold {
			continue
		}
		if heldPerHelper > 0 {
			proposal.Plan.Reserved = append(proposal.Plan.Reserved, heldPerHelper)
		}
		proposal.Plan.Helpers = append(proposal.Plan.Helpers, candidates[o.index].Endpoint)
		proposal.Interference += o.interference
		proposal.OtherCost += o.risk + helperCost
		ready = max(ready, o.ready)
	}
	if heldPerHelper > 0 && len(proposal.Plan.Helpers) < engines-1 {
		return Proposal{}, false
	}
	proposal.Plan.TimeToFirstEvent = ready + networkDelay
	proposal.Plan.Late = proposal.Plan.TimeToFirstEvent > request.Due.Sub(now)
	proposal.LateLoss = requestWeight(request) * lossFraction(proposal.Plan.TimeToFirstEvent, request.Due.Sub(now))
	return proposal, true
}

// evaluate estimates the cost of assigning a part of the prefill to a candidate, and when the part would be done.
func (p LengthAware) evaluate(
	request modeler.Request, c Candidate, index int, partDuration time.Duration, heldPerHelper modeler.Tokens, engines int,
) option {
	load := c.Load
	o := option{index: index}
	own := request.MaxMemory() - heldPerHelper*modeler.Tokens(engines-1)
	o.canRun = load.Running < c.Endpoint.Slots && (p.Profile.Capacity == 0 || load.Memory+own <= p.Profile.Capacity)
	o.canHold = p.Profile.Capacity == 0 || load.Memory+heldPerHelper <= p.Profile.Capacity
	before := load.Pass + load.Backlog
	after := before + partDuration
	shortestGap := time.Duration(0)
	for _, w := range load.decoding {
		o.interference += w.weight * max(0, lossFraction(after, w.gap)-lossFraction(before, w.gap))
		if shortestGap == 0 || w.gap < shortestGap {
			shortestGap = w.gap
		}
	}
	for _, r := range load.prefilling {
		o.interference += r.weight * max(0, lossFraction(r.first+partDelayFactor*partDuration, r.due)-lossFraction(r.first, r.due))
	}
	// The current pass ends before the part begins, and the first event comes at the end of the pass that finishes the part.
	o.ready = load.Pass/2 + load.Backlog + partDuration + load.Pass
	if load.Pass == 0 {
		o.ready += p.Profile.Step
	}
	o.risk = c.FailureRate * requestWeight(request)
	if request.Gap > 0 && (shortestGap == 0 || request.Gap < shortestGap) {
		o.decodeCost = tightGapCost
	} else {
		o.decodeCost = -packingGain * float64(load.Running)
	}
	return o
}
