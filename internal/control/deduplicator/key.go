package deduplicator

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// keyPhase is the phase of an idempotency key after the records read so far.
type keyPhase uint8

const (
	free keyPhase = iota
	owned
	done
)

// keyState is the state of one idempotency key of a member after the records read so far. It copies only the needed fields of the
// owner's Call, because a node stores a state for every key within the retention of the log.
type keyState struct {
	phase keyPhase
	// attempt is the attempt that owns the key or has run. attempt, bodyHash and deadline are not valid while the key is free.
	attempt  modeler.AttemptID
	bodyHash uint64
	deadline time.Time
	// outcome is set when the key is done. It is immutable.
	outcome *modeler.CallOutcome
	// voided lists attempts whose intents have no effect: they were aborted, or their intent follows the intent or outcome of another
	// attempt. The list is short, because a node appends no intent for a key that it knows to be owned or done.
	voided []modeler.AttemptID
}

// withOwner returns a copy in the given phase whose owner is the attempt of c.
func (s keyState) withOwner(phase keyPhase, c modeler.Call) keyState {
	s.phase, s.attempt, s.bodyHash, s.deadline = phase, c.Attempt, c.BodyHash, c.Deadline
	return s
}

// withIntent returns the state after an intent. If another attempt owns the key or has run, the intent is voided permanently.
func (s keyState) withIntent(c modeler.Call) keyState {
	switch {
	case slices.Contains(s.voided, c.Attempt):
	case s.phase == free:
		s = s.withOwner(owned, c)
	case s.attempt != c.Attempt:
		s = s.withVoided(c.Attempt)
	}
	return s
}

// withAbort returns the state after an abort, which frees the key if the aborted attempt owns it.
func (s keyState) withAbort(c modeler.Call) keyState {
	if s.isOwnedBy(c.Attempt) {
		s = s.withOwner(free, modeler.Call{})
	}
	return s.withVoided(c.Attempt)
}

// withOutcome returns the state after an outcome. Only the first outcome of a key counts; the same record may be appended
// several times.
func (s keyState) withOutcome(c modeler.Call, outcome modeler.CallOutcome) keyState {
	if s.phase != done {
		s = s.withOwner(done, c)
		s.outcome = &outcome
	}
	return s
}

// withoutBody returns a copy whose outcome has no body and is marked as truncated.
func (s keyState) withoutBody() keyState {
	outcome := *s.outcome
	outcome.Body, outcome.Truncated = nil, true
	s.outcome = &outcome
	return s
}

func (s keyState) withVoided(attempt modeler.AttemptID) keyState {
	if !slices.Contains(s.voided, attempt) {
		s.voided = append(slices.Clone(s.voided), attempt)
	}
	return s
}

// isOwnedBy reports whether the attempt owns the key.
func (s keyState) isOwnedBy(attempt modeler.AttemptID) bool {
	return s.phase == owned && s.attempt == attempt
}

// bodyLen returns the length of the recorded body in bytes.
func (s keyState) bodyLen() int {
	if s.outcome == nil {
		return 0
	}
	return len(s.outcome.Body)
}
