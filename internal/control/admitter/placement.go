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
		s.postpone(tick, world, r, retryBackoff)
		return
	}
	if s.tooLate(tick.Now, world, r, e) {
		s.refuse(tick, world, r, &modeler.Refusal{
			Code: modeler.CodeOverloaded, RetryAfter: retryAfter,
			Message: "the time to the first token would exceed its bound",
		})
		return
	}
	r = r.WithPermitRequested(s.newAttempt(r), e.ID)
	world.Requests.Put(r.ID, r)
	s.chosen[e.ID]++
	ask := modeler.PermitAsk{
		Attempt: r.Attempt, Request: r.ID, Endpoint: e.ID, Tokens: r.Cost(), Prompt: r.Prompt, Class: r.Class(),
		Suspect: r.Deaths > 0, Remaining: r.Deadline.Sub(tick.Now),
		Seen: modeler.SeenLoad{Running: e.Running, LongPrefill: e.LongPrefill(), Any: !s.policy.ChecksLoad() || r.OutdatedRefusals >= maxOutdated},
	}
	if e.Holder == world.Self.ID {
		s.receive(tick, world, []modeler.Message{s.permits.Ask(tick, world, e.Holder, ask)})
		return
	}
	s.assume(tick, world, e, ask)
	holder, _ := world.Nodes.Get(e.Holder)
	tick.Emit(modeler.SendPeer{To: e.Holder, Address: holder.Address, Messages: []modeler.Message{ask}})
	s.asks.Set(r.ID, tick.Now.Add(askTimeout))
}

// assume adds the asked work to the digest until a newer one arrives, so that requests in a row do not all choose the same endpoint.
func (s *System[P]) assume(tick *modeler.Tick, world *modeler.World, e modeler.Endpoint, ask modeler.PermitAsk) {
	load := e.WithPermit(modeler.Permit{Tokens: ask.Tokens, Prompt: ask.Prompt, Class: ask.Class})
	world.Endpoints.Put(e.ID, e.WithLoad(load, tick.Now))
}

// candidates returns the endpoints that may get the request now.
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

// reachable tells whether the endpoint's holder can be asked.
func reachable(now time.Time, world *modeler.World, e modeler.Endpoint) bool {
	if e.Holder == world.Self.ID {
		return !now.Before(e.HeldSince)
	}
	n, ok := world.Nodes.Get(e.Holder)
	return ok && (n.Phase == modeler.NodeActive || n.Phase == modeler.NodeLeaving)
}

// tooLate tells whether the best endpoint would give the first token past the bound for the request's length.
func (s *System[P]) tooLate(now time.Time, world *modeler.World, r modeler.Request, e modeler.Endpoint) bool {
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

// postpone gives the charge back and lets the request wait. A first attempt keeps no share while it waits for an endpoint.
func (s *System[P]) postpone(tick *modeler.Tick, world *modeler.World, r modeler.Request, after time.Duration) {
	if r.Attempts == 0 {
		s.refund(world, r)
		r = r.WithCharged(0)
	}
	r = r.WithQueued(tick.Now.Add(after))
	s.asks.Clear(r.ID)
	s.enqueue(world, r)
	tick.Wake(r.RetryAt)
}

// given starts an attempt, or releases a permit that came too late.
func (s *System[P]) given(tick *modeler.Tick, world *modeler.World, m modeler.PermitGiven) {
	s.refresh(tick, world, m.Endpoint, m.Load)
	r, ok := s.asking(world, m.Attempt)
	if !ok {
		s.releaseUnknown(tick, world, m)
		return
	}
	e, _ := world.Endpoints.Get(r.Endpoint)
	s.asks.Clear(r.ID)
	world.Requests.Put(r.ID, r.WithRunning())
	if r.PrefixHash != 0 {
		s.cache.Put(r.PrefixHash, e.ID)
	}
	s.reply(tick, r.ID, modeler.Decision{Grant: &modeler.Grant{
		Attempt: r.Attempt, Endpoint: e.ID, Address: e.Address, Term: m.Term, Priority: priority(tick.Now, r),
		Deadline: r.Deadline, PermitAt: tick.Now,
	}})
}

// priority grows with urgency: one step for each shorter class and for each ageStep of waiting.
func priority(now time.Time, r modeler.Request) int {
	return int(modeler.Huge-r.Class()) + int(now.Sub(r.ArrivedAt)/ageStep)
}

func (s *System[P]) refresh(tick *modeler.Tick, world *modeler.World, id modeler.EndpointID, load modeler.EndpointLoad) {
	e, ok := world.Endpoints.Get(id)
	if !ok || e.Holder == world.Self.ID {
		return
	}
	world.Endpoints.Put(id, e.WithLoad(load, tick.Now))
}

// asking returns the request that asks for the attempt.
func (s *System[P]) asking(world *modeler.World, attempt modeler.AttemptID) (modeler.Request, bool) {
	r, ok := world.Requests.Get(requestOf(attempt))
	if !ok || r.Attempt != attempt || r.Phase != modeler.AwaitingPermit {
		return modeler.Request{}, false
	}
	return r, true
}

// refused puts the request back into the queue.
func (s *System[P]) refused(tick *modeler.Tick, world *modeler.World, m modeler.PermitRefused) {
	if m.Reason != modeler.NotHolder {
		s.refresh(tick, world, m.Endpoint, m.Load)
	}
	r, ok := s.asking(world, m.Attempt)
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
	s.postpone(tick, world, r, backoff)
}

// timeOut releases permits that were not answered in time and ends overdue requests.
func (s *System[P]) timeOut(tick *modeler.Tick, world *modeler.World) {
	for _, id := range s.asks.Due(tick.Now) {
		r, ok := world.Requests.Get(id)
		if !ok || r.Phase != modeler.AwaitingPermit {
			continue
		}
		s.release(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint})
		s.postpone(tick, world, r, retryBackoff)
	}
	for _, id := range s.ends.Due(tick.Now) {
		s.endOverdue(tick, world, id)
	}
	for _, next := range []func() (time.Time, bool){s.asks.Next, s.ends.Next, s.releaseAt.Next} {
		if at, ok := next(); ok {
			tick.Wake(at)
		}
	}
}

// endOverdue refuses a request that still asks for a permit at its deadline, and removes a running one whose traffic goroutine did
// not report the end within endMargin of it.
func (s *System[P]) endOverdue(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	r, ok := world.Requests.Get(id)
	if !ok || r.Phase == modeler.Queued {
		return
	}
	if r.Phase == modeler.AwaitingPermit {
		s.release(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint})
		s.refuse(tick, world, r, s.overdue(tick, world, r))
		return
	}
	if last := r.Deadline.Add(endMargin); tick.Now.Before(last) {
		s.ends.Set(id, last)
		return
	}
	s.end(tick, world, modeler.RequestEnded{Request: id})
}
