package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// control places requests on endpoints in order, without those that were tried.
type control struct {
	endpoints []modeler.Endpoint
	refusal   modeler.Decision
	// refusals is the number of places after the first that are refused though an endpoint is left.
	refusals int
	mu       sync.Mutex
	outcomes []modeler.Outcome
	requests []modeler.Request
}

func (c *control) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	if len(c.requests) > 1 && c.refusals > 0 {
		c.refusals--
		c.refusal.Refused = true
		return c.refusal, ctx.Err()
	}
	for _, e := range c.endpoints {
		if !slices.Contains(request.Tried, e.ID) {
			return modeler.Decision{Plan: modeler.Plan{Endpoint: e, First: 50 * time.Millisecond}}, ctx.Err()
		}
	}
	c.refusal.Refused = true
	return c.refusal, ctx.Err()
}

func (c *control) Post(event modeler.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended, ok := event.(modeler.AttemptEnded); ok {
		c.outcomes = append(c.outcomes, ended.Outcome)
	}
}

func (c *control) Snapshot() *modeler.Snapshot { return &modeler.Snapshot{} }

// sink collects an answer.
type sink struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (s *sink) Begin(status int, header http.Header, _ int) error {
	s.status, s.header = status, header
	return nil
}
func (s *sink) Write(data []byte) (int, error) { return s.body.Write(data) }
func (s *sink) Flush() error                   { return nil }

// bed is a forwarder before two endpoints.
type bed struct {
	forward *forwarder.Forwarder
	control *control
	first   *platformtest.Endpoint
	second  *platformtest.Endpoint
}

func newBed(t *testing.T, slack float64) *bed {
	t.Helper()
	b := &bed{control: &control{}}
	for _, id := range []string{"e1", "e2"} {
		e := &platformtest.Endpoint{ID: id, Service: platformtest.PlainService, Slots: 4, Events: 6}
		t.Cleanup(e.Start())
		b.control.endpoints = append(b.control.endpoints, modeler.Endpoint{ID: modeler.EndpointID(id), Address: e.Address()})
		if b.first == nil {
			b.first = e
		} else {
			b.second = e
		}
	}
	pool, closePool := dialer.NewPool(4)
	t.Cleanup(closePool)
	b.forward = &forwarder.Forwarder{
		Control: b.control, Protocol: platform.Traffic{}, Pool: pool, Self: modeler.Node{ID: "n1"},
		Budget: limiter.NewBudget(limiter.Options{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}, time.Now),
	}
	return b
}

func call(kind modeler.Kind, path string) forwarder.Call {
	header := platformtest.CallerHeader("r1", "secret")
	header.Set(platformtest.MemberHeader, "forged")
	attempts := 2
	if kind == modeler.Unsafe {
		attempts = 1
	}
	return forwarder.Call{
		Fields:  modeler.RequestFields{ID: "r1", Credential: "secret"},
		Route:   modeler.Route{Kind: kind, Timeout: 2 * time.Second, Target: 150 * time.Millisecond, GapTarget: 250 * time.Millisecond, Attempts: attempts, Resumable: true},
		Service: modeler.Service{ID: platformtest.PlainService}, Member: modeler.Member{ID: "crew-1"},
		Method: http.MethodPost, URI: path, Host: platformtest.Host, Header: header, Body: []byte("payload"), Arrived: time.Now(),
	}
}

func events(to int) string {
	var b strings.Builder
	for n := 1; n <= to; n++ {
		b.WriteString(platformtest.Event(n))
	}
	return b.String()
}

// TestServe guards against repeats of what may run once only, answers that are no whole answer of an endpoint, and refusals that are untrue.
func TestServe(t *testing.T) {
	tests := []struct {
		name          string
		kind          modeler.Kind
		path          string
		first, second platformtest.EndpointFault
		full          bool
		slack         float64
		status        forwarder.Status
		code          int
		body          string
		runs          [2]int
	}{
		{name: "safe answered", kind: modeler.Safe, path: "/stock/1", status: forwarder.Delivered, code: 200, body: "e1 answers r1", runs: [2]int{1, 0}},
		{
			name: "safe failure repeated", kind: modeler.Safe, path: "/stock/1", first: platformtest.EndpointFault{Status: 500}, slack: 100,
			status: forwarder.Delivered, code: 200, body: "e2 answers r1", runs: [2]int{1, 1},
		},
		{
			name: "safe failure passed on without a second endpoint's success", kind: modeler.Safe, path: "/stock/1", slack: 100,
			first: platformtest.EndpointFault{Status: 500}, second: platformtest.EndpointFault{Status: 500},
			status: forwarder.Delivered, code: 500, runs: [2]int{1, 1},
		},
		{
			name: "safe failure passed on without a budget for a repeat", kind: modeler.Safe, path: "/stock/1",
			first: platformtest.EndpointFault{Status: 500}, status: forwarder.Delivered, code: 500, runs: [2]int{1, 0},
		},
		{
			name: "safe failure passed on when the repeat gets no answer", kind: modeler.Safe, path: "/stock/1", slack: 100,
			first: platformtest.EndpointFault{Status: 500}, second: platformtest.EndpointFault{Silent: true},
			status: forwarder.Delivered, code: 500, runs: [2]int{1, 1},
		},
		{
			name: "without a budget a silent endpoint is waited for", kind: modeler.Safe, path: "/stock/1",
			first: platformtest.EndpointFault{Silent: true}, status: forwarder.TimedOut, runs: [2]int{1, 0},
		},
		{
			name: "a stream that pauses goes on when no repeat is left", kind: modeler.Stream, path: "/stream/1",
			first: platformtest.EndpointFault{StallAfter: 2, Stall: 1700 * time.Millisecond}, status: forwarder.Delivered, code: 200,
			body: events(6), runs: [2]int{1, 0},
		},
		{
			name: "unsafe failure is the endpoint's", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{Status: 500}, slack: 100,
			status: forwarder.Delivered, code: 500, runs: [2]int{1, 0},
		},
		{
			name: "unsafe 503 without a promise is not passed on", kind: modeler.Unsafe, path: "/book/1", slack: 100,
			first: platformtest.EndpointFault{Status: 503}, status: forwarder.Unknown, runs: [2]int{1, 0},
		},
		{
			name: "unsafe silence is never repeated", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{Silent: true}, slack: 100,
			status: forwarder.TimedOut, runs: [2]int{1, 0},
		},
		{
			name: "unsafe goes on when it was not run", kind: modeler.Unsafe, path: "/book/1", full: true, slack: 100,
			status: forwarder.Delivered, code: 200, body: "e2 answers r1", runs: [2]int{0, 1},
		},
		{
			name: "refused when nobody ran it", kind: modeler.Unsafe, path: "/book/1", full: true, status: forwarder.Refused, runs: [2]int{0, 0},
		},
		{
			name: "unsigned success is no answer", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{Unsigned: true}, slack: 100,
			status: forwarder.Unknown, runs: [2]int{1, 0},
		},
		{
			name: "another request's answer is no answer", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{WrongRequestID: true},
			slack: 100, status: forwarder.TimedOut, runs: [2]int{1, 0},
		},
		{name: "stream", kind: modeler.Stream, path: "/stream/1", status: forwarder.Delivered, code: 200, body: events(6), runs: [2]int{1, 0}},
		{
			name: "cut stream goes on elsewhere", kind: modeler.Stream, path: "/stream/1", first: platformtest.EndpointFault{CutAfter: 2}, slack: 100,
			status: forwarder.Delivered, code: 200, body: events(6), runs: [2]int{1, 1},
		},
		{
			name: "failure after a cut does not end the stream as whole", kind: modeler.Stream, path: "/stream/1", slack: 100,
			first: platformtest.EndpointFault{CutAfter: 2}, second: platformtest.EndpointFault{Status: 500},
			status: forwarder.Interrupted, code: 200, body: events(2), runs: [2]int{1, 1},
		},
		{
			name: "stream cut twice is not whole", kind: modeler.Stream, path: "/stream/1", slack: 100,
			first: platformtest.EndpointFault{CutAfter: 2}, second: platformtest.EndpointFault{CutAfter: 1},
			status: forwarder.Interrupted, code: 200, body: events(3), runs: [2]int{1, 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, tt.slack)
			b.first.SetFault(tt.first)
			b.second.SetFault(tt.second)
			if tt.full {
				b.first.Slots = 0
			}
			s := &sink{}
			result := b.forward.Serve(t.Context(), call(tt.kind, tt.path), s)
			assert.Equal(t, result.Status, tt.status)
			if tt.code != 0 {
				assert.Equal(t, s.status, tt.code)
			}
			assert.Equal(t, s.body.String(), tt.body)
			assert.DeepEqual(t, [2]int{len(b.first.Runs()), len(b.second.Runs())}, tt.runs)
		})
	}
}

// TestAttemptHeader guards against a caller's secret or forged member reaching an endpoint, and against time that is not left.
func TestAttemptHeader(t *testing.T) {
	b := newBed(t, 0)
	b.forward.Serve(t.Context(), call(modeler.Unsafe, "/book/1?x=%2F"), &sink{})
	runs := b.first.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Member, "crew-1")
	assert.Equal(t, runs[0].Credential, "")
	assert.Equal(t, runs[0].Body, "payload")
	assert.Assert(t, runs[0].Deadline > time.Second && runs[0].Deadline <= 2*time.Second, "%v", runs[0].Deadline)
}

// TestResumeAsksForTheRest guards against a resumed stream that repeats events or loses some.
func TestResumeAsksForTheRest(t *testing.T) {
	b := newBed(t, 100)
	b.first.SetFault(platformtest.EndpointFault{CutAfter: 4})
	b.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
	runs := b.second.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].LastEvent, "4")
	assert.DeepEqual(t, b.control.outcomes, []modeler.Outcome{modeler.Broken, modeler.Answered})
}

// TestNotResumable guards against a second run of a stream that may run once only.
func TestNotResumable(t *testing.T) {
	b := newBed(t, 100)
	b.first.SetFault(platformtest.EndpointFault{CutAfter: 2})
	c := call(modeler.Stream, "/stream/1")
	c.Route.Resumable = false
	result := b.forward.Serve(t.Context(), c, &sink{})
	assert.Equal(t, result.Status, forwarder.Interrupted)
	assert.Equal(t, len(b.second.Runs()), 0)
}

// TestCallerLeaves guards against work that goes on at the endpoint for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t, 100)
	b.first.SetFault(platformtest.EndpointFault{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan forwarder.Result, 1)
	go func() { done <- b.forward.Serve(ctx, call(modeler.Unsafe, "/book/1"), &sink{}) }()
	waitFor(t, func() bool { return len(b.first.Runs()) == 1 })
	cancel()
	assert.Equal(t, (<-done).Status, forwarder.Left)
	waitFor(t, func() bool { return !b.first.Runs()[0].DisconnectedAt.IsZero() })
}

// waitFor polls a condition that other goroutines bring about.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatal("condition was not met within 5 s")
		}
	}
}

// memory records orders; it refuses tickets of one endpoint.
type memory struct {
	mu       sync.Mutex
	full     modeler.EndpointID
	reserved map[string]bool
	renewals int
	released map[string]bool
}

func (m *memory) Reserve(_ context.Context, e modeler.Endpoint, ticket string, _ modeler.Tokens, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.ID == m.full {
		return platform.StatusError{Status: http.StatusConflict}
	}
	if m.reserved[ticket] {
		m.renewals++
	}
	m.reserved[ticket] = true
	return nil
}

func (m *memory) Release(_ context.Context, _ modeler.Endpoint, ticket string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released[ticket] = true
	return nil
}

// allReleased tells whether no reservation is left.
func (m *memory) allReleased() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ticket := range m.reserved {
		if !m.released[ticket] {
			return false
		}
	}
	return true
}

// holding places every request on the first endpoint, with a part at the second.
type holding struct{ *control }

func (h holding) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	decision, err := h.control.Place(ctx, request)
	if !decision.Refused {
		decision.Plan.Helpers, decision.Plan.Held = h.endpoints[1:2], []modeler.Tokens{300_000}
	}
	return decision, err
}

// TestTickets guards against memory that stays set aside after a request has ended, however it ended, and against a prompt that is sent
// though its memory is not there.
func TestTickets(t *testing.T) {
	tests := []struct {
		name   string
		full   modeler.EndpointID
		fault  platformtest.EndpointFault
		pause  time.Duration
		status forwarder.Status
		runs   int
		renews bool
	}{
		{name: "served", status: forwarder.Delivered, runs: 1},
		{name: "renewed while it runs", pause: 250 * time.Millisecond, status: forwarder.Delivered, runs: 1, renews: true},
		{name: "memory not free", full: "e2", status: forwarder.Refused, runs: 0},
		{name: "cut", fault: platformtest.EndpointFault{CutAfter: 1}, status: forwarder.Interrupted, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, 0)
			m := &memory{full: tt.full, reserved: map[string]bool{}, released: map[string]bool{}}
			b.forward.Control, b.forward.Memory = holding{b.control}, m
			b.first.Pause = tt.pause
			b.first.SetFault(tt.fault)
			result := b.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
			assert.Equal(t, result.Status, tt.status)
			runs := b.first.Runs()
			assert.Equal(t, len(runs), tt.runs)
			if tt.runs > 0 {
				assert.Equal(t, runs[0].Helpers, b.second.Address()+"/r1-0-0-0")
			}
			waitFor(t, m.allReleased)
			assert.Equal(t, m.renewals > 0, tt.renews)
		})
	}
}

// TestRefusalIsPassedOn guards against a refusal that loses its reason or the time to come back.
func TestRefusalIsPassedOn(t *testing.T) {
	b := newBed(t, 0)
	b.control.endpoints = nil
	b.control.refusal = modeler.Decision{Reason: modeler.ReasonTooLarge, RetryAfter: 2 * time.Second}
	result := b.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
	assert.Equal(t, result.Status, forwarder.Refused)
	assert.Equal(t, result.Reason, modeler.ReasonTooLarge)
	assert.Equal(t, result.RetryAfter, 2*time.Second)
}

// TestPlaceIDsDiffer guards against a second place of a request that is taken for the first one.
func TestPlaceIDsDiffer(t *testing.T) {
	b := newBed(t, 100)
	b.first.SetFault(platformtest.EndpointFault{Status: 500})
	b.forward.Serve(t.Context(), call(modeler.Safe, "/stock/1"), &sink{})
	assert.Equal(t, len(b.control.requests), 2)
	assert.Assert(t, b.control.requests[0].ID != b.control.requests[1].ID)
	assert.DeepEqual(t, b.control.requests[1].Tried, []modeler.EndpointID{"e1"})
}

// TestBlamedHelper guards against an engine that is given up because one of its helpers has left, while the helper is asked again.
func TestBlamedHelper(t *testing.T) {
	tests := []struct {
		name  string
		blame func(b *bed) string
		want  modeler.EndpointID
	}{
		{"by id", func(*bed) string { return "e2" }, "e2"},
		{"by address", func(b *bed) string { return b.second.Address() }, "e2"},
		{"itself", func(*bed) string { return "e1" }, "e1"},
		{"unknown", func(*bed) string { return "e9" }, "e1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, 100)
			b.forward.Control = helped{b.control}
			b.first.SetFault(platformtest.EndpointFault{FaultyEngine: tt.blame(b)})
			b.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
			assert.Assert(t, len(b.control.requests) >= 2)
			assert.DeepEqual(t, b.control.requests[1].Tried, []modeler.EndpointID{tt.want})
		})
	}
}

// helped places every request with the second endpoint as a helper.
type helped struct{ *control }

func (h helped) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	decision, err := h.control.Place(ctx, request)
	if !decision.Refused {
		decision.Plan.Helpers = h.endpoints[1:2]
	}
	return decision, err
}
