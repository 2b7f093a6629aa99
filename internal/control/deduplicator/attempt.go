package deduplicator

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// attemptPhase is the progress of an attempt of this node.
type attemptPhase uint8

const (
	// intentPending means that the intent was sent to the log and has not been read back.
	intentPending attemptPhase = iota
	// intentAccepted means that the intent was read back and the attempt owns its key.
	intentAccepted
	// intentRejected means that the intent was read back without effect.
	intentRejected
	// running means that the goroutine that waits for the decision may send the call.
	running
	// outcomePending means that the call ran and its outcome has not been read back.
	outcomePending
	// abortPending means that the call will never be sent and the abort has not been read back.
	abortPending
)

// attempt is the state of one attempt of this node. An attempt never leaves abortPending, so a refusal with NotRun stays true
// at whatever offset its intent is stored.
type attempt struct {
	call  modeler.Call
	phase attemptPhase
	// outcome is valid in outcomePending.
	outcome modeler.CallOutcome
	// refusal is the reply that an attempt in abortPending still has to receive, or nil if it has been sent.
	refusal *modeler.Refusal
	// timeoutAt is when an attempt in intentPending is aborted, or when one in abortPending is answered before its abort has
	// been read back.
	timeoutAt time.Time
	// resendAt is when the outcome or the abort is appended again. failures counts the failed appends of that record.
	resendAt time.Time
	failures int
}

func (a attempt) withPhase(phase attemptPhase) attempt {
	a.phase = phase
	return a
}

// withAbort returns a copy in abortPending that receives refusal at timeoutAt at the latest. A nil refusal means that no reply
// is outstanding.
func (a attempt) withAbort(refusal *modeler.Refusal, timeoutAt time.Time) attempt {
	a.phase, a.refusal, a.timeoutAt, a.failures = abortPending, refusal, timeoutAt, 0
	return a
}

func (a attempt) withOutcome(outcome modeler.CallOutcome) attempt {
	a.phase, a.outcome, a.refusal, a.failures = outcomePending, outcome, nil, 0
	return a
}

func (a attempt) withAnswered() attempt {
	a.refusal = nil
	return a
}

func (a attempt) withResendAt(at time.Time) attempt {
	a.resendAt = at
	return a
}

func (a attempt) withFailure() attempt {
	a.failures++
	return a
}

// pendingRecord returns the outcome or abort record that has not been read back, or nil.
func (a attempt) pendingRecord() any {
	switch a.phase {
	case outcomePending:
		return modeler.CallFinished{Call: a.call, Outcome: a.outcome}
	case abortPending:
		return modeler.CallAborted{Call: a.call}
	default:
		return nil
	}
}

// nextTimer returns when handleTimer has to run for the attempt, or the zero time if it only waits for events.
func (a attempt) nextTimer() time.Time {
	switch {
	case a.phase == intentPending:
		return a.timeoutAt
	case a.phase == abortPending && a.refusal != nil && a.timeoutAt.Before(a.resendAt):
		return a.timeoutAt
	case a.pendingRecord() != nil:
		return a.resendAt
	default:
		return time.Time{}
	}
}
