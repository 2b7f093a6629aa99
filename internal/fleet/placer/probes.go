package placer

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// probeSettleTime is the time for which a node coordinates, or has run without a pause, before it makes a request a probe. Heartbeats tell it meanwhile of the probes of
// the coordinator before it, also of one that was placed in that one's last moment.
const probeSettleTime = time.Second

// probes reports whether the request is the probe of the quarantined parts, and makes it the probe if one is due.
func probes(tick *modeler.Tick, world *modeler.World, id modeler.RequestID, parts []modeler.Fingerprint) bool {
	if !mayProbe(tick.Now, world, id, parts) {
		return false
	}
	for _, part := range parts {
		if brokenAttempts, _ := world.BrokenAttempts.Get(part); brokenAttempts.Probe.ID != id {
			chooseProbe(tick, world, id, part)
		}
	}
	return true
}

// chooseProbe makes the request the probe of a fingerprint. Other nodes are told in the next tick, and the store if a quarantine is in force.
func chooseProbe(tick *modeler.Tick, world *modeler.World, id modeler.RequestID, fingerprint modeler.Fingerprint) {
	brokenAttempts, _ := world.BrokenAttempts.Get(fingerprint)
	brokenAttempts = brokenAttempts.WithProbe(id, tick.Now)
	world.BrokenAttempts.Put(fingerprint, brokenAttempts)
	world.SuspectsDue = true
	if suspect, _ := brokenAttempts.Suspect(fingerprint, tick.Now); suspect.QuarantinedFor > 0 {
		tick.Emit(modeler.SaveQuarantine{Suspect: suspect, Until: brokenAttempts.Until})
	}
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventProbeChosen, Request: id, Fields: []modeler.LogField{
		{Key: "Fingerprint", Value: modeler.JoinFingerprints([]modeler.Fingerprint{fingerprint})}, {Key: "Number", Value: brokenAttempts.Probe.Number},
		{Key: "Quarantine", Value: brokenAttempts.Quarantines}, {Key: "Coordinating", Value: tick.Now.Sub(world.CoordinatorSince)},
	}})
}

// mayProbe reports whether the request is the probe of the quarantined parts, or whether one is due. If the parts have different companions, another
// request may tell them apart. Only the coordinator probes, so that there is one probe in the fleet.
func mayProbe(now time.Time, world *modeler.World, id modeler.RequestID, parts []modeler.Fingerprint) bool {
	if !world.Coordinates() {
		return false
	}
	settled := now.Sub(world.CoordinatorSince) >= probeSettleTime && !world.ResumedWithin(now, probeSettleTime)
	first, _ := world.BrokenAttempts.Get(parts[0])
	for _, part := range parts {
		brokenAttempts, _ := world.BrokenAttempts.Get(part)
		if !slices.Equal(brokenAttempts.Companions, first.Companions) {
			return false
		}
		if brokenAttempts.Probe.ID != id && (!settled || !brokenAttempts.ProbeDue(now)) {
			return false
		}
	}
	return true
}

// unannounced reports whether the request is a probe of which this node has not told the others yet. If this node failed after it has placed the probe,
// the next coordinator would place another one. Only the coordinator tells the others.
func unannounced(world *modeler.World, request modeler.Request) bool {
	if world.BrokenAttempts.Len() == 0 || !world.Coordinates() {
		return false
	}
	return slices.ContainsFunc(request.Fingerprints(), func(fingerprint modeler.Fingerprint) bool {
		brokenAttempts, _ := world.BrokenAttempts.Get(fingerprint)
		return brokenAttempts.Probe.ID == request.ID && !world.SuspectsSentAt.After(brokenAttempts.Probe.At)
	})
}

// endUnplacedProbe records that a request which may be a probe will not be placed.
func endUnplacedProbe(world *modeler.World, request modeler.Request) {
	if world.BrokenAttempts.Len() == 0 {
		return
	}
	for _, fingerprint := range request.Fingerprints() {
		if brokenAttempts, _ := world.BrokenAttempts.Get(fingerprint); brokenAttempts.Probe.ID == request.ID {
			world.BrokenAttempts.Put(fingerprint, brokenAttempts.WithProbeEnded(request.ID, false))
		}
	}
}
