package soaker

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// cutAnswers are the answers of raw endpoints that break off after a number of bytes.
type cutAnswers struct {
	mu sync.Mutex
	// attempts counts the attempts of each request.
	attempts map[string]int
}

func newCutAnswers() *cutAnswers { return &cutAnswers{attempts: map[string]int{}} }

// answer answers with the bytes of wholeAnswer up to the cut in the query, in as many attempts as it says, and with the whole answer then.
func (c *cutAnswers) answer(conn net.Conn, request *http.Request) bool {
	id, query := request.Header.Get("Request-Id"), request.URL.Query()
	c.mu.Lock()
	c.attempts[id]++
	attempt := c.attempts[id]
	c.mu.Unlock()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	head, body := wholeAnswer(id, query, last)
	whole := head + body
	cut, err := strconv.Atoi(query.Get("cut"))
	if times, _ := strconv.Atoi(query.Get("times")); err == nil && attempt <= times {
		_, _ = fmt.Fprint(conn, whole[:min(cut, len(whole))])
		return false
	}
	_, err = fmt.Fprint(conn, whole)
	return err == nil && !query.Has("close") && query.Get("framing") != "end"
}

const cutEvents = 3

// wholeAnswer returns the head and the body, as they are sent, of the answer that the query asks for, after the given event of a stream.
func wholeAnswer(id string, query url.Values, last int) (head, body string) {
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%[1]s\r\n", id)
	if query.Has("close") {
		head += "Connection: close\r\n"
	}
	body = wholeBody(query, last)
	if query.Has("stream") {
		head += "Content-Type: text/event-stream\r\n"
	}
	switch query.Get("framing") {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body
	case "chunks":
		half := len(body) / 2
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	default:
		return head + "\r\n", body
	}
}

// wholeBody returns the body that a caller must get.
func wholeBody(query url.Values, last int) string {
	if !query.Has("stream") {
		return "the whole answer"
	}
	var body strings.Builder
	for n := last + 1; n <= cutEvents; n++ {
		body.WriteString(platformtest.Event(n))
	}
	return body.String()
}

// cutCaller sends requests whose answers are cut after each of their bytes.
type cutCaller struct {
	deployment  *deployment
	path        string
	query       url.Values
	mu          sync.Mutex
	codes       map[int]int
	wrongBodies []string
}

// run sends a request for each cut from cuts, on kept connections.
func (c *cutCaller) run(ctx context.Context, cuts <-chan int) {
	caller := &keptCaller{keptCallers: &keptCallers{deployment: c.deployment}}
	defer caller.disconnect()
	for cut := range cuts {
		if !caller.connect() {
			c.record(attempt{}, cut)
			continue
		}
		query := url.Values{"cut": {strconv.Itoa(cut)}}
		maps.Copy(query, c.query)
		c.record(caller.call(ctx, c.path+"?"+query.Encode(), fmt.Sprintf("cut-%04d", cut)), cut)
	}
}

func (c *cutCaller) record(a attempt, cut int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[a.code]++
	if a.complete && a.code == http.StatusOK && a.body != wholeBody(c.query, 0) {
		c.wrongBodies = append(c.wrongBodies, fmt.Sprintf("cut after %d bytes: %q", cut, a.body))
	}
}

// TestCutAnswers guards against an answer that breaks off after any of its bytes, in its head too, and reaches the caller as a whole one.
func TestCutAnswers(t *testing.T) {
	routes := []struct {
		name, path string
		stream     bool
		// times is the number of attempts that are cut.
		times int
	}{
		{"booking", "/book/1", false, 1},
		{"safe call, first attempt", "/stock/1", false, 1},
		{"safe call, all attempts", "/stock/1", false, 4},
		{"stream, first attempt", "/stream/1", true, 1},
		{"stream, all attempts", "/stream/1", true, 4},
	}
	for _, route := range routes {
		for _, framing := range []string{"length", "chunks", "end"} {
			for _, closes := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/closes=%t", route.name, framing, closes), func(t *testing.T) {
					t.Parallel()
					query := url.Values{"framing": {framing}, "times": {strconv.Itoa(route.times)}}
					if route.stream {
						query.Set("stream", "1")
					}
					if closes {
						query.Set("close", "1")
					}
					testCuts(t, route.path, query)
				})
			}
		}
	}
}

// testCuts starts a node whose endpoints all cut their answers, and sends one request for each byte of the answer to the query.
func testCuts(t *testing.T, path string, query url.Values) {
	t.Helper()
	const workers = 8
	d := newDeployment(t, options{nodes: 1, slots: 8, work: 10 * time.Millisecond, callTimeout: 2 * time.Second})
	answers := newCutAnswers()
	for i, e := range d.endpoints {
		d.store.Put(platform.TopicEndpoints, e.ID, nil)
		startRawEndpoint(t, d, fmt.Sprintf("raw-%d", i), e.Service, answers.answer)
	}
	awaitReady(t, d)
	pause(time.Second)
	head, body := wholeAnswer("cut-0000", query, 0)
	most := len(head + body)
	if query.Get("framing") == "end" {
		// From there on, the end of the connection is the end of the answer, unless it is inside an event.
		most = len(head)
	}
	caller := &cutCaller{deployment: d, path: path, query: query, codes: map[int]int{}}
	cuts := make(chan int)
	var calling sync.WaitGroup
	for range workers {
		calling.Go(func() { caller.run(t.Context(), cuts) })
	}
	for cut := range most {
		cuts <- cut
	}
	close(cuts)
	calling.Wait()
	t.Logf("cuts=%d codes=%v", most, caller.codes)
	assert.Check(t, len(caller.wrongBodies) == 0, "callers got wrong answers: %v", caller.wrongBodies)
	assert.Check(t, caller.codes[0] == 0, "%d requests got no answer", caller.codes[0])
}
