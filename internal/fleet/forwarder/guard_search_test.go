package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/runner"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// queueingPlacer places the first attempt of each call on the first endpoint. It leaves the next placement request, the guard's search, in its
// queue until that is cancelled, and places the one after it on the second endpoint after 5 ms.
type queueingPlacer struct {
	endpoints [2]modeler.Endpoint
	requests  map[string]int
	dueAt     map[modeler.RequestID]time.Time
}

func (q *queueingPlacer) Run(tick *modeler.Tick, _ *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.PlacementRequested:
			call, _, _ := strings.Cut(string(e.Request.ID), "/")
			switch q.requests[call]++; q.requests[call] {
			case 1:
				tick.Emit(modeler.Reply{ID: e.Request.ID, Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: q.endpoints[0]}}})
			case 3:
				q.dueAt[e.Request.ID] = tick.Now.Add(5 * time.Millisecond)
			}
		case modeler.PlacementCancelled:
			delete(q.dueAt, e.ID)
		}
	}
	for id, at := range q.dueAt {
		if !tick.Now.Before(at) {
			delete(q.dueAt, id)
			tick.Emit(modeler.Reply{ID: id, Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: q.endpoints[1]}}})
			continue
		}
		tick.WakeAt(at)
	}
}

type noEffects struct{}

func (noEffects) Execute([]modeler.Effect) {}

// serveBreaking accepts connections and closes each one some time after it has received a request.
func serveBreaking(t *testing.T, after time.Duration) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				time.AfterFunc(after, func() { _ = conn.Close() })
			}()
		}
	}()
	return l.Addr().String()
}

// TestRetryWhileGuardSearches guards against a retry whose placement request is cancelled by the search of the guard of the attempt before, which
// has the same ID: the call then gets no decision until its deadline.
func TestRetryWhileGuardSearches(t *testing.T) {
	sound := &platformtest.Endpoint{ID: "e2", Service: platformtest.PlainService, Slots: 4}
	t.Cleanup(sound.Start())
	placer := &queueingPlacer{
		endpoints: [2]modeler.Endpoint{{ID: "e1", Address: serveBreaking(t, 150*time.Millisecond)}, {ID: "e2", Address: sound.Address()}},
		requests:  map[string]int{}, dueAt: map[modeler.RequestID]time.Time{},
	}
	loop := runner.New(modeler.NewWorld(modeler.Node{ID: "a"}), runner.Options{
		Systems: []modeler.System{placer}, Executor: noEffects{}, Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = loop.Run(ctx) }()
	pool, closePool := dialer.NewPool(4)
	defer closePool()
	forward := &forwarder.Forwarder{
		Control: loop, Protocol: platform.Traffic{}, Pool: pool, Self: modeler.Node{ID: "a"},
		Budget: limiter.NewBudget(limiter.Options{Ratio: 1, Slack: 1000, Window: 10 * time.Second}, time.Now),
	}
	for i := range 20 {
		c := call(modeler.Safe, "/stock/1")
		c.Fields.ID = modeler.RequestID(fmt.Sprint("r", i))
		c.Header = platformtest.CallerHeader(string(c.Fields.ID), "secret")
		c.Route.Target = 20 * time.Millisecond
		assert.Equal(t, forward.Serve(ctx, c, &sink{}).Status, forwarder.Delivered)
	}
}
