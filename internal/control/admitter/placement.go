package admitter

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
)

// place chooses an endpoint for a charged request and asks its holder for a permit.
func (s *System[P]) place(tick *modeler.Tick, world *modeler.World, r modeler.Request) {
	e, ok := router.Choose(s.policy, r, s.candidates(tick.Now, world, r), tick.Rand)
	if !ok {
		s.requeue(tick, world, r, retryBackoff)
		return
	}
	if s.firstTokenTooLate(tick.Now, world, r, e) {
		s.refuse(tick, world, r, &modeler.Refusal{
			Code: modeler.CodeOverloaded, RetryAfter: retryAfter,
			Message: "the time to the first token would exceed its bound",
		})
		return
	}
	r = r.WithPermitRequested(s.newAttemptID(r), e.ID)
	world.Requests.Put(r.ID, r)
	s.choices[e.ID]++
	ask := modeler.PermitAsk{
		Attempt: r.Attempt, Request: r.ID, Endpoint: e.ID, Tokens: r.Cost(), Prompt: r.Prompt, Class: r.Class(),
		Suspect: r.Deaths > 0, Remaining: r.Deadline.Sub(tick.Now),
		Seen: modeler.SeenLoad{Running: e.Running, LongPrefill: e.LongPrefill(), Any: !s.policy.ChecksLoad() || r.OutdatedRefusals >= maxOutdatedRefusals},
	}
	if e.Holder == world.Self.ID {
		s.handleMessages(tick, world, []modeler.Message{s.permits.Ask(tick, world, e.Holder, ask)})
		return
	}
	s.addExpectedLoad(tick, world, e, ask)
	holder, _ := world.Nodes.Get(e.Holder)
	tick.Emit(modeler.SendPeer{To: e.Holder, Address: holder.Address, Messages: []modeler.Message{ask}})
	s.permitDeadlines.Set(r.ID, tick.Now.Add(permitTimeout))
}

// addExpectedLoad adds the requested work to the endpoint's known load until the next digest or permit answer of the holder
// replaces it, so that successive requests do not all choose the same endpoint.
func (s *System[P]) addExpectedLoad(tick *modeler.Tick, world *modeler.World, e modeler.Endpoint, ask modeler.PermitAsk) {
	load := e.WithPermit(modeler.Permit{Tokens: ask.Tokens, Prompt: ask.Prompt, Class: ask.Class})
	world.Endpoints.Put(e.ID, e.WithLoad(load, tick.Now))
}

// candidates returns the endpoints that serve the request's target, are in service, are not excluded for the request and whose holder
// can be asked for a permit.
func (s *System[P]) candidates(now time.Time, world *modeler.World, r modeler.Request) []modeler.Endpoint {
	var found []modeler.Endpoint
	for _, e := range world.Endpoints.All() {
		if e.Kind != r.Kind || !e.Serves(r.Target) || !e.InService() || slices.Contains(r.Excluded, e.ID) {
			continue
		}
		if !reachable(now, world, e) {
			continue
		}
		found = append(found, e)
	}
	return found
}

// reachable reports whether the endpoint's holder can be asked for a permit now.
func reachable(now time.Time, world *modeler.World, e modeler.Endpoint) bool {
	if e.Holder == world.Self.ID {
		return !now.Before(e.HeldSince)
	}
	n, ok := world.Nodes.Get(e.Holder)
	return ok && (n.Phase == modeler.NodeActive || n.Phase == modeler.NodeLeaving)
}

// firstTokenTooLate reports whether the work ahead of a first attempt on the chosen endpoint would delay the first token too long:
// for short and medium prompts, if the time waited and the work ahead exceed four times FirstTokenTimeout; for longer ones, if the
// work ahead lasts beyond the deadline.
func (s *System[P]) firstTokenTooLate(now time.Time, world *modeler.World, r modeler.Request, e modeler.Endpoint) bool {
	if r.Kind == modeler.Service || r.Attempts > 0 {
		return false
	}
	weights := world.Self.Weights
	waited := now.Sub(r.ArrivedAt)
	ahead := router.PredictFirstToken(weights, r, e.EndpointLoad) - router.PrefillTime(weights, r.Prompt)
	if r.Class() <= modeler.Medium {
		return waited+ahead > 4*weights.FirstTokenTimeout
	}
	return now.Add(ahead).After(r.Deadline)
}

// requeue puts a request back into the queue, to be placed again after delay. A first attempt is refunded, so that it uses no share
// while it waits for an endpoint.
func (s *System[P]) requeue(tick *modeler.Tick, world *modeler.World, r modeler.Request, delay time.Duration) {
	if r.Attempts == 0 {
		s.refund(world, r)
		r = r.WithCharged(0)
	}
	r = r.WithQueued(tick.Now.Add(delay))
	s.permitDeadlines.Clear(r.ID)
	s.enqueue(world, r)
	tick.WakeAt(r.RetryAt)
}

// handlePermitGiven starts an attempt, or releases the permit if the request no longer waits for it.
func (s *System[P]) handlePermitGiven(tick *modeler.Tick, world *modeler.World, m modeler.PermitGiven) {
	s.updateLoad(tick, world, m.Endpoint, m.Load)
	r, ok := s.requestAskingFor(world, m.Attempt)
	if !ok {
		s.releaseUnclaimed(tick, world, m)
		return
	}
	e, _ := world.Endpoints.Get(r.Endpoint)
	s.permitDeadlines.Clear(r.ID)
	world.Requests.Put(r.ID, r.WithRunning())
	if r.PrefixHash != 0 {
		s.cache.Put(r.PrefixHash, e.ID)
	}
	s.reply(tick, r.ID, modeler.Decision{Grant: &modeler.Grant{
		Attempt: r.Attempt, Endpoint: e.ID, Address: e.Address, Term: m.Term, Priority: priority(tick.Now, r),
		Deadline: r.Deadline, PermitAt: tick.Now,
	}})
}

// priority returns the urgency of an attempt, higher is more urgent. It grows by one step for each shorter length class and for
// each agingStep of waiting.
func priority(now time.Time, r modeler.Request) int {
	return int(modeler.Huge-r.Class()) + int(now.Sub(r.ArrivedAt)/agingStep)
}

// updateLoad records the load of an endpoint that another node holds.
func (s *System[P]) updateLoad(tick *modeler.Tick, world *modeler.World, id modeler.EndpointID, load modeler.EndpointLoad) {
	e, ok := world.Endpoints.Get(id)
	if !ok || e.Holder == world.Self.ID {
		return
	}
	world.Endpoints.Put(id, e.WithLoad(load, tick.Now))
}

// requestAskingFor returns the request that waits for a permit for the attempt.
func (s *System[P]) requestAskingFor(world *modeler.World, attempt modeler.AttemptID) (modeler.Request, bool) {
	r, ok := world.Requests.Get(requestIDOf(attempt))
	if !ok || r.Attempt != attempt || r.Phase != modeler.AwaitingPermit {
		return modeler.Request{}, false
	}
	return r, true
}

// handlePermitRefused queues the request again, with a delay that depends on the reason.
func (s *System[P]) handlePermitRefused(tick *modeler.Tick, world *modeler.World, m modeler.PermitRefused) {
	if m.Reason != modeler.NotHolder {
		s.updateLoad(tick, world, m.Endpoint, m.Load)
	}
	r, ok := s.requestAskingFor(world, m.Attempt)
	if !ok {
		return
	}
	backoff := retryBackoff
	switch m.Reason {
	case modeler.Unconfirmed:
		backoff = unconfirmedBackoff
	case modeler.Outdated:
		r, backoff = r.WithOutdatedRefusal(), 0
	}
	s.requeue(tick, world, r, backoff)
}

// handleTimeouts releases and requeues attempts whose PermitAsk was not answered in time, and ends requests past their
// deadline that wait for a permit or run. placeQueued refuses those that are still queued.
func (s *System[P]) handleTimeouts(tick *modeler.Tick, world *modeler.World) {
	for _, id := range s.permitDeadlines.Due(tick.Now) {
		r, ok := world.Requests.Get(id)
		if !ok || r.Phase != modeler.AwaitingPermit {
			continue
		}
		s.releasePermit(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint})
		s.requeue(tick, world, r, retryBackoff)
	}
	for _, id := range s.requestDeadlines.Due(tick.Now) {
		s.endOverdue(tick, world, id)
	}
	for _, next := range []func() (time.Time, bool){s.permitDeadlines.Next, s.requestDeadlines.Next, s.releaseResends.Next} {
		if at, ok := next(); ok {
			tick.WakeAt(at)
		}
	}
}

// endOverdue refuses a request that still waits for a permit at its deadline, and removes a running one whose end was not reported
// within endReportTimeout after the deadline by the goroutine that serves it. It ignores a queued request, which placeQueued refuses.
func (s *System[P]) endOverdue(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	r, ok := world.Requests.Get(id)
	if !ok || r.Phase == modeler.Queued {
		return
	}
	if r.Phase == modeler.AwaitingPermit {
		s.releasePermit(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint})
		s.refuse(tick, world, r, s.checkQueued(tick, world, r))
		return
	}
	if last := r.Deadline.Add(endReportTimeout); tick.Now.Before(last) {
		s.requestDeadlines.Set(id, last)
		return
	}
	s.endRequest(tick, world, modeler.RequestEnded{Request: id})
}
