package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// withoutPaused excludes the endpoints from a request that want none from this node for some time, since the node that places requests does not know
// them. If there are no others, the request waits here for the first one, or is refused at once if that takes too long. It returns false then.
func (s *System) withoutPaused(tick *modeler.Tick, world *modeler.World, request modeler.Request) (modeler.Request, bool) {
	wait, all := s.pausedWait(tick.Now, world, request)
	switch {
	case all && tick.Now.Add(wait).After(waitsUntil(request)):
		decision := refusal(modeler.ReasonPaused, max(wait, minRetryAfter))
		tick.Emit(decisionLogEvent(tick.Now, world, modeler.Waiting{Request: request, Since: tick.Now}, decision))
		tick.Emit(modeler.Reply{ID: request.ID, Decision: decision})
		return request, false
	case all:
		s.wait(world, modeler.Waiting{Request: request, Since: tick.Now})
		return request, false
	}
	for id, terms := range world.Terms.All() {
		endpoint, ok := world.Endpoints.Get(id)
		if ok && endpoint.Service == request.Service && terms.Paused(tick.Now) && !contains(request.Tried, id) {
			request = request.WithTried(id)
		}
	}
	return request, true
}

// pausedWait returns how long it takes until an endpoint takes a request from this node again, and whether all that could run it are paused.
func (s *System) pausedWait(now time.Time, world *modeler.World, request modeler.Request) (time.Duration, bool) {
	if world.Terms.Len() == 0 {
		return 0, false
	}
	var first time.Time
	for id, endpoint := range world.Endpoints.All() {
		if endpoint.Service != request.Service || !s.acceptsRequests(now, world, endpoint) || contains(request.Tried, id) {
			continue
		}
		terms := world.TermsOf(endpoint)
		if !terms.Paused(now) {
			return 0, false
		}
		if first.IsZero() || terms.PausedUntil.Before(first) {
			first = terms.PausedUntil
		}
	}
	return first.Sub(now), !first.IsZero()
}
