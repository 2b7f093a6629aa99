package modeler

import (
	"slices"
	"time"
)

// maxReported bounds the reported attempts of one fingerprint. More than quarantineThreshold are kept so that a report that comes twice is recognised.
const maxReported = 16

// BrokenAttempt is an attempt that ended in a broken connection, as a node reported it.
type BrokenAttempt struct {
	ID RequestID
	// Process is the incarnation of the process that reported the attempt.
	Process uint64
	// PlacedAt and EndedAt are on the clock of this node. Both are later than the real times by the delay of the report.
	PlacedAt, EndedAt time.Time
	// ProcessPlacedAt and ProcessEndedAt are the same on the clock of Process. ProcessEndedAt is zero if the report does not state it.
	ProcessPlacedAt, ProcessEndedAt time.Duration
	// Counted is set if later attempts are compared with this one.
	Counted bool
}

// NewBrokenAttempt returns the attempt of a report that a process sent and that ended at the given time on the clock of this node.
func NewBrokenAttempt(process uint64, e Ended, at time.Time) BrokenAttempt {
	return BrokenAttempt{
		ID: e.ID, Process: process, PlacedAt: at.Add(-e.Age), EndedAt: at, ProcessPlacedAt: e.ProcessEndedAt - e.Age, ProcessEndedAt: e.ProcessEndedAt,
	}
}

// sameClock reports whether the attempts have times on the clock of one process, which the delays of their reports do not change.
func (a BrokenAttempt) sameClock(other BrokenAttempt) bool {
	return a.Process == other.Process && a.ProcessEndedAt != 0 && other.ProcessEndedAt != 0
}

// same reports whether both are reports of one attempt.
func (a BrokenAttempt) same(other BrokenAttempt) bool {
	return a.sameClock(other) && a.ID == other.ID && a.ProcessEndedAt == other.ProcessEndedAt
}

// overlaps reports whether both attempts ran at the same time and ended within the observation time. Attempts of one process are compared by its
// clock: one that was placed when the other had broken follows it, however their reports arrive.
func (a BrokenAttempt) overlaps(other BrokenAttempt) bool {
	if a.sameClock(other) {
		between := (a.ProcessEndedAt - other.ProcessEndedAt).Abs()
		return a.ProcessPlacedAt < other.ProcessEndedAt && other.ProcessPlacedAt < a.ProcessEndedAt && between < ObservationTime
	}
	return a.PlacedAt.Before(other.EndedAt) && other.PlacedAt.Before(a.EndedAt) && a.EndedAt.Sub(other.EndedAt).Abs() < ObservationTime
}

// Reported reports whether the attempt is one of those that were reported before.
func (b BrokenAttempts) Reported(attempt BrokenAttempt) bool {
	return slices.ContainsFunc(b.Attempts, attempt.same)
}

// ReportedBy reports whether a process has reported one of the last attempts.
func (b BrokenAttempts) ReportedBy(process uint64) bool {
	return slices.ContainsFunc(b.Attempts, func(a BrokenAttempt) bool { return a.Process == process })
}

// Overlaps reports whether an attempt ran at the same time as one that was counted. If many attempts break at one moment, as when a data centre fails,
// only one counts. Attempts that overlap for longer than the observation time all count, because first events can take seconds.
func (b BrokenAttempts) Overlaps(attempt BrokenAttempt) bool {
	if slices.ContainsFunc(b.Attempts, func(a BrokenAttempt) bool { return a.Counted && a.overlaps(attempt) }) {
		return true
	}
	// Of the attempts that only other nodes have counted, the end of the last one is known.
	return !b.LearnedAt.IsZero() && attempt.PlacedAt.Before(b.LearnedAt) && attempt.EndedAt.Sub(b.LearnedAt) < ObservationTime
}

// WithReported returns the count with one more reported attempt. Of too many, the oldest one leaves, those that are not compared first.
func (b BrokenAttempts) WithReported(attempt BrokenAttempt, counted bool) BrokenAttempts {
	attempt.Counted = counted
	b.Attempts = append(slices.Clone(b.Attempts), attempt)
	if len(b.Attempts) > maxReported {
		oldest := max(slices.IndexFunc(b.Attempts, func(a BrokenAttempt) bool { return !a.Counted }), 0)
		b.Attempts = slices.Delete(b.Attempts, oldest, oldest+1)
	}
	return b
}
