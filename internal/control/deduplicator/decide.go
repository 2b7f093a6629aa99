package deduplicator

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// retryAfter is short because the log is expected to be available again within seconds and a call ends within seconds.
const retryAfter = time.Second

// decideAttempts replies to the attempts whose intent was read back in this tick and handles the timers that are due.
func (d *System) decideAttempts(tick *modeler.Tick, world *modeler.World) {
	for _, id := range d.attempts.Changed() {
		a, ok := d.attempts.Get(id)
		switch {
		case ok && a.phase == intentAccepted:
			d.decideAccepted(tick, world, a)
		case ok && a.phase == intentRejected:
			state, _ := d.keys.Get(keyOf(a.call))
			reply(tick, a, duplicateDecision(tick.Now, a.call, state))
			d.remove(a)
		}
	}
	for _, id := range d.timers.Due(tick.Now) {
		if a, ok := d.attempts.Get(id); ok {
			d.handleTimer(tick, a)
		}
	}
}

// decideAccepted allows an attempt that owns its key to run. It checks again what may have changed since the intent was appended,
// such as the deadline and the fence.
func (d *System) decideAccepted(tick *modeler.Tick, world *modeler.World, a attempt) {
	if refusal := d.refusalFor(tick.Now, world, a.call); refusal != nil {
		d.abort(tick, a, refusal)
		return
	}
	d.put(a.withPhase(running))
	reply(tick, a, modeler.CallDecision{Run: true})
}

// handleTimer aborts an attempt whose intent timed out, sends a delayed refusal, or appends an unconfirmed record again.
func (d *System) handleTimer(tick *modeler.Tick, a attempt) {
	switch {
	case a.phase == intentPending:
		d.abort(tick, a, logUnavailable())
	case a.pendingRecord() == nil:
	case !tick.Now.Before(d.expiry(a.call.KeyTime)):
		d.replyRefusal(tick, a)
		d.remove(a)
	default:
		if !tick.Now.Before(a.timeoutAt) {
			d.replyRefusal(tick, a)
			a = a.withAnswered()
		}
		if tick.Now.Before(a.resendAt) {
			d.put(a)
		} else {
			d.appendRecord(tick, a)
		}
	}
}

// abort aborts an attempt whose intent is in the log or may still be stored there. The attempt never runs after this, so a refusal
// with NotRun is already true. It is nevertheless delayed until the abort has been read back, but not beyond the call's deadline, so
// that a retry with the same key finds the key free. If the refusal had to be sent earlier and the intent is stored afterwards, a
// retry is refused with CallInProgress or OutcomeUnknown until the abort has been read.
func (d *System) abort(tick *modeler.Tick, a attempt, refusal *modeler.Refusal) {
	timeoutAt := earlier(tick.Now.Add(d.options.AbortTimeout), a.call.Deadline)
	aborted := a.withAbort(refusal, timeoutAt)
	if !tick.Now.Before(timeoutAt) {
		d.replyRefusal(tick, aborted)
		aborted = aborted.withAnswered()
	}
	d.appendRecord(tick, aborted)
}

// replyRefusal sends the refusal of an attempt in abortPending, unless it has been sent.
func (d *System) replyRefusal(tick *modeler.Tick, a attempt) {
	if a.refusal != nil {
		reply(tick, a, modeler.CallDecision{Refusal: a.refusal})
	}
}

func reply(tick *modeler.Tick, a attempt, decision modeler.CallDecision) {
	tick.Emit(modeler.ReplyCall{Attempt: a.call.Attempt, Decision: decision})
}

// duplicateDecision returns the decision for a call of which another attempt owns the key or has run. The attempt c itself never
// runs, but the refusal says Unknown where the other attempt may have run the call, because a refusal is about the call and not about
// one attempt.
func duplicateDecision(now time.Time, c modeler.Call, state keyState) modeler.CallDecision {
	refusal := &modeler.Refusal{
		Code: modeler.CodeOutcomeUnknown, Run: modeler.Unknown,
		Message: "an earlier attempt of the same call may have run; its outcome was not recorded",
	}
	switch {
	case state.phase != free && state.bodyHash != c.BodyHash:
		refusal = &modeler.Refusal{Code: modeler.CodeKeyReused, Message: "the idempotency key was used with another body"}
	case state.phase == done && state.outcome.Known:
		return modeler.CallDecision{Outcome: state.outcome}
	case state.phase == free || state.phase == owned && now.Before(state.deadline):
		refusal = &modeler.Refusal{
			Code: modeler.CodeCallInProgress, Run: modeler.Unknown, RetryAfter: retryAfter,
			Message: "another attempt of the same call is in progress",
		}
	}
	return modeler.CallDecision{Refusal: refusal}
}

func logUnavailable() *modeler.Refusal {
	return &modeler.Refusal{
		Code: modeler.CodeLogUnavailable, RetryAfter: retryAfter,
		Message: "the call was not run because the log cannot record it",
	}
}
