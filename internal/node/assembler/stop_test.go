package assembler

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/runner"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
	"damaskpick.example/damaskpick/internal/web/listener"
)

// placingControl grants every request, or leaves it waiting until its deadline.
type placingControl struct {
	forwarder.Control
	grants bool
}

func (c placingControl) Ask(ctx context.Context, _ modeler.Event) (modeler.Decision, error) {
	if c.grants {
		return modeler.Decision{Grant: &modeler.Grant{Attempt: "r#1", PermitAt: time.Now()}}, nil
	}
	<-ctx.Done()
	return modeler.Decision{}, ctx.Err()
}

func (placingControl) Post(modeler.Event) {}

// silentEngines accept requests and send nothing.
type silentEngines struct{}

func (silentEngines) Open(ctx context.Context, _ modeler.Grant, _ forwarder.Prompt) (forwarder.Stream, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentEngines) Cancel(context.Context, modeler.Grant) error { return nil }

// stopWatcher is a system that closes requested once the stop was requested.
type stopWatcher struct{ requested chan struct{} }

func (w stopWatcher) Run(tick *modeler.Tick, _ *modeler.World) {
	for _, event := range tick.Events {
		if _, ok := event.(modeler.StopRequested); ok {
			closeOnce(w.requested, true)
		}
	}
}

type idleExecutor struct{}

func (idleExecutor) Execute([]modeler.Effect) {}

// newStoppingNode returns a node whose handler generates with the given control and writes the code of the refusal, the channel that is
// closed once its stop was requested, and the clean-up function that closes its connections.
func newStoppingNode(t *testing.T, timeouts loader.Timeouts, control forwarder.Control) (*node, <-chan struct{}, func()) {
	t.Helper()
	world := modeler.NewWorld(modeler.Self{})
	watcher := stopWatcher{make(chan struct{})}
	n := &node{log: zerolog.Nop(), lifecycle: newLifecycle(world)}
	n.loop = runner.New(world, runner.Options{
		Systems: []modeler.System{watcher}, Executor: idleExecutor{}, Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	go func() { _ = n.loop.Run(t.Context()) }()
	n.forwarder = forwarder.New(forwarder.Options{
		Control: control, Engines: silentEngines{}, RequestTimeout: timeouts.Request.Std(), Log: zerolog.Nop(),
	})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := n.forwarder.Generate(r.Context(), forwarder.Generation{MaxTokens: 1}, func(forwarder.Chunk) error { return nil })
		var refused *forwarder.RefusedError
		if errors.As(err, &refused) {
			_, _ = io.WriteString(w, string(refused.Refusal.Code))
		}
	})
	callers, closeCallers, err := listener.Listen(listener.Options{Address: "127.0.0.1:0", Handler: handler, Log: zerolog.Nop()})
	assert.NilError(t, err)
	t.Cleanup(closeCallers)
	peers, closePeers, err := listener.Listen(listener.Options{Address: "127.0.0.1:0", Handler: handler, Log: zerolog.Nop()})
	assert.NilError(t, err)
	t.Cleanup(closePeers)
	n.callers, n.peers = callers, peers
	return n, watcher.requested, closeCallers
}

// TestStopAnswersLateRequests guards against a graceful stop that takes a request whose deadline is after its own, and then closes the
// connection without an answer. That Request exceeds Stop stands for a request that arrives late in the stop.
func TestStopAnswersLateRequests(t *testing.T) {
	timeouts := loader.Timeouts{
		Request: loader.Duration(time.Minute), AddressLifetime: loader.Duration(time.Millisecond), Stop: loader.Duration(2 * time.Second),
	}
	for _, c := range []struct {
		name   string
		grants bool
	}{
		{"waits for an endpoint", false},
		{"waits for the first token", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n, requested, closeCallers := newStoppingNode(t, timeouts, placingControl{grants: c.grants})
			stopping, stop := context.WithCancel(t.Context())
			stop()
			stopped := make(chan error, 1)
			go func() {
				defer closeCallers()
				stopped <- n.waitAndStop(stopping, timeouts)
			}()
			<-requested
			response, err := http.Get("http://" + n.callers.Address())
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), string(modeler.CodeDeadlineExceeded))
			assert.ErrorIs(t, <-stopped, errStopTimedOut)
		})
	}
}
