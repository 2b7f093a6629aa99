// Package runner runs the control goroutine of the fleet, which owns the control state: it collects events, runs all systems over the
// tables in a fixed order and passes the effects to an executor.
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
	// eventBuffer is the capacity of the control goroutine's inbox in events.
	eventBuffer = 1024
	// maxBatch is the maximum number of events in one tick.
	maxBatch = 256
	// idleInterval is the maximum time between two ticks, so that the ages in the snapshot stay up to date.
	idleInterval = 250 * time.Millisecond
	// snapshotInterval is the minimum time between two snapshots with the same configuration.
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

// Loop runs the ticks of a World. Post, Place and Snapshot may be called from any goroutine.
type Loop struct {
	options Options
	world   *modeler.World
	inbox   *batcher.Inbox[envelope]
	// closeInbox is called when Run returns.
	closeInbox func()
	snapshot   atomic.Pointer[modeler.Snapshot]
	// configured is closed when the first snapshot with a configuration is published.
	configured chan struct{}
	waiters    map[modeler.RequestID]chan modeler.Decision
	// explained holds the channels for explanations by their IDs, which count up.
	explained     map[uint64]chan modeler.Explanation
	explanationID atomic.Uint64
	// publishedAt is when the current snapshot was built, and publishedOffset the offset of the configuration in it.
	publishedAt     time.Time
	publishedOffset modeler.Position
}

// envelope is an event and the channel for its decision. The channel is nil for events other than PlacementRequested.
type envelope struct {
	event    modeler.Event
	decision chan modeler.Decision
	// explanation is the channel for the answer to an ExplainRequested; nil for other events.
	explanation chan modeler.Explanation
}

// New returns a Loop over world and publishes the first snapshot. Run must be called exactly once.
func New(world *modeler.World, options Options) *Loop {
	l := &Loop{options: options, world: world, waiters: map[modeler.RequestID]chan modeler.Decision{}, explained: map[uint64]chan modeler.Explanation{}, configured: make(chan struct{})}
	l.inbox, l.closeInbox = batcher.NewInbox[envelope](eventBuffer, maxBatch)
	l.publish(options.Now())
	return l
}

// Post adds an event to the inbox. It blocks while the inbox is full. Events posted after the loop has stopped are dropped.
func (l *Loop) Post(event modeler.Event) {
	_ = l.inbox.Put(context.Background(), envelope{event: event})
}

// Place requests the placement of a request and waits for the decision. If ctx is done first, it cancels the placement and returns an error.
func (l *Loop) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	result := make(chan modeler.Decision, 1)
	if err := l.inbox.Put(ctx, envelope{event: modeler.PlacementRequested{Request: request}, decision: result}); err != nil {
		return modeler.Decision{}, err
	}
	decision, err := batcher.Await(ctx, l.inbox, result)
	if err != nil {
		l.Post(modeler.PlacementCancelled{ID: request.ID})
		// If the request was placed in the meantime, this frees its endpoint.
		l.Post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Abandoned})
	}
	return decision, err
}

// Explain returns where a request would go now. Nothing is changed by it.
func (l *Loop) Explain(ctx context.Context, request modeler.Request) (modeler.Explanation, error) {
	result := make(chan modeler.Explanation, 1)
	event := modeler.ExplainRequested{ID: l.explanationID.Add(1), Request: request}
	if err := l.inbox.Put(ctx, envelope{event: event, explanation: result}); err != nil {
		return modeler.Explanation{}, err
	}
	return batcher.Await(ctx, l.inbox, result)
}

// Snapshot returns the latest published snapshot.
func (l *Loop) Snapshot() *modeler.Snapshot { return l.snapshot.Load() }

// Configured returns a channel that is closed once a snapshot has a configuration.
func (l *Loop) Configured() <-chan struct{} { return l.configured }

// Run runs ticks until ctx is done and then returns its error. A tick runs when there are events, at the time that the last tick requested,
// and after idleInterval at the latest.
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

// tick runs all systems and returns the maximum time until the next tick.
func (l *Loop) tick(batch []envelope) time.Duration {
	tick := &modeler.Tick{Now: l.options.Now(), Rand: l.options.Rand}
	for _, e := range batch {
		switch event := e.event.(type) {
		case modeler.PlacementRequested:
			l.waiters[event.Request.ID] = e.decision
		case modeler.PlacementCancelled:
			delete(l.waiters, event.ID)
		case modeler.ExplainRequested:
			l.explained[event.ID] = e.explanation
		}
		tick.Events = append(tick.Events, e.event)
	}
	l.world.BeginTick(tick.Now)
	for _, system := range l.options.Systems {
		system.Run(tick, l.world)
	}
	l.publishIfDue(tick.Now)
	l.options.Executor.Execute(l.reply(tick.Effects()))
	wait := idleInterval
	if next := tick.Next(); !next.IsZero() {
		wait = min(wait, max(next.Sub(l.options.Now()), 0))
	}
	return wait
}

// reply sends the decisions to the goroutines that wait for them and returns all other effects. It reuses the array of effects.
func (l *Loop) reply(effects []modeler.Effect) []modeler.Effect {
	rest := effects[:0]
	for _, effect := range effects {
		switch e := effect.(type) {
		case modeler.Reply:
			if waiter, ok := l.waiters[e.ID]; ok {
				delete(l.waiters, e.ID)
				waiter <- e.Decision
			}
		case modeler.Explained:
			// The channel has room for the explanation, also if nobody waits any more.
			l.explained[e.ID] <- e.Explanation
			delete(l.explained, e.ID)
		default:
			rest = append(rest, effect)
		}
	}
	return rest
}

// publishIfDue publishes a snapshot immediately if the configuration changed, otherwise after snapshotInterval.
func (l *Loop) publishIfDue(now time.Time) {
	if offset := l.world.Configuration.Offset; offset == l.publishedOffset && now.Sub(l.publishedAt) < snapshotInterval {
		return
	}
	l.publishedOffset = l.world.Configuration.Offset
	l.publish(now)
}

func (l *Loop) publish(now time.Time) {
	l.publishedAt = now
	previous := l.snapshot.Swap(modeler.NewSnapshot(l.world, elector.Alive(l.world, now), now))
	if l.world.Configuration.Loaded() && (previous == nil || !previous.Configuration.Loaded()) {
		close(l.configured)
	}
}
