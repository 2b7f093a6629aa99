package soaker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
)

// hiddenBody is the body of answers that no caller may get.
const hiddenBody = "not an answer"

// hiddenAnswer follows an invalid head. A reader that passes over the head takes it for the answer.
var hiddenAnswer = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(hiddenBody), hiddenBody)

// brokenAnswer is an answer of a raw endpoint that is none, or the part of one.
type brokenAnswer struct {
	name string
	// text is what is written; "{id}" stands for the id of the request.
	text string
	// resets is set if the endpoint does not read the body of the request and resets the connection instead.
	resets bool
}

// brokenAnswerKinds returns the answers that TestBrokenAnswers plays.
func brokenAnswerKinds() []brokenAnswer {
	const ok, fields = "HTTP/1.1 200 OK\r\n", "Request-Id: {id}\r\nResponse-Signature: s\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(hiddenBody))
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(hiddenBody), hiddenBody)
	return []brokenAnswer{
		{"status 000", "HTTP/1.1 000 None\r\n" + fields + length + "\r\n" + hiddenBody, false},
		{"000 before a head", "HTTP/1.1 000 None\r\n" + fields + "\r\n" + hiddenAnswer, false},
		{"099 before a head", "HTTP/1.1 099 Low\r\n" + fields + "\r\n" + hiddenAnswer, false},
		{"101 before a head", "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + hiddenAnswer, false},
		{"status 600", "HTTP/1.1 600 High\r\n" + fields + length + "\r\n" + hiddenBody, false},
		{"space in a name", ok + fields + "X A: b\r\n" + length + "\r\n" + hiddenBody, false},
		{"space before a colon", ok + fields + "Content-Length : 3\r\n\r\n" + hiddenBody, false},
		{"control byte", ok + fields + "X\x01A: b\r\n" + length + "\r\n" + hiddenBody, false},
		{"folded line", ok + fields + "X: b\r\n c\r\n" + length + "\r\n" + hiddenBody, false},
		{"length beside chunks", ok + fields + length + chunks, false},
		{"not a status line", hiddenBody + "\r\n\r\n" + hiddenAnswer, false},
		{"interim with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + hiddenAnswer, false},
		{"part and reset", ok + fields + "\r\n" + hiddenBody, true},
		{"long part and reset", ok + fields + "\r\n" + strings.Repeat(hiddenBody, 2_000), true},
	}
}

// brokenAnswers answers requests with the answer whose index is in their query. It is safe for concurrent use.
type brokenAnswers struct {
	kinds []brokenAnswer
	mu    sync.Mutex
	// received holds the requests that reached an endpoint.
	received map[string]bool
}

// answer writes an answer before the body of the request was read.
func (b *brokenAnswers) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	index, err := strconv.Atoi(request.URL.Query().Get("answer"))
	if err != nil {
		return false
	}
	b.mu.Lock()
	b.received[id] = true
	b.mu.Unlock()
	kind := b.kinds[index]
	if !kind.resets {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(kind.text, "{id}", id))
	if tcp, ok := conn.(*net.TCPConn); ok && kind.resets {
		pause(20 * time.Millisecond)
		// Without lingering, closing resets the connection.
		_ = tcp.SetLinger(0)
	}
	return false
}

func (b *brokenAnswers) reached(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[id]
}

// TestBrokenAnswers guards against answers that are none, or parts of one, and reach a caller of a real process as an answer, and against a refusal that says of
// a request with such an answer that it did not run.
func TestBrokenAnswers(t *testing.T) {
	const (
		repeats = 4
		// uploadBytes is the size of the bodies of requests whose connections are reset. It is more than the buffers of the kernel hold at first.
		uploadBytes = 4 << 20
	)
	for _, path := range []string{"/book/1", "/stock/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, options{nodes: 1, slots: 8, work: 10 * time.Millisecond, callTimeout: 4 * time.Second, bodyBytes: uploadBytes})
			answers := &brokenAnswers{kinds: brokenAnswerKinds(), received: map[string]bool{}}
			for i, e := range d.endpoints {
				d.store.Put(platform.TopicEndpoints, e.ID, nil)
				startEarlyEndpoint(t, d, fmt.Sprintf("raw-%d", i), e.Service, answers.answer)
			}
			awaitReady(t, d)
			pause(time.Second)
			caller := &keptCaller{keptCallers: &keptCallers{deployment: d}}
			defer caller.disconnect()
			codes := map[int]int{}
			for index, kind := range answers.kinds {
				for n := range repeats {
					id := fmt.Sprintf("%s-%d", strings.ReplaceAll(kind.name, " ", "-"), n)
					assert.Assert(t, caller.connect())
					caller.uploadBytes = 0
					if kind.resets {
						caller.uploadBytes = uploadBytes
					}
					a := caller.call(t.Context(), fmt.Sprintf("%s?answer=%d", path, index), id)
					codes[a.code]++
					ran := answers.reached(id)
					assert.Check(t, !strings.Contains(a.body, hiddenBody), "%s: the caller got %d %.40q", id, a.code, a.body)
					assert.Check(t, a.complete && a.code >= 500, "%s: the caller got %d, complete %t", id, a.code, a.complete)
					assert.Check(t, a.code != http.StatusServiceUnavailable || !ran, "%s reached an endpoint and was refused", id)
				}
			}
			t.Logf("codes=%v", codes)
		})
	}
}
