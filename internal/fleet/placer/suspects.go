package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// runsAlone reports whether one request at a time with the fingerprint of this one runs in the whole fleet, because attempts of it have broken. What is
// sent to several endpoints at once can end all of them before the first result is known: a service of few copies is empty then, and the requests that
// wait for it would go to all copies at the moment of their return.
func runsAlone(now time.Time, world *modeler.World, request modeler.Request) bool {
	if world.BrokenAttempts.Len() == 0 {
		return false
	}
	brokenAttempts, ok := world.BrokenAttempts.Get(request.Fingerprint)
	return ok && brokenAttempts.RunsAlone(now)
}

// held reports whether a request waits until it is known how the last one with its fingerprint ends, but not for longer than the observation time: first
// events can take seconds, and attempts that end at such distances all count.
func held(now time.Time, world *modeler.World, request modeler.Request) bool {
	if !runsAlone(now, world, request) {
		return false
	}
	brokenAttempts, _ := world.BrokenAttempts.Get(request.Fingerprint)
	_, running := world.Assignments.Get(brokenAttempts.Trial)
	return running && now.Sub(brokenAttempts.TrialAt) < modeler.ObservationTime
}

// unreportedProbe returns for how long a request is refused after the quarantine of its fingerprint because nobody has reported how the last one with the
// fingerprint ended: its node may have failed together with an endpoint. It returns zero if the request may run.
func unreportedProbe(now time.Time, world *modeler.World, request modeler.Request) time.Duration {
	brokenAttempts, _ := world.BrokenAttempts.Get(request.Fingerprint)
	if !brokenAttempts.RunsAlone(now) || brokenAttempts.Probe.ID == request.ID {
		return 0
	}
	_, waiting := world.Waiting.Get(brokenAttempts.Probe.ID)
	_, running := world.Assignments.Get(brokenAttempts.Probe.ID)
	if waiting || running {
		return 0
	}
	return brokenAttempts.UnreportedFor(now)
}

func unreportedRefusal(wait time.Duration) modeler.Decision {
	return refusal(modeler.ReasonSuspected, min(max(wait, minRetryAfter), maxRetryAfter))
}

// claimProbe makes a request the probe of its fingerprint if the quarantine of that has ended. It reports whether the request has to wait until the other nodes
// have been told, or until the probe before it is placed. A node that places for all without coordinating tells nobody, and places at once.
func claimProbe(tick *modeler.Tick, world *modeler.World, request modeler.Request) bool {
	brokenAttempts, _ := world.BrokenAttempts.Get(request.Fingerprint)
	if brokenAttempts.Quarantines == 0 || brokenAttempts.Probe.ID == request.ID {
		return false
	}
	if _, waiting := world.Waiting.Get(brokenAttempts.Probe.ID); waiting {
		return true
	}
	chooseProbe(tick, world, request.ID, request.Fingerprint)
	return world.Coordinates()
}

// recordTrial records that a request which has to run alone was placed.
func recordTrial(now time.Time, world *modeler.World, request modeler.Request) {
	if !runsAlone(now, world, request) {
		return
	}
	brokenAttempts, _ := world.BrokenAttempts.Get(request.Fingerprint)
	world.BrokenAttempts.Put(request.Fingerprint, brokenAttempts.WithTrial(request.ID, now))
}

// decideSuspect forwards a waiting request that has to run alone to the node that places for all, or keeps it waiting while another one runs. It reports
// whether there is nothing else to decide.
func (s *System) decideSuspect(tick *modeler.Tick, world *modeler.World, entry modeler.Waiting, waitsUntil time.Time) bool {
	if !runsAlone(tick.Now, world, entry.Request) {
		return false
	}
	if placing, ok := elector.PlacingNode(world, tick.Now); ok && entry.Request.Node == world.Self.ID && !entry.Local {
		world.Waiting.Delete(entry.Request.ID)
		s.forward(tick, world, entry.Request, placing)
		return true
	}
	if wait := unreportedProbe(tick.Now, world, entry.Request); wait > 0 {
		s.endWaiting(tick, world, entry, unreportedRefusal(wait))
		return true
	}
	if !held(tick.Now, world, entry.Request) && !claimProbe(tick, world, entry.Request) {
		return false
	}
	if !tick.Now.Before(waitsUntil) {
		s.endWaiting(tick, world, entry, refusal(modeler.ReasonSuspected, retryAfter(tick.Now, entry.Request)))
	}
	return true
}
