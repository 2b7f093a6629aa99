package invoker

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/emulation/responder"
)

// TestEarlyResponses guards against taking a part of a response for the whole one, if the service ends the connection before it has read the request and the
// end of the connection would be that of the response.
func TestEarlyResponses(t *testing.T) {
	const long = 32 << 20
	tests := []struct {
		name, response string
		reads          bool
		size           int
		want           Failure
	}{
		{"no length, request not read", rawHead + "\r\npart", false, long, Died},
		{"no length, empty, request not read", rawHead + "\r\n", false, long, Died},
		{"no length, request read", rawHead + "\r\nall", true, long, 0},
		{"no length, short request", rawHead + "\r\nall", true, 10, 0},
		{"no length, no body", rawHead + "\r\nall", true, 0, 0},
		{"no length, body in one buffer", rawHead + "\r\nall", true, 3 << 10, 0},
		{"no length, body in two buffers", rawHead + "\r\nall", true, 5 << 10, 0},
		{"length, request read", rawHead + "Content-Length: 3\r\n\r\nall", true, long, 0},
		{"length, cut", rawHead + "Content-Length: 9\r\n\r\npart", false, long, Died},
		{"chunks, cut", rawHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false, long, Died},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				call := Request{Method: http.MethodPost, Path: "/book", Body: make([]byte, tt.size), Idempotent: idempotent}
				raw := responder.RawOptions{Responses: []string{tt.response}, Early: true, Ending: responder.RawHalfCloseReset, Delay: 100 * time.Millisecond}
				if tt.reads {
					raw.Ending = responder.RawClose
				}
				response, ran, err := newClient(t).Call(t.Context(), grant(startRaw(t, raw), time.Minute), call)
				assert.Equal(t, FailureOf(err), tt.want, "%v", err)
				assert.Assert(t, bool(ran))
				if tt.want == 0 {
					assert.Equal(t, string(response.Body), "all")
				}
			})
		}
	}
}

// TestHeadReuse guards against closing a pooled connection because a response to a HEAD request states no length.
func TestHeadReuse(t *testing.T) {
	address := startRaw(t, responder.RawOptions{Responses: []string{rawHead + "X-Boot-Id: first\r\n\r\n", rawHead + "X-Boot-Id: second\r\n\r\n"}})
	client := newClient(t)
	tests := []struct{ bootID string }{{"first"}, {"second"}}
	for _, tt := range tests {
		response, _, err := client.Call(t.Context(), grant(address, time.Minute), Request{Method: http.MethodHead, Path: "/", Idempotent: true})
		assert.NilError(t, err)
		assert.Equal(t, response.BootID, tt.bootID)
	}
}

// TestTransmission guards against counting a request as complete before its last byte, in whatever pieces it is written.
func TestTransmission(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nA: \r\r\nB: c\r\n\r\n"
	tests := []struct{ name, body string }{{"no body", ""}, {"body", "body"}, {"body like the end of a head", "\r\n\r\n"}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := head + tt.body
			for size := 1; size <= len(text); size++ {
				sent := transmission{left: len(tt.body)}
				for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
					assert.Assert(t, !sent.complete(), "complete before %q", rest)
					sent = sent.withWritten([]byte(rest[:min(size, len(rest))]))
				}
				assert.Assert(t, sent.complete())
			}
		})
	}
}
