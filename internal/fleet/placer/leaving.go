package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// callTargets is the number of targets of its route within which a call to a plain service ends.
	callTargets = 4
	// leavingRetryAfter is the Retry-After of a refusal by a leaving node while there are other nodes: the caller only has to connect to one.
	leavingRetryAfter = 20 * time.Millisecond
	// restartTime is how long after its end a node serves again if it is restarted at once.
	restartTime = time.Second
	// answerMargin is the factor by which an answer may be longer than its prediction, a mean, to count as one that ends in time.
	answerMargin = 1.5
)

// endsInTime reports whether a request that is placed now, with its first event or response after first, ends before this node stops. While callers
// may use this node's address, it is enough that this is likely, because a refusal costs each of them a retry. Of those that come later, only requests
// whose timeout ends before are taken. A request that resumes a stream always counts as in time: its caller can no longer be refused. It uses fields
// that are not sent to other nodes, so the requests of others count as in time.
func endsInTime(now time.Time, world *modeler.World, request modeler.Request, first time.Duration) bool {
	if world.StopAt.IsZero() || request.Node != world.Self.ID || request.Resumes {
		return true
	}
	if request.Arrived.After(world.AddressUntil) {
		return !request.RunsUntil.After(world.StopAt)
	}
	return !now.Add(first + decodeTime(now, world, request)).After(world.StopAt)
}

// decodeTime returns how long a request is expected to take from its first event to its end. Callers declare only the maximum of the output, so that
// nine in ten streams end earlier. For a plain service, it is the time of the whole call.
func decodeTime(now time.Time, world *modeler.World, request modeler.Request) time.Duration {
	service, ok := world.Configuration.Service(request.Service)
	longest := request.RunsUntil.Sub(request.Arrived)
	switch {
	case ok && service.IsEngine() && request.Output > 0:
		passes := min(answerMargin*float64(world.PredictedAnswer(request, now)), float64(request.Output)) / float64(max(service.Engine.Stride, 1))
		return min(longest, scale(service.Engine.BasePassTime(), passes))
	case ok && !service.IsEngine() && request.Due.After(request.Arrived):
		return min(longest, callTargets*request.Due.Sub(request.Arrived))
	default:
		return longest
	}
}

// refuseUnfinishable refuses the requests of this node that are not placed yet and could no longer end before it stops.
func (s *System) refuseUnfinishable(tick *modeler.Tick, world *modeler.World) {
	if world.StopAt.IsZero() {
		return
	}
	for id, entry := range world.Forwarded.All() {
		if !canFinish(tick.Now, world, entry.Request) {
			s.handlePlacementCancelled(tick, world, id)
			s.refuseLeaving(tick, world, modeler.Waiting{Request: entry.Request, Since: entry.Request.Arrived})
		}
	}
	for id, entry := range world.Waiting.All() {
		if !canFinish(tick.Now, world, entry.Request) {
			world.Waiting.Delete(id)
			s.refuseLeaving(tick, world, entry)
		}
	}
	if world.Forwarded.Len()+world.Waiting.Len() > 0 {
		tick.WakeAt(tick.Now.Add(retryInterval))
	}
}

// canFinish reports whether a request that has not been placed yet can end before this node stops.
func canFinish(now time.Time, world *modeler.World, request modeler.Request) bool {
	return endsInTime(now, world, request, typicalTimeToFirstEvent(world, request))
}

// refuseLeaving refuses a request because this node stops before it could end.
func (s *System) refuseLeaving(tick *modeler.Tick, world *modeler.World, entry modeler.Waiting) {
	decision := leavingRefusal(tick.Now, world)
	tick.Emit(decisionLogEvent(tick.Now, world, entry, decision))
	tick.Emit(modeler.Reply{ID: entry.Request.ID, Decision: decision})
}

// leavingRefusal returns the refusal of a request that can't end before this node stops. If no other node serves callers, they are asked to come
// back once this one has restarted.
func leavingRefusal(now time.Time, world *modeler.World) modeler.Decision {
	if otherNodeServes(now, world) {
		return refusal(modeler.ReasonLeaving, leavingRetryAfter)
	}
	return refusal(modeler.ReasonLeaving, world.StopAt.Sub(now)+restartTime)
}

// otherNodeServes reports whether there is another node that callers may use.
func otherNodeServes(now time.Time, world *modeler.World) bool {
	for _, node := range world.Nodes.All() {
		if !node.Leaving && elector.Live(node, now) {
			return true
		}
	}
	return false
}
