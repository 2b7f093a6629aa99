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
	// searchInterval is the time between a search that found no placement and the next one. It covers a few passes of a loaded engine.
	searchInterval = 500 * time.Millisecond
)

// silenceGuard requests another placement when an endpoint is silent for too long. It aborts the connection only once it has a placement and
// the retry budget allows the retry, because a silent endpoint may still answer.
type silenceGuard struct {
	forwarder *Forwarder
	call      Call
	// id is the id of the guarded attempt, and request the placement request for the attempt that would replace it.
	id       modeler.RequestID
	request  modeler.Request
	deadline time.Time
	abort    func()

	mu sync.Mutex
	// timer starts the next search. reset and stop stop it, but it may fire at the same moment.
	timer *time.Timer
	// activity is incremented by reset and stop. A search discards its result if activity has changed since the search was scheduled.
	activity int
	// cancel cancels the placement request of the current search, if there is one.
	cancel context.CancelFunc
	// resuming is set if the replacement has to resume a stream whose header was sent.
	resuming bool
	// found is the placement for which the connection was aborted.
	found *modeler.Decision
	// searches counts the searches that are running. The next attempt has the request ID of a search, so it must not be placed before the search
	// has cancelled its own placement request.
	searches sync.WaitGroup
}

// guard returns a guard for the attempt id, which calls abort to close the attempt's connection. The first search starts after limit; with
// noLimit there is none until reset is called with a limit.
func (f *Forwarder) guard(p *progress, id modeler.RequestID, abort func(), limit time.Duration) *silenceGuard {
	request := f.request(p)
	request.Tried = append(slices.Clone(p.tried), p.result.Endpoint)
	g := &silenceGuard{
		forwarder: f, call: p.call, id: id, request: request, deadline: p.deadline, abort: abort, resuming: p.headerSent, cancel: func() {},
	}
	g.reset(limit, p.headerSent)
	return g
}

// reset stops the current search and schedules one after limit, or none for noLimit. It is called after each event of the endpoint.
// resuming is set if the replacement has to resume a stream.
func (g *silenceGuard) reset(limit time.Duration, resuming bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordActivity()
	g.resuming = resuming
	if limit != noLimit {
		g.scheduleSearch(limit)
	}
}

// scheduleSearch starts a search after limit, unless reset or stop is called before. The caller holds mu.
func (g *silenceGuard) scheduleSearch(limit time.Duration) {
	activity := g.activity
	g.timer = time.AfterFunc(limit, func() { g.findReplacement(activity) })
}

// stop stops the timer and cancels the current search.
func (g *silenceGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordActivity()
}

// recordActivity stops the timer and cancels the current search. The caller holds mu.
func (g *silenceGuard) recordActivity() {
	g.activity++
	g.cancel()
	if g.timer != nil {
		g.timer.Stop()
	}
}

// wait waits until no search is running. It is called after the last call of stop.
func (g *silenceGuard) wait() { g.searches.Wait() }

// replacement returns the placement for which the connection was aborted, or nil.
func (g *silenceGuard) replacement() *modeler.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.found
}

// findReplacement requests a placement and aborts the connection once it has one and the budget allows the retry. activity is the value of
// g.activity when the search was scheduled. If it has changed, no placement is requested, or the requested one is released.
func (g *silenceGuard) findReplacement(activity int) {
	g.mu.Lock()
	if g.activity != activity {
		g.mu.Unlock()
		return
	}
	g.searches.Add(1)
	defer g.searches.Done()
	ctx, cancel := context.WithDeadline(context.Background(), g.deadline)
	defer cancel()
	request := g.request
	if g.resuming {
		request = g.forwarder.resumeRequest(request, g.call.Route, g.deadline)
	}
	request.Borrows = g.forwarder.mustBorrow(g.call)
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
	case silent && (request.Borrows || g.forwarder.allowRetry(g.call)):
		g.found = &decision
		g.abort()
	default:
		control.Post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Abandoned})
	}
}
