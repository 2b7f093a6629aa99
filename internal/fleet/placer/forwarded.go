package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// askInterval is the time after which an Ask for a request is sent again: ten times the round trip between data centres, which allows
	// for a busy coordinator.
	askInterval = 40 * time.Millisecond
	// queuedInterval is the same for a request that is queued at the coordinator.
	queuedInterval = 150 * time.Millisecond
	// askTimeout is the time without a response after which another node is asked, or the request is placed locally: two times askInterval and the
	// delay of the response.
	askTimeout = 100 * time.Millisecond
	// queuedTimeout is the same for a request that is queued at the coordinator: two times queuedInterval and the
	// delay of the response.
	queuedTimeout = 400 * time.Millisecond
)

// forward asks another node to place a request.
func (s *System) forward(tick *modeler.Tick, world *modeler.World, request modeler.Request, to modeler.Node) {
	world.Forwarded.Put(request.ID, modeler.Forwarded{Request: request, To: to.ID, AskedAt: tick.Now, AnsweredAt: tick.Now})
	s.nextForwarded = earlier(s.nextForwarded, tick.Now.Add(askInterval))
	s.send(tick, world, to, modeler.Ask{Request: request})
}

// retryForwarded repeats Asks. A request whose placing node has not responded in time goes to the coordinator's deputy, and if that does not
// respond either, it is placed locally. A new coordinator is asked for all requests at once.
func (s *System) retryForwarded(tick *modeler.Tick, world *modeler.World) {
	changed := world.Coordinator != s.coordinator
	s.coordinator = world.Coordinator
	if world.Forwarded.Len() == 0 {
		return
	}
	if !changed && tick.Now.Before(s.nextForwarded) {
		tick.WakeAt(s.nextForwarded)
		return
	}
	s.nextForwarded = tick.Now.Add(queuedInterval)
	placing, _ := elector.PlacingNode(world, tick.Now)
	for id, entry := range world.Forwarded.All() {
		timeout, interval := askTimeout, askInterval
		if entry.Queued {
			timeout, interval = queuedTimeout, queuedInterval
		}
		to, ok := world.Nodes.Get(entry.To)
		switch {
		case changed && entry.To != placing.ID, !ok || tick.Now.Sub(entry.AnsweredAt) >= timeout:
			s.forwardElsewhere(tick, world, entry)
			continue
		case tick.Now.Sub(entry.AskedAt) >= interval:
			entry = entry.WithAsked(tick.Now)
			world.Forwarded.Put(id, entry)
			s.send(tick, world, to, modeler.Ask{Request: entry.Request})
		}
		s.nextForwarded = earlier(s.nextForwarded, entry.AskedAt.Add(interval))
	}
	tick.WakeAt(s.nextForwarded)
}

// forwardElsewhere asks another node for a request whose placing node does not respond or no longer coordinates, or queues it here.
func (s *System) forwardElsewhere(tick *modeler.Tick, world *modeler.World, entry modeler.Forwarded) {
	coordinator, known := world.Nodes.Get(world.Coordinator)
	if known && entry.To == world.Coordinator && !world.CoordinatorUnresponsive {
		world.CoordinatorUnresponsive = true
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventCoordinatorDoubted, Request: entry.Request.ID, Fields: []modeler.LogField{
			{Key: "Coordinator", Value: string(world.Coordinator)}, {Key: "HeardBefore", Value: tick.Now.Sub(coordinator.LastSeenAt)},
		}})
	}
	placing, ok := elector.PlacingNode(world, tick.Now)
	if !ok || placing.ID == entry.To {
		world.Forwarded.Delete(entry.Request.ID)
		if entry.Request.Borrows {
			// Nobody is left who could lend: other nodes may be alone, too.
			s.sendDecision(tick, world, modeler.Waiting{Request: entry.Request, Since: tick.Now}, refusal(modeler.ReasonBudget, retryAfter(tick.Now, entry.Request)))
			return
		}
		s.wait(world, modeler.Waiting{Request: entry.Request, Since: tick.Now, Local: true})
		return
	}
	s.forward(tick, world, entry.Request, placing)
}
