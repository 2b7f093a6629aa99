package warmer

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Ask decides about a permit. The answer is a PermitGiven or a PermitRefused. An ask that is repeated gets its permit again.
func (s *System) Ask(tick *modeler.Tick, world *modeler.World, node modeler.NodeID, ask modeler.PermitAsk) modeler.Message {
	e, ok := world.Endpoints.Get(ask.Endpoint)
	if !ok || !s.mayGive(tick, world, e) {
		return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: ask.Endpoint, Reason: modeler.NotHolder}
	}
	if _, given := world.Permits.Get(ask.Attempt); given {
		return modeler.PermitGiven{Attempt: ask.Attempt, Endpoint: e.ID, Term: e.Term, Load: e.EndpointLoad}
	}
	if _, ended := s.released[ask.Attempt]; ended || s.gone[node] {
		return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: e.ID, Reason: modeler.NotInService, Load: e.EndpointLoad}
	}
	reason, fits := limitOf(world.Self.Weights, e, ask)
	if fits && ask.Suspect && s.hasSuspect(world, e.ID) {
		reason, fits = modeler.SuspectFull, false
	}
	if !fits {
		return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: e.ID, Reason: reason, Load: e.EndpointLoad}
	}
	s.given++
	permit := modeler.Permit{
		Attempt: ask.Attempt, Endpoint: e.ID, Node: node, Request: ask.Request, Seq: s.given, Tokens: ask.Tokens, Prompt: ask.Prompt,
		Class: ask.Class, Suspect: ask.Suspect, ReportedFrom: tick.Now.Add(modeler.ReclaimDelay), ExpiresAt: tick.Now.Add(ask.Remaining + permitMargin),
	}
	s.putPermit(world, permit)
	e, _ = world.Endpoints.Get(e.ID)
	return modeler.PermitGiven{Attempt: ask.Attempt, Endpoint: e.ID, Term: e.Term, Load: e.EndpointLoad}
}

// mayGive tells whether this node may give permits for e now. After a change of holder, it first learns what the engine runs.
func (s *System) mayGive(tick *modeler.Tick, world *modeler.World, e modeler.Endpoint) bool {
	if e.Holder != world.Self.ID || world.Leaving || tick.Now.Before(e.HeldSince) || world.Fenced(tick.Now) {
		return false
	}
	return e.Kind == modeler.Service || s.adopted[e.ID]
}

func (s *System) hasSuspect(world *modeler.World, id modeler.EndpointID) bool {
	for _, p := range world.Permits.All() {
		if p.Endpoint == id && p.Suspect {
			return true
		}
	}
	return false
}

func (s *System) putPermit(world *modeler.World, permit modeler.Permit) {
	world.Permits.Put(permit.Attempt, permit)
	s.expiry.Set(permit.Attempt, permit.ExpiresAt)
	s.sum(world, permit.Endpoint)
}

func (s *System) dropPermit(world *modeler.World, permit modeler.Permit) {
	world.Permits.Delete(permit.Attempt)
	s.expiry.Clear(permit.Attempt)
	s.cancels.Clear(permit.Attempt)
	s.sum(world, permit.Endpoint)
}

// sum replaces the load of a held endpoint by that of its permits.
func (s *System) sum(world *modeler.World, id modeler.EndpointID) {
	e, ok := world.Endpoints.Get(id)
	if !ok {
		return
	}
	var load modeler.EndpointLoad
	for _, p := range world.Permits.All() {
		if p.Endpoint == id {
			load = load.WithPermit(p)
		}
	}
	world.Endpoints.Put(id, e.WithLoad(load, e.UpdatedAt))
}

// Confirm records an endpoint's response header, alone or with the first token.
func (s *System) Confirm(tick *modeler.Tick, world *modeler.World, m modeler.PermitConfirm) {
	p, known := world.Permits.Get(m.Attempt)
	if known {
		if m.FirstToken {
			p = p.WithFirstToken()
		}
		world.Permits.Put(m.Attempt, p.WithConfirmed(tick.Now))
		s.sum(world, p.Endpoint)
	}
	e, ok := world.Endpoints.Get(m.Endpoint)
	if !ok || e.Holder != world.Self.ID {
		return
	}
	if !m.Cold && m.BootID == e.BootID && e.Phase != modeler.Lost && (!known || !s.recent(p)) {
		return
	}
	if m.Cold || m.BootID != e.BootID {
		s.coldFrom[e.ID] = s.given
	}
	world.Endpoints.Put(e.ID, e.WithHeader(m.BootID, m.Cold))
}

// recent tells whether a permit was given after its endpoint was last found cold. A header or a completion of an earlier one
// may be from before the endpoint turned cold, however late it arrives, and does not show that the endpoint is warm again.
func (s *System) recent(p modeler.Permit) bool { return p.Seq > s.coldFrom[p.Endpoint] }

// Release ends a permit. A completed attempt counts toward warming; a died one returns the endpoint to cold. An engine may still
// run an attempt that was not completed, because the cancellation may be lost. Its permit stays until a report shows it gone.
func (s *System) Release(tick *modeler.Tick, world *modeler.World, m modeler.PermitRelease) {
	p, ok := world.Permits.Get(m.Attempt)
	if _, repeated := s.released[m.Attempt]; repeated && ok {
		return
	}
	s.released[m.Attempt] = tick.Now
	if !ok {
		return
	}
	e, ok := world.Endpoints.Get(p.Endpoint)
	if !ok || e.Holder != world.Self.ID || e.Kind == modeler.Service || m.Completed {
		s.dropPermit(world, p)
		e, ok = world.Endpoints.Get(p.Endpoint)
	} else {
		s.cancels.Set(m.Attempt, tick.Now.Add(cancelInterval))
		tick.Wake(tick.Now.Add(cancelInterval))
		s.askReport(tick, world, e.ID)
	}
	switch {
	case !ok:
	case m.Died:
		s.coldFrom[e.ID] = s.given
		world.Endpoints.Put(e.ID, e.WithCold(""))
	case m.Completed && s.recent(p):
		world.Endpoints.Put(e.ID, e.WithCompletion(world.Self.Weights.WarmCompletions))
	}
}

// report compares what an endpoint runs with the permits of this node.
func (s *System) report(tick *modeler.Tick, world *modeler.World, r modeler.EndpointReported) {
	e, ok := world.Endpoints.Get(r.Endpoint)
	if !ok || e.Holder != world.Self.ID || r.TakenAt.Before(e.HeldSince) {
		return
	}
	if r.BootID != e.BootID || e.Phase == modeler.Lost {
		s.coldFrom[e.ID] = s.given
		e = e.WithCold(r.BootID)
		world.Endpoints.Put(e.ID, e)
	}
	s.adopt(tick, world, e, r)
	running := map[modeler.AttemptID]bool{}
	for _, a := range r.Attempts {
		running[a.Attempt] = true
	}
	for attempt, p := range world.Permits.All() {
		if p.Endpoint != r.Endpoint || running[attempt] {
			continue
		}
		if s.ended(p, r.TakenAt) {
			s.dropPermit(world, p)
		}
	}
	s.sweep(world, r)
}

// adopt takes over attempts that run without a permit of this node: those of an earlier holder, and those whose release
// arrived before the engine stopped them.
func (s *System) adopt(tick *modeler.Tick, world *modeler.World, e modeler.Endpoint, r modeler.EndpointReported) {
	for _, a := range r.Attempts {
		if _, known := world.Permits.Get(a.Attempt); known {
			continue
		}
		if at, ok := s.released[a.Attempt]; ok && at.After(r.TakenAt) {
			continue
		}
		s.putPermit(world, modeler.Permit{
			Attempt: a.Attempt, Endpoint: e.ID, Node: a.Node, Tokens: a.Tokens, Confirmed: true, FirstToken: true,
			ReportedFrom: r.TakenAt,
			ExpiresAt:    tick.Now.Add(permitMargin),
		})
	}
	s.adopted[e.ID] = true
}

// ended tells whether an attempt that a report taken at takenAt does not show has ended. The engine decides, also for attempts whose
// owner died or whose release was lost.
func (s *System) ended(p modeler.Permit, takenAt time.Time) bool {
	at, released := s.released[p.Attempt]
	return released && !at.After(takenAt) || !takenAt.Before(p.ReportedFrom)
}

// expire starts to cancel attempts past their expiry and those of nodes that are gone, and forgets old releases.
func (s *System) expire(tick *modeler.Tick, world *modeler.World) {
	for _, attempt := range s.expiry.Due(tick.Now) {
		if p, ok := world.Permits.Get(attempt); ok {
			s.endOverdue(tick, world, p)
		}
	}
	if next, ok := s.expiry.Next(); ok {
		tick.Wake(next)
	}
	for attempt, at := range s.released {
		if tick.Now.Sub(at) > releaseMemory {
			delete(s.released, attempt)
		}
	}
}

// endOverdue frees the permit of a service at once, since a service holds no memory, and cancels on an engine.
func (s *System) endOverdue(tick *modeler.Tick, world *modeler.World, p modeler.Permit) {
	e, ok := world.Endpoints.Get(p.Endpoint)
	if !ok || e.Kind == modeler.Service || e.Holder != world.Self.ID {
		s.dropPermit(world, p)
		return
	}
	if p.Seq == 0 && s.mayRun(tick, world, p) {
		p.ExpiresAt = tick.Now.Add(permitMargin)
		world.Permits.Put(p.Attempt, p)
		s.expiry.Set(p.Attempt, p.ExpiresAt)
		return
	}
	s.cancels.Set(p.Attempt, tick.Now)
}

// mayRun tells whether the owner of an adopted attempt may still want it. It repeats the permit to the owner, which releases it
// if it does not run the attempt.
func (s *System) mayRun(tick *modeler.Tick, world *modeler.World, p modeler.Permit) bool {
	if _, released := s.released[p.Attempt]; released || s.gone[p.Node] {
		return false
	}
	if p.Node == world.Self.ID {
		for _, r := range world.Requests.All() {
			if r.Attempt == p.Attempt {
				return true
			}
		}
		return false
	}
	owner, _ := world.Nodes.Get(p.Node)
	e, ok := world.Endpoints.Get(p.Endpoint)
	if !ok || !owner.Live() {
		return false
	}
	given := modeler.PermitGiven{Attempt: p.Attempt, Endpoint: e.ID, Term: e.Term, Load: e.EndpointLoad}
	tick.Emit(modeler.SendPeer{To: owner.ID, Address: owner.Address, Messages: []modeler.Message{given}})
	return true
}

// lose marks an endpoint that does not answer. It is cold when it answers again.
func (s *System) lose(world *modeler.World, id modeler.EndpointID) {
	if e, ok := world.Endpoints.Get(id); ok && e.Holder == world.Self.ID && e.Phase != modeler.Lost {
		s.coldFrom[id] = s.given
		world.Endpoints.Put(id, e.WithCold("").WithPhase(modeler.Lost))
	}
}

// cancel sends due cancellations, again and again until the endpoint's report shows the attempt gone.
func (s *System) cancel(tick *modeler.Tick, world *modeler.World) {
	for _, attempt := range s.cancels.Due(tick.Now) {
		p, ok := world.Permits.Get(attempt)
		if !ok {
			continue
		}
		e, ok := world.Endpoints.Get(p.Endpoint)
		if !ok {
			continue
		}
		tick.Emit(modeler.CancelAttempt{Endpoint: e.ID, Address: e.Address, Attempt: attempt, Term: e.Term})
		s.cancels.Set(attempt, tick.Now.Add(cancelInterval))
	}
	if next, ok := s.cancels.Next(); ok {
		tick.Wake(next)
	}
}
