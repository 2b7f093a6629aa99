package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/learner"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxImmediateLoss is the sum of Interference and LateLoss, as a fraction of the request's weight, up to which a request is placed without
	// waiting for a better proposal.
	maxImmediateLoss = 0.2
	// maxInterference is the interference, as a fraction of the request's weight, up to which a request that has no time left to wait is
	// placed.
	maxInterference = 0.6
	// onTimeMargin: a request keeps waiting while the time left until it is late exceeds onTimeMargin times its expected time to the first
	// event.
	onTimeMargin = 1.5
	// minLongPrefill is the shortest prefill time that counts as long for the limit on late prefills. Prefills that take longer are also
	// expected to be spread over spreadEngineCount engines in typicalTimeToFirstEvent.
	minLongPrefill = 300 * time.Millisecond
	// maxLateFraction is the fraction of the engines that late prefills may occupy. Above it, they are placed only if minIdleFraction of the
	// engines stays idle.
	maxLateFraction = 0.13
	minIdleFraction = 0.3
	// maxWaitFraction is the fraction of the time from arrival to deadline after which a request that could not be placed is refused. A
	// refusal that comes earlier makes callers retry under the same load; one that comes later leaves no time to retry.
	maxWaitFraction = 0.45
	// spreadEngineCount and spreadMargin estimate the prefill time of a prompt that is spread over idle engines: the prefill time of one
	// engine divided by spreadEngineCount, plus spreadMargin. A request waits for a better proposal while more than that is left.
	spreadEngineCount = 8
	spreadMargin      = 150 * time.Millisecond
	// maxCandidates bounds the endpoints that are compared for one request, so that the cost of a placement does not grow with the fleet.
	maxCandidates = 96
	// maxLocalCandidates is the same for a node that places requests without the coordinator. Such nodes know little of each other's work: if all
	// compared the same engines, all would choose the same ones.
	maxLocalCandidates = 16
	// minRetryAfter and maxRetryAfter bound the delay after which refused callers are asked to retry.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// reject returns a refusal that does not depend on the load of endpoints, or false if there is none.
func reject(tick *modeler.Tick, world *modeler.World, request modeler.Request) (modeler.Decision, bool) {
	return rejectUnless(tick.Now, world, request, func(parts []modeler.Fingerprint) bool { return probes(tick, world, request.ID, parts) })
}

// rejectWithoutProbe returns what reject would return. It makes no request the probe of a quarantine.
func rejectWithoutProbe(now time.Time, world *modeler.World, request modeler.Request) (modeler.Decision, bool) {
	return rejectUnless(now, world, request, func(parts []modeler.Fingerprint) bool { return mayProbe(now, world, request.ID, parts) })
}

// probeFunc reports whether a request is or would be the probe of the quarantined parts.
type probeFunc func(parts []modeler.Fingerprint) bool

func rejectUnless(now time.Time, world *modeler.World, request modeler.Request, probe probeFunc) (modeler.Decision, bool) {
	if !world.Configuration.Loaded() {
		return refusal(modeler.ReasonNoConfiguration, minRetryAfter), true
	}
	service, ok := world.Configuration.Service(request.Service)
	if !ok {
		return refusal(modeler.ReasonNoEndpoint, maxRetryAfter), true
	}
	if quarantined(now, world, request, probe) {
		return refusal(modeler.ReasonQuarantined, maxRetryAfter), true
	}
	if service.IsEngine() && service.Engine.Capacity > 0 && request.MaxMemory() > maxRequestSize(service.Engine) {
		return refusal(modeler.ReasonTooLarge, maxRetryAfter), true
	}
	return modeler.Decision{}, false
}

// quarantined reports whether a request is refused because attempts with its fingerprint, or with a shared part of its prompt, have broken. A
// part that is only suspected keeps a broken request from being sent again, also under a new id. A prompt is not refused if it lacks a part that
// all broken ones had, or if it is the probe of the parts for which it would be.
func quarantined(now time.Time, world *modeler.World, request modeler.Request, probe probeFunc) bool {
	if world.BrokenAttempts.Len() == 0 {
		return false
	}
	if brokenAttempts, _ := world.BrokenAttempts.Get(request.Fingerprint); brokenAttempts.Quarantined(now) {
		return true
	}
	var blamed []modeler.Fingerprint
	for _, part := range request.SharedParts {
		brokenAttempts, _ := world.BrokenAttempts.Get(part)
		repeats := request.RepeatsBroken || brokenAttempts.CountedFor(request.Fingerprint)
		if repeats && brokenAttempts.Suspected(now) && brokenAttempts.Blames(request.SharedParts) {
			return true
		}
		if brokenAttempts.Quarantined(now) && brokenAttempts.Blames(request.SharedParts) {
			blamed = append(blamed, part)
		}
	}
	return len(blamed) > 0 && !probe(blamed)
}

// weighing is the comparison of the candidates for a request.
type weighing struct {
	service    modeler.Service
	candidates []Candidate
	// proposal is valid if found is set. waits is set if the request waits although there is a proposal.
	proposal     Proposal
	found, waits bool
}

// weigh compares the candidates for a request. The result is valid until the next call.
func (s *System) weigh(tick *modeler.Tick, world *modeler.World, service modeler.Service, request modeler.Request) weighing {
	w := weighing{service: service, candidates: s.candidates(tick, world, service, request)}
	limit := s.longEngines(tick.Now, world, service, request, w.candidates)
	w.proposal, w.found, w.waits = s.proposeWithin(tick.Now, world, service, request, w.candidates, limit)
	w.found = w.found && mayRunLate(tick.Now, w.proposal.Plan, w.candidates)
	if w.found && s.options.KeepsRoom && service.IsEngine() {
		w.waits = w.waits || waitsBetter(tick.Now, request, w.proposal.Plan)
	}
	w.waits = w.waits || w.found && !acceptable(tick.Now, request, service.Engine.PrefillTime(request.Prompt), w.proposal)
	return w
}

// decide returns a decision, or false if the request keeps waiting. reject must not apply to the request.
func (s *System) decide(tick *modeler.Tick, world *modeler.World, entry modeler.Waiting) (modeler.Decision, bool) {
	s.decisions++
	request := entry.Request
	service, _ := world.Configuration.Service(request.Service)
	w := s.weigh(tick, world, service, request)
	// The limits are counted only if the proposal is carried out.
	takes := w.found && (!w.waits || !tick.Now.Before(waitsUntil(request)))
	return s.conclude(tick.Now, world, request, w, takes && s.acquire(tick.Now, world, service, request, w.proposal))
}

// conclude returns the decision that follows from a weighing, or false if the request keeps waiting. allowed is set if the limits of the proposal's endpoint
// allow the request.
func (s *System) conclude(now time.Time, world *modeler.World, request modeler.Request, w weighing, allowed bool) (modeler.Decision, bool) {
	if w.found && !w.waits && allowed {
		return modeler.Decision{Plan: w.proposal.Plan}, true
	}
	if !w.found {
		shared := s.placesLocally(now, world, request)
		if wait, limited := s.limitedWait(now, world, request, shared); limited && now.Add(wait).After(waitsUntil(request)) {
			return refusal(modeler.ReasonLimited, min(max(wait, minRetryAfter), maxRetryAfter)), true
		}
	}
	if now.Before(waitsUntil(request)) {
		return modeler.Decision{}, false
	}
	if w.found && allowed {
		// No better proposal became available, and a late response is worth more than none.
		return modeler.Decision{Plan: w.proposal.Plan}, true
	}
	if len(w.candidates) == 0 {
		return refusal(modeler.ReasonNoEndpoint, minRetryAfter), true
	}
	return refusal(modeler.ReasonOverloaded, retryAfter(now, request)), true
}

// maxRequestSize returns the size of the largest request that maxEngines engines can hold together when a fraction of the memory of each is
// used by other requests.
func maxRequestSize(profile modeler.EngineProfile) modeler.Tokens {
	const availableFraction = 0.7
	return modeler.Tokens(availableFraction * float64(profile.Capacity) * maxEngines)
}

func refusal(reason modeler.RefusalReason, after time.Duration) modeler.Decision {
	return modeler.Decision{Refused: true, Reason: reason, RetryAfter: after}
}

// retryAfter returns a quarter of the time until the deadline, within bounds, so that the caller has time for a second attempt.
func retryAfter(now time.Time, request modeler.Request) time.Duration {
	return min(max(request.Deadline.Sub(now)/4, minRetryAfter), maxRetryAfter)
}

// waitsUntil returns when a request is refused if it still cannot be placed.
func waitsUntil(request modeler.Request) time.Time {
	return request.Arrived.Add(time.Duration(maxWaitFraction * float64(request.Deadline.Sub(request.Arrived))))
}

// acceptable reports whether the proposal is carried out now. If not, a better one may become available before the request is late.
func acceptable(now time.Time, request modeler.Request, prefill time.Duration, proposal Proposal) bool {
	weight := requestWeight(request)
	if proposal.Interference+proposal.LateLoss <= maxImmediateLoss*weight {
		return true
	}
	left := request.Due.Sub(now)
	if proposal.Plan.Late {
		// If engines become idle, the prefill can be spread over them and the request is still on time.
		if left > prefill/spreadEngineCount+spreadMargin {
			return false
		}
	} else if left > time.Duration(onTimeMargin*float64(proposal.Plan.TimeToFirstEvent)) {
		return false
	}
	return proposal.Interference <= maxInterference*weight
}

// mayRunLate reports whether a late plan may be carried out: late prefills may occupy only a fraction of the engines unless enough other
// engines are idle.
func mayRunLate(now time.Time, plan modeler.Plan, candidates []Candidate) bool {
	if !plan.Late || plan.PartPrefill < minLongPrefill {
		return true
	}
	late, idle := len(plan.Engines()), 0
	for i := range candidates {
		if candidates[i].Load.Idle(now) {
			idle++
		}
		if candidates[i].Load.LatePrefill {
			late++
		}
	}
	return float64(late) <= maxLateFraction*float64(len(candidates)) || float64(idle-len(plan.Engines())) >= minIdleFraction*float64(len(candidates))
}

func (s *System) propose(now time.Time, world *modeler.World, service modeler.Service, request modeler.Request, candidates []Candidate, engines int) (Proposal, bool) {
	if service.IsEngine() {
		return Choose(LengthAware{Profile: service.Engine, MaxEngines: engines}, now, request, candidates)
	}
	if predicted := world.PredictedCall(request, now); world.UnevenServices[service.ID] && predicted > 0 {
		typical := world.PredictedCall(modeler.Request{Cost: estimator.Key{Group: request.Cost.Group}}, now)
		return Choose(LeastWork{Predicted: predicted, Typical: max(typical, time.Millisecond)}, now, request, candidates)
	}
	return Choose(LeastBusy{}, now, request, candidates)
}

// acceptsRequests reports whether an endpoint may get new requests.
func (s *System) acceptsRequests(now time.Time, world *modeler.World, endpoint modeler.Endpoint) bool {
	switch world.State(endpoint, now) {
	case modeler.StateOut, modeler.StateDraining, modeler.StateMisdirected:
		return false
	default:
		return true
	}
}

// candidates returns the endpoints that may get the request, or a random sample if there are too many. Endpoints in their back-off are included
// only if there is no other. The result is valid until the next call.
func (s *System) candidates(tick *modeler.Tick, world *modeler.World, service modeler.Service, request modeler.Request) []Candidate {
	now := tick.Now
	s.loads.refresh(world)
	coldLimit := s.coldLimit(world, service)
	eligible := s.candidateList[:0]
	var avoided []Candidate
	shared := s.placesLocally(now, world, request)
	limit := maxCandidates
	if shared && service.IsEngine() {
		limit = maxLocalCandidates
	}
	for id, endpoint := range world.Endpoints.Scattered(tick.Rand.IntN(max(world.Endpoints.Len(), 1))) {
		if len(eligible) == limit {
			break
		}
		if endpoint.Service != service.ID || s.exclusion(now, world, request, endpoint, coldLimit) != "" {
			continue
		}
		health, _ := world.Health.Get(id)
		load := s.loads.get(world, id, service.Engine, now)
		pace := paceOf(world, load, health, now)
		if !service.IsEngine() {
			pace = learner.Pace(world, endpoint)
		}
		candidate := Candidate{
			Endpoint: endpoint, Load: load, LimitReached: s.limitWait(now, world, endpoint, shared) > 0, FailureRate: health.FailureRate(now), Pace: pace,
			SameDataCentre: endpoint.DataCentre == request.DataCentre, Shared: shared && service.IsEngine(),
		}
		if now.Before(health.AvoidUntil) {
			if len(avoided) < maxCandidates {
				avoided = append(avoided, candidate)
			}
			continue
		}
		eligible = append(eligible, candidate)
	}
	s.candidateList = eligible
	if len(eligible) == 0 {
		return avoided
	}
	return eligible
}

// placesLocally reports whether this node places a request of its own although other nodes place theirs on the same engines.
func (s *System) placesLocally(now time.Time, world *modeler.World, request modeler.Request) bool {
	if world.Coordinates() || request.Node != world.Self.ID {
		return false
	}
	_, other := elector.PlacingNode(world, now)
	return other
}

func contains(list []modeler.EndpointID, id modeler.EndpointID) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// coldLimit returns the requests per second that this node may send to a cold endpoint of the service. A negative value means no limit.
func (s *System) coldLimit(world *modeler.World, service modeler.Service) float64 {
	if service.ColdRate <= 0 {
		return -1
	}
	return s.nodeShare(world, service.ColdRate*s.options.ColdFactor+s.options.ColdSlack)
}

// acquire reports whether the limits of the proposal's endpoint allow the request now and, if so, counts it.
func (s *System) acquire(now time.Time, world *modeler.World, service modeler.Service, request modeler.Request, proposal Proposal) bool {
	endpoint := proposal.Plan.Endpoint
	return s.acquireLimit(now, world, endpoint, s.placesLocally(now, world, request)) && s.cold.acquire(now, endpoint, s.coldLimit(world, service))
}
