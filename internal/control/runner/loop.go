// Package runner runs the control goroutine, which owns the control state: it collects events, runs all systems over the tables in a
// fixed order and passes the effects to an executor.
package runner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damaskpick.example/damaskpick/internal/control/batcher"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// eventBuffer is the maximum number of events that wait for the control goroutine.
	eventBuffer = 4096
	// maxBatch is the maximum number of events of one tick.
	maxBatch = 512
	// snapshotInterval is the minimum interval between two snapshots.
	snapshotInterval = 100 * time.Millisecond
	// membersInterval is the minimum interval between two updates of the members in the snapshot, which only operators read. Copying
	// 5,700 rows ten times a second takes 0.7 % of a core.
	membersInterval = time.Second
)

// Executor carries out effects. Execute must not block; results arrive as events.
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
	// OnTick is called after each tick with its duration and number of events. It may be nil.
	OnTick func(duration time.Duration, events int)
}

// Loop runs ticks over a World.
type Loop struct {
	options Options
	world   *modeler.World
	inbox   *batcher.Inbox[envelope]
	// closeInbox is called when Run ends.
	closeInbox func()
	snapshot   atomic.Pointer[modeler.Snapshot]
	// decisionWaiters and callWaiters hold the channels of the goroutines that wait for a decision.
	decisionWaiters map[modeler.RequestID]chan modeler.Decision
	callWaiters     map[modeler.AttemptID]chan modeler.CallDecision
	nextTick        time.Time
	publishedAt     time.Time
	// endpoints, members and nodes are the rows of the latest snapshot. The rows of members were copied at membersAt.
	endpoints tableCopy[modeler.EndpointID, modeler.Endpoint]
	members   tableCopy[modeler.MemberID, modeler.Member]
	nodes     tableCopy[modeler.NodeID, modeler.Node]
	membersAt time.Time
}

// envelope is an event and the channel for its answer, if any.
type envelope struct {
	event    modeler.Event
	decision chan modeler.Decision
	call     chan modeler.CallDecision
	peer     chan []modeler.Message
}

// New returns a loop over world. Run must be called once.
func New(world *modeler.World, options Options) *Loop {
	l := &Loop{
		options: options, world: world,
		decisionWaiters: map[modeler.RequestID]chan modeler.Decision{},
		callWaiters:     map[modeler.AttemptID]chan modeler.CallDecision{},
	}
	l.inbox, l.closeInbox = batcher.NewInbox[envelope](eventBuffer, maxBatch)
	l.publish(options.Now())
	return l
}

// Post queues an event. It blocks while the buffer is full and drops the event once the loop has stopped.
func (l *Loop) Post(event modeler.Event) {
	_ = l.inbox.Put(context.Background(), envelope{event: event})
}

// Ask queues RequestArrived or RetryRequested and waits for the decision. It returns batcher.ErrClosed once the loop has stopped.
func (l *Loop) Ask(ctx context.Context, event modeler.Event) (modeler.Decision, error) {
	return putAndAwait(ctx, l, make(chan modeler.Decision, 1), func(answer chan modeler.Decision) envelope {
		return envelope{event: event, decision: answer}
	})
}

// AskCall queues CallArrived and waits for the decision about the call. It returns batcher.ErrClosed once the loop has stopped.
func (l *Loop) AskCall(ctx context.Context, event modeler.CallArrived) (modeler.CallDecision, error) {
	return putAndAwait(ctx, l, make(chan modeler.CallDecision, 1), func(answer chan modeler.CallDecision) envelope {
		return envelope{event: event, call: answer}
	})
}

// Exchange queues a batch of messages from a node and returns the messages for that node that the same tick produced. It returns
// batcher.ErrClosed once the loop has stopped.
func (l *Loop) Exchange(ctx context.Context, event modeler.PeerReceived) ([]modeler.Message, error) {
	return putAndAwait(ctx, l, make(chan []modeler.Message, 1), func(answer chan []modeler.Message) envelope {
		return envelope{event: event, peer: answer}
	})
}

// putAndAwait queues the event that wrap combines with the answer channel, and waits for the answer.
func putAndAwait[A any](ctx context.Context, l *Loop, answer chan A, wrap func(chan A) envelope) (A, error) {
	if err := l.inbox.Put(ctx, wrap(answer)); err != nil {
		var zero A
		return zero, err
	}
	return batcher.Await(ctx, l.inbox, answer)
}

// Snapshot returns the latest published snapshot.
func (l *Loop) Snapshot() *modeler.Snapshot { return l.snapshot.Load() }

// Run runs ticks until ctx ends and returns its error. A tick is triggered by events or by the next deadline.
func (l *Loop) Run(ctx context.Context) error {
	defer l.closeInbox()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		batch, err := l.inbox.Take(ctx, timer.C)
		if err != nil {
			return err
		}
		l.tick(batch)
		timer.Reset(time.Until(l.nextTick))
	}
}

// tick runs all systems once, publishes a snapshot if one is due, answers the waiting goroutines and executes the remaining effects.
func (l *Loop) tick(batch []envelope) {
	started := time.Now()
	tick := &modeler.Tick{Now: l.options.Now(), Rand: l.options.Rand, Events: l.registerWaiters(batch)}
	for _, system := range l.options.Systems {
		system.Run(tick, l.world)
	}
	l.publishDue(tick)
	l.nextTick = tick.Next()
	if l.nextTick.IsZero() {
		l.nextTick = tick.Now.Add(time.Hour)
	}
	l.options.Executor.Execute(l.deliverAnswers(batch, tick.Effects()))
	if l.options.OnTick != nil {
		l.options.OnTick(time.Since(started), len(batch))
	}
}

// registerWaiters stores the channels for decisions and returns the events of the batch.
func (l *Loop) registerWaiters(batch []envelope) []modeler.Event {
	events := make([]modeler.Event, 0, len(batch))
	for _, e := range batch {
		switch event := e.event.(type) {
		case modeler.RequestArrived:
			l.decisionWaiters[event.Request.ID] = e.decision
		case modeler.RetryRequested:
			l.decisionWaiters[event.Request] = e.decision
		case modeler.CallArrived:
			l.callWaiters[event.Call.Attempt] = e.call
		}
		events = append(events, e.event)
	}
	return events
}

// deliverAnswers sends decisions and peer messages to the waiting goroutines and returns the remaining effects for the executor.
func (l *Loop) deliverAnswers(batch []envelope, effects []modeler.Effect) []modeler.Effect {
	answers := collectPeerAnswers(batch)
	remaining := effects[:0]
	for _, effect := range effects {
		switch e := effect.(type) {
		case modeler.Reply:
			sendDecision(l.decisionWaiters, e.Request, e.Decision)
		case modeler.ReplyCall:
			sendDecision(l.callWaiters, e.Attempt, e.Decision)
		case modeler.SendPeer:
			if a, ok := answers[e.To]; ok {
				a.messages = append(a.messages, e.Messages...)
				continue
			}
			remaining = append(remaining, effect)
		default:
			remaining = append(remaining, effect)
		}
	}
	for _, a := range answers {
		a.send()
	}
	return remaining
}

// sendDecision sends value to the channel stored for key, if any, and removes the channel from waiters.
func sendDecision[K comparable, A any](waiters map[K]chan A, key K, value A) {
	if waiter, ok := waiters[key]; ok {
		delete(waiters, key)
		if waiter != nil {
			waiter <- value
		}
	}
}

// peerAnswer is the answer to all exchanges of one node in a batch. The answer to the first exchange contains all messages.
type peerAnswer struct {
	waiters  []chan []modeler.Message
	messages []modeler.Message
}

// collectPeerAnswers returns an empty answer for each node that has exchanges in the batch.
func collectPeerAnswers(batch []envelope) map[modeler.NodeID]*peerAnswer {
	answers := map[modeler.NodeID]*peerAnswer{}
	for _, e := range batch {
		received, ok := e.event.(modeler.PeerReceived)
		if !ok || e.peer == nil {
			continue
		}
		a, ok := answers[received.From.ID]
		if !ok {
			a = &peerAnswer{}
			answers[received.From.ID] = a
		}
		a.waiters = append(a.waiters, e.peer)
	}
	return answers
}

// send sends all messages to the first waiter and nil to the others.
func (a *peerAnswer) send() {
	for i, waiter := range a.waiters {
		if i == 0 {
			waiter <- a.messages
			continue
		}
		waiter <- nil
	}
}
