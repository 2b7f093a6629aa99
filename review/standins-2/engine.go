package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// Names and sizes of the deployment, those of the site file maglens-fleet.
const (
	host         = "desk.example"
	credential   = "key-of-crew-1"
	member       = "crew-1"
	modelService = "desk-model"
	plainService = "rental-core"

	modelSlots = 16
	plainSlots = 6
	// queueSlots is the number of requests that an engine queues beside those that run.
	queueSlots = 24
	// eventPause is the time of one pass: 34 tokens of 1.31 ms.
	eventPause = 45 * time.Millisecond
	callTime   = 15 * time.Millisecond
	firstEvent = 60 * time.Millisecond
	// coldTime is the cold start of a model engine that starts during traffic.
	coldTime     = 3 * time.Second
	drainTime    = 2 * time.Second
	idleTimeout  = 20 * time.Second
	answerLength = 800
)

// run is a request that an engine has run.
type run struct {
	Request, Engine, Service, Method, Path, Tenant, LastEvent string
	At                                                        time.Time
}

// engine is a stand-in for a model engine or for an engine of a plain service. It is safe for concurrent use.
type engine struct {
	id, service, zone string
	slots             int
	born              time.Time

	server   *http.Server
	address  string
	mu       sync.Mutex
	active   int
	draining bool
	runs     []run
}

func newEngine(id, service, zone string) *engine {
	e := &engine{id: id, service: service, zone: zone, slots: modelSlots, born: time.Now()}
	if service == plainService {
		e.slots = plainSlots
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		fail("start engine: %v", err)
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

// register writes the entry of the engine into the store.
func (e *engine) register(store *platformtest.Store, cold time.Duration) {
	e.mu.Lock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"coldRemainingMs": cold.Milliseconds(), "sequence": 1, "born": e.born.UnixMilli(),
	})
	if err != nil {
		fail("encode entry: %v", err)
	}
	store.Put(platform.TopicEndpoints, e.id, entry)
}

// leave is a planned end: the engine reports draining, serves on for drainTime and a little longer, and exits.
func (e *engine) leave(store *platformtest.Store) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.register(store, 0)
	time.Sleep(drainTime + 200*time.Millisecond)
	store.Put(platform.TopicEndpoints, e.id, nil)
	_ = e.server.Close()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/api/order":
		_, _ = io.WriteString(w, `{"free":100000}`)
		return
	case r.URL.Path == "/api/report":
		_, _ = io.WriteString(w, `{"stage":"hybrid","busy":false,"queued":0,"active":0,"kvUsed":0,"kvTotal":405000}`)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout.Seconds())))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !e.begin(w, r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	if e.service == modelService {
		e.stream(w, r)
		return
	}
	time.Sleep(callTime)
	w.Header().Set("Response-Signature", "signed."+e.id)
	w.Header().Set("Content-Length", strconv.Itoa(answerLength))
	_, _ = io.WriteString(w, strings.Repeat("a", answerLength))
}

func (e *engine) begin(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		w.Header().Set("Connection", "close")
	}
	if e.active >= e.slots+queueSlots {
		return false
	}
	e.active++
	e.runs = append(e.runs, run{
		Request: r.Header.Get("Request-Id"), Engine: e.id, Service: e.service, Method: r.Method, Path: r.RequestURI,
		Tenant: r.Header.Get("Tenant-Id"), LastEvent: r.Header.Get("Last-Event-Id"), At: time.Now(),
	})
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

// stream sends the events after the one that Last-Event-Id names. The query says how many there are.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Response-Signature", "signed."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	time.Sleep(firstEvent + prefillTime(r))
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// prefillTime returns how long the engine reads the prompt of a request, at 154 tokens a millisecond.
func prefillTime(r *http.Request) time.Duration {
	text, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(text)
	return time.Duration(tokens) * time.Millisecond / 154
}
