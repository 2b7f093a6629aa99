package placer

import (
	"math"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Candidate is an endpoint that may get a request.
type Candidate struct {
	Endpoint modeler.Endpoint
	Load     Load
	// FailureRate is the fraction of recent attempts that failed, from 0 to 1.
	FailureRate float64
	// Pace is the factor by which the endpoint takes longer than its profile says. Values below 1, including zero, count as 1.
	Pace float64
	// LimitReached is set if the endpoint's own limit allows no request now. It may still process a part of a prompt, which is no request to it.
	LimitReached bool
	// Shared is set if other nodes place requests on the endpoint of which this node does not know.
	Shared bool
	// SameDataCentre is set if the endpoint is in the data centre of the node that received the request.
	SameDataCentre bool
}

// Proposal is a plan for a request with its estimated costs.
type Proposal struct {
	Plan modeler.Plan
	// Interference is the cost to requests that already run. LateLoss is the expected loss because this request is late.
	// OtherCost is the sum of costs that affect no request yet but make other engines preferable. All are in the unit of requestWeight.
	Interference, LateLoss, OtherCost float64
}

func (p Proposal) cost() float64 { return p.Interference + p.LateLoss + p.OtherCost }

// Policy chooses among candidates. Propose returns false if no candidate can accept the request now.
type Policy interface {
	Propose(now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool)
}

// Choose applies a policy to the candidates. It returns false if there is no candidate or the policy finds none.
func Choose[P Policy](policy P, now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	if len(candidates) == 0 {
		return Proposal{}, false
	}
	return policy.Propose(now, request, candidates)
}

const (
	// lateLoss is the fraction of a request's weight that is lost when it is late: a late response is worth about a quarter of one on
	// time.
	lateLoss = 0.75
	// losslessFraction is the fraction of a target up to which an expected time causes no loss; the rest covers the error of the estimate.
	losslessFraction = 0.6
	// lossPerMultiple is the additional loss per multiple of the target, so that the earlier of two late plans is preferred. Without a
	// target, it is the loss per second.
	lossPerMultiple = 0.02
)

// lossFraction returns the fraction of a request's weight that is lost if an event comes after expected instead of within target.
func lossFraction(expected, target time.Duration) float64 {
	if target <= 0 {
		return lateLoss + lossPerMultiple*expected.Seconds()
	}
	ratio := float64(expected) / float64(target)
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
	// remoteCost is the cost of an endpoint in another data centre, in the same unit. On an endpoint with six slots it is less than the cost
	// of one running request.
	remoteCost = 0.1
)

// Propose implements Policy.
func (LeastBusy) Propose(_ time.Time, _ modeler.Request, candidates []Candidate) (Proposal, bool) {
	return leastLoaded(candidates, func(c *Candidate) float64 { return float64(c.Load.Running) / float64(c.Endpoint.Slots) })
}

// leastLoaded chooses the endpoint with a free slot that has the lowest load per slot, after adding the costs of failures and distance.
func leastLoaded(candidates []Candidate, load func(*Candidate) float64) (Proposal, bool) {
	best, bestCost := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.LimitReached || c.Load.Running >= c.Endpoint.Slots {
			continue
		}
		cost := load(c) + failureCost*c.FailureRate
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

// LeastWork chooses the endpoint of a plain service with the least work left per slot, by the predicted times of the calls there, after adding that of
// the request itself on the endpoint and the costs of failures and distance.
type LeastWork struct {
	// Predicted is the time for which the request is expected to occupy a slot.
	Predicted time.Duration
	// Typical is the time of a typical call of the service, which makes the costs of failures and distance comparable to times; positive.
	Typical time.Duration
}

// Propose implements Policy.
func (p LeastWork) Propose(now time.Time, _ modeler.Request, candidates []Candidate) (Proposal, bool) {
	return leastLoaded(candidates, func(c *Candidate) float64 {
		work := scale(c.Load.Work(now)+p.Predicted, max(c.Pace, minCallPace))
		return float64(work) / float64(p.Typical) / float64(c.Endpoint.Slots)
	})
}

// minCallPace bounds how much faster than the others an endpoint of a plain service counts.
const minCallPace = 0.25

// LengthAware places prompts on engines so that they delay each other as little as possible. It spreads the prefill of long prompts over
// several engines.
type LengthAware struct {
	Profile modeler.EngineProfile
	// MaxEngines bounds the engines that process one prompt.
	MaxEngines int
}

const (
	// helperCost is the cost of each additional engine of a plan, in units of weight: a part occupies an engine and the connection over
	// which the engine is called.
	helperCost = 0.02
	// tightGapCost is the cost of placing a request on an engine where its gap target would be the shortest: such a request keeps long
	// prefills off the engine.
	tightGapCost = 0.3
	// packingGain is subtracted per request that already runs on the engine. It keeps the other engines free for long prefills.
	packingGain = 0.01
	// doneCostPerSecond is the cost of each second until the engine has processed its part, in units of weight.
	doneCostPerSecond = 0.05
	// partDelayFactor is the factor by which a part delays the prefills that wait on its engine: an engine processes parts for other
	// engines before its own prompts, so that later parts delay the same prefill again.
	partDelayFactor = 2
	// maxDeadlineFraction is the fraction of the time until the deadline within which the first event must be expected.
	maxDeadlineFraction = 0.85
	// slowRisk is the probability, per unit of the logarithm of an engine's pace, that the engine is still as slow as it was. Paces decay, so that
	// the recovery of an engine shows; the risk lets cheap requests find that out.
	slowRisk = 0.3
	// networkDelay is the network delay of a request and its first event together.
	networkDelay = 6 * time.Millisecond
	// minPartDuration is the shortest prefill time for which a part of a prompt gets an additional engine.
	minPartPrefill = 60 * time.Millisecond
)

// evaluation is a candidate with the cost of assigning it a part of the prefill.
type evaluation struct {
	index int
	// interference is the cost to requests on the engine, risk the expected cost of the engine's failures, and decodeCost the cost of
	// decoding the request there. All are in units of weight.
	interference, risk, decodeCost float64
	// doneAfter is the expected time until the engine has processed its part, and ownLoss the loss of the request if its first event comes then.
	doneAfter time.Duration
	ownLoss   float64
	// canRun is set if the engine has a slot and the memory to run the request, canReserve if it has the memory for a helper's part.
	canRun, canReserve bool
}

// score is the total cost of assigning a part to the engine, without decodeCost. Lower is better. It includes the request's own loss, since an
// engine with a backlog causes no further interference and would otherwise be preferred to idle ones.
func (e evaluation) score() float64 {
	return e.interference + e.risk + e.ownLoss + doneCostPerSecond*e.doneAfter.Seconds()
}

// selection holds the best evaluations that may hold a part, in ascending order of their scores.
type selection []evaluation

// with returns the selection with an evaluation added if it is among the best limit ones. It reuses the array of s.
func (s selection) with(e evaluation, limit int) selection {
	score := e.score()
	if len(s) >= limit {
		if score >= s[len(s)-1].score() {
			return s
		}
		s = s[:len(s)-1]
	}
	at := len(s)
	for at > 0 && score < s[at-1].score() {
		at--
	}
	return slices.Insert(s, at, e)
}

// Propose implements Policy.
func (p LengthAware) Propose(now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	prefill := p.Profile.PrefillTime(request.Prompt)
	maxParts := min(p.MaxEngines, len(candidates), max(1, int(prefill/minPartPrefill)))
	var best Proposal
	found := false
	for engines := 1; engines <= maxParts; engines++ {
		proposal, ok := p.propose(now, request, candidates, engines, prefill/time.Duration(engines))
		if ok && (!found || proposal.cost() < best.cost()) {
			best, found = proposal, true
		}
	}
	return best, found
}

// reservedPerHelper returns the memory that each helper reserves when a prompt that exceeds the memory of one engine is spread over several, or
// zero if the request fits in one engine.
func (p LengthAware) reservedPerHelper(request modeler.Request, engines int) modeler.Tokens {
	if p.Profile.Capacity == 0 || request.MaxMemory() <= p.Profile.Capacity {
		return 0
	}
	return (request.Prompt + modeler.Tokens(engines) - 1) / modeler.Tokens(engines)
}

func (p LengthAware) propose(now time.Time, request modeler.Request, candidates []Candidate, engines int, partPrefill time.Duration) (Proposal, bool) {
	reservedPerHelper := p.reservedPerHelper(request, engines)
	latest := scale(request.Deadline.Sub(now), maxDeadlineFraction) - networkDelay
	var chosen evaluation
	found := false
	// One more than the helpers, because the chosen engine may be among them.
	helpers := make(selection, 0, engines+1)
	for i := range candidates {
		e := p.evaluate(now, request, &candidates[i], i, partPrefill, reservedPerHelper, engines)
		if e.doneAfter > latest {
			// The caller would probably have given up by then.
			continue
		}
		if e.canRun && (!found || e.score()+e.decodeCost < chosen.score()+chosen.decodeCost) {
			chosen, found = e, true
		}
		if engines > 1 && e.canReserve {
			helpers = helpers.with(e, engines)
		}
	}
	if !found {
		return Proposal{}, false
	}
	proposal := Proposal{Interference: chosen.interference, OtherCost: chosen.risk + chosen.decodeCost, Plan: modeler.Plan{Endpoint: candidates[chosen.index].Endpoint, PartPrefill: partPrefill}}
	doneAfter := chosen.doneAfter
	for _, e := range helpers {
		if len(proposal.Plan.Helpers) == engines-1 {
			break
		}
		if e.index == chosen.index {
			continue
		}
		if reservedPerHelper > 0 {
			proposal.Plan.Reserved = append(proposal.Plan.Reserved, reservedPerHelper)
		}
		proposal.Plan.Helpers = append(proposal.Plan.Helpers, candidates[e.index].Endpoint)
		proposal.Interference += e.interference
		proposal.OtherCost += e.risk + helperCost
		doneAfter = max(doneAfter, e.doneAfter)
	}
	if len(proposal.Plan.Helpers) < engines-1 {
		return Proposal{}, false
	}
	proposal.Plan.TimeToFirstEvent = doneAfter + networkDelay
	proposal.Plan.Late = proposal.Plan.TimeToFirstEvent > request.Due.Sub(now)
	proposal.LateLoss = requestWeight(request) * lossFraction(proposal.Plan.TimeToFirstEvent, request.Due.Sub(now))
	return proposal, true
}

// evaluate estimates the cost of assigning a part of the prefill to a candidate, and when the part would be done.
func (p LengthAware) evaluate(
	now time.Time, request modeler.Request, c *Candidate, index int, partPrefill time.Duration, reservedPerHelper modeler.Tokens, engines int,
) evaluation {
	load := &c.Load
	pace := max(c.Pace, 1)
	backlog, pass := scale(load.Backlog(now), pace), scale(load.Pass, pace)
	partPrefill = scale(partPrefill, pace)
	e := evaluation{index: index}
	ownMemory := request.MaxMemory() - reservedPerHelper*modeler.Tokens(engines-1)
	e.canRun = !c.LimitReached && load.Running < c.Endpoint.Slots && (p.Profile.Capacity == 0 || load.Memory+ownMemory <= p.Profile.Capacity)
	e.canReserve = p.Profile.Capacity == 0 || load.Memory+reservedPerHelper <= p.Profile.Capacity
	before := pass + backlog
	after := before + partPrefill
	shortestGap := time.Duration(0)
	for _, d := range load.decoding {
		e.interference += d.weight * max(0, lossFraction(after, d.gap)-lossFraction(before, d.gap))
		if shortestGap == 0 || d.gap < shortestGap {
			shortestGap = d.gap
		}
	}
	for _, waiting := range load.prefilling {
		first, due := waiting.first.Sub(now), waiting.due.Sub(now)
		e.interference += waiting.weight * max(0, lossFraction(first+partDelayFactor*partPrefill, due)-lossFraction(first, due))
	}
	// The current pass ends before the part begins, and the first event comes at the end of the pass that finishes the part.
	e.doneAfter = pass/2 + backlog + partPrefill + pass
	if pass == 0 {
		e.doneAfter += scale(p.Profile.Step, pace)
	}
	e.ownLoss = requestWeight(request) * lossFraction(e.doneAfter+networkDelay, request.Due.Sub(now))
	e.risk = (c.FailureRate + slowRisk*math.Log(pace)) * requestWeight(request)
	switch {
	case c.Shared:
		// Packing would make all nodes choose the same engines.
		e.decodeCost = packingGain * float64(load.Running)
	case request.Gap > 0 && (shortestGap == 0 || request.Gap < shortestGap):
		e.decodeCost = tightGapCost
	default:
		e.decodeCost = -packingGain * float64(load.Running)
	}
	if request.Gap > 0 && pace > 1 {
		// On a slow engine, the pauses between the request's own events may be too long.
		ownPass := load.Pass + p.Profile.SequencePassTime(request.Prompt)
		if load.Pass == 0 {
			ownPass += p.Profile.BasePassTime()
		}
		e.decodeCost += requestWeight(request) * lossFraction(scale(ownPass, pace), request.Gap)
	}
	return e
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
