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
	held
	done
)

// keyState is the state of one idempotency key of a member after the records read so far. It copies only the needed fields of
// the holder's Call, because a node stores a state for every key within the retention of the log.
type keyState struct {
	phase keyPhase
	// attempt is the attempt that holds the key or has run. attempt, bodyHash and deadline are not valid while the key is free.
	attempt  modeler.AttemptID
	bodyHash uint64
	deadline time.Time
	// outcome is set when the key is done. It is immutable.
	outcome *modeler.CallOutcome
	// voided lists attempts whose intents have no effect: they were aborted, or their intent follows the intent or outcome of
	// another attempt. The list is short, because a node appends no intent for a key that it knows to be held or done.
	voided []modeler.AttemptID
}

// withHolder returns a copy in the given phase that names the attempt of c.
func (s keyState) withHolder(phase keyPhase, c modeler.Call) keyState {
	s.phase, s.attempt, s.bodyHash, s.deadline = phase, c.Attempt, c.BodyHash, c.Deadline
	return s
}

// withIntent returns the state after an intent. The intent of an attempt for a key that another one holds or has run is voided
// permanently.
func (s keyState) withIntent(c modeler.Call) keyState {
	switch {
	case slices.Contains(s.voided, c.Attempt):
	case s.phase == free:
		s = s.withHolder(held, c)
	case s.attempt != c.Attempt:
		s = s.withVoided(c.Attempt)
	}
	return s
}

// withAbort returns the state after an abort, which frees the key if the aborted attempt holds it.
func (s keyState) withAbort(c modeler.Call) keyState {
	if s.holds(c.Attempt) {
		s = s.withHolder(free, modeler.Call{})
	}
	return s.withVoided(c.Attempt)
}

// withOutcome returns the state after an outcome. Only the first outcome of a key counts; the same record may be appended
// several times.
func (s keyState) withOutcome(c modeler.Call, outcome modeler.CallOutcome) keyState {
	if s.phase != done {
		s = s.withHolder(done, c)
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

// holds reports whether the attempt holds the key.
func (s keyState) holds(attempt modeler.AttemptID) bool {
	return s.phase == held && s.attempt == attempt
}

// bodyLen returns the length of the recorded body in bytes.
func (s keyState) bodyLen() int {
	if s.outcome == nil {
		return 0
	}
	return len(s.outcome.Body)
}
