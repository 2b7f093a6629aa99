package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// control places each request on the first endpoint that it has not tried.
type control struct {
	endpoints []modeler.Endpoint
	refusal   modeler.Decision
	// refusals is the number of placement requests after the first that are refused although an endpoint is left.
	refusals int
	mu       sync.Mutex
	outcomes []modeler.Outcome
	ended    []modeler.AttemptEnded
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
			return modeler.Decision{Plan: modeler.Plan{Endpoint: e, TimeToFirstEvent: 50 * time.Millisecond}}, ctx.Err()
		}
	}
	c.refusal.Refused = true
	return c.refusal, ctx.Err()
}

func (c *control) Post(event modeler.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended, ok := event.(modeler.AttemptEnded); ok {
		c.outcomes, c.ended = append(c.outcomes, ended.Outcome), append(c.ended, ended)
	}
}

func (c *control) Snapshot() *modeler.Snapshot { return &modeler.Snapshot{} }

// sink records an answer.
type sink struct {
	status int
	header http.Header
	body   bytes.Buffer
	// written is the length of body.
	written atomic.Int64
}

func (s *sink) Begin(status int, header http.Header, _ int) error {
	s.status, s.header = status, header
	return nil
}
func (s *sink) Write(data []byte) (int, error) {
	defer s.written.Add(int64(len(data)))
	return s.body.Write(data)
}
func (s *sink) Flush() error { return nil }

// fixture is a forwarder with two running endpoints.
type fixture struct {
	forward *forwarder.Forwarder
	control *control
	first   *platformtest.Endpoint
	second  *platformtest.Endpoint
}

func newFixture(t *testing.T, retryBudget float64) *fixture {
	t.Helper()
	f := &fixture{control: &control{}}
	for _, id := range []string{"e1", "e2"} {
		e := &platformtest.Endpoint{ID: id, Service: platformtest.PlainService, Slots: 4, Events: 6}
		t.Cleanup(e.Start())
		f.control.endpoints = append(f.control.endpoints, modeler.Endpoint{ID: modeler.EndpointID(id), Address: e.Address()})
		if f.first == nil {
			f.first = e
		} else {
			f.second = e
		}
	}
	pool, closePool := dialer.NewPool(4)
	t.Cleanup(closePool)
	f.forward = &forwarder.Forwarder{
		Control: f.control, Protocol: platform.Traffic{}, Pool: pool, Self: modeler.Node{ID: "n1"},
		Budget: limiter.NewBudget(limiter.Options{Ratio: 0.2, Slack: retryBudget, Window: 10 * time.Second}, time.Now),
	}
	return f
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
		Route:   modeler.Route{Kind: kind, Timeout: 2 * time.Second, Target: 150 * time.Millisecond, GapTarget: 250 * time.Millisecond, MaxRuns: attempts, Resumable: true},
		Service: modeler.Service{ID: platformtest.PlainService}, Member: modeler.Member{ID: "crew-1"},
		Method: http.MethodPost, URI: path, Host: platformtest.Host, Header: header, Body: []byte("payload"), Arrived: time.Now(),
		Memory: ample{},
	}
}

// ample is an account that is never short.
type ample struct{}

func (ample) Charge(context.Context, int64) error { return nil }

func events(count int) string {
	var b strings.Builder
	for n := 1; n <= count; n++ {
		b.WriteString(platformtest.Event(n))
	}
	return b.String()
}

// TestServe guards against retries of requests that may run only once, against forwarding incomplete answers or those to other requests, and
// against refusing a request that may have run.
func TestServe(t *testing.T) {
	tests := []struct {
		name          string
		kind          modeler.Kind
		path          string
		first, second platformtest.EndpointFault
		firstIsFull   bool
		retryBudget   float64
		status        forwarder.Status
		code          int
		body          string
		runs          [2]int
	}{
		{name: "safe answered", kind: modeler.Safe, path: "/stock/1", status: forwarder.Delivered, code: 200, body: "e1 answers r1", runs: [2]int{1, 0}},
		{
			name: "safe failure is retried", kind: modeler.Safe, path: "/stock/1", first: platformtest.EndpointFault{Status: 500}, retryBudget: 100,
			status: forwarder.Delivered, code: 200, body: "e2 answers r1", runs: [2]int{1, 1},
		},
		{
			name: "safe failure is forwarded when the second endpoint fails too", kind: modeler.Safe, path: "/stock/1", retryBudget: 100,
			first: platformtest.EndpointFault{Status: 500}, second: platformtest.EndpointFault{Status: 500},
			status: forwarder.Delivered, code: 500, runs: [2]int{1, 1},
		},
		{
			name: "safe failure is forwarded without a retry budget", kind: modeler.Safe, path: "/stock/1",
			first: platformtest.EndpointFault{Status: 500}, status: forwarder.Delivered, code: 500, runs: [2]int{1, 0},
		},
		{
			name: "safe failure is forwarded when the retry gets no answer", kind: modeler.Safe, path: "/stock/1", retryBudget: 100,
			first: platformtest.EndpointFault{Status: 500}, second: platformtest.EndpointFault{Silent: true},
			status: forwarder.Delivered, code: 500, runs: [2]int{1, 1},
		},
		{
			name: "silent endpoint without a retry budget times out", kind: modeler.Safe, path: "/stock/1",
			first: platformtest.EndpointFault{Silent: true}, status: forwarder.TimedOut, runs: [2]int{1, 0},
		},
		{
			name: "paused stream without a retry budget continues", kind: modeler.Stream, path: "/stream/1",
			first: platformtest.EndpointFault{StallAfter: 2, Stall: 1700 * time.Millisecond}, status: forwarder.Delivered, code: 200,
			body: events(6), runs: [2]int{1, 0},
		},
		{
			name: "unsafe failure is forwarded", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{Status: 500}, retryBudget: 100,
			status: forwarder.Delivered, code: 500, runs: [2]int{1, 0},
		},
		{
			name: "unsafe 503 without the not-run header is not forwarded", kind: modeler.Unsafe, path: "/book/1", retryBudget: 100,
			first: platformtest.EndpointFault{Status: 503}, status: forwarder.Unknown, runs: [2]int{1, 0},
		},
		{
			name: "unsafe request to a silent endpoint is not retried", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{Silent: true}, retryBudget: 100,
			status: forwarder.TimedOut, runs: [2]int{1, 0},
		},
		{
			name: "unsafe request that did not run is retried", kind: modeler.Unsafe, path: "/book/1", firstIsFull: true, retryBudget: 100,
			status: forwarder.Delivered, code: 200, body: "e2 answers r1", runs: [2]int{0, 1},
		},
		{
			name: "refused when no endpoint ran it", kind: modeler.Unsafe, path: "/book/1", firstIsFull: true, status: forwarder.Refused, runs: [2]int{0, 0},
		},
		{
			name: "unsigned success is not forwarded", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{Unsigned: true}, retryBudget: 100,
			status: forwarder.Unknown, runs: [2]int{1, 0},
		},
		{
			name: "another request's answer is not forwarded", kind: modeler.Unsafe, path: "/book/1", first: platformtest.EndpointFault{WrongRequestID: true},
			retryBudget: 100, status: forwarder.TimedOut, runs: [2]int{1, 0},
		},
		{name: "stream", kind: modeler.Stream, path: "/stream/1", status: forwarder.Delivered, code: 200, body: events(6), runs: [2]int{1, 0}},
		{
			name: "cut stream is resumed at another endpoint", kind: modeler.Stream, path: "/stream/1", first: platformtest.EndpointFault{CutAfter: 2}, retryBudget: 100,
			status: forwarder.Delivered, code: 200, body: events(6), runs: [2]int{1, 1},
		},
		{
			name: "failure after a cut does not complete the stream", kind: modeler.Stream, path: "/stream/1", retryBudget: 100,
			first: platformtest.EndpointFault{CutAfter: 2}, second: platformtest.EndpointFault{Status: 500},
			status: forwarder.Interrupted, code: 200, body: events(2), runs: [2]int{1, 1},
		},
		{
			name: "stream cut twice is interrupted", kind: modeler.Stream, path: "/stream/1", retryBudget: 100,
			first: platformtest.EndpointFault{CutAfter: 2}, second: platformtest.EndpointFault{CutAfter: 1},
			status: forwarder.Interrupted, code: 200, body: events(3), runs: [2]int{1, 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.retryBudget)
			f.first.SetFault(tt.first)
			f.second.SetFault(tt.second)
			if tt.firstIsFull {
				f.first.Slots = 0
			}
			s := &sink{}
			result := f.forward.Serve(t.Context(), call(tt.kind, tt.path), s)
			assert.Equal(t, result.Status, tt.status)
			if tt.code != 0 {
				assert.Equal(t, s.status, tt.code)
			}
			assert.Equal(t, s.body.String(), tt.body)
			assert.DeepEqual(t, [2]int{len(f.first.Runs()), len(f.second.Runs())}, tt.runs)
		})
	}
}

// TestAttemptHeader guards against sending a caller's credential or forged member to an endpoint, and against a deadline beyond the caller's.
func TestAttemptHeader(t *testing.T) {
	f := newFixture(t, 0)
	f.forward.Serve(t.Context(), call(modeler.Unsafe, "/book/1?x=%2F"), &sink{})
	runs := f.first.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Member, "crew-1")
	assert.Equal(t, runs[0].Credential, "")
	assert.Equal(t, runs[0].Body, "payload")
	assert.Assert(t, runs[0].Deadline > time.Second && runs[0].Deadline <= 2*time.Second, "%v", runs[0].Deadline)
}

// TestResumeAfterLastEvent guards against a resumed stream that repeats or omits events.
func TestResumeAfterLastEvent(t *testing.T) {
	f := newFixture(t, 100)
	f.first.SetFault(platformtest.EndpointFault{CutAfter: 4})
	f.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
	runs := f.second.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].LastEvent, "4")
	assert.DeepEqual(t, f.control.outcomes, []modeler.Outcome{modeler.Broken, modeler.Answered})
}

// TestNotResumable guards against a second run of a stream that may run only once.
func TestNotResumable(t *testing.T) {
	f := newFixture(t, 100)
	f.first.SetFault(platformtest.EndpointFault{CutAfter: 2})
	c := call(modeler.Stream, "/stream/1")
	c.Route.Resumable = false
	result := f.forward.Serve(t.Context(), c, &sink{})
	assert.Equal(t, result.Status, forwarder.Interrupted)
	assert.Equal(t, len(f.second.Runs()), 0)
}

// waitFor polls until a condition is true and fails the test after 5 s.
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

// memory records reservations and releases. It refuses reservations at the endpoint full.
type memory struct {
	mu       sync.Mutex
	full     modeler.EndpointID
	reserved map[string]bool
	renewals int
	released map[string]bool
}

func (m *memory) Reserve(_ context.Context, e modeler.Endpoint, name string, _ modeler.Tokens, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.ID == m.full {
		return platform.StatusError{Status: http.StatusConflict}
	}
	if m.reserved[name] {
		m.renewals++
	}
	m.reserved[name] = true
	return nil
}

func (m *memory) Release(_ context.Context, _ modeler.Endpoint, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released[name] = true
	return nil
}

// allReleased reports whether all reservations were released.
func (m *memory) allReleased() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.reserved {
		if !m.released[name] {
			return false
		}
	}
	return true
}

// reservingControl places requests with the second endpoint as a helper that reserves memory.
type reservingControl struct{ *control }

func (c reservingControl) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	decision, err := c.control.Place(ctx, request)
	if !decision.Refused {
		decision.Plan.Helpers, decision.Plan.Reserved = c.endpoints[1:2], []modeler.Tokens{300_000}
	}
	return decision, err
}

// TestReservations guards against reservations that outlive their request, and against sending a prompt whose memory could not be reserved.
func TestReservations(t *testing.T) {
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
			f := newFixture(t, 0)
			m := &memory{full: tt.full, reserved: map[string]bool{}, released: map[string]bool{}}
			f.forward.Control, f.forward.Reserver = reservingControl{f.control}, m
			f.first.Pause = tt.pause
			f.first.SetFault(tt.fault)
			result := f.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
			assert.Equal(t, result.Status, tt.status)
			runs := f.first.Runs()
			assert.Equal(t, len(runs), tt.runs)
			if tt.runs > 0 {
				assert.Equal(t, runs[0].Helpers, f.second.Address()+"/r1-0-0-0")
			}
			waitFor(t, m.allReleased)
			assert.Equal(t, m.renewals > 0, tt.renews)
		})
	}
}

// TestRefusal guards against a refusal that loses its reason or its Retry-After.
func TestRefusal(t *testing.T) {
	f := newFixture(t, 0)
	f.control.endpoints = nil
	f.control.refusal = modeler.Decision{Reason: modeler.ReasonTooLarge, RetryAfter: 2 * time.Second}
	result := f.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
	assert.Equal(t, result.Status, forwarder.Refused)
	assert.Equal(t, result.Reason, modeler.ReasonTooLarge)
	assert.Equal(t, result.RetryAfter, 2*time.Second)
}

// TestPlacementIDsDiffer guards against confusing the second placement of a request with the first.
func TestPlacementIDsDiffer(t *testing.T) {
	f := newFixture(t, 100)
	f.first.SetFault(platformtest.EndpointFault{Status: 500})
	f.forward.Serve(t.Context(), call(modeler.Safe, "/stock/1"), &sink{})
	assert.Equal(t, len(f.control.requests), 2)
	assert.Assert(t, f.control.requests[0].ID != f.control.requests[1].ID)
	assert.DeepEqual(t, f.control.requests[1].Tried, []modeler.EndpointID{"e1"})
}

// TestFaultyHelper guards against excluding the engine that refused because one of its helpers failed, while the helper is used again.
func TestFaultyHelper(t *testing.T) {
	tests := []struct {
		name         string
		faultyEngine func(f *fixture) string
		want         modeler.EndpointID
	}{
		{"by id", func(*fixture) string { return "e2" }, "e2"},
		{"by address", func(f *fixture) string { return f.second.Address() }, "e2"},
		{"refusing endpoint", func(*fixture) string { return "e1" }, "e1"},
		{"unknown id", func(*fixture) string { return "e9" }, "e1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 100)
			f.forward.Control = helperControl{f.control}
			f.first.SetFault(platformtest.EndpointFault{FaultyEngine: tt.faultyEngine(f)})
			f.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
			assert.Assert(t, len(f.control.requests) >= 2)
			assert.DeepEqual(t, f.control.requests[1].Tried, []modeler.EndpointID{tt.want})
		})
	}
}

// helperControl places requests with the second endpoint as a helper that reserves no memory.
type helperControl struct{ *control }

func (c helperControl) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	decision, err := c.control.Place(ctx, request)
	if !decision.Refused {
		decision.Plan.Helpers = c.endpoints[1:2]
	}
	return decision, err
}
