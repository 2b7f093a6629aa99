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
	// FailureRate is the share of recent answers that failed.
	FailureRate float64
	// Near is set for endpoints in the data centre of the node that asks.
	Near bool
}

// Proposal is what a policy would do with a request.
type Proposal struct {
	Plan modeler.Plan
	// Harm is what the plan costs the requests that run already, Loss what the request itself loses against its full worth, and Reserve
	// what speaks for other engines without harm to anyone yet; all in units of weight.
	Harm, Loss, Reserve float64
}

func (p Proposal) cost() float64 { return p.Harm + p.Loss + p.Reserve }

// Policy chooses among candidates. It returns false if none can take the request now.
type Policy interface {
	Propose(now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool)
}

// Choose applies a policy to the candidates. It is the one place where a policy is called, whatever its type.
func Choose[P Policy](policy P, now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	if len(candidates) == 0 {
		return Proposal{}, false
	}
	return policy.Propose(now, request, candidates)
}

const (
	// lateLoss is the part of a request's worth that is lost when it is late: the users pay about a quarter for late answers.
	lateLoss = 0.75
	// easyPart is the part of an objective that estimates may use without a loss; the rest covers their error.
	easyPart = 0.6
	// excessLoss is lost for each further multiple of the objective, so that of two late places the earlier one is taken.
	excessLoss = 0.02
)

// lateness maps the ratio of an expected time to its objective to the part of the worth that is lost.
func lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return lateLoss + excessLoss*expected.Seconds()
	}
	ratio := float64(expected) / float64(objective)
	switch {
	case ratio <= easyPart:
		return 0
	case ratio <= 1:
		return lateLoss * (ratio - easyPart) / (1 - easyPart)
	default:
		return lateLoss + excessLoss*min(ratio-1, 10)
	}
}

// LeastBusy takes the endpoint with the fewest requests. It serves plain services.
type LeastBusy struct{}

const (
	// failureCost weighs the failure rate of an endpoint against its load, in requests per slot.
	failureCost = 2.0
	// distanceCost is the price of another data centre in the same unit: less than one request on six slots.
	distanceCost = 0.1
)

// Propose implements Policy.
func (LeastBusy) Propose(_ time.Time, _ modeler.Request, candidates []Candidate) (Proposal, bool) {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		if c.Load.Running >= c.Endpoint.Slots {
			continue
		}
		cost := float64(c.Load.Running)/float64(c.Endpoint.Slots) + failureCost*c.FailureRate
		if !c.Near {
			cost += distanceCost
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

// LengthAware places prompts on engines by what they cost each other. It spreads the reading of long prompts over several engines.
type LengthAware struct {
	Profile modeler.EngineProfile
	// MaxEngines bounds the engines that process one prompt.
	MaxEngines int
}

const (
	// helperCost is the price of each further engine of a plan, in units of weight: a part occupies an engine and its caller's connection.
	helperCost = 0.02
	// openingCost is the price of the first request with short pauses on an engine: it bars the engine from long reads.
	openingCost = 0.3
	// packingGain is the gain for each request that generates there already. It keeps the other engines free for long reads.
	packingGain = 0.01
	// readyCost is the price of a second until an engine is done, in units of weight.
	readyCost = 0.05
	// partsAhead is how often a part counts against reads that wait on its engine: engines process parts of other prompts first, so that
	// later ones delay the same read again.
	partsAhead = 2
	// patiencePart is the part of the time until the caller leaves in which the first event must be expected.
	patiencePart = 0.85
	// transit is the time of a request and its first event on the network.
	transit = 6 * time.Millisecond
	// minPart is the smallest part of a prompt that is worth an engine of its own.
	minPart = 60 * time.Millisecond
)

// option is a candidate with the cost of giving it a part of the reading.
type option struct {
	index int
	// harm is what the part costs requests on the engine, risk what the engine's failures may cost, and running what speaks against the
	// request generating there.
	harm, risk, running float64
	ready               time.Duration
	// free is set if the engine has a slot and the memory to run the request, holds if it has the memory for a helper's part.
	free, holds bool
}

// rank orders engines for a part: by harm, and by when they would be done among equals.
func (o option) rank() float64 { return o.harm + o.risk + readyCost*o.ready.Seconds() }

// Propose implements Policy.
func (p LengthAware) Propose(now time.Time, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	reading := p.Profile.PrefillTime(request.Prompt)
	most := min(p.MaxEngines, len(candidates), max(1, int(reading/minPart)))
	var best Proposal
	found := false
	for engines := 1; engines <= most; engines++ {
		proposal, ok := p.propose(now, request, candidates, engines, reading/time.Duration(engines))
		if proposal.Plan.First > time.Duration(patiencePart*float64(request.Deadline.Sub(now))) {
			// The caller would have left.
			continue
		}
		if ok && (!found || proposal.cost() < best.cost()) {
			best, found = proposal, true
		}
	}
	return best, found
}

// held returns the memory that each helper holds when a prompt that exceeds the memory of one engine is spread over several.
func (p LengthAware) held(request modeler.Request, engines int) modeler.Tokens {
	if p.Profile.Memory == 0 || request.Total() <= p.Profile.Memory {
		return 0
	}
	return (request.Prompt + modeler.Tokens(engines) - 1) / modeler.Tokens(engines)
}

func (p LengthAware) propose(now time.Time, request modeler.Request, candidates []Candidate, engines int, part time.Duration) (Proposal, bool) {
	held := p.held(request, engines)
	options := make([]option, 0, len(candidates))
	for i, c := range candidates {
		options = append(options, p.option(request, c, i, part, held, engines))
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.index, b.index)) })
	first := -1
	for i, o := range options {
		if o.free && (first < 0 || o.rank()+o.running < options[first].rank()+options[first].running) {
			first = i
		}
	}
	if first < 0 {
		return Proposal{}, false
	}
	chosen := options[first]
	proposal := Proposal{Harm: chosen.harm, Reserve: chosen.risk + chosen.running, Plan: modeler.Plan{Endpoint: candidates[chosen.index].Endpoint, PartPrefill: part}}
	ready := chosen.ready
	for i, o := range options {
		if len(proposal.Plan.Helpers) == engines-1 {
			break
		}
		if i == first || !o.holds {
			continue
		}
		if held > 0 {
			proposal.Plan.Reserved = append(proposal.Plan.Reserved, held)
		}
		proposal.Plan.Helpers = append(proposal.Plan.Helpers, candidates[o.index].Endpoint)
		proposal.Harm += o.harm
		proposal.Reserve += o.risk + helperCost
		ready = max(ready, o.ready)
	}
	if held > 0 && len(proposal.Plan.Helpers) < engines-1 {
		return Proposal{}, false
	}
	proposal.Plan.First = ready + transit
	proposal.Plan.Late = proposal.Plan.First > request.Due.Sub(now)
	proposal.Loss = weight(request) * lateness(proposal.Plan.First, request.Due.Sub(now))
	return proposal, true
}

// option works out what a part of the reading costs the requests of an engine, and when it would be done.
func (p LengthAware) option(
	request modeler.Request, c Candidate, index int, part time.Duration, held modeler.Tokens, engines int,
) option {
	load := c.Load
	o := option{index: index}
	own := request.Total() - held*modeler.Tokens(engines-1)
	o.free = load.Running < c.Endpoint.Slots && (p.Profile.Memory == 0 || load.Memory+own <= p.Profile.Memory)
	o.holds = p.Profile.Memory == 0 || load.Memory+held <= p.Profile.Memory
	before := load.Pass + load.Backlog
	after := before + part
	tightest := time.Duration(0)
	for _, w := range load.writers {
		o.harm += w.weight * max(0, lateness(after, w.gap)-lateness(before, w.gap))
		if tightest == 0 || w.gap < tightest {
			tightest = w.gap
		}
	}
	for _, r := range load.readers {
		o.harm += r.weight * max(0, lateness(r.first+partsAhead*part, r.due)-lateness(r.first, r.due))
	}
	// A running pass ends before the part begins, and the first event comes at the end of the pass that finishes it.
	o.ready = load.Pass/2 + load.Backlog + part + load.Pass
	if load.Pass == 0 {
		o.ready += p.Profile.Step
	}
	o.risk = c.FailureRate * weight(request)
	if request.Gap > 0 && (tightest == 0 || request.Gap < tightest) {
		o.running = openingCost
	} else {
		o.running = -packingGain * float64(load.Running)
	}
	return o
}
