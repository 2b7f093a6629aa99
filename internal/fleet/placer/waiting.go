package placer

import "damaskpick.example/damaskpick/internal/fleet/modeler"

// capacity returns the revision of everything that may free capacity.
func (s *System) capacity(world *modeler.World) capacityRevision {
	return capacityRevision{
		releases: world.Releases, endpoints: world.Endpoints.Revision(), outDataCentres: world.OutDataCentres.Revision(),
		configuration: world.Configuration.Offset,
	}
}

// placeWaiting tries to place the requests that are due, the most urgent first. Of each group that needs the same, it stops at the first
// request that has to wait longer.
func (s *System) placeWaiting(tick *modeler.Tick, world *modeler.World) {
	if world.Waiting.Len() == 0 {
		return
	}
	arrived := s.queue.takeArrived()
	for _, key := range arrived {
		s.rejectWaiting(tick, world, key.id)
	}
	waits := func(id modeler.RequestID) bool {
		_, ok := world.Waiting.Get(id)
		return ok
	}
	decisions := 0
	for _, key := range s.queue.due(tick.Now, s.capacity(world), arrived, waits) {
		if s.queue.skips(tick.Now, key) || s.rejectWaiting(tick, world, key.id) {
			continue
		}
		if decisions++; decisions > maxDecisions {
			s.queue.unfinished = true
			break
		}
		s.decideWaiting(tick, world, key)
	}
	for _, key := range arrived {
		s.reportQueued(tick, world, key.id)
	}
	if world.Waiting.Len() > 0 {
		tick.WakeAt(s.queue.wake(s.capacity(world)))
	}
}

// rejectWaiting ends a waiting request that is refused whatever the load is. It reports whether the request no longer waits.
func (s *System) rejectWaiting(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) bool {
	entry, ok := world.Waiting.Get(id)
	if !ok {
		return true
	}
	decision, rejected := reject(tick, world, entry.Request)
	if rejected {
		s.endWaiting(tick, world, entry, decision)
	}
	return rejected
}

// decideWaiting decides on a waiting request and blocks its group if it has to wait longer.
func (s *System) decideWaiting(tick *modeler.Tick, world *modeler.World, key queueKey) {
	entry, _ := world.Waiting.Get(key.id)
	if unannounced(world, entry.Request) || s.decideSuspect(tick, world, entry, key.waitsUntil) {
		return
	}
	entry.Request = entry.Request.WithWeightFactor(s.onTime.weightFactor(entry.Request))
	decision, decided := s.decide(tick, world, entry)
	if !decided {
		s.queue.blocked[key.group] = true
		return
	}
	s.endWaiting(tick, world, entry, decision)
}

func (s *System) endWaiting(tick *modeler.Tick, world *modeler.World, entry modeler.Waiting, decision modeler.Decision) {
	world.Waiting.Delete(entry.Request.ID)
	if decision.Refused {
		endUnplacedProbe(world, entry.Request)
	}
	s.sendDecision(tick, world, entry, decision)
}

// reportQueued informs the node of a request that has just arrived and has to wait.
func (s *System) reportQueued(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	entry, ok := world.Waiting.Get(id)
	if !ok || entry.Request.Node == world.Self.ID {
		return
	}
	if peer, ok := world.Nodes.Get(entry.Request.Node); ok {
		s.send(tick, world, peer, modeler.Queued{ID: id})
	}
}
