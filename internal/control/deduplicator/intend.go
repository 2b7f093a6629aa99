package deduplicator

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// handleCallArrived replies to a call whose key is known, refuses it, or appends its intent. It checks for a known key first, so that
// no call that this node knows to have run is refused with NotRun.
func (d *System) handleCallArrived(tick *modeler.Tick, world *modeler.World, c modeler.Call) {
	if _, exists := d.attempts.Get(c.Attempt); exists {
		return
	}
	if decision, ok := d.knownDecision(tick.Now, c); ok {
		tick.Emit(modeler.ReplyCall{Attempt: c.Attempt, Decision: decision})
		return
	}
	if refusal := d.refusalFor(tick.Now, world, c); refusal != nil {
		tick.Emit(modeler.ReplyCall{Attempt: c.Attempt, Decision: modeler.CallDecision{Refusal: refusal}})
		return
	}
	if d.logFailed || !d.caughtUp {
		tick.Emit(modeler.ReplyCall{Attempt: c.Attempt, Decision: modeler.CallDecision{Refusal: logUnavailable()}})
		return
	}
	// Reserve time for the abort before the deadline: AbortTimeout, or a quarter of the remaining time if that is less.
	reserve := min(d.options.AbortTimeout, c.Deadline.Sub(tick.Now)/4)
	timeoutAt := earlier(tick.Now.Add(d.options.IntentTimeout), c.Deadline.Add(-reserve))
	d.put(attempt{call: c, phase: intentPending, timeoutAt: timeoutAt})
	tick.Emit(modeler.AppendRecord{Stream: modeler.StreamCalls, Record: modeler.CallIntent{Call: c}})
}

// refusalFor returns the refusal of an attempt that may not run regardless of the records of its key, or nil.
func (d *System) refusalFor(now time.Time, world *modeler.World, c modeler.Call) *modeler.Refusal {
	switch {
	case !now.Before(c.Deadline):
		return &modeler.Refusal{Code: modeler.CodeDeadlineExceeded, Message: "the deadline passed before the call could run"}
	case world.Fenced(now):
		return &modeler.Refusal{Code: modeler.CodeNodeFenced, Message: "this node may not start calls", RetryAfter: retryAfter}
	case c.KeyTime.After(now.Add(d.options.ClockMargin)):
		return &modeler.Refusal{Code: modeler.CodeKeyInvalid, Message: "the time of the idempotency key is in the future"}
	case !c.KeyTime.After(d.expiredKeyTime(now)):
		// An earlier attempt may have run and its records may be gone.
		return &modeler.Refusal{
			Code: modeler.CodeKeyExpired, Run: modeler.Unknown,
			Message: "the idempotency key is older than the records that are kept",
		}
	}
	return nil
}

// expiredKeyTime returns the newest key time that is refused as expired. For any later key, a node that reads the log now still
// finds every record of the key. Three clock errors add up, each at most ClockMargin: the key time may be ahead of the clock of the
// node that accepted the call, that clock ahead of the log's, and this node's clock behind the log's.
func (d *System) expiredKeyTime(now time.Time) time.Time {
	limit := now.Add(3*d.options.ClockMargin - d.options.Retention)
	if d.droppedKeyTime.After(limit) {
		return d.droppedKeyTime
	}
	return limit
}

// knownDecision returns the decision that follows from the records read and the attempts of this node. It returns false if
// neither contains the key.
func (d *System) knownDecision(now time.Time, c modeler.Call) (modeler.CallDecision, bool) {
	key := keyOf(c)
	state, _ := d.keys.Get(key)
	if state.phase == done {
		return duplicateDecision(now, c, state), true
	}
	if id, ok := d.localAttempts.Get(key); ok {
		a, _ := d.attempts.Get(id)
		switch a.phase {
		case abortPending:
			// The key is free only after the abort in the log; a new intent before it would be voided by the old one.
			return modeler.CallDecision{Refusal: logUnavailable()}, true
		case outcomePending:
			return duplicateDecision(now, c, keyState{}.withOutcome(a.call, a.outcome)), true
		default:
			return duplicateDecision(now, c, keyState{}.withIntent(a.call)), true
		}
	}
	if state.phase == owned {
		return duplicateDecision(now, c, state), true
	}
	return modeler.CallDecision{}, false
}

// handleCallEnded appends the outcome of a call that ran, or an abort if the call was never sent.
func (d *System) handleCallEnded(tick *modeler.Tick, e modeler.CallEnded) {
	a, known := d.attempts.Get(e.Call.Attempt)
	switch {
	case e.Outcome.Ran:
		d.appendRecord(tick, attempt{call: e.Call}.withOutcome(limitBody(e.Outcome)))
	case known && a.phase == running:
		d.appendRecord(tick, a.withAbort(nil, time.Time{}))
	}
}

// limitBody removes a body that exceeds MaxBodyBytes and marks the outcome as truncated.
func limitBody(outcome modeler.CallOutcome) modeler.CallOutcome {
	if len(outcome.Body) > MaxBodyBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	return outcome
}

// appendRecord stores an attempt and appends its pending record to the log.
func (d *System) appendRecord(tick *modeler.Tick, a attempt) {
	d.put(a.withResendAt(tick.Now.Add(readBackTimeout)))
	tick.Emit(modeler.AppendRecord{Stream: modeler.StreamCalls, Record: a.pendingRecord()})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
