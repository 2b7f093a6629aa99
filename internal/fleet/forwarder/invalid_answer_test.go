package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/emulation/responder"
	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
	"damaskpick.example/damaskpick/platform"
)

// startRaw starts a raw endpoint and returns it as the control knows it.
func startRaw(t *testing.T, options responder.RawOptions) modeler.Endpoint {
	t.Helper()
	address, stop, err := responder.StartRaw(options)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return modeler.Endpoint{ID: "raw", Address: address}
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
			f.control.endpoints = []modeler.Endpoint{startRaw(t, responder.RawOptions{Responses: []string{tt.answer}})}
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
			f.control.endpoints = []modeler.Endpoint{startRaw(t, responder.RawOptions{
				Responses: []string{head + tt.body}, Early: true, Ending: responder.RawHalfCloseReset, Delay: 100 * time.Millisecond,
			})}
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
