package placer

import (
	"cmp"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// maxExplained bounds the candidates of an explanation that are listed.
const maxExplained = 8

// Reasons for which an endpoint is no candidate, besides its state.
const (
	excludedTried  = "Tried"
	excludedPaused = "Paused"
	excludedCold   = "ColdLimit"
)

// exclusion returns why an endpoint may not get a request, or "" if it may.
func (s *System) exclusion(now time.Time, world *modeler.World, request modeler.Request, endpoint modeler.Endpoint, coldLimit float64) string {
	switch {
	case !s.acceptsRequests(now, world, endpoint):
		return string(world.State(endpoint, now))
	case contains(request.Tried, endpoint.ID):
		return excludedTried
	case request.Node == world.Self.ID && world.TermsOf(endpoint).Paused(now):
		return excludedPaused
	case !s.cold.allows(now, endpoint, coldLimit):
		return excludedCold
	default:
		return ""
	}
}

// explain returns where a request would go now. It makes the same comparison as decide and changes nothing.
func (s *System) explain(tick *modeler.Tick, world *modeler.World, request modeler.Request) modeler.Explanation {
	e := modeler.Explanation{Node: world.Self.ID, Coordinates: world.Coordinates(), RefusedAt: waitsUntil(request)}
	if !canFinish(tick.Now, world, request) {
		return refused(e, leavingRefusal(tick.Now, world))
	}
	if decision, rejected := rejectWithoutProbe(tick.Now, world, request); rejected {
		return refused(e, decision)
	}
	if wait := unreportedProbe(tick.Now, world, request); wait > 0 {
		return refused(e, unreportedRefusal(wait))
	}
	if held(tick.Now, world, request) {
		e.Verdict, e.Cause = modeler.VerdictWait, "another request with the same content, of which an attempt has broken, is running"
		return e
	}
	service, _ := world.Configuration.Service(request.Service)
	request = request.WithWeightFactor(s.onTime.weightFactor(request))
	w := s.weigh(tick, world, service, request)
	e = s.withCandidates(tick.Now, world, service, request, w.candidates, e)
	allowed := w.found && s.allows(tick.Now, world, service, request, w.proposal)
	e.Decision.Plan = w.proposal.Plan
	switch decision, decided := s.conclude(tick.Now, world, request, w, allowed); {
	case decided && decision.Refused:
		return refused(e, decision)
	case decided:
		e.Verdict = modeler.VerdictPlace
	case !w.found:
		e.Verdict, e.Cause = modeler.VerdictWait, "no endpoint can run it now"
	case !allowed:
		e.Verdict, e.Cause = modeler.VerdictWait, "a limit of the best endpoint is used up"
	case w.waits:
		e.Verdict, e.Cause = modeler.VerdictWait, "it has time to spare, and the slots are kept for short work or the queue of the engine is too long"
	default:
		e.Verdict, e.Cause = modeler.VerdictWait, "a better plan may be found before it is late"
	}
	return e
}

func refused(e modeler.Explanation, decision modeler.Decision) modeler.Explanation {
	e.Verdict, e.Decision = modeler.VerdictRefuse, decision
	return e
}

// allows reports whether the limits of the proposal's endpoint allow the request now, without counting it.
func (s *System) allows(now time.Time, world *modeler.World, service modeler.Service, request modeler.Request, proposal Proposal) bool {
	endpoint := proposal.Plan.Endpoint
	return s.limitWait(now, world, endpoint, s.placesLocally(now, world, request)) <= 0 && s.cold.allows(now, endpoint, s.coldLimit(world, service))
}

// withCandidates adds the candidates, each with the cost of placing the request there alone, and the excluded endpoints.
func (s *System) withCandidates(
	now time.Time, world *modeler.World, service modeler.Service, request modeler.Request, candidates []Candidate, e modeler.Explanation,
) modeler.Explanation {
	e.Compared = len(candidates)
	listed := map[modeler.EndpointID]bool{}
	for i := range candidates {
		c := &candidates[i]
		listed[c.Endpoint.ID] = true
		explained := modeler.ExplainedCandidate{
			Endpoint: c.Endpoint, Running: c.Load.Running, Memory: c.Load.Memory, Backlog: c.Load.Backlog(now), Work: c.Load.Work(now),
			Pace: max(c.Pace, 1), FailureRate: c.FailureRate,
		}
		if !service.IsEngine() {
			explained.Pace = c.Pace
		}
		if proposal, ok := s.propose(now, world, service, request, candidates[i:i+1], 1); ok {
			explained.Usable, explained.Expected = true, proposal.Plan.TimeToFirstEvent
			explained.Interference, explained.LateLoss, explained.OtherCost = proposal.Interference, proposal.LateLoss, proposal.OtherCost
		} else {
			explained.Why = unusable(service, request, c)
		}
		e.Candidates = append(e.Candidates, explained)
	}
	slices.SortStableFunc(e.Candidates, func(a, b modeler.ExplainedCandidate) int {
		total := func(c modeler.ExplainedCandidate) float64 { return c.Interference + c.LateLoss + c.OtherCost }
		usable := func(c modeler.ExplainedCandidate) int {
			if c.Usable {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(usable(a), usable(b)), cmp.Compare(total(a), total(b)))
	})
	e.Candidates = e.Candidates[:min(len(e.Candidates), maxExplained)]
	coldLimit := s.coldLimit(world, service)
	for id, endpoint := range world.Endpoints.All() {
		if endpoint.Service != service.ID || listed[id] {
			continue
		}
		reason := s.exclusion(now, world, request, endpoint, coldLimit)
		if health, _ := world.Health.Get(id); reason == "" && now.Before(health.AvoidUntil) {
			reason = string(modeler.StateAvoided)
		}
		if reason == "" {
			reason = "NotSampled"
		}
		e.Excluded = append(e.Excluded, modeler.ExcludedEndpoint{Endpoint: id, Reason: reason})
	}
	return e
}

// unusable returns why a candidate cannot run a request alone now.
func unusable(service modeler.Service, request modeler.Request, c *Candidate) string {
	switch {
	case c.LimitReached:
		return "LimitReached"
	case c.Load.Running >= c.Endpoint.Slots:
		return "SlotsFull"
	case service.IsEngine() && service.Engine.Capacity > 0 && c.Load.Memory+request.MaxMemory() > service.Engine.Capacity:
		return "MemoryFull"
	default:
		return "TooLate"
	}
}
