// Package watcher judges endpoints and requests by how attempts ended. It sends no probes: they cost as much as requests.
package watcher

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// forgetStrikes is how long a broken attempt counts against a fingerprint.
const forgetStrikes = 2 * time.Minute

// lifeTime is how long a sign of life speaks for an endpoint that was silent to one request: a few passes of a loaded engine.
const lifeTime = 700 * time.Millisecond

// System keeps Health and Strikes, and removes assignments that ended.
type System struct{ nextSweep time.Time }

// New returns the system.
func New() *System { return &System{} }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.AttemptStarted:
			lived(tick, world, e.ID)
		case modeler.AttemptSilent:
			silent(tick, world, e.ID)
		case modeler.AttemptEnded:
			s.ended(tick, world, e)
		case modeler.PeerReceived:
			switch body := e.Message.Body.(type) {
			case modeler.Started:
				lived(tick, world, body.ID)
			case modeler.Ended:
				world.Unassign(body.ID)
				judge(tick, world, body)
			case modeler.Digest:
				for _, fingerprint := range body.Quarantined {
					strikes, _ := world.BrokenAttempts.Get(fingerprint)
					if !strikes.Quarantined(tick.Now) {
						world.BrokenAttempts.Put(fingerprint, strikes.WithQuarantine(tick.Now))
					}
				}
			}
		}
	}
	s.sweep(tick, world)
}

// lived notes the first event of an attempt as a sign of life of its endpoint.
func lived(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	if a, ok := world.Assignments.Get(id); ok {
		health, _ := world.Health.Get(a.Plan.Endpoint.ID)
		world.Health.Put(a.Plan.Endpoint.ID, health.WithActivity(tick.Now))
	}
}

// silent judges the endpoint of an attempt that goes on.
func silent(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	assignment, ok := world.Assignments.Get(id)
	if !ok {
		return
	}
	found := modeler.Ended{Endpoint: assignment.Plan.Endpoint.ID, Outcome: modeler.Silent}
	judge(tick, world, found)
	if coordinator, ok := world.Nodes.Get(world.Coordinator); ok {
		tick.Emit(modeler.Send{To: coordinator, Message: world.Message(found)})
	}
}

func (s *System) ended(tick *modeler.Tick, world *modeler.World, e modeler.AttemptEnded) {
	assignment, ok := world.Assignments.Get(e.ID)
	if !ok {
		return
	}
	world.Unassign(e.ID)
	ended := modeler.Ended{
		ID: e.ID, Endpoint: assignment.Plan.Endpoint.ID, Outcome: e.Outcome, Fingerprint: assignment.Request.Fingerprint,
	}
	if e.Fault != "" {
		// An engine that cannot help others any more is gone or leaves.
		ended.Endpoint, ended.Outcome = e.Fault, modeler.Unreachable
	}
	judge(tick, world, ended)
	if coordinator, ok := world.Nodes.Get(world.Coordinator); ok {
		tick.Emit(modeler.Send{To: coordinator, Message: world.Message(ended)})
	}
}

// judge updates the health of the endpoint and the strikes of the request.
func judge(tick *modeler.Tick, world *modeler.World, e modeler.Ended) {
	if _, ok := world.Endpoints.Get(e.Endpoint); !ok {
		return
	}
	before, _ := world.Health.Get(e.Endpoint)
	health := before
	switch e.Outcome {
	case modeler.Answered:
		health = health.WithSuccess(tick.Now)
		world.BrokenAttempts.Delete(e.Fingerprint)
	case modeler.Abandoned, modeler.Shed:
		return
	case modeler.Failed, modeler.Garbled:
		health = health.WithError(tick.Now)
	case modeler.Misdirected:
		health = health.WithMisdirected()
	case modeler.Broken:
		health = health.WithError(tick.Now)
		if e.Fingerprint != modeler.NoFingerprint {
			strikes, _ := world.BrokenAttempts.Get(e.Fingerprint)
			world.BrokenAttempts.Put(e.Fingerprint, strikes.WithBrokenAttempt(tick.Now))
		}
	case modeler.Unreachable:
		health = health.WithNoResponse(tick.Now)
	case modeler.Silent:
		if tick.Now.Sub(health.LastActivityAt) < lifeTime {
			// It answers others: the request was slow, not the endpoint dead.
			return
		}
		health = health.WithNoResponse(tick.Now)
	}
	world.Health.Put(e.Endpoint, health)
	avoided, avoids := tick.Now.Before(before.AvoidUntil), tick.Now.Before(health.AvoidUntil)
	if avoided != avoids || health.Misdirected != before.Misdirected {
		tick.Emit(modeler.Note{Name: modeler.NoteEndpointJudged, Request: e.ID, Fields: []modeler.Field{
			{Key: "Endpoint", Value: string(e.Endpoint)}, {Key: "Outcome", Value: e.Outcome.String()}, {Key: "Failures", Value: health.Failures},
			{Key: "FailureRate", Value: health.FailureRate(tick.Now)}, {Key: "Misdirected", Value: health.Misdirected},
		}})
	}
}

// sweep forgets old strikes.
func (s *System) sweep(tick *modeler.Tick, world *modeler.World) {
	if tick.Now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = tick.Now.Add(forgetStrikes / 4)
	for fingerprint, strikes := range world.BrokenAttempts.All() {
		if tick.Now.Sub(strikes.At) > forgetStrikes {
			world.BrokenAttempts.Delete(fingerprint)
		}
	}
}
