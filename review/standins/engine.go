//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two entries of an engine.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached an engine and was not sent to another one.
type arrival struct {
	request string
	at      time.Time
	// ran is set if the engine began to work on it.
	ran bool
}

// engine is a stand-in for a model engine or a plain service.
type engine struct {
	rig               *rig
	id, service, zone string
	slots             int
	// pieces is the number of events of a stream and pause the time before each; work is the time of another request.
	pieces int
	pause  time.Duration
	work   time.Duration

	address string
	born    int64
	// stop ends the engine's process: its connections are closed and new ones refused.
	stop func()

	mu        sync.Mutex
	active    int
	arrivals  []arrival
	sequence  int
	coldUntil time.Time
	state     string
	// silent is set while the engine writes no entries, and limit is the Server-Limit that it names, zero for none.
	silent bool
	limit  float64
	// lost is the part of the requests that it runs whose answers are lost.
	lost float64
}

// start serves requests and writes the first entry.
func (e *engine) start(r *rig) error {
	e.rig, e.state, e.born = r, "ready", time.Now().UnixMilli()
	var err error
	if e.address, e.stop, err = r.listen(e); err != nil {
		return err
	}
	e.writeEntry()
	stop := make(chan struct{})
	r.atEnd(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				e.writeEntry()
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// writeEntry writes the engine's entry unless it is silent.
func (e *engine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"coldRemainingMs": max(time.Until(e.coldUntil).Milliseconds(), 0), "stage": "hybrid",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": e.sequence, "born": e.born,
	})
	if err != nil {
		panic(err) // cannot happen: the entry holds only strings and numbers
	}
	e.rig.store.Put("keyed.servers", e.id, entry)
}

// remove deletes the engine's entry and writes no more.
func (e *engine) remove() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
	e.rig.store.Put("keyed.servers", e.id, nil)
}

// becomeCold makes the engine cold for d from now on and says so in its entry.
func (e *engine) becomeCold(d time.Duration) {
	e.mu.Lock()
	e.coldUntil = time.Now().Add(d)
	e.mu.Unlock()
	e.writeEntry()
	e.rig.note("%s is cold for %s", e.id, d)
}

// loseAnswers makes the engine lose the answers of a part of the requests that it runs from now on.
func (e *engine) loseAnswers(part float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = part
}

// got returns the arrivals so far.
func (e *engine) got() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	runs := e.active < e.slots
	e.arrivals = append(e.arrivals, arrival{request: id, at: time.Now(), ran: runs})
	limit, lost := e.limit, rand.Float64() < e.lost
	if runs {
		e.active++
	}
	e.mu.Unlock()
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if !runs {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if lost {
		time.Sleep(e.work)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", e.id+"."+id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(e.work)
		_, _ = fmt.Fprintf(w, "%s answers %s", e.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.pieces; n++ {
		if sleep(r.Context(), e.pause) != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
