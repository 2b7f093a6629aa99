package responder

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

// owner holds the state of an engine stand-in. Only its goroutine accesses the fields from core on.
type owner struct {
	options EngineOptions
	server  *server
	inbox   chan message
	stop    chan struct{}
	done    chan struct{}

	core   *batcher.Engine
	bootID string
	// mailboxes holds the mailbox of each running attempt.
	mailboxes map[string]*mailbox
	faults    faultState
	models    []string
	// maxFencingToken is the highest fencing token seen.
	maxFencingToken uint64
	// samples are past states, oldest first, for lagging reports.
	samples []sample
	// frozen is the reported state while load reports are stopped, otherwise nil.
	frozen *sample
	// nextStep is when the engine's next step is due; zero means that the engine is idle.
	nextStep time.Time
	history  history
}

// sample is the state of an engine at a time. reportedAt is the TakenAt time that a load report gives for it.
type sample struct {
	at         time.Time
	load       batcher.Load
	nextSeq    int64
	bootID     string
	reportedAt time.Time
}

// message is a request that the goroutine that owns the engine applies.
type message interface {
	apply(o *owner, now time.Time)
}

func newOwner(options EngineOptions) *owner {
	return &owner{
		options: options,
		inbox:   make(chan message, 64),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		models:  slices.Clone(options.Models),
		faults:  faultState{loadLag: options.LoadLag, cacheDelay: options.CacheDelay, cacheGap: options.CacheGap},
	}
}

// post sends a message to the owner's goroutine. It reports false when the stand-in stops or ctx ends first.
func (o *owner) post(ctx context.Context, m message) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.stop:
		return false
	case <-ctx.Done():
		return false
	}
}

// run processes messages and engine steps until stop is closed. It blocks until a message arrives or the next step is due.
func (o *owner) run() {
	defer close(o.done)
	o.boot(time.Now(), "")
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-o.stop:
			return
		case m := <-o.inbox:
			m.apply(o, time.Now())
		case <-timer.C:
			o.tick(time.Now())
		}
		if o.nextStep.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(o.nextStep))
		}
	}
}

// boot replaces the engine by a new one with a new boot ID.
func (o *owner) boot(now time.Time, cause string) {
	o.core = batcher.New(o.options.Parameters, now)
	o.bootID = uuid.NewString()
	o.history = o.history.withBoot(bootRecord{BootID: o.bootID, Cause: cause, At: now})
	o.mailboxes = map[string]*mailbox{}
	o.samples = nil
	o.tick(now)
}

// tick runs the engine, delivers its effects to the streams and returns them. If the engine crashes, it boots a new one.
func (o *owner) tick(now time.Time, events ...batcher.Event) []batcher.Effect {
	effects, next := o.core.Tick(now, events...)
	o.nextStep = next
	for _, effect := range effects {
		switch effect := effect.(type) {
		case batcher.Token:
			o.deliver(effect.Attempt, effect, false)
		case batcher.Finished:
			o.deliver(effect.Attempt, effect, true)
		case batcher.Cancelled:
			o.deliver(effect.Attempt, effect, true)
		case batcher.Expired:
			o.deliver(effect.Attempt, effect, true)
		case batcher.Crashed:
			o.crash(now, effect, nil, o.options.DownTime)
			return effects
		}
	}
	o.recordSample(now)
	return effects
}

// deliver puts an effect into the mailbox of an attempt, and removes the mailbox after the last effect.
func (o *owner) deliver(attempt string, effect batcher.Effect, last bool) {
	box, ok := o.mailboxes[attempt]
	if !ok {
		return
	}
	box.put(effect)
	if last {
		delete(o.mailboxes, attempt)
	}
}

// crash ends all streams, resets the connections other than except, refuses new ones for down and boots a new engine.
func (o *owner) crash(now time.Time, cause batcher.Crashed, except *connection, down time.Duration) {
	for _, box := range o.mailboxes {
		box.put(cause)
	}
	o.server.crash(except, down)
	o.boot(now, cause.Cause)
}

// recordSample appends a sample if the state changed, and drops samples older than every configured lag.
func (o *owner) recordSample(now time.Time) {
	lag := max(o.faults.loadLag, o.faults.cacheDelay)
	current := o.currentSample(now)
	if n := len(o.samples); n == 0 || o.samples[n-1].load != current.load || o.samples[n-1].nextSeq != current.nextSeq {
		o.samples = append(o.samples, current)
	}
	for len(o.samples) > 1 && now.Sub(o.samples[1].at) >= lag {
		o.samples = o.samples[1:]
	}
}

func (o *owner) currentSample(now time.Time) sample {
	return sample{at: now, reportedAt: now, load: o.core.Load(), nextSeq: o.core.NextCacheSeq(), bootID: o.bootID}
}

// asOf returns the newest sample that is at least lag old, or the oldest sample of this boot.
func (o *owner) asOf(now time.Time, lag time.Duration) sample {
	found := o.samples[0]
	for _, s := range o.samples {
		if now.Sub(s.at) >= lag {
			found = s
		}
	}
	found.reportedAt = now.Add(-lag)
	if found.at.After(found.reportedAt) {
		found.reportedAt = found.at
	}
	return found
}
