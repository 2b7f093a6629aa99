package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// repeatingEndpoint is an endpoint that sends each response of a connection once more, where the next one is expected.
type repeatingEndpoint struct {
	// responses are the responses to the requests in the order of their arrival on all connections; the last one is that to all further requests.
	responses []string

	mu                    sync.Mutex
	requests, connections int
}

// start serves on a loopback address until the end of the test.
func (e *repeatingEndpoint) start(t *testing.T) modeler.Endpoint {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(t.Context(), conn)
		}
	}()
	return modeler.Endpoint{ID: "e1", Address: listener.Addr().String()}
}

func (e *repeatingEndpoint) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	e.mu.Lock()
	e.connections++
	e.mu.Unlock()
	last := ""
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := e.next()
		if _, err := io.WriteString(conn, last+response); err != nil {
			return
		}
		last = response
	}
}

// next counts a request and returns its response.
func (e *repeatingEndpoint) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	return e.responses[min(e.requests, len(e.responses))-1]
}

// sameEndpoint is a control that places each request on the same endpoint, with a helper.
type sameEndpoint struct {
	*control
	endpoint modeler.Endpoint
}

func (c sameEndpoint) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	plan := modeler.Plan{Endpoint: c.endpoint, Helpers: []modeler.Endpoint{{ID: "e2", Address: "127.0.0.1:1"}}}
	return modeler.Decision{Plan: plan}, ctx.Err()
}

// TestLateCopyOfAnswer guards against taking a late copy of an endpoint's earlier answer to a request for the answer to its repeat at the same endpoint: the
// repeat runs meanwhile, and a third attempt runs the request again.
func TestLateCopyOfAnswer(t *testing.T) {
	response := func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	}
	first := response(http.StatusOK, "Response-Signature: s\r\n", "first run")
	second := response(http.StatusOK, "Response-Signature: s\r\n", "second run")
	tests := []struct {
		name    string
		kind    modeler.Kind
		refused []string
	}{
		{"refused for a helper", modeler.Unsafe, []string{response(http.StatusServiceUnavailable, "Not-Executed: 1\r\nAt-Server: e2\r\n", "")}},
		{"refused", modeler.Unsafe, []string{response(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "full")}},
		{"refused twice", modeler.Unsafe, []string{
			response(http.StatusTooManyRequests, "Not-Executed: 1\r\n", ""), response(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""),
		}},
		{"not the expected endpoint", modeler.Unsafe, []string{response(http.StatusMisdirectedRequest, "", "")}},
		{"failed", modeler.Safe, []string{response(http.StatusInternalServerError, "Response-Signature: s\r\n", "failure")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 100)
			endpoint := &repeatingEndpoint{responses: append(tt.refused, first, second)}
			f.forward.Control = sameEndpoint{f.control, endpoint.start(t)}
			c := call(tt.kind, "/book/1")
			c.Route.MaxRuns = 3
			s := &sink{}
			result := f.forward.Serve(t.Context(), c, s)
			assert.Equal(t, result.Status, forwarder.Delivered)
			assert.Equal(t, result.Code, http.StatusOK)
			assert.Equal(t, s.body.String(), "first run")
			assert.Equal(t, endpoint.requests, len(tt.refused)+1)
			assert.Equal(t, endpoint.connections, len(tt.refused)+1)
		})
	}
}
