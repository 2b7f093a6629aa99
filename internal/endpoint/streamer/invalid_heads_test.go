package streamer

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/emulation/responder"
)

// startRaw starts a raw engine with one response and returns the address.
func startRaw(t *testing.T, response string) string {
	t.Helper()
	address, stop, err := responder.StartRaw(responder.RawOptions{Responses: []string{response}})
	assert.NilError(t, err)
	t.Cleanup(stop)
	return address
}

// TestInvalidHeads guards against taking an invalid head for a refusal, which states that nothing ran, or for the head of a stream.
func TestInvalidHeads(t *testing.T) {
	const fields = "X-Request-Id: a\r\nContent-Type: text/event-stream\r\n"
	tests := []struct {
		name, response string
		want           Failure
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + fields + "\r\n", 0},
		{"refusal", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Refused},
		{"status 000", "HTTP/1.1 000 None\r\n" + fields + "\r\n", CutShort},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n", CutShort},
		{"status 600", "HTTP/1.1 600 High\r\n" + fields + "\r\n", CutShort},
		{"space in a name", "HTTP/1.1 200 OK\r\n" + fields + "X A: b\r\n\r\n", CutShort},
		{"length beside chunks", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", CutShort},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stream, err := newClient(t).Open(t.Context(), grant(startRaw(t, tt.response), "a"), prompt(1))
			assert.Equal(t, FailureOf(err), tt.want, "%v", err)
			if err == nil {
				stream.Close()
			}
		})
	}
}

// TestInvalidControlHeads guards against taking an attempt for cancelled because of a response that is none.
func TestInvalidControlHeads(t *testing.T) {
	tests := []struct {
		name, response string
		want           Failure
	}{
		{"sound", "HTTP/1.1 204 No Content\r\n\r\n", 0},
		{"unknown attempt", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 0},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", CutShort},
		{"space in a name", "HTTP/1.1 204 No Content\r\nX A: b\r\n\r\n", CutShort},
		{"length where there is no body", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", CutShort},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := newClient(t).Cancel(t.Context(), startRaw(t, tt.response), "a", 7)
			assert.Equal(t, FailureOf(err), tt.want, "%v", err)
		})
	}
}
