package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// noLimit stands for a request that cannot go on elsewhere.
	noLimit time.Duration = 0
	// seekInterval is the time until a guard that found no place looks again: a few passes of a loaded engine.
	seekInterval = 500 * time.Millisecond
)

// silenceGuard looks for another place when an endpoint is silent for too long. It ends the connection only when there is one and the budget
// allows the repeat: an endpoint's silence alone is no reason to end an answer, since it may still come.
type silenceGuard struct {
	forward *Forwarder
	call    Call
	// id is the attempt that is watched, request what is asked for its successor.
	id       modeler.RequestID
	request  modeler.Request
	deadline time.Time
	abort    func()

	mu sync.Mutex
	// timer is replaced by each sign of life, so that one which fires at the same moment is known to be outdated.
	timer *time.Timer
	// signs counts the signs of life. A place that was asked for before the last one is not used.
	signs int
	// cancel withdraws the question for a place.
	cancel context.CancelFunc
	// resuming is set if the successor has to go on with a stream that has begun.
	resuming bool
	next     *modeler.Decision
}

// guard watches an exchange, which abort ends. A limit of noLimit watches nothing until the next sign of life.
func (f *Forwarder) guard(p *progress, id modeler.RequestID, abort func(), limit time.Duration) *silenceGuard {
	request := f.request(p)
	request.Tried = append(slices.Clone(p.tried), p.result.Endpoint)
	g := &silenceGuard{
		forward: f, call: p.call, id: id, request: request, deadline: p.deadline, abort: abort, resuming: p.begun, cancel: func() {},
	}
	g.watch(limit, p.begun)
	return g
}

// watch starts the limit anew after a sign of life.
func (g *silenceGuard) watch(limit time.Duration, resuming bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive()
	g.resuming = resuming
	if limit != noLimit {
		g.seekAfter(limit)
	}
}

// seekAfter looks for a place after a time without a sign of life.
func (g *silenceGuard) seekAfter(limit time.Duration) {
	signs := g.signs
	g.timer = time.AfterFunc(limit, func() { g.seek(signs) })
}

// stop ends the watch.
func (g *silenceGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive()
}

func (g *silenceGuard) alive() {
	g.signs++
	g.cancel()
	if g.timer != nil {
		g.timer.Stop()
	}
}

// taken returns the place that was found, if the connection was ended for it.
func (g *silenceGuard) taken() *modeler.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.next
}

// seek asks for a place and ends the connection once there is one, unless a sign of life came after the given number of them.
func (g *silenceGuard) seek(signs int) {
	g.mu.Lock()
	if g.signs != signs {
		g.mu.Unlock()
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), g.deadline)
	defer cancel()
	request := g.request
	if g.resuming {
		request = g.forward.resumed(request, g.call.Route, g.deadline)
	}
	g.cancel = cancel
	g.mu.Unlock()

	control := g.forward.Control
	control.Post(modeler.AttemptSilent{ID: g.id})
	decision, err := control.Place(ctx, request)
	if err != nil {
		// The place was withdrawn with the question.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := g.signs == signs
	switch {
	case decision.Refused && silent:
		g.seekAfter(seekInterval)
	case decision.Refused:
	case silent && g.forward.spend(g.call):
		g.next = &decision
		g.abort()
	default:
		control.Post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Abandoned})
	}
}
