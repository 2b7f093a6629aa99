package batcher

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// Engine simulates a model engine from one boot to the next. It is not safe for concurrent use.
type Engine struct {
	params    Parameters
	sequences *tabler.Table[string, Sequence]
	exports   *tabler.Table[string, Export]
	// exportExpiry holds the expiry times of exports, deadlines those of sequences.
	exportExpiry *tabler.Timeline[string]
	deadlines    *tabler.Timeline[string]
	cache        *cache
	// nextOrder is the Order of the next sequence.
	nextOrder int64
	// slowdown multiplies the durations of steps.
	slowdown float64
	// coldUntil is when the cold start ends, or zero if it has no time limit; coldRequestsLeft is the number of requests that
	// must still complete to end it.
	cold             bool
	coldUntil        time.Time
	coldRequestsLeft int
	// stepEnd is when the current step ends, or zero when nothing runs.
	stepEnd time.Time
	crashed bool
}

// New returns an engine that boots at now.
func New(params Parameters, now time.Time) *Engine {
	e := &Engine{
		params:       params,
		sequences:    tabler.NewTable[string, Sequence](),
		exports:      tabler.NewTable[string, Export](),
		exportExpiry: tabler.NewTimeline[string](),
		deadlines:    tabler.NewTimeline[string](),
		cache:        newCache(params),
		slowdown:     1,
	}
	e.beginColdStart(now)
	return e
}

// tick holds the input and the output of one run of the systems.
type tick struct {
	now     time.Time
	events  []Event
	effects []Effect
}

func (t *tick) emit(effect Effect) { t.effects = append(t.effects, effect) }

// system is one stage of a tick: it reads and changes the engine's tables and emits effects.
type system func(t *tick, e *Engine)

// systems lists the stages in execution order. Events come first, so that a cancelled sequence is not part of the next step.
var systems = []system{applyEvents, expireExports, finishStep, expireSequences, endColdStart, admitWaiting, planStep}

// maxStepLag is the maximum delay after which a step still starts at the end of the previous step instead of at the current time. This
// keeps late timers of the owner from slowing the engine down.
const maxStepLag = 100 * time.Millisecond

// Tick applies events and completes every step due at now. It returns the effects and the time of the next tick; the zero time means
// that no tick is needed before the next event.
func (e *Engine) Tick(now time.Time, events ...Event) ([]Effect, time.Time) {
	t := &tick{now: now, events: events}
	for again := true; again && !e.crashed; {
		for _, run := range systems {
			if !e.crashed {
				run(t, e)
			}
		}
		t.events = nil
		again = !e.stepEnd.IsZero() && !e.stepEnd.After(now)
	}
	e.sequences.Changed() // discards the list of changed rows, which nothing reads and which would grow without bound
	e.exports.Changed()
	return t.effects, e.nextTick()
}

func (e *Engine) nextTick() time.Time {
	if e.crashed {
		return time.Time{}
	}
	due := e.stepEnd
	for _, timeline := range []*tabler.Timeline[string]{e.exportExpiry, e.deadlines} {
		if at, ok := timeline.Next(); ok {
			due = earlier(due, at)
		}
	}
	if e.cold {
		due = earlier(due, e.coldUntil)
	}
	return due
}

// earlier returns the earlier of two times, where the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// removeSequence removes a sequence, which frees its memory, and its deadline.
func (e *Engine) removeSequence(attempt string) {
	e.sequences.Delete(attempt)
	e.deadlines.Clear(attempt)
}

// crash marks the engine as crashed, after which Tick does nothing.
func (e *Engine) crash(t *tick, cause string) {
	e.crashed = true
	t.emit(Crashed{Cause: cause})
}

// beginColdStart makes the engine cold unless ColdFor and ColdRequests are both zero.
func (e *Engine) beginColdStart(now time.Time) {
	p := e.params
	e.cold = p.ColdFor > 0 || p.ColdRequests > 0
	e.coldRequestsLeft, e.coldUntil = p.ColdRequests, time.Time{}
	if p.ColdFor > 0 {
		e.coldUntil = now.Add(p.scaled(p.ColdFor))
	}
}

// Load is the load that an engine reports. Capacity, Used and QueuedPrefill are in tokens.
type Load struct {
	Cold          bool
	Capacity      int
	Used          int
	QueuedPrefill int
	Running       int
}

// Load returns the current load.
func (e *Engine) Load() Load {
	load := Load{Cold: e.cold, Capacity: e.params.Capacity, Used: e.usedTokens()}
	for _, s := range e.sequences.All() {
		load.QueuedPrefill += s.Prompt.Tokens - s.Prefilled
		load.Running++
	}
	return load
}

// Sequences returns the sequences in the engine, including waiting ones, sorted by attempt.
func (e *Engine) Sequences() []Sequence {
	sequences := make([]Sequence, 0, e.sequences.Len())
	for _, s := range e.sequences.All() {
		sequences = append(sequences, s)
	}
	return sequences
}

// CacheEvents returns the retained cache events with a Seq of at least from, the Seq of the oldest retained event and the Seq that the
// next event will get.
func (e *Engine) CacheEvents(from int64) (events []CacheEvent, first, next int64) {
	return e.cache.eventsSince(from)
}

// NextCacheSeq returns the Seq that the next cache event will get.
func (e *Engine) NextCacheSeq() int64 { return e.cache.nextSeq }

// Export returns an export and reports whether it exists.
func (e *Engine) Export(id string) (Export, bool) { return e.exports.Get(id) }

func (e *Engine) usedTokens() int {
	used := 0
	for _, s := range e.sequences.All() {
		used += s.Reserved()
	}
	for _, x := range e.exports.All() {
		used += x.Tokens
	}
	return used
}
