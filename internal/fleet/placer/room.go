package placer

import (
	"math"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxQueuedFraction is the fraction of the time that the caller still waits within which the first event must be expected for a request to be sent
	// to an engine before it has waited for a better one. Behind a long prompt, the first event does not come earlier if the request is sent earlier,
	// and other engines may get a free slot.
	maxQueuedFraction = 0.5
	// minSlack is the slack from which on a long prompt is placed without regard to short work: the next pass over the queue may be too late for it.
	minSlack = 300 * time.Millisecond
	// shortRoomFraction is the fraction of the slots of the engines that process no long prompt which the running and waiting requests may need.
	shortRoomFraction = 0.85
	// minLongEngines is the number of engines that a long prompt may use when it has no time to spare, however many slots short work needs.
	minLongEngines = 2
	// settleTime is how long a node that places requests after all nodes were gone lets long prompts wait from its first request on: most callers
	// come back within that time, and what they need is not known before.
	settleTime = 600 * time.Millisecond
	// startTime is the time after its start in which a node that gets its first request may be the first one after all were gone.
	startTime = 5 * time.Second
)

// waitsBetter reports whether a plan would let the request wait at an engine for so long that it should wait for another engine instead.
func waitsBetter(now time.Time, request modeler.Request, plan modeler.Plan) bool {
	left := request.Deadline.Sub(now)
	return plan.TimeToFirstEvent > scale(left, maxQueuedFraction) && now.Before(waitsUntil(request))
}

// longEngines returns the number of engines that a prompt may be spread over. A long prompt leaves as many engines without long prompts as the running
// and waiting requests need; zero means that there are none for it.
func (s *System) longEngines(now time.Time, world *modeler.World, service modeler.Service, request modeler.Request, candidates []Candidate) int {
	if !s.options.KeepsRoom || service.Engine.PrefillTime(request.Prompt) < minLongPrefill {
		return maxEngines
	}
	if now.Before(s.settlesAt) {
		return 0
	}
	needed, slots, free := 0, 0, 0
	for i := range candidates {
		c := &candidates[i]
		needed += c.Load.Running
		slots += c.Endpoint.Slots
		if c.Load.Backlog(now) < minLongPrefill {
			free++
		}
	}
	for _, entry := range world.Waiting.All() {
		if entry.Request.Service == request.Service && entry.Request.ID != request.ID {
			needed++
		}
	}
	kept := math.Ceil(float64(needed*len(candidates)) / (shortRoomFraction * float64(max(slots, 1))))
	return min(max(free-int(kept), 0), maxEngines)
}

// proposeWithin returns the proposal for a request that may use a limited number of engines, and whether the request waits instead of using it. It
// waits only as long as the best proposal without the limit has time to spare; then it uses minLongEngines, or more if the limit allows them.
func (s *System) proposeWithin(
	now time.Time, world *modeler.World, service modeler.Service, request modeler.Request, candidates []Candidate, limit int,
) (proposal Proposal, found, waits bool) {
	if limit >= maxEngines {
		proposal, found = s.propose(now, world, service, request, candidates, maxEngines)
		return proposal, found, false
	}
	best, found := s.propose(now, world, service, request, candidates, maxEngines)
	if !found {
		return best, false, false
	}
	if request.Due.Sub(now)-best.Plan.TimeToFirstEvent < minSlack {
		proposal, found = s.propose(now, world, service, request, candidates, max(limit, minLongEngines))
		return proposal, found, false
	}
	if limit == 0 {
		return best, true, true
	}
	proposal, found = s.propose(now, world, service, request, candidates, limit)
	return proposal, found, found && proposal.Plan.Late
}

// settle begins the time in which long prompts wait, at the first request that a node places unless another one has placed before.
func (s *System) settle(now time.Time, world *modeler.World) {
	if !s.options.KeepsRoom || !s.settlesAt.IsZero() || !world.Coordinates() {
		return
	}
	s.settlesAt = now
	if now.Sub(s.startedAt) < startTime && !world.Covers(world.Loads) {
		s.settlesAt = now.Add(settleTime)
	}
}
