package warmer

import (
	"github.com/cespare/xxhash/v2"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// applyRecord applies a record of the control stream that took effect.
func (s *System) applyRecord(tick *modeler.Tick, world *modeler.World, applied modeler.RecordApplied) {
	offset := applied.Record.Offset
	switch r := applied.Record.Value.(type) {
	case modeler.HoldClaimed:
		s.applyClaim(tick, world, r)
	case modeler.HoldReleased:
		if h := s.holds[r.Endpoint]; h.node == r.Node && h.term == r.Term {
			s.setHold(world, r.Endpoint, hold{term: h.term, since: tick.Now})
		}
	case modeler.NodeDeparted:
		s.endNode(world, goneNode{node: r.Node, offset: offset, fencedAt: tick.Now})
	case modeler.NodeReclaim:
		for _, node := range r.Nodes() {
			s.endNode(world, goneNode{node: node, offset: offset, fencedAt: tick.Now.Add(max(r.Wait, modeler.ReclaimDelay))})
		}
	}
}

func (s *System) applyClaim(tick *modeler.Tick, world *modeler.World, claim modeler.HoldClaimed) {
	h := s.holds[claim.Endpoint]
	switch {
	case s.goneNodes[claim.Node]:
		return
	case claim.Renewal:
		// A renewal of the known hold changes nothing. A node that missed the claim sets the hold from the renewal.
		if claim.Term < h.term || (claim.Term == h.term && claim.Node == h.node) {
			return
		}
	case h.node != "" || claim.Term <= h.term:
		return
	}
	since := h.since
	if since.Before(tick.Now) {
		since = tick.Now
	}
	s.setHold(world, claim.Endpoint, hold{node: claim.Node, term: claim.Term, since: since})
	s.requestReport(tick, world, claim.Endpoint)
}

// requestReport requests the report of a held engine, at once or when the hold begins. No permit is granted before the running
// attempts of a newly held engine are known.
func (s *System) requestReport(tick *modeler.Tick, world *modeler.World, id modeler.EndpointID) {
	e, ok := world.Endpoints.Get(id)
	if !ok || e.Holder != world.Self.ID || e.Kind != modeler.Engine {
		return
	}
	if tick.Now.Before(e.HeldSince) {
		s.reportRequests.Set(id, e.HeldSince)
		return
	}
	tick.Emit(modeler.RequestReport{Endpoint: e})
}

func (s *System) requestDueReports(tick *modeler.Tick, world *modeler.World) {
	for _, id := range s.reportRequests.Due(tick.Now) {
		s.requestReport(tick, world, id)
	}
	if next, ok := s.reportRequests.Next(); ok {
		tick.WakeAt(next)
	}
}

// endNode frees the endpoints of a node that left or was reclaimed. Their next holders grant permits, and the node's permits expire,
// once the node is certainly fenced.
func (s *System) endNode(world *modeler.World, gone goneNode) {
	if s.goneNodes[gone.node] {
		return
	}
	s.goneNodes[gone.node] = true
	s.goneInLogOrder = append(s.goneInLogOrder, gone)
	for id, h := range s.holds {
		if h.node == gone.node {
			s.setHold(world, id, hold{term: h.term, since: gone.fencedAt})
		}
	}
	for attempt, p := range world.Permits.All() {
		if p.Node == gone.node {
			s.expiry.Set(attempt, gone.fencedAt)
		}
	}
}

func (s *System) setHold(world *modeler.World, id modeler.EndpointID, h hold) {
	s.holds[id] = h
	delete(s.attemptsKnown, id)
	if e, ok := world.Endpoints.Get(id); ok {
		e = e.WithHolder(h.node, h.term, h.since)
		if h.node == world.Self.ID {
			// Completions under an earlier holder were not observed by this node and do not count toward warming.
			s.coldSeq[id] = s.grantedCount
			e = e.WithCold("").WithLoad(modeler.EndpointLoad{}, h.since)
		}
		world.Endpoints.Put(id, e)
	}
}

// claimHolds claims the endpoints without a holder whose preferred holder is this node.
func (s *System) claimHolds(tick *modeler.Tick, world *modeler.World) {
	if !s.caughtUp || world.Leaving || world.Fenced(tick.Now) {
		return
	}
	for id, e := range world.Endpoints.All() {
		if e.Holder != "" || PreferredHolder(world, e) != world.Self.ID {
			continue
		}
		if at, ok := s.holdAppendedAt[id]; ok && tick.Now.Before(at.Add(holdAppendInterval)) {
			tick.WakeAt(at.Add(holdAppendInterval))
			continue
		}
		s.holdAppendedAt[id] = tick.Now
		tick.Emit(modeler.AppendRecord{
			Stream: modeler.StreamControl,
			Record: modeler.HoldClaimed{Endpoint: id, Term: s.holds[id].term + 1, Node: world.Self.ID},
		})
		tick.WakeAt(tick.Now.Add(holdAppendInterval))
	}
}

// PreferredHolder returns the active node that should hold an endpoint, by rendezvous hashing among the nodes of its data centre, or
// among all nodes if none of them is active there. Nodes may get different results for a while; the log decides.
func PreferredHolder(world *modeler.World, e modeler.Endpoint) modeler.NodeID {
	var best, bestLocal modeler.NodeID
	var score, scoreLocal uint64
	for id, n := range world.Nodes.All() {
		if n.Phase != modeler.NodeActive || !n.Registered {
			continue
		}
		h := xxhash.Sum64String(string(e.ID) + "\x00" + string(id))
		if best == "" || h > score {
			best, score = id, h
		}
		if n.DataCentre == e.DataCentre && (bestLocal == "" || h > scoreLocal) {
			bestLocal, scoreLocal = id, h
		}
	}
	if bestLocal != "" {
		return bestLocal
	}
	return best
}

// renewHolds repeats the claims of this node before the log's retention drops them.
func (s *System) renewHolds(tick *modeler.Tick, world *modeler.World) {
	if s.options.RenewInterval == 0 {
		return
	}
	if s.renewAt.IsZero() {
		s.renewAt = tick.Now.Add(s.options.RenewInterval)
	}
	if !tick.Now.Before(s.renewAt) {
		s.renewAt = tick.Now.Add(s.options.RenewInterval)
		for id, e := range world.Endpoints.All() {
			if e.Holder == world.Self.ID {
				tick.Emit(modeler.AppendRecord{
					Stream: modeler.StreamControl,
					Record: modeler.HoldClaimed{Endpoint: id, Term: e.Term, Node: e.Holder, Renewal: true},
				})
			}
		}
	}
	tick.WakeAt(s.renewAt)
}

// releaseHolds releases the endpoints of a leaving node. An engine is released once all its permits are confirmed, because the next
// holder reads the running attempts from the engine's report; a service once its calls have ended, because it has no such report.
func (s *System) releaseHolds(tick *modeler.Tick, world *modeler.World) {
	if !world.Leaving {
		return
	}
	for id, e := range world.Endpoints.All() {
		if e.Holder != world.Self.ID || !releasable(world, e) {
			continue
		}
		if at, ok := s.holdAppendedAt[id]; ok && tick.Now.Before(at.Add(holdAppendInterval)) {
			tick.WakeAt(at.Add(holdAppendInterval))
			continue
		}
		s.holdAppendedAt[id] = tick.Now
		tick.WakeAt(tick.Now.Add(holdAppendInterval))
		tick.Emit(modeler.AppendRecord{
			Stream: modeler.StreamControl,
			Record: modeler.HoldReleased{Endpoint: id, Term: e.Term, Node: world.Self.ID},
		})
	}
}

func releasable(world *modeler.World, e modeler.Endpoint) bool {
	for _, p := range world.Permits.All() {
		if p.Endpoint == e.ID && (e.Kind == modeler.Service || !p.Confirmed) {
			return false
		}
	}
	return true
}

// HoldsAny reports whether this node holds an endpoint.
func HoldsAny(world *modeler.World) bool {
	for _, e := range world.Endpoints.All() {
		if e.Holder == world.Self.ID {
			return true
		}
	}
	return false
}
