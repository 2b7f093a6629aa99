package deduplicator

import (
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// handleRecordsRead applies records of the calls stream in log order.
func (d *System) handleRecordsRead(tick *modeler.Tick, e modeler.RecordsRead) {
	if e.Skipped && len(e.Records) > 0 {
		d.raiseDroppedKeyTime(e.Records[0].Time)
	}
	for _, record := range e.Records {
		switch v := record.Value.(type) {
		case modeler.CallIntent:
			d.readIntent(tick.Now, v.Call)
		case modeler.CallAborted:
			d.readAbort(tick, v.Call)
		case modeler.CallFinished:
			d.readOutcome(tick.Now, v)
		}
	}
	d.logFailed = false
	d.caughtUp = d.caughtUp || e.AtEnd
}

// raiseDroppedKeyTime handles records that the log dropped before this node read them. All of them were stored before firstKept, the
// time of the first record that is left. Their key times may be ahead of their node's clock, and that clock ahead of the log's, each
// by up to the clock margin. The case that no record is left needs no handling: every dropped record is then older than the
// retention, so its key has expired.
func (d *System) raiseDroppedKeyTime(firstKept time.Time) {
	if droppedKeyTime := firstKept.Add(2 * d.options.ClockMargin); droppedKeyTime.After(d.droppedKeyTime) {
		d.droppedKeyTime = droppedKeyTime
	}
}

func (d *System) readIntent(now time.Time, c modeler.Call) {
	state := d.updateKey(now, c, func(state keyState) keyState { return state.withIntent(c) })
	a, ok := d.attempts.Get(c.Attempt)
	if !ok || a.phase != intentPending {
		return
	}
	if state.isOwnedBy(c.Attempt) {
		d.put(a.withPhase(intentAccepted))
	} else {
		d.put(a.withPhase(intentRejected))
	}
}

func (d *System) readAbort(tick *modeler.Tick, c modeler.Call) {
	d.updateKey(tick.Now, c, func(state keyState) keyState { return state.withAbort(c) })
	if a, ok := d.attempts.Get(c.Attempt); ok && a.phase == abortPending {
		d.replyRefusal(tick, a)
		d.remove(a)
	}
}

func (d *System) readOutcome(now time.Time, v modeler.CallFinished) {
	d.updateKey(now, v.Call, func(state keyState) keyState { return state.withOutcome(v.Call, limitBody(v.Outcome)) })
	if a, ok := d.attempts.Get(v.Call.Attempt); ok && a.phase == outcomePending {
		d.remove(a)
	}
}

// updateKey applies a transition to the state of a key and returns the new state. It does not store the state of an expired
// key, which no node accepts any more.
func (d *System) updateKey(now time.Time, c modeler.Call, transition func(keyState) keyState) keyState {
	key := keyOf(c)
	old, exists := d.keys.Get(key)
	state := transition(old)
	expiry := d.expiry(c.KeyTime)
	if !now.Before(expiry) {
		return state
	}
	if !exists {
		d.expiries.Set(key, expiry)
	}
	d.keys.Put(key, state)
	if grown := state.bodyLen() - old.bodyLen(); grown > 0 {
		d.bodyKeys = append(d.bodyKeys, key)
		d.bodyBytes += grown
		d.evictBodies()
	}
	return state
}

// evictBodies drops the oldest bodies until the total is within the budget. On the way it removes expired keys from bodyKeys.
func (d *System) evictBodies() {
	for len(d.bodyKeys) > 0 {
		key := d.bodyKeys[0]
		state, exists := d.keys.Get(key)
		if exists && d.bodyBytes <= d.options.BodyBudget {
			return
		}
		d.bodyKeys = d.bodyKeys[1:]
		if exists {
			d.bodyBytes -= state.bodyLen()
			d.keys.Put(key, state.withoutBody())
		}
	}
}

// expiry returns when the state of a key may be dropped. Every node refuses the key at least 3 clock margins before that time.
func (d *System) expiry(keyTime time.Time) time.Time {
	return keyTime.Add(d.options.Retention).Truncate(expiryInterval).Add(expiryInterval)
}

// expire deletes expired keys and the newest attempt of this node for each of them, which receives its outstanding refusal.
func (d *System) expire(tick *modeler.Tick) {
	for _, key := range d.expiries.Due(tick.Now) {
		state, _ := d.keys.Get(key)
		d.bodyBytes -= state.bodyLen()
		d.keys.Delete(key)
		if id, ok := d.localAttempts.Get(key); ok {
			a, _ := d.attempts.Get(id)
			d.replyRefusal(tick, a)
			d.remove(a)
		}
	}
}

// handleAppendEnded handles the end of an append. A call whose intent was not appended is refused. A successful append of an outcome
// or an abort only delays the next resend, because a record takes effect when it is read back.
func (d *System) handleAppendEnded(tick *modeler.Tick, e modeler.AppendEnded) {
	switch v := e.Record.(type) {
	case modeler.CallIntent:
		a, ok := d.attempts.Get(v.Call.Attempt)
		if ok && a.phase == intentPending && e.NotAppended {
			reply(tick, a, modeler.CallDecision{Refusal: logUnavailable()})
			d.remove(a)
		}
	case modeler.CallAborted:
		d.scheduleResend(tick, v.Call.Attempt, abortPending, e.Failed)
	case modeler.CallFinished:
		d.scheduleResend(tick, v.Call.Attempt, outcomePending, e.Failed)
	}
}

// scheduleResend sets when the pending record of an attempt is appended again.
func (d *System) scheduleResend(tick *modeler.Tick, id modeler.AttemptID, phase attemptPhase, failed bool) {
	a, ok := d.attempts.Get(id)
	if !ok || a.phase != phase {
		return
	}
	wait := ackedReadBackTimeout
	if failed {
		a = a.withFailure()
		wait = backoff(tick.Rand, a.failures)
	}
	d.put(a.withResendAt(tick.Now.Add(wait)))
}

// backoff returns the delay after the given number of consecutive failures, which must be at least 1. The limit doubles with
// each failure up to maxBackoff. The delay is random in the upper half of the limit, so that resends do not coincide.
func backoff(random *rand.Rand, failures int) time.Duration {
	limit := min(minBackoff<<min(failures-1, 10), maxBackoff)
	return limit/2 + time.Duration(random.Int64N(int64(limit/2)))
}
