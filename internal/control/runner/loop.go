// Package runner owns the control state: one goroutine collects events, runs all systems over the tables in a fixed order
// and hands the effects to an executor.
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
	// eventBuffer is the number of events that may wait for the control goroutine.
	eventBuffer = 4096
	// maxBatch bounds the events of one tick.
	maxBatch = 512
	// snapshotInterval bounds how often the published snapshot is rebuilt.
	snapshotInterval = 100 * time.Millisecond
	// membersInterval does the same for the members in it, which only operators read: 5,700 rows ten times a second cost 0.7 % of a core.
	membersInterval = time.Second
)

// Executor carries out effects. Execute must not block; results come back as events.
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
	// OnTick is told the duration and the number of events of each tick. It may be nil.
	OnTick func(took time.Duration, events int)
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
	callers    map[modeler.AttemptID]chan modeler.CallDecision
	nextTick   time.Time
	published  time.Time
	// endpoints, members and nodes are the rows of the newest snapshot; those of members are as of membersAt.
	endpoints view[modeler.EndpointID, modeler.Endpoint]
	members   view[modeler.MemberID, modeler.Member]
	nodes     view[modeler.NodeID, modeler.Node]
	membersAt time.Time
}

// envelope is an event and the channels that wait for its answer.
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
		waiters: map[modeler.RequestID]chan modeler.Decision{},
		callers: map[modeler.AttemptID]chan modeler.CallDecision{},
	}
	l.inbox, l.closeInbox = batcher.NewInbox[envelope](eventBuffer, maxBatch)
	l.publish(options.Now())
	return l
}

// Post hands over an event. It waits while the buffer is full and drops the event once the loop has stopped.
func (l *Loop) Post(event modeler.Event) {
	_ = l.inbox.Put(context.Background(), envelope{event: event})
}

// Ask hands over RequestArrived or RetryAsked and returns the decision.
func (l *Loop) Ask(ctx context.Context, event modeler.Event) (modeler.Decision, error) {
	return await(ctx, l, make(chan modeler.Decision, 1), func(answer chan modeler.Decision) envelope {
		return envelope{event: event, decision: answer}
	})
}

// AskCall returns the decision about a non-idempotent call.
func (l *Loop) AskCall(ctx context.Context, event modeler.CallIntended) (modeler.CallDecision, error) {
	return await(ctx, l, make(chan modeler.CallDecision, 1), func(answer chan modeler.CallDecision) envelope {
		return envelope{event: event, call: answer}
	})
}

// Exchange hands over a batch of a node and returns the messages for that node that its tick produced.
func (l *Loop) Exchange(ctx context.Context, event modeler.PeerReceived) ([]modeler.Message, error) {
	return await(ctx, l, make(chan []modeler.Message, 1), func(answer chan []modeler.Message) envelope {
		return envelope{event: event, peer: answer}
	})
}

func await[A any](ctx context.Context, l *Loop, answer chan A, wrap func(chan A) envelope) (A, error) {
	if err := l.inbox.Put(ctx, wrap(answer)); err != nil {
		var none A
		return none, err
	}
	return batcher.Await(ctx, l.inbox, answer)
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
		l.tick(batch)
		timer.Reset(time.Until(l.nextTick))
	}
}

func (l *Loop) tick(batch []envelope) {
	started := time.Now()
	tick := &modeler.Tick{Now: l.options.Now(), Rand: l.options.Rand, Events: l.register(batch)}
	for _, system := range l.options.Systems {
		system.Run(tick, l.world)
	}
	l.publishDue(tick)
	l.nextTick = tick.Next()
	if l.nextTick.IsZero() {
		l.nextTick = tick.Now.Add(time.Hour)
	}
	l.options.Executor.Execute(l.deliver(batch, tick.Effects()))
	if l.options.OnTick != nil {
		l.options.OnTick(time.Since(started), len(batch))
	}
}

// register remembers who waits for the answers and returns the events.
func (l *Loop) register(batch []envelope) []modeler.Event {
	events := make([]modeler.Event, 0, len(batch))
	for _, e := range batch {
		switch event := e.event.(type) {
		case modeler.RequestArrived:
			l.waiters[event.Request.ID] = e.decision
		case modeler.RetryAsked:
			l.waiters[event.Request] = e.decision
		case modeler.CallIntended:
			l.callers[event.Call.Attempt] = e.call
		}
		events = append(events, e.event)
	}
	return events
}

// deliver answers the waiting goroutines and returns the effects that are left for the executor.
func (l *Loop) deliver(batch []envelope, effects []modeler.Effect) []modeler.Effect {
	answers := peerAnswers(batch)
	rest := effects[:0]
	for _, effect := range effects {
		switch e := effect.(type) {
		case modeler.Reply:
			answer(l.waiters, e.Request, e.Decision)
		case modeler.ReplyCall:
			answer(l.callers, e.Attempt, e.Decision)
		case modeler.SendPeer:
			if a, ok := answers[e.To]; ok {
				a.messages = append(a.messages, e.Messages...)
				continue
			}
			rest = append(rest, effect)
		default:
			rest = append(rest, effect)
		}
	}
	for _, a := range answers {
		a.send()
	}
	return rest
}

func answer[K comparable, A any](waiters map[K]chan A, key K, value A) {
	if waiter, ok := waiters[key]; ok {
		delete(waiters, key)
		if waiter != nil {
			waiter <- value
		}
	}
}

// peerAnswer collects the answer to the exchanges of one node in a batch. The first exchange carries all messages.
type peerAnswer struct {
	waiters  []chan []modeler.Message
	messages []modeler.Message
}

func peerAnswers(batch []envelope) map[modeler.NodeID]*peerAnswer {
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

func (a *peerAnswer) send() {
	for i, waiter := range a.waiters {
		if i == 0 {
			waiter <- a.messages
			continue
		}
		waiter <- nil
	}
}
