package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// placeAtOnce is the cost, as a part of the request's weight, below which nothing is gained by waiting.
	placeAtOnce = 0.2
	// acceptableHarm is the harm, as a part of the request's weight, that a request does which cannot wait any longer.
	acceptableHarm = 0.6
	// onTimeMargin is how many times its expected duration a request that would be on time must have left to go on waiting.
	onTimeMargin = 1.5
	// longPart is the reading that counts as long for the limit on late reads.
	longPart = 300 * time.Millisecond
	// lateEngines is the part of the engines that late reads may occupy, and idleEngines the part that must stay idle beyond it.
	lateEngines = 0.13
	idleEngines = 0.3
	// waitPart is the part of the time until the deadline after which a request that found no place is refused. Earlier, a caller that
	// comes back finds the same load; later, it has no time left for another attempt.
	waitPart = 0.45
	// spreadEngines and spreadMargin give the time in which a prompt can be read once engines become free. Until that time is all that is
	// left, a request waits for a better place.
	spreadEngines = 5
	spreadMargin  = 150 * time.Millisecond
	// maxCandidates bounds the endpoints that are compared for one request, so that a place costs the same in a fleet of any size. The
	// fleets that damaskpick was measured on have up to 73 endpoints, which are all compared.
	maxCandidates = 96
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// decide returns a decision, or false if the request goes on waiting.
func (s *System) decide(tick *modeler.Tick, world *modeler.World, row modeler.Waiting) (modeler.Decision, bool) {
	request := row.Request
	if !world.Configuration.Loaded() {
		return refusal(modeler.ReasonNoConfiguration, minRetryAfter), true
	}
	service, ok := world.Configuration.Service(request.Service)
	if !ok {
		return refusal(modeler.ReasonNoEndpoint, maxRetryAfter), true
	}
	if strikes, _ := world.BrokenAttempts.Get(request.Fingerprint); strikes.Quarantined(tick.Now) {
		return refusal(modeler.ReasonQuarantined, maxRetryAfter), true
	}
	if service.IsEngine() && service.Engine.Memory > 0 && request.Total() > largest(service.Engine) {
		return refusal(modeler.ReasonTooLarge, maxRetryAfter), true
	}
	candidates := s.candidates(tick, world, service, request)
	proposal, found := s.propose(tick.Now, service, request, candidates)
	found = found && mayRunLate(world, proposal.Plan, candidates)
	if found && acceptable(tick.Now, request, service.Engine.PrefillTime(request.Prompt), proposal) && s.takeCold(tick.Now, world, service, proposal) {
		return modeler.Decision{Plan: proposal.Plan}, true
	}
	if s.waitedEnough(tick.Now, request) {
		if found && s.takeCold(tick.Now, world, service, proposal) {
			// Nothing better came. An answer that is late is worth more than none.
			return modeler.Decision{Plan: proposal.Plan}, true
		}
		if len(candidates) == 0 {
			return refusal(modeler.ReasonNoEndpoint, minRetryAfter), true
		}
		return refusal(modeler.ReasonOverloaded, retryAfter(tick.Now, request)), true
	}
	return modeler.Decision{}, false
}

// largest is the size of the largest request that engines can hold together, when a part of each one's memory serves other requests.
func largest(profile modeler.EngineProfile) modeler.Tokens {
	const freePart = 0.7
	return modeler.Tokens(freePart * float64(profile.Memory) * maxEngines)
}

func refusal(reason modeler.RefusalReason, after time.Duration) modeler.Decision {
	return modeler.Decision{Refused: true, Reason: reason, RetryAfter: after}
}

// retryAfter leaves the caller the time for a second attempt.
func retryAfter(now time.Time, request modeler.Request) time.Duration {
	return min(max(request.Deadline.Sub(now)/4, minRetryAfter), maxRetryAfter)
}

func (s *System) waitedEnough(now time.Time, request modeler.Request) bool {
	total := request.Deadline.Sub(request.Arrived)
	return now.Sub(request.Arrived) >= time.Duration(waitPart*float64(total))
}

// acceptable tells whether a proposal is taken at once. Otherwise a better one may come before the request is late.
func acceptable(now time.Time, request modeler.Request, reading time.Duration, proposal Proposal) bool {
	worth := weight(request)
	if proposal.Harm+proposal.Loss <= placeAtOnce*worth {
		return true
	}
	left := request.Due.Sub(now)
	if proposal.Plan.Late {
		// On idle engines the reading could be spread, and the request would still be on time.
		if left > reading/spreadEngines+spreadMargin {
			return false
		}
	} else if left > time.Duration(onTimeMargin*float64(proposal.Plan.First)) {
		return false
	}
	return proposal.Harm <= acceptableHarm*worth
}

// mayRunLate tells whether a late plan may be carried out: late reads together get a part of the engines, unless others are idle.
func mayRunLate(world *modeler.World, plan modeler.Plan, candidates []Candidate) bool {
	if !plan.Late || plan.PartPrefill < longPart {
		return true
	}
	late, idle := len(plan.Engines()), 0
	for _, c := range candidates {
		if c.Load.Running == 0 && c.Load.Backlog == 0 {
			idle++
		}
		for _, id := range world.ByEndpoint.Keys(c.Endpoint.ID) {
			if a, _ := world.Assignments.Get(id); a.Plan.Late && a.Plan.PartPrefill >= longPart && a.Started.IsZero() {
				late++
				break
			}
		}
	}
	return float64(late) <= lateEngines*float64(len(candidates)) || float64(idle-len(plan.Engines())) >= idleEngines*float64(len(candidates))
}

func (s *System) propose(now time.Time, service modeler.Service, request modeler.Request, candidates []Candidate) (Proposal, bool) {
	if service.IsEngine() {
		return Choose(LengthAware{Profile: service.Engine, MaxEngines: maxEngines}, now, request, candidates)
	}
	return Choose(LeastBusy{}, now, request, candidates)
}

// inService tells whether an endpoint may get new work.
func (s *System) inService(now time.Time, world *modeler.World, endpoint modeler.Endpoint) bool {
	switch world.State(endpoint, now) {
	case modeler.StateOut, modeler.StateDraining, modeler.StateMisdirected:
		return false
	default:
		return true
	}
}

// candidates returns endpoints that may get the request: all, or a random sample of many. Those that fell silent are tried again only when no
// other is left.
func (s *System) candidates(tick *modeler.Tick, world *modeler.World, service modeler.Service, request modeler.Request) []Candidate {
	now := tick.Now
	var eligible, silent []modeler.Endpoint
	for id, endpoint := range world.Endpoints.Scattered(tick.Rand.IntN(max(world.Endpoints.Len(), 1))) {
		if len(eligible) == maxCandidates {
			break
		}
		if endpoint.Service != service.ID || !s.inService(now, world, endpoint) || contains(request.Tried, id) {
			continue
		}
		if !s.cold.allows(now, endpoint, s.coldLimit(world, service)) {
			continue
		}
		if health, _ := world.Health.Get(id); now.Before(health.AvoidUntil) {
			silent = append(silent, endpoint)
			continue
		}
		eligible = append(eligible, endpoint)
	}
	if len(eligible) == 0 {
		eligible = silent
	}
	eligible = eligible[:min(len(eligible), maxCandidates)]
	candidates := make([]Candidate, 0, len(eligible))
	for _, endpoint := range eligible {
		health, _ := world.Health.Get(endpoint.ID)
		candidates = append(candidates, Candidate{
			Endpoint: endpoint, Load: loadOf(world, endpoint.ID, service.Engine, now), FailureRate: health.FailureRate(now),
			Near: endpoint.DataCentre == request.DataCentre,
		})
	}
	return candidates
}

func contains(list []modeler.EndpointID, id modeler.EndpointID) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// coldLimit returns the requests per second that this node may send to a cold endpoint of the service; negative means no limit.
func (s *System) coldLimit(world *modeler.World, service modeler.Service) float64 {
	if service.ColdRate <= 0 {
		return -1
	}
	return s.share(world, service.ColdRate*s.options.ColdFactor+s.options.ColdSlack)
}

func (s *System) takeCold(now time.Time, world *modeler.World, service modeler.Service, proposal Proposal) bool {
	return s.cold.take(now, proposal.Plan.Endpoint, s.coldLimit(world, service))
}
