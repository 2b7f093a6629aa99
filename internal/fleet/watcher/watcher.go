// Package watcher updates the health of endpoints from the outcomes of attempts, and quarantines requests whose attempts repeatedly end in a
// broken connection. It sends no probes, because a probe costs as much as a request.
package watcher

import (
	"math"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// aliveWindow is how recently an endpoint must have sent an event or response of any request to count as alive when it has sent nothing for
// another request for too long. It covers a few passes of a loaded engine.
const aliveWindow = 700 * time.Millisecond

// System maintains Health and BrokenAttempts, and removes the assignments of ended attempts.
type System struct {
	nextDeletionAt time.Time
	nextResolveAt  time.Time
	// coordinated is set if this node coordinated in the last tick.
	coordinated bool
	// era is the highest era of the store that this node has seen, and zero before the first one.
	era int64
	// started holds the attempts that got their first event within survivalTime, the oldest first.
	started []startedAttempt
}

// New returns a System.
func New() *System { return &System{} }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.AttemptStarted:
			s.recordFirstEvent(tick, world, e.ID)
		case modeler.AttemptSilent:
			handleSilence(tick, world, e.ID)
		case modeler.AttemptEnded:
			s.handleEnded(tick, world, e)
		case modeler.StoreRestored:
			s.handleRestored(tick, world, e.Era)
		case modeler.QuarantinesRead:
			mergeSuspects(tick.Now, world, e.Suspects)
		case modeler.PeerReceived:
			switch body := e.Message.Body.(type) {
			case modeler.Started:
				s.recordFirstEvent(tick, world, body.ID)
			case modeler.Ended:
				if a, ok := world.Assignments.Get(body.ID); ok {
					sampleEnded(tick, world, a)
					recordUnresolved(tick, world, senderOf(e.Message), a, body)
					recordProbeEnd(world, body, a.Request.SharedParts)
				}
				recordProbeEnd(world, body, body.SharedParts)
				world.Unassign(body.ID)
				recordOutcome(tick, world, senderOf(e.Message), body)
				updateHealth(tick, world, body)
			case modeler.Digest:
				applyDigest(tick.Now, world, e.Message, body)
			case modeler.Beat:
				if world.Coordinates() {
					mergeReported(tick.Now, world, body.Suspects)
				}
			}
		}
	}
	if world.Coordinates() && !s.coordinated {
		// All nodes may have restarted, or this one may have lost contact with those that know the quarantines.
		tick.Emit(modeler.FetchQuarantines{})
	}
	s.coordinated = world.Coordinates()
	s.clearSurvived(tick, world)
	s.resolve(tick, world)
	s.deleteOldBrokenAttempts(tick, world)
}

// recordFirstEvent marks the endpoint of an attempt as alive after the attempt's first event, and updates the paces of its engines.
func (s *System) recordFirstEvent(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	a, ok := world.Assignments.Get(id)
	if !ok {
		return
	}
	if a.FirstEventAt.IsZero() {
		samplePace(tick, world, a)
		s.started = append(s.started, startedAttempt{id: id, due: tick.Now.Add(survivalTime)})
	}
	health, _ := world.Health.Get(a.Plan.Endpoint.ID)
	world.Health.Put(a.Plan.Endpoint.ID, health.WithActivity(tick.Now))
}

const (
	// paceMargin is added to the expected time to the first event, so that delays of messages do not count as a slow engine.
	paceMargin = 40 * time.Millisecond
	// priorPace is added to the logarithm of each engine's pace when a delay is attributed to the engines of a plan.
	priorPace = 0.2
)

// sampleEnded updates the paces of the engines of an assignment that ends without a first event although that is overdue.
func sampleEnded(tick *modeler.Tick, world *modeler.World, a modeler.Assignment) {
	if a.FirstEventAt.IsZero() && tick.Now.Sub(a.Placed) > 2*a.Plan.TimeToFirstEvent {
		samplePace(tick, world, a)
	}
}

// samplePace updates the paces of the engines of an assignment that got its first event now, or has ended without one. If the event came in
// time, no engine is slow. If it came late, any of them may be: each gets a share of the delay, a larger one if it was slow before.
func samplePace(tick *modeler.Tick, world *modeler.World, a modeler.Assignment) {
	if a.Plan.TimeToFirstEvent <= 0 {
		return
	}
	engines := a.Plan.Engines()
	expected := a.Plan.TimeToFirstEvent
	total := 0.0
	for _, engine := range engines {
		// Work that was placed on the engine later may have delayed this request.
		if end, ok := world.PrefillEnd.Get(engine.ID); ok {
			expected = max(expected, end.Sub(a.Placed))
		}
		health, _ := world.Health.Get(engine.ID)
		total += priorPace + math.Log(health.Pace(tick.Now))
	}
	sample := float64(tick.Now.Sub(a.Placed)) / float64(expected+paceMargin)
	for _, engine := range engines {
		if _, ok := world.Endpoints.Get(engine.ID); !ok {
			continue
		}
		health, _ := world.Health.Get(engine.ID)
		share := (priorPace + math.Log(health.Pace(tick.Now))) / total
		after := health.WithPace(tick.Now, sample, share)
		world.Health.Put(engine.ID, after)
		if health.Slow(tick.Now) != after.Slow(tick.Now) {
			tick.Emit(modeler.LogEvent{Name: modeler.LogEventEndpointJudged, Request: a.Request.ID, Fields: []modeler.LogField{
				{Key: "Endpoint", Value: string(engine.ID)}, {Key: "Slow", Value: after.Slow(tick.Now)}, {Key: "Pace", Value: after.Pace(tick.Now)},
				{Key: "Took", Value: tick.Now.Sub(a.Placed)}, {Key: "Expected", Value: expected}, {Key: "Engines", Value: len(engines)},
			}})
		}
	}
}

// handleSilence updates the health of an endpoint that has sent nothing for an attempt for too long, and informs the node that places requests. The attempt
// continues.
func handleSilence(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	assignment, ok := world.Assignments.Get(id)
	if !ok {
		return
	}
	silence := modeler.Ended{Endpoint: assignment.Plan.Endpoint.ID, Outcome: modeler.Silent}
	updateHealth(tick, world, silence)
	if placing, ok := elector.PlacingNode(world, tick.Now); ok {
		tick.Emit(modeler.Send{To: placing, Message: world.Message(silence)})
	}
}

// handleEnded removes the assignment of an ended attempt, updates the endpoint's health and informs the node that places requests.
func (s *System) handleEnded(tick *modeler.Tick, world *modeler.World, e modeler.AttemptEnded) {
	assignment, ok := world.Assignments.Get(e.ID)
	if !ok {
		return
	}
	sampleEnded(tick, world, assignment)
	world.Unassign(e.ID)
	ended := modeler.Ended{
		ID: e.ID, Endpoint: assignment.Plan.Endpoint.ID, Outcome: e.Outcome, Fingerprint: assignment.Request.Fingerprint,
		Succeeded: e.Succeeded, Tokens: e.Tokens,
	}
	if e.FaultyEngine != "" {
		// The endpoint refused the request because this helper does not process its part: it has stopped or is leaving.
		ended.Endpoint, ended.Outcome = e.FaultyEngine, modeler.Unreachable
	}
	ended.Survived = e.Succeeded || survived(assignment, tick.Now)
	if ended.Survived || e.Outcome == modeler.Broken || isProbe(world, assignment.Request) {
		ended.SharedParts, ended.Age = assignment.Request.SharedParts, tick.Now.Sub(assignment.Placed)
	}
	if ended.Outcome == modeler.Broken {
		ended.ProcessEndedAt = world.ProcessTime(tick.Now)
	}
	recordUnresolved(tick, world, senderOf(world.Message(ended)), assignment, ended)
	recordProbeEnd(world, ended, ended.SharedParts)
	recordOutcome(tick, world, senderOf(world.Message(ended)), ended)
	if ended.Outcome == modeler.Broken {
		brokenAttempts, _ := world.BrokenAttempts.Get(ended.Fingerprint)
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventAttemptBroken, Request: e.ID, Fields: []modeler.LogField{
			{Key: "Endpoint", Value: string(ended.Endpoint)}, {Key: "Age", Value: tick.Now.Sub(assignment.Placed)},
			{Key: "FirstEvent", Value: !assignment.FirstEventAt.IsZero()},
			{Key: "Fingerprint", Value: modeler.JoinFingerprints([]modeler.Fingerprint{ended.Fingerprint})},
			{Key: "SharedParts", Value: modeler.JoinFingerprints(assignment.Request.SharedParts)}, {Key: "Count", Value: brokenAttempts.Count},
		}})
	}
	updateHealth(tick, world, ended)
	if placing, ok := elector.PlacingNode(world, tick.Now); ok {
		tick.Emit(modeler.Send{To: placing, Message: world.Message(ended)})
	}
}

// updateHealth updates the endpoint's health. It emits a log event if the endpoint starts or stops being avoided or misdirected.
func updateHealth(tick *modeler.Tick, world *modeler.World, e modeler.Ended) {
	if _, ok := world.Endpoints.Get(e.Endpoint); !ok {
		return
	}
	before, _ := world.Health.Get(e.Endpoint)
	health := before
	switch e.Outcome {
	case modeler.Answered:
		health = health.WithSuccess(tick.Now)
	case modeler.Abandoned, modeler.Shed:
		return
	case modeler.Failed, modeler.Garbled, modeler.Broken:
		health = health.WithError(tick.Now)
	case modeler.Misdirected:
		health = health.WithMisdirected()
	case modeler.Unreachable:
		health = health.WithNoResponse(tick.Now)
	case modeler.Silent:
		if tick.Now.Sub(health.LastActivityAt) < aliveWindow {
			// The endpoint responds to other requests, so it is alive and only this request is slow.
			return
		}
		health = health.WithNoResponse(tick.Now)
	}
	world.Health.Put(e.Endpoint, health)
	wasAvoided, isAvoided := tick.Now.Before(before.AvoidUntil), tick.Now.Before(health.AvoidUntil)
	if wasAvoided != isAvoided || health.Misdirected != before.Misdirected {
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventEndpointJudged, Request: e.ID, Fields: []modeler.LogField{
			{Key: "Endpoint", Value: string(e.Endpoint)}, {Key: "Outcome", Value: e.Outcome.String()}, {Key: "Failures", Value: health.Failures},
			{Key: "FailureRate", Value: health.FailureRate(tick.Now)}, {Key: "Misdirected", Value: health.Misdirected},
		}})
	}
}
