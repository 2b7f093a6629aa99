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
	endings := []struct {
		name string
		end  ending
	}{{"kept", keepOpen}, {"closed", sendFIN}}
	for _, h := range heads {
		for i := range len(routes) * len(endings) {
			route, ending := routes[i/len(endings)], endings[i%len(endings)]
			t.Run(fmt.Sprintf("%s%s/once=%t/%s", h.name, route.path, route.once, ending.name), func(t *testing.T) {
				t.Parallel()
				f := startFront(t, startRawEngine(t, reply{text: h.text, end: ending.end}, ownReply()).endpoint(), route.once)
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

// withFields returns an answer with additional lines in its head, which has no length otherwise.
func withFields(lines, body string) string { return head + lines + "\r\n" + body }

// TestInvalidFields guards against a line of a head that is no field: the line would be passed on, or left out although it says where the body ends.
func TestInvalidFields(t *testing.T) {
	const length, body = "Content-Length: 5\r\n", "first"
	testBrokenHeads(t, []brokenHead{
		{"space before the colon", withFields(length+"X-A : b\r\n", body)},
		{"tab before the colon", withFields(length+"X-A\t: b\r\n", body)},
		{"space in the name", withFields(length+"X A: b\r\n", body)},
		{"length with a space before the colon", withFields("Content-Length : 5\r\n", body+"behind")},
		{"chunks with a space before the colon", withFields("Transfer-Encoding : chunked\r\n", chunk(body)+"0\r\n\r\n")},
		{"id with a space before the colon", strings.Replace(withFields(length, body), "Request-Id:", "Request-Id :", 1)},
		{"control byte in the name", withFields(length+"X\x01A: b\r\n", body)},
		{"zero byte in the name", withFields(length+"X\x00A: b\r\n", body)},
		{"delete byte in the name", withFields(length+"X\x7fA: b\r\n", body)},
		{"byte beyond ASCII in the name", withFields(length+"X\xe9A: b\r\n", body)},
		{"separator in the name", withFields(length+"X(A): b\r\n", body)},
		{"empty name", withFields(length+": b\r\n", body)},
		{"no colon", withFields(length+"nothing\r\n", body)},
		{"folded line", withFields(length+"X-A: b\r\n c\r\n", body)},
		{"folded length", withFields("Content-Length:\r\n 5\r\n", body)},
		{"line of spaces", withFields(length+"  \r\n", body)},
		{"space before the first name", strings.Replace(withFields(length, body), "Request-Id", " Request-Id", 1)},
		{"control byte in the value", withFields(length+"X-A: b\x01\r\n", body)},
		{"zero byte in the value", withFields(length+"X-A: b\x00c\r\n", body)},
		{"carriage return in the value", withFields(length+"X-A: b\rX-B: c\r\n", body)},
		{"delete byte in the value", withFields(length+"X-A: b\x7f\r\n", body)},
		{"refusal", strings.Replace(withFields("Not-Executed: 1\r\nX A: b\r\n"+length, body), "200 OK", "503 Full", 1)},
		{"answer to another request", strings.Replace(withFields(length+"X A: b\r\n", body), "{id}", "r0", 1) + ownReply().text},
		{"behind an answer to another request", strings.Replace(withFields(length, body), "{id}", "r0", 1) + withFields(length+"X A: b\r\n", body)},
		{"in an interim response", "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + withFields(length, body)},
	})
}

// TestInvalidFraming guards against a head that leaves open where the body ends, so that a part of it, or what follows it, could be taken for the answer.
func TestInvalidFraming(t *testing.T) {
	const body = "first"
	chunks := chunk(body) + "0\r\n\r\n"
	interim := func(fields string) string {
		return "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n" + ownReply().text
	}
	noContent := func(fields string) string {
		return strings.Replace(withFields(fields, ""), "200 OK", "204 No Content", 1)
	}
	testBrokenHeads(t, []brokenHead{
		{"two lengths", withFields("Content-Length: 5\r\nContent-Length: 3\r\n", body)},
		{"list of lengths", withFields("Content-Length: 5, 5\r\n", body)},
		{"length with a sign", withFields("Content-Length: +5\r\n", body)},
		{"negative length", withFields("Content-Length: -5\r\n", body)},
		{"length with a space", withFields("Content-Length: 5 0\r\n", body)},
		{"hexadecimal length", withFields("Content-Length: 0x5\r\n", body)},
		{"empty length", withFields("Content-Length:\r\n", body)},
		{"length beyond all", withFields("Content-Length: 99999999999999999999\r\n", body)},
		{"length beside chunks", withFields("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunks)},
		{"chunks beside length", withFields("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks)},
		{"another coding", withFields("Transfer-Encoding: gzip\r\n", body)},
		{"another coding and chunks", withFields("Transfer-Encoding: gzip, chunked\r\n", chunks)},
		{"chunks twice", withFields("Transfer-Encoding: chunked, chunked\r\n", chunks)},
		{"two codings", withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", chunks)},
		{"chunks in HTTP/1.0", strings.Replace(withFields("Transfer-Encoding: chunked\r\n", chunks), "HTTP/1.1", "HTTP/1.0", 1)},
		{"interim response with a length", interim("Content-Length: 5\r\n")},
		{"interim response with chunks", interim("Transfer-Encoding: chunked\r\n")},
		{"204 with a length", noContent("Content-Length: 5\r\n")},
		{"204 with chunks", noContent("Transfer-Encoding: chunked\r\n")},
	})
}

// TestValidHeads guards against rejecting an answer whose head is unusual but means the same to everyone.
func TestValidHeads(t *testing.T) {
	const body = "first"
	answered := received{200, "r1", "raw", body, true}
	tests := []struct {
		name, text string
		want       received
	}{
		{"length twice", withFields("Content-Length: 5\r\nContent-Length: 5\r\n", body), answered},
		{"white space around the length", withFields("Content-Length:\t 5 \t\r\n", body), answered},
		{"no white space", withFields("Content-Length:5\r\n", body), answered},
		{"letters of any case", withFields("transfer-encoding: Chunked\r\n", chunk(body)+"0\r\n\r\n"), answered},
		{"empty value", withFields("X-A:\r\nContent-Length: 5\r\n", body), answered},
		{"all bytes of names", withFields("!#$%&'*+-.^_`|~09azAZ: b\r\nContent-Length: 5\r\n", body), answered},
		{"bytes beyond ASCII in the value", withFields("X-A: \xe9\tb\r\nContent-Length: 5\r\n", body), answered},
		{"lines that end with a line feed", strings.ReplaceAll(withFields("Content-Length: 5\r\n", body), "\r\n", "\n"), answered},
		{"trailer", withFields("Transfer-Encoding: chunked\r\nTrailer: X-A\r\n", chunk(body)+"0\r\nX-A: b\r\n\r\n"), answered},
		{"interim response of length 0", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + withFields("Content-Length: 5\r\n", body), answered},
		{"204 of length 0", strings.Replace(withFields("Content-Length: 0\r\n", ""), "200 OK", "204 None", 1), received{204, "r1", "raw", "", true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFront(t, startRawEngine(t, reply{text: tt.text}).endpoint(), false)
			assert.DeepEqual(t, f.call(t, "/book/1", "r1", callTimeout), tt.want)
		})
	}
}

// TestTrailers guards against trailers that change the answer: they come behind a complete body and are not passed on.
func TestTrailers(t *testing.T) {
	const body = "first"
	unknown := received{Status: 502, Body: "the request may have run\n", Complete: true}
	answered := received{200, "r1", "raw", body, true}
	tests := []struct {
		name, trailer string
		want          received
	}{
		{"valid", "X-A: b\r\n", answered},
		{"length", "Content-Length: 1\r\n", answered},
		{"space in the name", "X A: b\r\n", answered},
		{"space before the colon", "X-A : b\r\n", answered},
		{"folded line", "X-A: b\r\n c\r\n", answered},
		{"control byte in the name", "X\x01A: b\r\n", unknown},
		{"control byte in the value", "X-A: b\x01\r\n", unknown},
		{"no colon", "nothing\r\n", unknown},
		{"status line", "HTTP/1.1 200 OK\r\n", unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFront(t, startRawEngine(t, reply{text: chunked + chunk(body) + "0\r\n" + tt.trailer + "\r\n"}, ownReply()).endpoint(), false)
			assert.DeepEqual(t, f.call(t, "/book/1", "r1", callTimeout), tt.want)
			assert.DeepEqual(t, f.call(t, "/book/1", "r2", callTimeout), received{200, "r2", "raw", events(1, 1), true})
		})
	}
}
