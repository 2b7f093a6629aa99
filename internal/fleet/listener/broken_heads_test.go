package listener_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// brokenHead is an answer whose head is invalid.
type brokenHead struct{ name, text string }

// testBrokenHeads sends requests of each kind to an engine with an invalid answer. It checks that no caller gets the answer, that a request which may not run
// twice is not sent to the second engine and not refused, and that the connection is not used again.
func testBrokenHeads(t *testing.T, heads []brokenHead) {
	t.Helper()
	unknown := received{Status: 502, Body: "the request may have run\n", Complete: true}
	routes := []struct {
		path string
		// once is set if the stream may not be resumed.
		once       bool
		want       received
		secondRuns int
	}{
		{"/book/1", false, unknown, 0},
		{"/stock/1", false, received{200, "r1", "e2.r1", "e2 answers r1", true}, 1},
		{"/stream/1", false, received{200, "r1", "e2.r1", events(1, eventCount), true}, 1},
		{"/stream/1", true, unknown, 0},
	}
	for _, h := range heads {
		for _, route := range routes {
			t.Run(fmt.Sprintf("%s%s/once=%t", h.name, route.path, route.once), func(t *testing.T) {
				t.Parallel()
				f := startFront(t, startRawEngine(t, reply{text: h.text}, ownReply()).endpoint(), route.once)
				assert.DeepEqual(t, f.call(t, route.path, "r1", callTimeout), route.want)
				assert.Equal(t, len(f.second.Runs()), route.secondRuns)
				next := received{Status: 200, ID: "r2", Signature: "raw", Body: events(1, 1), Complete: true}
				assert.DeepEqual(t, f.call(t, route.path, "r2", callTimeout), next)
			})
		}
	}
}

// withStatusLine returns an answer with the given status line and a length.
func withStatusLine(line string) string {
	return strings.Replace(head, "HTTP/1.1 200 OK", line, 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events(1, 1))) + events(1, 1)
}

// TestInvalidStatus guards against a status line that is none, or whose status is that of no answer, and against taking such an answer for an interim one:
// the bytes behind its head would then reach the caller as the answer.
func TestInvalidStatus(t *testing.T) {
	hidden := ownReply().text
	testBrokenHeads(t, []brokenHead{
		{"000", withStatusLine("HTTP/1.1 000 Broken")},
		{"000 with a head behind it", strings.Replace(unframed, "200", "000", 1) + hidden},
		{"000 with a head in its body", strings.Replace(head, "200", "000", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden},
		{"001 with a head behind it", strings.Replace(unframed, "200", "001", 1) + hidden},
		{"099 with a head behind it", strings.Replace(unframed, "200", "099", 1) + hidden},
		{"+20 with a head behind it", strings.Replace(unframed, "200", "+20", 1) + hidden},
		{"101 with a head behind it", strings.Replace(unframed, "200", "101", 1) + hidden},
		{"000 behind 103", "HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(unframed, "200", "000", 1) + hidden},
		{"600", withStatusLine("HTTP/1.1 600 Broken")},
		{"999", withStatusLine("HTTP/1.1 999 Broken")},
		{"600 that says it did not run", strings.Replace(withStatusLine("HTTP/1.1 600 Broken"), "Request-Id", "Not-Executed: 1\r\nRequest-Id", 1)},
		{"two digits", withStatusLine("HTTP/1.1 20 Broken")},
		{"four digits", withStatusLine("HTTP/1.1 2000 Broken")},
		{"no status", withStatusLine("HTTP/1.1")},
		{"two blanks", withStatusLine("HTTP/1.1  200 OK")},
		{"HTTP/2.0", withStatusLine("HTTP/2.0 200 OK")},
		{"control byte in the reason", withStatusLine("HTTP/1.1 200 O\x00K")},
	})
}

// TestInterimResponses guards against rejecting an answer because of interim responses before it, and against forwarding one of them as the answer.
func TestInterimResponses(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
	own := ownReply().text
	tests := []struct{ name, text string }{
		{"100", "HTTP/1.1 100 Continue\r\n\r\n" + own},
		{"103", hints + own},
		{"102, 103", "HTTP/1.1 102 Processing\r\n\r\n" + hints + own},
		{"199", "HTTP/1.1 199 Whatever\r\n\r\n" + own},
		{"no reason", strings.Replace(own, "200 OK", "200", 1)},
		{"empty reason", strings.Replace(own, "200 OK", "200 ", 1)},
		{"reason of several words", strings.Replace(own, "200 OK", "200 All\tis w\xc3\xa9ll", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFront(t, startRawEngine(t, reply{text: tt.text}).endpoint(), false)
			assert.DeepEqual(t, f.call(t, "/book/1", "r1", callTimeout), received{200, "r1", "raw", events(1, 1), true})
		})
	}
}
