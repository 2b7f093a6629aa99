package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// noLimit disables the timer, for requests that may not be sent to another endpoint.
	noLimit time.Duration = 0
	// searchInterval is the time after which a guard that found no placement searches again. It covers a few passes of a loaded engine.
	searchInterval = 500 * time.Millisecond
)

// silenceGuard searches for another placement when an endpoint is silent for too long. It aborts the connection only after it has found one
// and the budget allows the retry: the answer of a silent endpoint may still come, so silence alone is no reason to give it up.
type silenceGuard struct {
	forwarder *Forwarder
	call      Call
	// id is the id of the guarded attempt, and request the placement request for the attempt that would replace it.
	id       modeler.RequestID
	request  modeler.Request
	deadline time.Time
	abort    func()

	mu sync.Mutex
	// timer starts the next search. It is stopped on each activity; activity identifies one that fires at the same moment.
	timer *time.Timer
	// activity counts received events and calls of stop. The result of a search that was scheduled before the last one is discarded.
	activity int
	// cancel cancels the pending placement request.
	cancel context.CancelFunc
	// resuming is set if the replacement has to resume a stream whose header was sent.
	resuming bool
	// found is the placement for which the connection was aborted.
	found *modeler.Decision
}

// guard returns a running guard of an exchange, which it ends with abort. With noLimit, the timer does not run until the next reset.
func (f *Forwarder) guard(p *progress, id modeler.RequestID, abort func(), limit time.Duration) *silenceGuard {
	request := f.request(p)
	request.Tried = append(slices.Clone(p.tried), p.result.Endpoint)
	g := &silenceGuard{
		forwarder: f, call: p.call, id: id, request: request, deadline: p.deadline, abort: abort, resuming: p.headerSent, cancel: func() {},
	}
	g.reset(limit, p.headerSent)
	return g
}

// reset restarts the timer with the given limit after activity of the endpoint.
func (g *silenceGuard) reset(limit time.Duration, resuming bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordActivity()
	g.resuming = resuming
	if limit != noLimit {
		g.scheduleSearch(limit)
	}
}

// scheduleSearch starts a search after limit, unless there is activity before. The caller holds mu.
func (g *silenceGuard) scheduleSearch(limit time.Duration) {
	activity := g.activity
	g.timer = time.AfterFunc(limit, func() { g.search(activity) })
}

// stop stops the timer and cancels a pending search.
func (g *silenceGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordActivity()
}

// recordActivity stops the timer and invalidates a pending search. The caller holds mu.
func (g *silenceGuard) recordActivity() {
	g.activity++
	g.cancel()
	if g.timer != nil {
		g.timer.Stop()
	}
}

// replacement returns the placement for which the connection was aborted, or nil.
func (g *silenceGuard) replacement() *modeler.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.found
}

// search requests a placement and aborts the connection once it has one and the budget allows the retry. activity is the value of g.activity
// when the search was scheduled: if it has changed, no placement is requested, or one that was made is released.
func (g *silenceGuard) search(activity int) {
	g.mu.Lock()
	if g.activity != activity {
		g.mu.Unlock()
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), g.deadline)
	defer cancel()
	request := g.request
	if g.resuming {
		request = g.forwarder.resumeRequest(request, g.call.Route, g.deadline)
	}
	g.cancel = cancel
	g.mu.Unlock()

	control := g.forwarder.Control
	control.Post(modeler.AttemptSilent{ID: g.id})
	decision, err := control.Place(ctx, request)
	if err != nil {
		// The placement request was cancelled, which also releases a placement that was made for it.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := g.activity == activity
	switch {
	case decision.Refused && silent:
		g.scheduleSearch(searchInterval)
	case decision.Refused:
	case silent && g.forwarder.spendRetry(g.call):
		g.found = &decision
		g.abort()
	default:
		control.Post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Abandoned})
	}
}
