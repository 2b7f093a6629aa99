// Package runner owns the control state of the fleet: one goroutine collects events, runs all systems over the tables in a fixed order and
// hands the effects to an executor.
package runner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damaskpick.example/damaskpick/internal/control/batcher"
	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// eventBuffer is the number of events that may wait for the control goroutine.
	eventBuffer = 1024
	// maxBatch bounds the events of one tick.
	maxBatch = 256
	// idleInterval is the longest time between two ticks, after which the ages in the snapshot are renewed.
	idleInterval = 250 * time.Millisecond
	// snapshotInterval bounds how often a snapshot is built when only ages and liveness changed.
	snapshotInterval = 100 * time.Millisecond
)

// Executor carries out effects. Execute must not block.
type Executor interface {
	Execute(effects []modeler.Effect)
}

// Options configure a Loop.
type Options struct {
	// Systems run in this order on each tick.
	Systems  []modeler.System
	Executor Executor
	Now      func() time.Time
	Rand     *rand.Rand
}

// Loop runs ticks over a World.
type Loop struct {
	options Options
	world   *modeler.World
	inbox   *batcher.Inbox[envelope]
	// closeInbox is called when Run ends.
	closeInbox func()
	snapshot   atomic.Pointer[modeler.Snapshot]
	waiters    map[modeler.RequestID]chan modeler.Decision
	// published is when the snapshot was built, and offset that of the configuration in it.
	published time.Time
	offset    int64
}

// envelope is an event and the channel that waits for its answer.
type envelope struct {
	event    modeler.Event
	decision chan modeler.Decision
}

// New returns a loop over world. Run must be called once.
func New(world *modeler.World, options Options) *Loop {
	l := &Loop{options: options, world: world, waiters: map[modeler.RequestID]chan modeler.Decision{}}
	l.inbox, l.closeInbox = batcher.NewInbox[envelope](eventBuffer, maxBatch)
	l.publish(options.Now())
	return l
}

// Post hands over an event. It waits while the inbox is full and drops the event once the loop has stopped.
func (l *Loop) Post(event modeler.Event) {
	_ = l.inbox.Put(context.Background(), envelope{event: event})
}

// Place asks for a place for a request. If ctx ends first, the request is withdrawn.
func (l *Loop) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	answer := make(chan modeler.Decision, 1)
	if err := l.inbox.Put(ctx, envelope{event: modeler.PlaceAsked{Request: request}, decision: answer}); err != nil {
		return modeler.Decision{}, err
	}
	decision, err := batcher.Await(ctx, l.inbox, answer)
	if err != nil {
		l.Post(modeler.PlaceCancelled{ID: request.ID})
		// A place given meanwhile is returned.
		l.Post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Abandoned})
	}
	return decision, err
}

// Snapshot returns the newest published view.
func (l *Loop) Snapshot() *modeler.Snapshot { return l.snapshot.Load() }

// Run runs ticks until ctx ends. A tick is caused by an event or by the next deadline.
func (l *Loop) Run(ctx context.Context) error {
	defer l.closeInbox()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		batch, err := l.inbox.Take(ctx, timer.C)
		if err != nil {
			return err
		}
		timer.Reset(l.tick(batch))
	}
}

// tick runs all systems and returns the time until the next tick.
func (l *Loop) tick(batch []envelope) time.Duration {
	tick := &modeler.Tick{Now: l.options.Now(), Rand: l.options.Rand}
	for _, e := range batch {
		switch event := e.event.(type) {
		case modeler.PlaceAsked:
			l.waiters[event.Request.ID] = e.decision
		case modeler.PlaceCancelled:
			delete(l.waiters, event.ID)
		}
		tick.Events = append(tick.Events, e.event)
	}
	for _, system := range l.options.Systems {
		system.Run(tick, l.world)
	}
	l.publishDue(tick.Now)
	l.options.Executor.Execute(l.reply(tick.Effects()))
	wait := idleInterval
	if next := tick.Next(); !next.IsZero() {
		wait = min(wait, max(next.Sub(l.options.Now()), 0))
	}
	return wait
}

// reply answers the goroutines that wait and returns the effects that are left.
func (l *Loop) reply(effects []modeler.Effect) []modeler.Effect {
	rest := effects[:0]
	for _, effect := range effects {
		reply, ok := effect.(modeler.Reply)
		if !ok {
			rest = append(rest, effect)
			continue
		}
		if waiter, ok := l.waiters[reply.ID]; ok {
			delete(l.waiters, reply.ID)
			waiter <- reply.Decision
		}
	}
	return rest
}

// publishDue builds a snapshot at once when the configuration changed, else at intervals.
func (l *Loop) publishDue(now time.Time) {
	if offset := l.world.Configuration.Offset; offset == l.offset && now.Sub(l.published) < snapshotInterval {
		return
	}
	l.offset = l.world.Configuration.Offset
	l.publish(now)
}

func (l *Loop) publish(now time.Time) {
	l.published = now
	l.snapshot.Store(modeler.NewSnapshot(l.world, elector.Alive(l.world, now), now))
}
