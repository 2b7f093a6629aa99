package placer

import (
	"time"

	"golang.org/x/time/rate"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// minLimitBurst and limitBurst are the number of requests that an endpoint may get at once: the first, and the second times its limit a second. A
	// node that begins to place requests grants them again, so that two bursts must fit into what an endpoint tolerates.
	minLimitBurst = 2
	limitBurst    = 0.5
	// minLimitRate is the lowest rate that is used, in requests a second. Without any request, it would not show that a limit has ended.
	minLimitRate = 0.2
	// localLimitFraction is the part of a limit that nodes without contact to the node that places requests use together. That node may use the whole
	// limit at the same time.
	localLimitFraction = 0.3
)

// endpointLimiter shares the limits that endpoints name. The node that places requests for all grants them; its limiter is the only one in use unless nodes
// have lost contact to it.
type endpointLimiter struct {
	fleet, local map[modeler.EndpointID]*rate.Limiter
}

func newEndpointLimiter() endpointLimiter {
	return endpointLimiter{fleet: map[modeler.EndpointID]*rate.Limiter{}, local: map[modeler.EndpointID]*rate.Limiter{}}
}

// share returns the limiter of an endpoint with a limit. localShare is the part of the limit that this node may use, or zero if it places for all nodes.
func (l endpointLimiter) share(now time.Time, id modeler.EndpointID, limit, localShare float64) *rate.Limiter {
	limiters, requests, burst := l.fleet, max(limit, minLimitRate), minLimitBurst+int(limitBurst*limit)
	if localShare > 0 {
		limiters, requests, burst = l.local, requests*localShare, 1
	}
	limiter, ok := limiters[id]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(requests), burst)
		if localShare > 0 {
			// Many nodes may begin to place requests at the same moment.
			limiter.AllowN(now, burst)
		}
		limiters[id] = limiter
	}
	if limiter.Limit() != rate.Limit(requests) {
		limiter.SetLimitAt(now, rate.Limit(requests))
		limiter.SetBurstAt(now, burst)
	}
	return limiter
}

// forget removes the limiters of endpoints that no longer name a limit, and those for the time without the node that places requests once that is over:
// the next such time begins without a share again.
func (l endpointLimiter) forget(world *modeler.World) {
	if !world.CoordinatorUnresponsive {
		clear(l.local)
	}
	for _, limiters := range []map[modeler.EndpointID]*rate.Limiter{l.fleet, l.local} {
		for id := range limiters {
			if terms, ok := world.Terms.Get(id); !ok || !terms.Limited {
				delete(limiters, id)
			}
		}
	}
}

// limitWait returns how long an endpoint's limit keeps another request from it; zero if it has none. shared is set if other nodes place requests for
// the endpoint as well.
func (s *System) limitWait(now time.Time, world *modeler.World, endpoint modeler.Endpoint, shared bool) time.Duration {
	terms := world.TermsOf(endpoint)
	if !terms.Limited {
		return 0
	}
	limiter := s.limits.share(now, endpoint.ID, terms.Limit, s.localShare(world, shared))
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// acquireLimit reports whether an endpoint's limit allows another request now and, if so, counts it.
func (s *System) acquireLimit(now time.Time, world *modeler.World, endpoint modeler.Endpoint, shared bool) bool {
	terms := world.TermsOf(endpoint)
	return !terms.Limited || s.limits.share(now, endpoint.ID, terms.Limit, s.localShare(world, shared)).AllowN(now, 1)
}

func (s *System) localShare(world *modeler.World, shared bool) float64 {
	if !shared {
		return 0
	}
	return localLimitFraction / float64(max(world.Nodes.Len()+1, 1))
}

// limitedWait returns how long a request has to wait because all endpoints that could run it name limits that are used up, or false if limits are not the
// reason. The requests of the service that wait already come before it.
func (s *System) limitedWait(now time.Time, world *modeler.World, request modeler.Request, shared bool) (time.Duration, bool) {
	if world.Terms.Len() == 0 {
		return 0, false
	}
	first, total := time.Duration(0), 0.0
	for id, endpoint := range world.Endpoints.All() {
		if endpoint.Service != request.Service || !s.acceptsRequests(now, world, endpoint) || contains(request.Tried, id) {
			continue
		}
		wait := s.limitWait(now, world, endpoint, shared)
		if wait <= 0 {
			return 0, false
		}
		if first == 0 || wait < first {
			first = wait
		}
		total += world.TermsOf(endpoint).Limit
	}
	if first == 0 {
		return 0, false
	}
	ahead := 0
	for _, waiting := range world.Waiting.All() {
		if waiting.Request.Service == request.Service && waiting.Since.Before(request.Arrived) {
			ahead++
		}
	}
	return first + time.Duration(float64(ahead)/max(total, minLimitRate)*float64(time.Second)), true
}
