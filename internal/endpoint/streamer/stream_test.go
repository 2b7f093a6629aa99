package streamer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/emulation/batcher"
	"damaskpick.example/damaskpick/internal/emulation/responder"
)

func newEngine(t *testing.T, change func(*responder.EngineOptions)) string {
	t.Helper()
	p := batcher.DefaultParameters()
	p.ColdFor, p.ColdRequests, p.TimeScale = 0, 0, 0.001
	options := responder.EngineOptions{Address: "127.0.0.1:0", Models: []string{"m"}, Parameters: p}
	if change != nil {
		change(&options)
	}
	e, stop, err := responder.NewEngine(options)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return e.Address()
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c, stop, err := New(Options{ChunkGap: 800 * time.Millisecond, ControlTimeout: time.Second})
	assert.NilError(t, err)
	t.Cleanup(stop)
	return c
}

func scaled(scale float64) func(*responder.EngineOptions) {
	return func(o *responder.EngineOptions) { o.Parameters.TimeScale = scale }
}

func grant(address, attempt string) modeler.Grant {
	return modeler.Grant{
		Attempt: modeler.AttemptID(attempt), Address: address, Term: 7, Deadline: time.Now().Add(20 * time.Second),
	}
}

func prompt(tokens int) Prompt {
	return Prompt{Model: "m", Text: "hello <world>", MaxTokens: modeler.Tokens(tokens), Node: "n/1"}
}

// injectFaults sends faults in JSON to the stand-in engine.
func injectFaults(t *testing.T, address, faults string) {
	t.Helper()
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(faults))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}

// drain reads a stream to its end and returns its text and the last error.
func drain(s *Stream) (string, error) {
	var text strings.Builder
	for {
		chunk, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(chunk.Text)
	}
}

// TestWholeAnswer guards against lost, repeated or changed tokens, in particular where JSON decoding is skipped, and against a continuation
// that differs from the rest of the original response.
func TestWholeAnswer(t *testing.T) {
	address, c := newEngine(t, nil), newClient(t)
	s, err := c.Open(t.Context(), grant(address, `a"<1>`), prompt(300))
	assert.NilError(t, err)
	assert.Assert(t, s.BootID != "" && !s.Cold)
	whole, err := drain(s)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, s.Usage(), Usage{Prompt: 4, Completion: 300})
	assert.Equal(t, len(whole), 300*batcher.BytesPerToken)
	rest := prompt(100)
	rest.Text += whole[:200*batcher.BytesPerToken]
	s, err = c.Open(t.Context(), grant(address, "b"), rest)
	assert.NilError(t, err)
	text, err := drain(s)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, text, whole[200*batcher.BytesPerToken:])
}

// TestFailures guards against failures that are reported as another one. Each leads to a different decision about a retry, the endpoint and
// the request.
func TestFailures(t *testing.T) {
	cases := []struct {
		name   string
		change func(*responder.EngineOptions)
		// before holds faults that are injected before the request, during those injected while it runs.
		before, during string
		tokens         int
		want           Failure
	}{
		{"connection refused", nil, `{"Crash":true,"DownMs":60000}`, "", 5, NotConnected},
		{"too long", nil, "", "", 1_000_000, Refused},
		{"unknown", func(o *responder.EngineOptions) { o.Models = nil }, "", "", 5, Refused},
		{"crossed", nil, `{"Crossed":1}`, "", 5, Mismatched},
		{"cut short", nil, `{"CutShort":1}`, "", 5, CutShort},
		{"token lost", nil, `{"Dropped":1}`, "", 5, Miscounted},
		{"header late", nil, `{"LateMs":3000}`, "", 5, Silent},
		{"silent", scaled(1), "", `{"Silent":true}`, 1000, Silent},
		{"crash", scaled(1), "", `{"Crash":true}`, 1000, Died},
		{"cold overload", func(o *responder.EngineOptions) { o.Parameters.ColdRequests, o.Parameters.ColdLimit = 1, 0 }, "", "", 5, Died},
		{"late within the gap", nil, `{"LateMs":100}`, "", 5, 0},
		{"prefill longer than the gap", scaled(60), "", "", 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, client := newEngine(t, c.change), newClient(t)
			if c.before != "" {
				injectFaults(t, address, c.before)
			}
			s, err := client.Open(t.Context(), grant(address, "a"), prompt(c.tokens))
			if err == nil {
				if c.during != "" {
					injectFaults(t, address, c.during)
				}
				_, err = drain(s)
				_, again := s.Next()
				assert.Equal(t, again, err)
			}
			assert.Equal(t, FailureOf(err), c.want, "%v", err)
			assert.Equal(t, errors.Is(err, io.EOF) && c.want == 0, c.want == 0, "%v", err)
		})
	}
}

// TestAbandoned guards against a stream that continues after its context was cancelled or its deadline passed.
func TestAbandoned(t *testing.T) {
	address, client := newEngine(t, scaled(100)), newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	s, err := client.Open(ctx, grant(address, "a"), prompt(5))
	assert.NilError(t, err)
	cancel()
	_, err = drain(s)
	assert.Equal(t, FailureOf(err), Abandoned)
	short := grant(address, "b")
	short.Deadline = time.Now().Add(200 * time.Millisecond)
	s, err = client.Open(t.Context(), short, prompt(5))
	assert.NilError(t, err)
	_, err = drain(s)
	assert.Assert(t, FailureOf(err) == Abandoned || FailureOf(err) == CutShort, "%v", err)
}

// TestSilentConnectionIsLeft guards against a silent connection that is reused, and against a new connection that is reported as silent.
func TestSilentConnectionIsLeft(t *testing.T) {
	address, client := newEngine(t, scaled(1)), newClient(t)
	first, err := client.Open(t.Context(), grant(address, "a"), prompt(1000))
	assert.NilError(t, err)
	_, err = client.Load(t.Context(), address)
	assert.NilError(t, err)
	injectFaults(t, address, `{"Silent":true}`)
	for _, want := range []Failure{Silent, 0} {
		_, err = client.Load(t.Context(), address)
		assert.Equal(t, FailureOf(err), want, "%v", err)
	}
	second, err := client.Open(t.Context(), grant(address, "b"), prompt(3))
	assert.NilError(t, err)
	_, err = drain(second)
	assert.Equal(t, err, io.EOF)
	_, err = drain(first)
	assert.Equal(t, FailureOf(err), Silent)
}

// TestEngineThatNeverReads guards against a client that blocks while it writes a prompt to an engine that does not read it.
func TestEngineThatNeverReads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	long := prompt(5)
	long.Text = strings.Repeat("long ", 8<<20)
	_, err = newClient(t).Open(t.Context(), grant(l.Addr().String(), "a"), long)
	assert.Equal(t, FailureOf(err), Silent, "%v", err)
	assert.NilError(t, (<-accepted).Close())
}

// TestSlowReader guards against an engine that is reported as silent because the reader of the stream is slow.
func TestSlowReader(t *testing.T) {
	address, client := newEngine(t, nil), newClient(t)
	s, err := client.Open(t.Context(), grant(address, "a"), prompt(5))
	assert.NilError(t, err)
	<-time.After(1200 * time.Millisecond)
	_, err = drain(s)
	assert.Equal(t, err, io.EOF)
}

// TestControl guards against control requests that miss a running attempt, fail after it has ended, or report a wrong failure for an engine
// that is down.
func TestControl(t *testing.T) {
	address, client := newEngine(t, scaled(100)), newClient(t)
	s, err := client.Open(t.Context(), grant(address, "a/b"), prompt(16))
	assert.NilError(t, err)
	defer s.Close()
	running, err := client.Requests(t.Context(), address)
	assert.NilError(t, err)
	owner := modeler.RunningAttempt{Attempt: "a/b", Node: "n/1", Tokens: 20}
	assert.DeepEqual(t, running, Running{BootID: s.BootID, Attempts: []modeler.RunningAttempt{owner}})
	load, err := client.Load(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(load.BootID == s.BootID, load.Cold, load.Capacity, load.Used, load.QueuedPrefill, load.Running),
		"true false 400000 20 4 1")
	for range 2 {
		assert.NilError(t, client.Cancel(t.Context(), address, "a/b", 7))
	}
	running, err = client.Requests(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, len(running.Attempts), 0)
	injectFaults(t, address, `{"Crash":true,"DownMs":60000}`)
	assert.Equal(t, FailureOf(client.Cancel(t.Context(), address, "a/b", 7)), NotConnected)
}
