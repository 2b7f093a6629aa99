// Package simulator implements stand-ins of the platform's services: the append-only log, the instance list and the weight store. Each
// is an http.Handler whose state is owned by one goroutine; request goroutines send events to it and wait for the reply.
package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// errStopped is the error of requests that still wait when the stand-in stops.
var errStopped = errors.New("simulator: stand-in stopped")

// loop calls a tick function in one goroutine when events arrive and at the time that the last tick returned.
type loop[E any] struct {
	inbox   chan E
	quit    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// startLoop starts the goroutine. The caller must stop the returned loop. The tick function returns the time of the next tick, or the zero
// time if none is needed before the next event.
func startLoop[E any](tick func(now time.Time, events []E) time.Time) *loop[E] {
	l := &loop[E]{inbox: make(chan E, 64), quit: make(chan struct{}), stopped: make(chan struct{})}
	go l.run(tick)
	return l
}

func (l *loop[E]) run(tick func(now time.Time, events []E) time.Time) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var events []E
		select {
		case <-l.quit:
			return
		case e := <-l.inbox:
			events = append(events, e)
		case <-timer.C:
		}
		events = l.drain(events)
		next := tick(time.Now(), events)
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(time.Until(next))
		}
	}
}

// drain adds the events that are already queued, up to the capacity of the inbox, so that one tick handles them together.
func (l *loop[E]) drain(events []E) []E {
	for len(events) < cap(l.inbox) {
		select {
		case e := <-l.inbox:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// stop ends the goroutine and waits for it. It may be called more than once.
func (l *loop[E]) stop() {
	l.once.Do(func() { close(l.quit) })
	<-l.stopped
}

// ask sends an event and waits for its reply. The reply channel must be buffered, so that the loop never blocks on a caller that has gone.
func ask[E, A any](ctx context.Context, l *loop[E], event E, reply <-chan A) (A, error) {
	var zero A
	select {
	case l.inbox <- event:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.quit:
		return zero, errStopped
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.quit:
		return zero, errStopped
	}
}

// pause waits for d, or until the request is cancelled or the stand-in stops.
func pause(ctx context.Context, quit <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-quit:
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client is gone, so the error can't be reported to it.
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes the body of POST /faults or POST /instances into value. It answers 400 and returns false if the body is invalid.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// milliseconds converts a fault setting in milliseconds to a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
