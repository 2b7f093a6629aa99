//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// odd plays an entry of another writer among those of the engines: it lacks version, coldRemainingMs, sequence and born, and its address is that of a
// server which is no engine and knows none of the paths.
func odd(r *rig) (int, error) {
	const (
		nodeCount = 3
		rate      = 60.0
	)
	r.store.Put("keyed.op", "config", configuration(0, 16))
	var engines []*engine
	for i, zone := range zones {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: zone, slots: 6, work: 30 * time.Millisecond}
		if err := e.start(r); err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	if err := r.addNodes(nodeCount, defaultBounds); err != nil {
		return failed, err
	}
	if err := r.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)

	other := &otherServer{got: map[string]time.Time{}}
	address, _, err := r.listen(other)
	if err != nil {
		return failed, err
	}
	c := newClients(r)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.load(ctx, rate, time.Second, func(i int) string {
		if i%2 == 0 {
			return "/book/truck"
		}
		return "/stock/panels"
	})
	time.Sleep(2 * time.Second)
	if r.trouble {
		entry, err := json.Marshal(map[string]any{"service": "app", "address": address, "zone": "za", "slots": 6, "state": "ready"})
		if err != nil {
			return failed, err
		}
		r.store.Put("keyed.servers", "other-writer", entry)
		r.note("another writer writes the entry other-writer: %s", entry)
	}
	time.Sleep(8 * time.Second)
	stop()
	c.finish(engines)

	denied, bookings := 0, 0
	for _, s := range c.sent {
		at, reached := other.at(s.id)
		if reached {
			r.noteAt(at, "request %s (%s) reached the server of other-writer; its client got %d", s.id, s.path, s.status)
		}
		if s.status < 300 || s.status >= 500 || s.status == 408 || s.status == 421 || s.status == 429 {
			continue
		}
		denied++
		if s.path == "/book/truck" {
			bookings++
		}
	}
	allowed := 5 + len(c.sent)/500
	return r.verdict("DENIED", denied > allowed, fmt.Sprintf(
		"%d of %d proper requests (%d of them bookings) were ended with a 3xx or 4xx that no engine gave (%d allowed); %d requests were sent to the server of an "+
			"entry that names no engine", denied, len(c.sent), bookings, allowed, len(other.got),
	)), nil
}

// otherServer is a server that is no engine: it answers 404 and closes the connection.
type otherServer struct {
	mu sync.Mutex
	// got holds when each request arrived, by its id.
	got map[string]time.Time
}

// ServeHTTP implements http.Handler.
func (o *otherServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.got[r.Header.Get("Request-Id")] = time.Now()
	o.mu.Unlock()
	w.Header().Set("Connection", "close")
	http.NotFound(w, r)
}

func (o *otherServer) at(request string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.got[request]
	return at, ok
}
