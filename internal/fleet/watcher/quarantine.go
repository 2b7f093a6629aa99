package watcher

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// survivalTime is how long an endpoint runs on after the first event of an attempt until the attempt shows that it survives the prompt.
	survivalTime = 300 * time.Millisecond
	// requestQuarantineTime and partQuarantineTime are the lengths of the first quarantine of a request and of a shared part, after the last
	// broken attempt, and requestQuarantineGrowth and partQuarantineGrowth the factors by which further ones are longer. At the end of each
	// quarantine of a request that still comes, one more endpoint crashes: three of these ends are allowed, and they take two hours.
	requestQuarantineTime   = time.Minute
	requestQuarantineGrowth = 10
	partQuarantineTime      = 10 * time.Minute
	partQuarantineGrowth    = 2
	// brokenAttemptRetention is how long the broken attempts of a fingerprint are kept after the last one.
	brokenAttemptRetention = 10 * time.Minute
	// quarantineRetention is how long a fingerprint is kept after its quarantine. Until then, one more broken attempt quarantines it again.
	quarantineRetention = 4 * time.Hour
	// maxBrokenAttempts bounds the table. A data centre that fails breaks thousands of attempts at once, each with a fingerprint of its own.
	maxBrokenAttempts = 2048
	// digestDelay is the time after which the coordinator's digest covers a broken attempt of this node.
	digestDelay = 2 * time.Second
)

// sender is the process of a node that reported an attempt.
type sender struct {
	node    modeler.NodeID
	process uint64
}

func senderOf(message modeler.Message) sender {
	return sender{node: message.From, process: message.Incarnation}
}

// report is the report of a broken attempt.
type report struct {
	from    modeler.NodeID
	ended   modeler.Ended
	attempt modeler.BrokenAttempt
}

// newReport returns the report of an attempt that ended at the given time on the clock of this node.
func newReport(from sender, ended modeler.Ended, at time.Time) report {
	return report{from: from.node, ended: ended, attempt: modeler.NewBrokenAttempt(from.process, ended, at)}
}

// quarantinePolicy decides which broken attempts count for a fingerprint, and when requests with it are refused.
type quarantinePolicy interface {
	// with returns the count after an attempt that overlaps none that was counted.
	with(b modeler.BrokenAttempts, r report) modeler.BrokenAttempts
	// observation is the time after the first broken attempt in which requests are not refused.
	observation() time.Duration
	quarantineTime() (first time.Duration, growth int)
}

// requestPolicy counts, for a request, broken attempts that were placed one after the other. Callers may send the same sound request many times at
// once, in particular one without a body.
type requestPolicy struct{}

func (requestPolicy) with(b modeler.BrokenAttempts, r report) modeler.BrokenAttempts {
	return b.WithBrokenAttempt(r.attempt.EndedAt).WithReported(r.attempt, true)
}

func (requestPolicy) observation() time.Duration { return 0 }

func (requestPolicy) quarantineTime() (first time.Duration, growth int) {
	return requestQuarantineTime, requestQuarantineGrowth
}

// partPolicy counts, for a shared part of prompts, broken attempts of different requests that were placed one after the other.
type partPolicy struct{}

func (partPolicy) with(b modeler.BrokenAttempts, r report) modeler.BrokenAttempts {
	request := requestFingerprint(r.ended)
	if b.Quarantines == 0 && slices.Contains(b.Requests, request) {
		// The next request is compared with the last different one: it may have been placed while this one was repeated.
		return b.WithRepeat().WithReported(r.attempt, false)
	}
	return b.WithBrokenAttempt(r.attempt.EndedAt).WithRequest(request, r.ended.SharedParts).WithReported(r.attempt, true)
}

func (partPolicy) observation() time.Duration { return modeler.ObservationTime }

func (partPolicy) quarantineTime() (first time.Duration, growth int) {
	return partQuarantineTime, partQuarantineGrowth
}

// requestFingerprint returns a fingerprint that differs between requests, also if they have no body.
func requestFingerprint(e modeler.Ended) modeler.Fingerprint {
	if e.Fingerprint != modeler.NoFingerprint {
		return e.Fingerprint
	}
	callerID, _, _ := strings.Cut(string(e.ID), "/")
	return modeler.Fingerprint(xxhash.Sum64String(callerID))
}

// countBroken counts a broken attempt for a fingerprint of its request or of a shared part.
func countBroken[P quarantinePolicy](tick *modeler.Tick, world *modeler.World, policy P, fingerprint modeler.Fingerprint, r report) {
	before, _ := world.BrokenAttempts.Get(fingerprint)
	if before.Reported(r.attempt) {
		return
	}
	if before.Overlaps(r.attempt) {
		logReport(tick, world, before, before, fingerprint, r)
		world.BrokenAttempts.Put(fingerprint, before.WithReported(r.attempt, false))
		return
	}
	after := policy.with(before, r)
	logReport(tick, world, before, after, fingerprint, r)
	if after.ReachesQuarantine() {
		from := after.FirstAt.Add(policy.observation())
		if from.Before(tick.Now) {
			from = tick.Now
		}
		first, growth := policy.quarantineTime()
		after = after.WithQuarantine(from, tick.Now, first, growth)
	}
	if before.Count == 0 && world.BrokenAttempts.Len() >= maxBrokenAttempts {
		evictBrokenAttempts(world)
	}
	world.BrokenAttempts.Put(fingerprint, after)
	if places(world, tick.Now) {
		if before.Count == 0 {
			// Another node that this one has no contact with may have quarantined the fingerprint.
			tick.Emit(modeler.FetchQuarantines{})
		}
		if suspect, ok := after.Suspect(fingerprint, tick.Now); ok && after.ReachesQuarantine() {
			tick.Emit(modeler.SaveQuarantine{Suspect: suspect, Until: after.Until})
		}
	}
	if after.Quarantines > before.Quarantines {
		logQuarantine(tick, world, modeler.LogEvent{Name: modeler.LogEventQuarantined, Request: r.ended.ID, Fields: []modeler.LogField{
			{Key: "Fingerprint", Value: modeler.JoinFingerprints([]modeler.Fingerprint{fingerprint})}, {Key: "SharedPart", Value: after.SharedPart},
			{Key: "Count", Value: after.Count}, {Key: "For", Value: after.Until.Sub(tick.Now)},
		}})
	}
}

// logReport emits a log event for a reported attempt if this node decides on quarantines.
func logReport(tick *modeler.Tick, world *modeler.World, before, after modeler.BrokenAttempts, fingerprint modeler.Fingerprint, r report) {
	fields := []modeler.LogField{
		{Key: "Node", Value: string(r.from)}, {Key: "Endpoint", Value: string(r.ended.Endpoint)},
		{Key: "Fingerprint", Value: modeler.JoinFingerprints([]modeler.Fingerprint{fingerprint})}, {Key: "SharedPart", Value: after.SharedPart},
		{Key: "Counted", Value: after.Count > before.Count}, {Key: "Count", Value: after.Count},
	}
	if before.Count > 0 {
		fields = append(fields, modeler.LogField{Key: "SinceLast", Value: r.attempt.PlacedAt.Sub(before.At)})
	}
	logQuarantine(tick, world, modeler.LogEvent{Name: modeler.LogEventBrokenAttemptReported, Request: r.ended.ID, Fields: fields})
}

// places reports whether this node places its requests for engines itself, so that it decides on quarantines. What other nodes count from their own
// attempts is known to the node that places for them.
func places(world *modeler.World, now time.Time) bool {
	_, forwards := elector.PlacingNode(world, now)
	return !forwards
}

// logQuarantine emits a log event if this node decides on quarantines.
func logQuarantine(tick *modeler.Tick, world *modeler.World, event modeler.LogEvent) {
	if places(world, tick.Now) {
		tick.Emit(event)
	}
}

// handleRestored writes the quarantines again after the store has come back from a copy, which may lack them: a node that coordinates later reads them there.
// Of all nodes, the one that decides on quarantines does it, and the one that reads the store for all, in case the store turns the other one away.
func (s *System) handleRestored(tick *modeler.Tick, world *modeler.World, era int64) {
	restored := s.era > 0 && era > s.era
	s.era = max(s.era, era)
	if !restored || !places(world, tick.Now) && !world.ReadsForAll {
		return
	}
	for fingerprint, attempts := range world.BrokenAttempts.All() {
		if suspect, ok := attempts.Suspect(fingerprint, tick.Now); ok && attempts.Quarantined(tick.Now) {
			tick.Emit(modeler.SaveQuarantine{Suspect: suspect, Until: attempts.Until})
		}
	}
}

// liftQuarantine removes the count of a fingerprint, and its quarantine on all nodes.
func liftQuarantine(tick *modeler.Tick, world *modeler.World, fingerprint modeler.Fingerprint, id modeler.RequestID) {
	brokenAttempts, _ := world.BrokenAttempts.Get(fingerprint)
	world.BrokenAttempts.Delete(fingerprint)
	if brokenAttempts.Quarantines == 0 {
		return
	}
	if places(world, tick.Now) {
		tick.Emit(modeler.DeleteQuarantine{Fingerprint: fingerprint})
	}
	logQuarantine(tick, world, modeler.LogEvent{Name: modeler.LogEventQuarantineLifted, Request: id, Fields: []modeler.LogField{
		{Key: "Fingerprint", Value: modeler.JoinFingerprints([]modeler.Fingerprint{fingerprint})}, {Key: "Count", Value: brokenAttempts.Count},
		{Key: "Since", Value: tick.Now.Sub(brokenAttempts.FirstAt)},
	}})
}

// recordOutcome counts a broken attempt for its request and for the shared parts of its prompt, or removes the counts that its outcome refutes.
func recordOutcome(tick *modeler.Tick, world *modeler.World, from sender, e modeler.Ended) {
	if e.Outcome == modeler.Answered && e.Survived {
		// An endpoint has run the request, so that earlier attempts ended for another reason.
		world.UnresolvedAttempts.Delete(e.Fingerprint)
		if brokenAttempts, ok := world.BrokenAttempts.Get(e.Fingerprint); ok && !tick.Now.Add(-e.Age).Before(brokenAttempts.FirstAt) {
			liftQuarantine(tick, world, e.Fingerprint, e.ID)
		}
	}
	if e.Outcome == modeler.Broken && e.Fingerprint != modeler.NoFingerprint {
		countBroken(tick, world, requestPolicy{}, e.Fingerprint, newReport(from, e, tick.Now))
	}
	for _, part := range e.SharedParts {
		if e.Survived {
			clearPart(tick, world, part, e.ID, tick.Now.Add(-e.Age))
		} else if e.Outcome == modeler.Broken {
			countBroken(tick, world, partPolicy{}, part, newReport(from, e, tick.Now))
		}
	}
}

// isProbe reports whether a request is the last probe of one of its shared parts.
func isProbe(world *modeler.World, request modeler.Request) bool {
	return world.BrokenAttempts.Len() > 0 && slices.ContainsFunc(request.SharedParts, func(part modeler.Fingerprint) bool {
		brokenAttempts, _ := world.BrokenAttempts.Get(part)
		return brokenAttempts.Probe.ID == request.ID
	})
}

// recordProbeEnd records the end of a request that is the probe of its fingerprint or of one of the given parts. An endpoint that has survived it removes the
// count instead.
func recordProbeEnd(world *modeler.World, e modeler.Ended, parts []modeler.Fingerprint) {
	if world.BrokenAttempts.Len() == 0 || e.ID == "" {
		return
	}
	for _, fingerprint := range append(slices.Clone(parts), e.Fingerprint) {
		if brokenAttempts, _ := world.BrokenAttempts.Get(fingerprint); brokenAttempts.Probe.ID == e.ID {
			world.BrokenAttempts.Put(fingerprint, brokenAttempts.WithProbeEnded(e.ID, e.Outcome == modeler.Broken))
		}
	}
}

// clearPart removes the count of a shared part, since an endpoint survived an attempt with it that was placed after the first broken one.
func clearPart(tick *modeler.Tick, world *modeler.World, part modeler.Fingerprint, id modeler.RequestID, placed time.Time) {
	world.UnresolvedAttempts.Delete(part)
	brokenAttempts, ok := world.BrokenAttempts.Get(part)
	if !ok || placed.Before(brokenAttempts.FirstAt) {
		return
	}
	liftQuarantine(tick, world, part, id)
}

// survived reports whether the endpoint has run on for survivalTime after the first event of the attempt.
func survived(a modeler.Assignment, now time.Time) bool {
	return !a.FirstEventAt.IsZero() && now.Sub(a.FirstEventAt) >= survivalTime
}

// startedAttempt is an attempt that got its first event.
type startedAttempt struct {
	id modeler.RequestID
	// due is when it shows that its endpoint survives the prompt, if it still runs.
	due time.Time
}

// clearSurvived removes the counts of the shared parts of attempts that still run survivalTime after their first event.
func (s *System) clearSurvived(tick *modeler.Tick, world *modeler.World) {
	due := 0
	for ; due < len(s.started) && !tick.Now.Before(s.started[due].due); due++ {
		a, ok := world.Assignments.Get(s.started[due].id)
		if !ok {
			continue
		}
		for _, part := range a.Request.SharedParts {
			clearPart(tick, world, part, a.Request.ID, a.Placed)
		}
	}
	s.started = slices.Delete(s.started, 0, due)
}

// applyDigest merges the fingerprints that a digest lists. What its sender no longer lists was refuted by another node's attempt.
func applyDigest(now time.Time, world *modeler.World, message modeler.Message, digest modeler.Digest) {
	if world.Coordinates() {
		return
	}
	mergeReported(now, world, digest.Suspects)
	listed := make(map[modeler.Fingerprint]bool, len(digest.Suspects))
	for _, suspect := range digest.Suspects {
		listed[suspect.Fingerprint] = true
		brokenAttempts, _ := world.BrokenAttempts.Get(suspect.Fingerprint)
		world.BrokenAttempts.Put(suspect.Fingerprint, brokenAttempts.WithListedBy(message.Incarnation))
	}
	if message.From != world.Coordinator || digest.SuspectsPartial {
		return
	}
	for fingerprint, brokenAttempts := range world.BrokenAttempts.All() {
		if brokenAttempts.ListedBy == message.Incarnation && !listed[fingerprint] && now.Sub(brokenAttempts.At) > digestDelay {
			world.BrokenAttempts.Delete(fingerprint)
		}
	}
}

// mergeReported adds the fingerprints that a message of another node lists. A message from before or during a pause of this process may list a part that was
// cleared since. Its probe is left out then: its age is not known, and this node would wait for a result that nobody has. Later messages name a probe that counts.
func mergeReported(now time.Time, world *modeler.World, suspects []modeler.Suspect) {
	if world.ReceivesStaleMessages(now) {
		suspects = slices.Clone(suspects)
		for i := range suspects {
			suspects[i].Probe = modeler.ProbeReport{}
		}
	}
	mergeSuspects(now, world, suspects)
}

// mergeSuspects adds the fingerprints that another node knows.
func mergeSuspects(now time.Time, world *modeler.World, suspects []modeler.Suspect) {
	for _, suspect := range suspects {
		before, _ := world.BrokenAttempts.Get(suspect.Fingerprint)
		world.BrokenAttempts.Put(suspect.Fingerprint, before.WithSuspect(suspect, now))
	}
}

// evictBrokenAttempts removes a quarter of the table: first the fingerprints that never were quarantined, those with the lowest count first, the
// oldest of these first.
func evictBrokenAttempts(world *modeler.World) {
	type entry struct {
		fingerprint modeler.Fingerprint
		modeler.BrokenAttempts
	}
	var entries []entry
	for fingerprint, brokenAttempts := range world.BrokenAttempts.All() {
		entries = append(entries, entry{fingerprint, brokenAttempts})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(min(a.Quarantines, 1), min(b.Quarantines, 1)), cmp.Compare(a.Count, b.Count), a.At.Compare(b.At))
	})
	for _, e := range entries[:len(entries)/4] {
		world.BrokenAttempts.Delete(e.fingerprint)
	}
}

// deleteOldBrokenAttempts deletes the broken attempts of fingerprints that had none for their retention.
func (s *System) deleteOldBrokenAttempts(tick *modeler.Tick, world *modeler.World) {
	if tick.Now.Before(s.nextDeletionAt) {
		return
	}
	s.nextDeletionAt = tick.Now.Add(brokenAttemptRetention / 20)
	for fingerprint, brokenAttempts := range world.BrokenAttempts.All() {
		end := brokenAttempts.At.Add(brokenAttemptRetention)
		if brokenAttempts.Quarantines > 0 {
			end = brokenAttempts.Until.Add(quarantineRetention)
		}
		if tick.Now.After(end) {
			world.BrokenAttempts.Delete(fingerprint)
		}
	}
}
