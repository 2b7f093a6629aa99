package modeler

import "time"

const (
	// probeDelay is the time from the beginning of a shared part's quarantine to its probe. It covers the attempts that were placed before.
	probeDelay = 1500 * time.Millisecond
	// probeTimeout is the time after which another request becomes the probe if the last one has shown nothing.
	probeTimeout = 5 * time.Second
	// confirmedProbeDelay is the time after a probe that broke until the next one. It doubles with each probe up to maxProbeDelay, since each costs an
	// engine if the part is deadly.
	confirmedProbeDelay = 30 * time.Second
	maxProbeDelay       = 8 * time.Minute
)

// ProbeState is how far a probe has come. Of two reports of one probe, the one with the higher state is later.
type ProbeState uint8

// States of probes.
const (
	// ProbeNone: there was no probe.
	ProbeNone ProbeState = iota
	// ProbePlaced: it is not known how the request ended. The node that waited for the answer may have failed.
	ProbePlaced
	// ProbeInconclusive: the request ended and has shown nothing, for example because its caller left.
	ProbeInconclusive
	// ProbeBroke: an attempt with the part has broken since the request was placed.
	ProbeBroke
)

// Probe is the last request that was placed in spite of a quarantine, or after that of its own fingerprint, to show whether endpoints survive it.
type Probe struct {
	// Quarantine is the number of the quarantine, as BrokenAttempts counts them, and Number that of the probe in it. Both begin at 1. A probe whose
	// numbers are higher is later, whichever node placed it.
	Quarantine, Number int
	ID                 RequestID
	State              ProbeState
	// At is when the request became the probe. It is placed a moment later, when other nodes have been told.
	At time.Time
}

// Follows reports whether this probe, or this state of it, is later than another one.
func (p Probe) Follows(other Probe) bool {
	switch {
	case p.Quarantine != other.Quarantine:
		return p.Quarantine > other.Quarantine
	case p.Number != other.Number:
		return p.Number > other.Number
	default:
		return p.State > other.State
	}
}

// WithReport returns the later of this probe and one that another node reports. If two coordinators have placed one each, both count.
func (p Probe) WithReport(report ProbeReport, now time.Time) Probe {
	other := Probe{Quarantine: report.Quarantine, Number: report.Number, ID: report.ID, State: report.State, At: now.Add(-report.Age)}
	if p.Quarantine == other.Quarantine && p.Number == other.Number && p.ID != other.ID && p.ID != "" && other.ID != "" {
		// All nodes have to come to the same result, in whatever order they learn of the two.
		return Probe{
			Quarantine: p.Quarantine, Number: p.Number + 1, ID: max(p.ID, other.ID), State: max(p.State, other.State), At: later(p.At, other.At),
		}
	}
	switch {
	case !other.Follows(p):
		return p
	case p.ID == other.ID && p.Number == other.Number && p.Quarantine == other.Quarantine:
		// The time from the first report has the smaller delay.
		p.State = other.State
		return p
	default:
		return other
	}
}

// wait returns the time from this probe to the next one. A probe whose end nobody has reported may have cost an engine: it counts as one that broke, except for
// the first one, because a sound part must not be refused for long.
func (p Probe) wait() time.Duration {
	doublings := p.Number - 1
	switch {
	case p.State == ProbeInconclusive:
		return probeTimeout
	case p.State == ProbePlaced && p.Number <= 1:
		return probeTimeout
	case p.State == ProbePlaced:
		doublings--
	}
	delay := confirmedProbeDelay
	for ; doublings > 0 && delay < maxProbeDelay; doublings-- {
		delay *= 2
	}
	return min(delay, maxProbeDelay)
}

// ProbeReport is the last probe of a fingerprint in a message. Its fields are those of Probe; Age is the time since At.
type ProbeReport struct {
	Quarantine, Number int
	ID                 RequestID
	State              ProbeState
	Age                time.Duration
}

// BrokenProbe returns the report of a first probe that broke just now if broke is set, else an empty one. Nodes of earlier versions report no more.
func BrokenProbe(broke bool) ProbeReport {
	if !broke {
		return ProbeReport{}
	}
	return ProbeReport{Quarantine: 1, Number: 1, State: ProbeBroke}
}

// report returns the report of the probe, which is empty if there was none.
func (p Probe) report(now time.Time) ProbeReport {
	if p.State == ProbeNone {
		return ProbeReport{}
	}
	return ProbeReport{Quarantine: p.Quarantine, Number: p.Number, ID: p.ID, State: p.State, Age: max(now.Sub(p.At), 0)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ProbeDue reports whether a request has to show whether the quarantine of this shared part is justified: there was none in this quarantine, the
// last one neither broke nor cleared the part, or it broke some time ago. The engines of a service may all have failed for another reason then.
func (b BrokenAttempts) ProbeDue(now time.Time) bool {
	if !b.Quarantined(now) || now.Sub(b.From) < probeDelay {
		return false
	}
	return !b.probed() || now.Sub(b.Probe.At) >= b.Probe.wait()
}

// probed reports whether the last probe belongs to the last quarantine. Nodes may count the quarantines differently if one of them did not learn that the
// count was removed.
func (b BrokenAttempts) probed() bool {
	return b.Probe.State != ProbeNone && (b.Probe.Quarantine == b.Quarantines || !b.Probe.At.Before(b.From))
}

// UnreportedFor returns how long a request whose quarantine has ended stays refused because it is not known how the last one ended; zero if it is known.
func (b BrokenAttempts) UnreportedFor(now time.Time) time.Duration {
	if b.Quarantines == 0 || !b.probed() || b.Probe.State != ProbePlaced {
		return 0
	}
	return max(b.Probe.wait()-now.Sub(b.Probe.At), 0)
}

// WithProbe returns the count after a request became the probe.
func (b BrokenAttempts) WithProbe(id RequestID, at time.Time) BrokenAttempts {
	number := 1
	if b.probed() {
		number = b.Probe.Number + 1
	}
	b.Probe = Probe{Quarantine: b.Quarantines, Number: number, ID: id, State: ProbePlaced, At: at}
	return b
}

// WithProbeEnded returns the count after a request ended without showing whether endpoints survive the part, or broke. It changes nothing if the request is
// not the probe.
func (b BrokenAttempts) WithProbeEnded(id RequestID, broke bool) BrokenAttempts {
	switch {
	case b.Probe.ID != id || id == "":
	case broke:
		b.Probe.State = ProbeBroke
	case b.Probe.State == ProbePlaced:
		b.Probe.State = ProbeInconclusive
	}
	return b
}
