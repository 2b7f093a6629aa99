package listener_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/emulation/responder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// startEarly starts an engine that answers a request before it has read its body, and returns it as the control knows it.
func startEarly(t *testing.T, answer string, ending responder.RawEnding, delay time.Duration) modeler.Endpoint {
	t.Helper()
	address, stop, err := responder.StartRaw(responder.RawOptions{Responses: []string{answer}, Early: true, Ending: ending, Delay: delay})
	assert.NilError(t, err)
	t.Cleanup(stop)
	return modeler.Endpoint{ID: "early", Address: address}
}

// upload sends a request with a body of the given size and reads the answer to its end.
func (f *front) upload(t *testing.T, path, id string, size int) received {
	t.Helper()
	body := bytes.Repeat([]byte("x"), size)
	request, err := platformtest.NewRequest(t.Context(), "http://"+f.address+path, id)
	assert.NilError(t, err)
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
	request.Header.Set(platformtest.TimeoutHeader, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	conn, err := net.Dial("tcp4", f.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, request.Write(conn))
	return readAnswer(conn, request)
}

// TestEarlyAnswers guards against the part of an answer that reaches the caller as the whole one when an engine resets the connection while a long body is
// written, and against rejecting a complete answer that comes before the body was read.
func TestEarlyAnswers(t *testing.T) {
	const size, repeats = 4 << 20, 3
	configuration := string(platformtest.ConfigurationWith(3, callTimeout, size))
	all := events(1, eventCount)
	withLength := head + "Connection: close\r\nContent-Length: " + strconv.Itoa(len(all)) + "\r\n\r\n" + all
	inChunks := closingChunked + chunk(all) + "0\r\n\r\n"
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
	whole := received{200, "r1", "raw", all, true}
	unknown := received{Status: 502, Body: "the request may have run\n", Complete: true}
	// cut is an answer that began and whose connection ended inside it.
	cut := func(body string) received { return received{Status: 200, ID: "r1", Signature: "raw", Body: body} }
	elsewhere := func(body string) received { return received{200, "r1", "e2.r1", body, true} }
	type testCase struct {
		name, path string
		once       bool
		answer     string
		ending     responder.RawEnding
		delay      time.Duration
		want       received
		// headLost is what the caller gets if a reset at once overtakes the head of the answer.
		headLost received
	}
	const soon = 50 * time.Millisecond
	reset, readsOn, closes := responder.RawReset, responder.RawKeep, responder.RawClose
	complete := []testCase{
		{"length, then reset", "/book/1", false, withLength, reset, soon, whole, whole},
		{"chunks, then reset", "/book/1", false, inChunks, reset, soon, whole, whole},
		{"interim responses, length, then reset", "/book/1", false, interim + withLength, reset, soon, whole, whole},
		{"stream of a length, then reset", "/stream/1", true, withLength, reset, soon, whole, whole},
		{"length, reads on", "/book/1", false, head + "Content-Length: 4\r\n\r\nall.", readsOn, 0, received{200, "r1", "raw", "all.", true}, received{}},
		{"no length, reads the whole request", "/book/1", false, unframed + all, closes, 0, whole, whole},
		{"stream of no length, reads the whole request", "/stream/1", true, unframed + all, closes, 0, whole, whole},
	}
	parts, delays := []int{5, 2_000, 50_000}, []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond}
	cuts := make([]testCase, 0, 4*len(parts)*len(delays))
	for count, part := range parts {
		stream := unframed + events(1, count)
		once, resumed := cut(events(1, count)), whole
		if count == 0 {
			once, resumed = unknown, elsewhere(all)
		}
		for _, delay := range delays {
			name := fmt.Sprintf("part of %d, reset after %v", part, delay)
			answer := unframed + strings.Repeat("x", part)
			cuts = append(cuts,
				testCase{name, "/book/1", false, answer, reset, delay, unknown, unknown},
				testCase{name, "/stock/1", false, answer, reset, delay, elsewhere("e2 answers r1"), elsewhere("e2 answers r1")},
			)
			name = fmt.Sprintf("%d events, reset after %v", count, delay)
			cuts = append(cuts,
				testCase{name, "/stream/1", true, stream, reset, delay, once, unknown},
				testCase{name, "/stream/1", false, stream, reset, delay, resumed, elsewhere(all)},
			)
		}
	}
	for _, tt := range slices.Concat(complete, cuts) {
		for n := range repeats {
			t.Run(fmt.Sprintf("%s%s/once=%t/%d", tt.name, tt.path, tt.once, n), func(t *testing.T) {
				second := &platformtest.Endpoint{ID: "e2", Slots: 4, Events: eventCount}
				t.Cleanup(second.Start())
				f := startFrontWith(t, configuration, tt.once, startEarly(t, tt.answer, tt.ending, tt.delay), modeler.Endpoint{ID: "e2", Address: second.Address()})
				got := f.upload(t, tt.path, "r1", size)
				want := tt.want
				if tt.delay == 0 && got.Signature == tt.headLost.Signature {
					want = tt.headLost
				}
				assert.DeepEqual(t, got, want)
			})
		}
	}
}

// TestLongCutAnswers guards against an answer that is forwarded as it arrives, and whose caller takes its first part for the whole one.
func TestLongCutAnswers(t *testing.T) {
	const size, part = 4 << 20, 200_000
	configuration := string(platformtest.ConfigurationWith(3, callTimeout, size))
	tests := []struct {
		path  string
		delay time.Duration
	}{
		{"/book/1", 0}, {"/book/1", 10 * time.Millisecond}, {"/book/1", 100 * time.Millisecond},
		{"/stock/1", 0}, {"/stock/1", 10 * time.Millisecond}, {"/stock/1", 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s, reset after %v", tt.path, tt.delay), func(t *testing.T) {
			engine := startEarly(t, unframed+strings.Repeat("x", part), responder.RawReset, tt.delay)
			got := startFrontWith(t, configuration, false, engine).upload(t, tt.path, "r1", size)
			// A reset at once may overtake most of the part, which is then not forwarded.
			assert.Assert(t, got.Status == 502 || got.Status == 200 && !got.Complete, "status %d, %d bytes, complete %t", got.Status, len(got.Body), got.Complete)
		})
	}
}
