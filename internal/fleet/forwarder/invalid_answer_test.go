package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
	"damaskpick.example/damaskpick/platform"
)

// startRawServer starts a server that answers each request with the same bytes and then closes the connection. It returns the address.
func startRawServer(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestInvalidAnswer guards against an invalid answer that nobody can see in the log, and against counting it as a broken connection: after three of these the
// request would be quarantined as one that crashes endpoints.
func TestInvalidAnswer(t *testing.T) {
	const id, signature = "Request-Id: r1\r\n", "Response-Signature: s\r\n"
	tests := []struct {
		name, answer string
		kind         modeler.Kind
		fault        forwarder.AnswerFault
	}{
		{"status 000", "HTTP/1.1 000 None\r\n" + id + signature + "Content-Length: 0\r\n\r\n", modeler.Unsafe, "StatusLine"},
		{"status 600", "HTTP/1.1 600 High\r\n" + id + signature + "Content-Length: 0\r\n\r\n", modeler.Unsafe, "StatusLine"},
		{"space in a name", "HTTP/1.1 200 OK\r\n" + id + signature + "X A: b\r\nContent-Length: 0\r\n\r\n", modeler.Unsafe, "FieldName"},
		{"length beside chunks", "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", modeler.Unsafe, "Framing"},
		{"no signature", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n", modeler.Unsafe, forwarder.UnsignedAnswer},
		{"encoding", "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Encoding: gzip\r\n\r\n", modeler.Unsafe, forwarder.EncodedAnswer},
		{"long", "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Length: 99999999\r\n\r\n", modeler.Unsafe, forwarder.LongAnswer},
		{"no event", "HTTP/1.1 200 OK\r\n" + id + signature + "\r\nHTTP/1.1 200 OK\r\n\r\n", modeler.Stream, forwarder.NoEvent},
		{"another request", "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\n\r\n", modeler.Unsafe, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.control.endpoints = []modeler.Endpoint{{ID: "raw", Address: startRawServer(t, tt.answer)}}
			var got []forwarder.InvalidAnswer
			f.forward.OnInvalidAnswer = func(answer forwarder.InvalidAnswer) { got = append(got, answer) }
			result := f.forward.Serve(t.Context(), call(tt.kind, "/book/1"), &sink{})
			assert.Equal(t, result.Status, forwarder.Unknown)
			if tt.fault == "" {
				// The connection ended before the answer to this request.
				assert.DeepEqual(t, f.control.outcomes, []modeler.Outcome{modeler.Broken})
				return
			}
			assert.DeepEqual(t, f.control.outcomes, []modeler.Outcome{modeler.Garbled})
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Request, modeler.RequestID("r1"))
			assert.Equal(t, got[0].Endpoint, modeler.EndpointID("raw"))
			assert.Equal(t, got[0].Fault, tt.fault)
		})
	}
}

// failingReserver is a Reserver whose reservations all fail.
type failingReserver struct{ err error }

func (r failingReserver) Reserve(context.Context, modeler.Endpoint, string, modeler.Tokens, time.Duration) error {
	return r.err
}
func (failingReserver) Release(context.Context, modeler.Endpoint, string) error { return nil }

// TestInvalidReservation guards against taking an invalid response to a reservation for an answer to the request, which was not sent and may be refused.
func TestInvalidReservation(t *testing.T) {
	tests := []struct {
		name string
		err  error
	}{
		{"not free", platform.StatusError{Status: http.StatusConflict}},
		{"invalid head", fmt.Errorf("reserve: %w", checker.HeadError{Fault: checker.StatusLine})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.forward.Control, f.forward.Reserver = reservingControl{f.control}, failingReserver{tt.err}
			f.forward.OnInvalidAnswer = func(answer forwarder.InvalidAnswer) { t.Errorf("reported %v", answer) }
			result := f.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), &sink{})
			assert.Equal(t, result.Status, forwarder.Refused)
			assert.DeepEqual(t, f.control.outcomes, []modeler.Outcome{modeler.Shed, modeler.Shed})
		})
	}
}

// startHalfClosingServer starts a server that answers a request before it has read the body, ends its side of the connection and resets it later.
func startHalfClosingServer(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		conn := accepted.(*net.TCPConn)
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.CloseWrite()
		<-time.After(100 * time.Millisecond)
		_ = conn.SetLinger(0)
	}()
	return l.Addr().String()
}

// TestCutAnswer guards against taking the end of an answer for its whole although the endpoint did not read the request, against counting it as anything but a
// broken connection, and against one that nobody can see in the log.
func TestCutAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n"
	tests := []struct {
		name   string
		kind   modeler.Kind
		body   string
		status forwarder.Status
	}{
		{"call", modeler.Unsafe, "part", forwarder.Unknown},
		{"long answer", modeler.Unsafe, strings.Repeat("x", 100_000), forwarder.Interrupted},
		{"stream", modeler.Stream, events(2), forwarder.Interrupted},
		{"stream without an event", modeler.Stream, "", forwarder.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.control.endpoints = []modeler.Endpoint{{ID: "early", Address: startHalfClosingServer(t, head+tt.body)}}
			var faults []forwarder.AnswerFault
			f.forward.OnInvalidAnswer = func(answer forwarder.InvalidAnswer) { faults = append(faults, answer.Fault) }
			c := call(tt.kind, "/book/1")
			// More than the buffers of the kernel hold.
			c.Body = make([]byte, 64<<20)
			c.Route.Timeout = time.Minute
			result := f.forward.Serve(t.Context(), c, &sink{})
			assert.Equal(t, result.Status, tt.status)
			assert.DeepEqual(t, f.control.outcomes, []modeler.Outcome{modeler.Broken})
			assert.DeepEqual(t, faults, []forwarder.AnswerFault{forwarder.CutAnswer})
		})
	}
}
