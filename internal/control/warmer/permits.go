package warmer

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Ask grants or refuses a permit to node and returns PermitGiven or PermitRefused. A repeated PermitAsk for a granted permit is
// granted the same permit again.
func (s *System) Ask(tick *modeler.Tick, world *modeler.World, node modeler.NodeID, ask modeler.PermitAsk) modeler.Message {
	e, ok := world.Endpoints.Get(ask.Endpoint)
	if !ok || !s.mayGrant(tick, world, e) {
		return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: ask.Endpoint, Reason: modeler.NotHolder}
	}
	if _, given := world.Permits.Get(ask.Attempt); given {
		return modeler.PermitGiven{Attempt: ask.Attempt, Endpoint: e.ID, Term: e.Term, Load: e.EndpointLoad}
	}
	if _, ended := s.releasedAt[ask.Attempt]; ended || s.goneNodes[node] {
		return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: e.ID, Reason: modeler.NotInService, Load: e.EndpointLoad}
	}
	reason, fits := checkLimits(world.Self.Weights, e, ask)
	if fits && ask.Suspect && s.hasSuspect(world, e.ID) {
		reason, fits = modeler.SuspectFull, false
	}
	if !fits {
		return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: e.ID, Reason: reason, Load: e.EndpointLoad}
	}
	s.grantedCount++
	permit := modeler.Permit{
		Attempt: ask.Attempt, Endpoint: e.ID, Node: node, Request: ask.Request, Seq: s.grantedCount, Tokens: ask.Tokens, Prompt: ask.Prompt,
		Class: ask.Class, Suspect: ask.Suspect, ReportedFrom: tick.Now.Add(modeler.ReclaimDelay), ExpiresAt: tick.Now.Add(ask.Remaining + permitMargin),
	}
	s.putPermit(world, permit)
	e, _ = world.Endpoints.Get(e.ID)
	return modeler.PermitGiven{Attempt: ask.Attempt, Endpoint: e.ID, Term: e.Term, Load: e.EndpointLoad}
}

// mayGrant reports whether this node may grant permits for e now. After a change of holder, the engine's running attempts must be
// known first.
func (s *System) mayGrant(tick *modeler.Tick, world *modeler.World, e modeler.Endpoint) bool {
	if e.Holder != world.Self.ID || world.Leaving || tick.Now.Before(e.HeldSince) || world.Fenced(tick.Now) {
		return false
	}
	return e.Kind == modeler.Service || s.attemptsKnown[e.ID]
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
	s.updateLoad(world, permit.Endpoint)
}

func (s *System) deletePermit(world *modeler.World, permit modeler.Permit) {
	world.Permits.Delete(permit.Attempt)
	s.expiry.Clear(permit.Attempt)
	s.cancellations.Clear(permit.Attempt)
	s.updateLoad(world, permit.Endpoint)
}

// updateLoad recomputes the load of a held endpoint from its permits.
func (s *System) updateLoad(world *modeler.World, id modeler.EndpointID) {
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
		s.updateLoad(world, p.Endpoint)
	}
	e, ok := world.Endpoints.Get(m.Endpoint)
	if !ok || e.Holder != world.Self.ID {
		return
	}
	// A header that names the known boot ID and no cold start changes the endpoint only if its permit was granted after the endpoint
	// was last found cold, or if the endpoint is lost.
	if !m.Cold && m.BootID == e.BootID && e.Phase != modeler.Lost && (!known || !s.grantedSinceCold(p)) {
		return
	}
	if m.Cold || m.BootID != e.BootID {
		s.coldSeq[e.ID] = s.grantedCount
	}
	world.Endpoints.Put(e.ID, e.WithHeader(m.BootID, m.Cold))
}

// grantedSinceCold reports whether a permit was granted after its endpoint was last found cold. A header or a completion of an
// earlier permit may be from before the endpoint turned cold, however late it arrives, and does not show that the endpoint is warm
// again.
func (s *System) grantedSinceCold(p modeler.Permit) bool { return p.Seq > s.coldSeq[p.Endpoint] }

// Release ends a permit. A completed attempt counts toward warming; one during which the endpoint crashed makes the endpoint cold
// again. An engine may still run an attempt that was not completed, because the cancellation may be lost, so the permit stays until a
// report no longer shows the attempt.
func (s *System) Release(tick *modeler.Tick, world *modeler.World, m modeler.PermitRelease) {
	p, ok := world.Permits.Get(m.Attempt)
	if _, repeated := s.releasedAt[m.Attempt]; repeated && ok {
		return
	}
	s.releasedAt[m.Attempt] = tick.Now
	if !ok {
		return
	}
	e, ok := world.Endpoints.Get(p.Endpoint)
	if !ok || e.Holder != world.Self.ID || e.Kind == modeler.Service || m.Completed {
		s.deletePermit(world, p)
		e, ok = world.Endpoints.Get(p.Endpoint)
	} else {
		s.cancellations.Set(m.Attempt, tick.Now.Add(cancelInterval))
		tick.WakeAt(tick.Now.Add(cancelInterval))
		s.requestReport(tick, world, e.ID)
	}
	switch {
	case !ok:
	case m.Died:
		s.coldSeq[e.ID] = s.grantedCount
		world.Endpoints.Put(e.ID, e.WithCold(""))
	case m.Completed && s.grantedSinceCold(p):
		world.Endpoints.Put(e.ID, e.WithCompletion(world.Self.Weights.WarmCompletions))
	}
}

// applyReport aligns the permits of a held endpoint with its report: it adopts attempts without a permit and deletes the permits of
// attempts that have ended. An endpoint with a new boot id is cold.
func (s *System) applyReport(tick *modeler.Tick, world *modeler.World, r modeler.EndpointReported) {
	e, ok := world.Endpoints.Get(r.Endpoint)
	if !ok || e.Holder != world.Self.ID || r.TakenAt.Before(e.HeldSince) {
		return
	}
	if r.BootID != e.BootID || e.Phase == modeler.Lost {
		s.coldSeq[e.ID] = s.grantedCount
		e = e.WithCold(r.BootID)
		world.Endpoints.Put(e.ID, e)
	}
	s.adoptAttempts(tick, world, e, r)
	running := map[modeler.AttemptID]bool{}
	for _, a := range r.Attempts {
		running[a.Attempt] = true
	}
	for attempt, p := range world.Permits.All() {
		if p.Endpoint != r.Endpoint || running[attempt] {
			continue
		}
		if s.attemptEnded(p, r.TakenAt) {
			s.deletePermit(world, p)
		}
	}
	s.recordSwept(world, r)
}

// adoptAttempts adds permits for running attempts for which this node has none: those permitted by an earlier holder, and those whose
// release arrived before the engine stopped them.
func (s *System) adoptAttempts(tick *modeler.Tick, world *modeler.World, e modeler.Endpoint, r modeler.EndpointReported) {
	for _, a := range r.Attempts {
		if _, known := world.Permits.Get(a.Attempt); known {
			continue
		}
		if at, ok := s.releasedAt[a.Attempt]; ok && at.After(r.TakenAt) {
			continue
		}
		s.putPermit(world, modeler.Permit{
			Attempt: a.Attempt, Endpoint: e.ID, Node: a.Node, Tokens: a.Tokens, Confirmed: true, FirstToken: true,
			ReportedFrom: r.TakenAt,
			ExpiresAt:    tick.Now.Add(permitMargin),
		})
	}
	s.attemptsKnown[e.ID] = true
}

// attemptEnded reports whether an attempt that is missing from a report taken at takenAt has ended. The engine's report decides, also
// for attempts whose node crashed or whose release was lost.
func (s *System) attemptEnded(p modeler.Permit, takenAt time.Time) bool {
	at, released := s.releasedAt[p.Attempt]
	return released && !at.After(takenAt) || !takenAt.Before(p.ReportedFrom)
}

// expirePermits ends permits that are past their expiry or whose node is gone, and deletes releases older than
// releaseRetention.
func (s *System) expirePermits(tick *modeler.Tick, world *modeler.World) {
	for _, attempt := range s.expiry.Due(tick.Now) {
		if p, ok := world.Permits.Get(attempt); ok {
			s.endExpired(tick, world, p)
		}
	}
	if next, ok := s.expiry.Next(); ok {
		tick.WakeAt(next)
	}
	for attempt, at := range s.releasedAt {
		if tick.Now.Sub(at) > releaseRetention {
			delete(s.releasedAt, attempt)
		}
	}
}

// endExpired deletes the expired permit of a service at once, since a service holds no memory, and cancels the attempt on an engine.
// The permit of an adopted attempt is extended while its node may still run the attempt.
func (s *System) endExpired(tick *modeler.Tick, world *modeler.World, p modeler.Permit) {
	e, ok := world.Endpoints.Get(p.Endpoint)
	if !ok || e.Kind == modeler.Service || e.Holder != world.Self.ID {
		s.deletePermit(world, p)
		return
	}
	if p.Seq == 0 && s.checkOwner(tick, world, p) {
		p.ExpiresAt = tick.Now.Add(permitMargin)
		world.Permits.Put(p.Attempt, p)
		s.expiry.Set(p.Attempt, p.ExpiresAt)
		return
	}
	s.cancellations.Set(p.Attempt, tick.Now)
}

// checkOwner reports whether the node that sent an adopted attempt may still run it. It sends PermitGiven to another node, which
// releases the permit if it does not run the attempt.
func (s *System) checkOwner(tick *modeler.Tick, world *modeler.World, p modeler.Permit) bool {
	if _, released := s.releasedAt[p.Attempt]; released || s.goneNodes[p.Node] {
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

// markLost marks an endpoint that does not answer as lost. The endpoint is cold when it answers again.
func (s *System) markLost(world *modeler.World, id modeler.EndpointID) {
	if e, ok := world.Endpoints.Get(id); ok && e.Holder == world.Self.ID && e.Phase != modeler.Lost {
		s.coldSeq[id] = s.grantedCount
		world.Endpoints.Put(id, e.WithCold("").WithPhase(modeler.Lost))
	}
}

// sendCancellations sends due cancellations and repeats each until the endpoint's report no longer shows the attempt.
func (s *System) sendCancellations(tick *modeler.Tick, world *modeler.World) {
	for _, attempt := range s.cancellations.Due(tick.Now) {
		p, ok := world.Permits.Get(attempt)
		if !ok {
			continue
		}
		e, ok := world.Endpoints.Get(p.Endpoint)
		if !ok {
			continue
		}
		tick.Emit(modeler.CancelAttempt{Endpoint: e.ID, Address: e.Address, Attempt: attempt, Term: e.Term})
		s.cancellations.Set(attempt, tick.Now.Add(cancelInterval))
	}
	if next, ok := s.cancellations.Next(); ok {
		tick.WakeAt(next)
	}
}
