package modeler

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of broken attempts of a request, or of different requests with a shared part, after which requests with
	// the same fingerprint are refused.
	quarantineThreshold = 3
	// suspectThreshold is the number of different requests after which a broken request with the same shared part is not sent again.
	suspectThreshold = 2
	// repeatThreshold is the number of broken attempts after which requests with a shared part are refused if only suspectThreshold different
	// ones were among them.
	repeatThreshold = 4
	// ObservationTime is the time after the first broken attempt with a shared part in which another attempt with the part, placed right after it,
	// shows that endpoints survive it. Nothing is refused before.
	ObservationTime = 600 * time.Millisecond
	// maxCompanions bounds the companions of a shared part in the digest.
	maxCompanions = 4
	// recentTime is how long the count of a shared part is recent, and suspectTime that of a request.
	recentTime  = 10 * time.Second
	suspectTime = time.Minute
	// releaseTime is the time after the quarantine of a request in which it runs alone: it may still come to all nodes at once.
	releaseTime = 10 * time.Minute
	// maxQuarantineTime bounds the quarantine of a fingerprint that is quarantined again and again.
	maxQuarantineTime = 24 * time.Hour
)

// BrokenAttempts counts, for the fingerprint of a request or of a shared part of prompts, the attempts that ended in a broken connection.
type BrokenAttempts struct {
	Count int
	// FirstAt and At are the times of the first and the last counted attempt. Repeats of a request that was counted for a shared part do not
	// change At.
	FirstAt, At time.Time
	// LearnedAt is the end of the last attempt that raised Count and that only another node has counted; zero if there is none.
	LearnedAt time.Time
	// Attempts holds the last attempts that were reported to this node, in the order of their reports. It must not be modified.
	Attempts []BrokenAttempt
	// SharedPart is set for the fingerprint of a shared part.
	SharedPart bool
	// Companions holds the shared parts, this one among them, that all requests had which were counted for it. Any of them may be the cause. It
	// must not be modified.
	Companions []Fingerprint
	// Requests holds the fingerprints of the first quarantineThreshold different requests that were counted for a shared part. It must not be
	// modified.
	Requests []Fingerprint
	// From and Until are the beginning and the end of the last quarantine. Quarantines is the number of quarantines.
	From, Until time.Time
	Quarantines int
	// ListedBy is the incarnation of the coordinator whose digest listed the fingerprint last. Only the digest of the same process may remove it:
	// another coordinator may not know it.
	ListedBy uint64
	// Probe is the last probe, also if it belongs to an earlier quarantine.
	Probe Probe
	// Trial is the last request with the fingerprint that this node placed, or was granted, while it had to run alone. TrialAt is when.
	Trial   RequestID
	TrialAt time.Time
}

// WithBrokenAttempt returns the count after one more broken attempt. at may be before the time of the last one: reports overtake each other, and some
// attempts are recognised as broken later.
func (b BrokenAttempts) WithBrokenAttempt(at time.Time) BrokenAttempts {
	if b.Count == 0 || at.Before(b.FirstAt) {
		b.FirstAt = at
	}
	b.Count++
	if at.After(b.At) {
		b.At = at
	}
	if b.probed() && !at.Before(b.Probe.At) {
		b.Probe.State = ProbeBroke
	}
	return b
}

// WithRepeat returns the count of a shared part after a broken repeat of a request that was counted.
func (b BrokenAttempts) WithRepeat() BrokenAttempts {
	b.Count++
	return b
}

// WithRequest returns the count of a shared part with a request that it was counted for and the shared parts of its prompt.
func (b BrokenAttempts) WithRequest(request Fingerprint, parts []Fingerprint) BrokenAttempts {
	b = b.withCompanions(parts, !b.SharedPart)
	b.SharedPart = true
	if len(b.Requests) < quarantineThreshold && !slices.Contains(b.Requests, request) {
		b.Requests = append(slices.Clip(b.Requests), request)
	}
	return b
}

// CountedFor reports whether a broken attempt of the request was counted for this shared part.
func (b BrokenAttempts) CountedFor(request Fingerprint) bool {
	return request != NoFingerprint && slices.Contains(b.Requests, request)
}

// withCompanions sets Companions for the first request, and removes those that are not in parts for later ones.
func (b BrokenAttempts) withCompanions(parts []Fingerprint, first bool) BrokenAttempts {
	if first {
		b.Companions = parts
		return b
	}
	b.Companions = slices.DeleteFunc(slices.Clone(b.Companions), func(part Fingerprint) bool { return !slices.Contains(parts, part) })
	return b
}

// Blames reports whether a prompt with the given shared parts, this one among them, has all parts that may be the cause. One that lacks some of
// them shows whether they are.
func (b BrokenAttempts) Blames(parts []Fingerprint) bool {
	return !slices.ContainsFunc(b.Companions, func(part Fingerprint) bool { return !slices.Contains(parts, part) })
}

// ReachesQuarantine reports whether a broken attempt that was just counted causes or prolongs a quarantine.
func (b BrokenAttempts) ReachesQuarantine() bool {
	if !b.SharedPart {
		return b.Count >= quarantineThreshold
	}
	return b.Quarantines > 0 || len(b.Requests) >= quarantineThreshold || len(b.Requests) >= suspectThreshold && b.Count >= repeatThreshold
}

// WithQuarantine returns the count after a broken attempt at the time at that causes or prolongs a quarantine. The first quarantine lasts for
// the given time; each further one lasts growth times as long as the one before.
func (b BrokenAttempts) WithQuarantine(from, at time.Time, first time.Duration, growth int) BrokenAttempts {
	if !at.Before(b.Until) {
		b.From = from
		b.Quarantines++
	}
	lasts := first
	for i := 1; i < b.Quarantines && lasts < maxQuarantineTime; i++ {
		lasts *= time.Duration(growth)
	}
	b.Until = at.Add(min(lasts, maxQuarantineTime))
	return b
}

// Quarantined reports whether requests with this fingerprint are refused.
func (b BrokenAttempts) Quarantined(now time.Time) bool {
	return !now.Before(b.From) && now.Before(b.Until)
}

// WithListedBy returns the count after the digest of a coordinator with the given incarnation listed the fingerprint.
func (b BrokenAttempts) WithListedBy(incarnation uint64) BrokenAttempts {
	b.ListedBy = incarnation
	return b
}

// Suspected reports whether broken requests with this shared part are not sent again.
func (b BrokenAttempts) Suspected(now time.Time) bool {
	return len(b.Requests) >= suspectThreshold && now.Sub(b.FirstAt) >= ObservationTime
}

// Recent reports whether other nodes have to know the count although nothing is refused: an attempt was counted a short time ago, or a request was
// quarantined.
func (b BrokenAttempts) Recent(now time.Time) bool {
	if b.SharedPart {
		return now.Sub(b.At) < recentTime
	}
	return now.Sub(b.At) < suspectTime || b.Quarantines > 0 && now.Sub(b.Until) < releaseTime
}

// RunsAlone reports whether the nodes together run one request with this fingerprint at a time. Shared parts are also in sound requests, which are not held up.
func (b BrokenAttempts) RunsAlone(now time.Time) bool {
	return b.Count > 0 && !b.SharedPart && b.Recent(now)
}

// WithTrial returns the count after a request that has to run alone was placed.
func (b BrokenAttempts) WithTrial(id RequestID, at time.Time) BrokenAttempts {
	b.Trial, b.TrialAt = id, at
	return b
}

// Suspect is a fingerprint in a digest.
type Suspect struct {
	Fingerprint Fingerprint
	Count       int
	SharedPart  bool
	// Companions and Requests are those of BrokenAttempts. They must not be modified.
	Companions, Requests []Fingerprint
	// Quarantines is the number of quarantines, and Probe the last probe.
	Quarantines int
	Probe       ProbeReport
	// QuarantinedFor is the rest of the quarantine; zero if there is none.
	QuarantinedFor time.Duration
	// Age is the time since the last counted attempt.
	Age time.Duration
}

// Suspect returns the digest's entry for the fingerprint, or false if other nodes need not know it. Of many companions it has the last ones, which
// fewer prompts share.
func (b BrokenAttempts) Suspect(fingerprint Fingerprint, now time.Time) (Suspect, bool) {
	suspect := Suspect{
		Fingerprint: fingerprint, Count: b.Count, SharedPart: b.SharedPart, Companions: b.Companions[max(len(b.Companions)-maxCompanions, 0):],
		Requests: b.Requests, Quarantines: b.Quarantines, Probe: b.Probe.report(now),
	}
	if !b.At.IsZero() {
		suspect.Age = max(now.Sub(b.At), 0)
	}
	if b.Quarantined(now) {
		suspect.QuarantinedFor = b.Until.Sub(now)
	}
	return suspect, suspect.QuarantinedFor > 0 || len(b.Requests) >= suspectThreshold
}

// WithSuspect returns the count after another node reported the fingerprint: the higher count and the later end of the quarantine.
func (b BrokenAttempts) WithSuspect(suspect Suspect, now time.Time) BrokenAttempts {
	b = b.withCompanions(suspect.Companions, !b.SharedPart)
	if b.Count < suspect.Count {
		at := now.Add(-suspect.Age)
		if b.Count == 0 {
			b.FirstAt = at
		}
		b.Count, b.LearnedAt = suspect.Count, at
		if at.After(b.At) {
			b.At = at
		}
	}
	if len(b.Requests) < len(suspect.Requests) {
		b.Requests = suspect.Requests
	}
	b.SharedPart = b.SharedPart || suspect.SharedPart
	if until := now.Add(suspect.QuarantinedFor); suspect.QuarantinedFor > 0 && until.After(b.Until) {
		if !b.Quarantined(now) {
			b.From = now
		}
		b.Until, b.Quarantines = until, max(b.Quarantines, 1)
	}
	quarantines := suspect.Quarantines
	if !b.SharedPart && suspect.QuarantinedFor <= 0 && suspect.Age >= suspectTime {
		// Such an old count of a request is listed only after a quarantine.
		quarantines = max(quarantines, 1)
	}
	if quarantines > b.Quarantines {
		if b.Until.IsZero() {
			b.From, b.Until = now, now
		}
		b.Quarantines = quarantines
	}
	b.Probe = b.Probe.WithReport(suspect.Probe, now)
	return b
}
