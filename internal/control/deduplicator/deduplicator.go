// Package deduplicator ensures that a non-idempotent call runs at most once across all nodes. See docs/design.md, section 8.4.
package deduplicator

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/tabler"
)

// Default values of Options.
const (
	// DefaultClockMargin bounds the difference between any two clocks of callers, nodes and the log.
	DefaultClockMargin = time.Minute
	// DefaultIntentTimeout is how long to wait for an intent to be read back. It equals the timeout of an append: until then, the
	// append may still succeed. The record of an append that timed out is often in the log nevertheless; the abort that follows then
	// frees the key.
	DefaultIntentTimeout = 2 * time.Second
	// DefaultAbortTimeout is the maximum delay of a refusal while its abort has not been read back.
	DefaultAbortTimeout = time.Second
	// DefaultBodyBudget, in bytes, leaves most of the 32 MB of a node's control plane to the other tables.
	DefaultBodyBudget = 8 << 20
)

const (
	// MaxBodyBytes is the largest response body that is stored in a record.
	MaxBodyBytes = 64 << 10
	// readBackTimeout is how long to wait for a record to be read back before it is appended again. It exceeds the timeout of an
	// append.
	readBackTimeout = 5 * time.Second
	// ackedReadBackTimeout replaces readBackTimeout once the append was acknowledged: appending the record again then helps only if
	// this node missed the record in a gap between its reads.
	ackedReadBackTimeout = 30 * time.Second
	// minBackoff and maxBackoff bound the delay before a failed append is repeated.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// expiryInterval is the granularity of key expiry. It lets many keys expire in the same tick.
	expiryInterval = time.Minute
)

// Options configures a System. Fields other than Retention default to the constants above if zero.
type Options struct {
	// Retention is how long a key is stored. It must not exceed the time that the log keeps a record, and it must exceed
	// 3 * ClockMargin, or keys of the current time are refused. A stored key takes about 0.5 KB without a body, so a node with
	// many calls may need a lower value than the log's. All nodes need the same value.
	Retention     time.Duration
	ClockMargin   time.Duration
	IntentTimeout time.Duration
	AbortTimeout  time.Duration
	// BodyBudget is the maximum size of all recorded bodies in memory, in bytes. When it is exceeded, the oldest bodies are
	// dropped and their outcomes are marked as truncated.
	BodyBudget int
}

// System decides whether a non-idempotent call may run. It answers each attempt with one ReplyCall, at the latest in the first
// tick after the call's deadline. A CallArrived of an attempt that it already handles is ignored. It must be used only by
// the control goroutine.
type System struct {
	options Options
	// keys holds the state of each key that occurs in a record, until the key expires.
	keys     *tabler.Table[string, keyState]
	expiries *tabler.Timeline[string]
	// attempts holds the attempts of this node that wait for the log or run.
	attempts *tabler.Table[modeler.AttemptID, attempt]
	timers   *tabler.Timeline[modeler.AttemptID]
	// localAttempts maps a key to its newest attempt in attempts.
	localAttempts *tabler.Table[string, modeler.AttemptID]
	// bodyKeys lists the keys that have a recorded body, oldest first. bodyBytes is the total size of these bodies.
	bodyKeys  []string
	bodyBytes int
	// caughtUp is set once the stream has been read from its start to its end.
	caughtUp bool
	// logFailed is set if the most recent read of the stream failed.
	logFailed bool
	// droppedKeyTime is the newest key time that may occur in records that the log dropped before this node read them. Keys
	// up to it are refused.
	droppedKeyTime time.Time
}

var _ modeler.System = (*System)(nil)

// New returns a System without records. It refuses every call until it has read the stream of calls to its end.
func New(options Options) *System {
	options.ClockMargin = orDefault(options.ClockMargin, DefaultClockMargin)
	options.IntentTimeout = orDefault(options.IntentTimeout, DefaultIntentTimeout)
	options.AbortTimeout = orDefault(options.AbortTimeout, DefaultAbortTimeout)
	options.BodyBudget = orDefault(options.BodyBudget, DefaultBodyBudget)
	return &System{
		options:       options,
		keys:          tabler.NewTable[string, keyState](),
		expiries:      tabler.NewTimeline[string](),
		attempts:      tabler.NewTable[modeler.AttemptID, attempt](),
		timers:        tabler.NewTimeline[modeler.AttemptID](),
		localAttempts: tabler.NewTable[string, modeler.AttemptID](),
	}
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// Pending returns the number of outcome and abort records that have not been read back. A graceful stop waits until it is 0.
func (d *System) Pending() int {
	n := 0
	for _, a := range d.attempts.All() {
		if a.pendingRecord() != nil {
			n++
		}
	}
	return n
}

// Run implements modeler.System. It applies the events of the tick, replies to attempts, and handles due timers and expired
// keys.
func (d *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.CallArrived:
			d.handleCallArrived(tick, world, e.Call)
		case modeler.CallEnded:
			d.handleCallEnded(tick, e)
		case modeler.RecordsRead:
			if e.Stream == modeler.StreamCalls {
				d.handleRecordsRead(tick, e)
			}
		case modeler.AppendEnded:
			if e.Stream == modeler.StreamCalls {
				d.handleAppendEnded(tick, e)
			}
		case modeler.LogFailed:
			d.logFailed = d.logFailed || e.Stream == modeler.StreamCalls
		}
	}
	d.decideAttempts(tick, world)
	d.expire(tick)
	d.scheduleNextTick(tick)
}

// scheduleNextTick requests a tick for the next timer and the next expiry. It also clears the tables' lists of changed keys,
// which nothing else reads after this point.
func (d *System) scheduleNextTick(tick *modeler.Tick) {
	d.keys.Changed()
	d.attempts.Changed()
	d.localAttempts.Changed()
	if at, ok := d.timers.Next(); ok {
		tick.WakeAt(at)
	}
	if at, ok := d.expiries.Next(); ok {
		tick.WakeAt(at)
	}
}

// put stores an attempt and sets its timer.
func (d *System) put(a attempt) {
	d.attempts.Put(a.call.Attempt, a)
	d.localAttempts.Put(keyOf(a.call), a.call.Attempt)
	if at := a.nextTimer(); at.IsZero() {
		d.timers.Clear(a.call.Attempt)
	} else {
		d.timers.Set(a.call.Attempt, at)
	}
}

// remove deletes an attempt that is finished, and its timer.
func (d *System) remove(a attempt) {
	key := keyOf(a.call)
	d.attempts.Delete(a.call.Attempt)
	d.timers.Clear(a.call.Attempt)
	if newest, ok := d.localAttempts.Get(key); ok && newest == a.call.Attempt {
		d.localAttempts.Delete(key)
	}
}

// keyOf returns the key of c in the keys table. A member is a name from the settings and contains no zero byte.
func keyOf(c modeler.Call) string { return string(c.Member) + "\x00" + c.Key }
