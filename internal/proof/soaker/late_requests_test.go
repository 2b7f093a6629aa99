package soaker

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// lateCalls is how a caller sends its requests to a node that is leaving.
type lateCalls struct {
	name string
	// kept is set if the connection has carried a request before SIGTERM.
	kept bool
	// pipelined is the number of requests that are sent together.
	pipelined int
}

// lateRequest is a request that is sent after SIGTERM to a node.
type lateRequest struct {
	attempt
	// previousCloses is set if an answer before it on the connection has announced the end of the connection.
	previousCloses bool
}

// ranRequests records the runs of raw endpoints by the id of the request.
type ranRequests struct {
	mu   sync.Mutex
	runs map[string]platformtest.Run
}

func (r *ranRequests) put(run platformtest.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.Request] = run
}

// answer answers after the time in the query, in which streams send an event every 50 ms.
func (r *ranRequests) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	run := platformtest.Run{Request: id, StartedAt: time.Now()}
	r.put(run)
	defer func() {
		run.EndedAt = time.Now()
		r.put(run)
	}()
	took, _ := time.ParseDuration(request.URL.Query().Get("takes"))
	_, stream := request.URL.Query()["stream"]
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n", id)
	if !stream {
		pause(took)
		_, err := fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
		return err == nil
	}
	_, _ = fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
	for end, n := time.Now().Add(took), 1; ; n++ {
		event := platformtest.Event(n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if !time.Now().Before(end) {
			break
		}
		pause(50 * time.Millisecond)
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// TestLateRequests guards against requests that reach a node in a planned stop, at any time of its grace period, and get no answer: what the node takes
// it must answer, and what is not sure to end in time it must refuse without passing it on.
func TestLateRequests(t *testing.T) {
	connections := []lateCalls{{"kept", true, 1}, {"new", false, 1}, {"pipelined", true, 3}}
	requests := []struct {
		name, path string
		takes      time.Duration
		stream     bool
		timeout    time.Duration
	}{
		{"booking", "/book/1", 100 * time.Millisecond, false, answerTimeout},
		{"booking with a short timeout", "/book/1", 100 * time.Millisecond, false, 600 * time.Millisecond},
		{"slow booking", "/book/1", 3 * time.Second, false, answerTimeout},
		{"slow booking with a short timeout", "/book/1", 3 * time.Second, false, 600 * time.Millisecond},
		{"safe call", "/stock/1", 100 * time.Millisecond, false, answerTimeout},
		{"stream", "/stream/1", 200 * time.Millisecond, true, answerTimeout},
		{"long stream", "/stream/1", 3 * time.Second, true, answerTimeout},
	}
	const every = 500 * time.Millisecond
	for _, connection := range connections {
		t.Run(connection.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, options{nodes: 2, slots: 8, work: 10 * time.Millisecond, callTimeout: answerTimeout})
			ran := &ranRequests{runs: map[string]platformtest.Run{}}
			for i, e := range d.endpoints {
				d.store.Put(platform.TopicEndpoints, e.ID, nil)
				startRawEndpoint(t, d, fmt.Sprintf("raw-%d", i), e.Service, ran.answer)
			}
			awaitReady(t, d)
			pause(time.Second)
			var calling sync.WaitGroup
			var mu sync.Mutex
			var sent []lateRequest
			stoppedAt := make(chan struct{})
			for slot := range int(gracePeriod / every) {
				for i, request := range requests {
					query := url.Values{"takes": {request.takes.String()}}
					if request.stream {
						query.Set("stream", "1")
					}
					name := fmt.Sprintf("late-%d-%d", slot, i)
					c := &lateCaller{deployment: d, lateCalls: connection, path: request.path + "?" + query.Encode(), timeout: request.timeout, name: name}
					if connection.kept {
						c.warmUp(t)
					}
					calling.Go(func() {
						<-stoppedAt
						// Spread over the slot, so that not all requests arrive at its beginning.
						pause(time.Duration(slot)*every + every*time.Duration(i)/time.Duration(len(requests)))
						list := c.send()
						mu.Lock()
						defer mu.Unlock()
						sent = append(sent, list...)
					})
				}
			}
			at := time.Now()
			wait := d.instances[0].stop()
			close(stoppedAt)
			calling.Wait()
			assert.Assert(t, wait(stopLimit))
			pause(inFlightLimit)
			judgeLateRequests(t, ran.runs, lossJudge{stops: []plannedStop{{node: 0, at: at}}, grace: gracePeriod, timeout: answerTimeout}, sent)
		})
	}
}

// judgeLateRequests checks that each request got an answer, except those that the rules excuse, and that no refused one was passed on.
func judgeLateRequests(t *testing.T, ran map[string]platformtest.Run, judge lossJudge, sent []lateRequest) {
	t.Helper()
	counts := map[string]int{}
	for _, a := range sent {
		var runs []platformtest.Run
		if run, ok := ran[a.id]; ok {
			runs = append(runs, run)
		}
		switch loss := judge.loss(a.attempt, runs); {
		case a.complete:
			counts[strconv.Itoa(a.code)]++
			refused := a.code == http.StatusServiceUnavailable
			assert.Check(t, !refused || len(runs) == 0, "%s was refused and ran", a.id)
		case a.previousCloses || a.written.IsZero():
			// The connection ended with the answer before it, or before the request was sent: the caller knows that it was not read.
			counts["not read"]++
			assert.Check(t, len(runs) == 0, "%s was passed on after the end of its connection", a.id)
		case loss != "":
			t.Error(loss)
		default:
			counts["excused"]++
		}
	}
	t.Logf("%v", counts)
	assert.Check(t, counts["200"] > 0 && counts["503"] > 0, "requests were not both served and refused")
}

// lateCaller sends the requests of one connection.
type lateCaller struct {
	lateCalls
	deployment *deployment
	path, name string
	timeout    time.Duration
	conn       net.Conn
	reader     *bufio.Reader
}

func (c *lateCaller) connect() bool {
	conn, err := net.Dial("tcp4", c.deployment.instances[0].callerAddress)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// warmUp sends a request and reads its answer before the node stops.
func (c *lateCaller) warmUp(t *testing.T) {
	t.Helper()
	assert.Assert(t, c.connect())
	data, err := c.encode("/stock/1", c.name+"-first")
	assert.NilError(t, err)
	_, err = c.conn.Write(data)
	assert.NilError(t, err)
	var a attempt
	closes := readAnswer(c.reader, nil, &a)
	assert.Assert(t, a.complete && !closes)
}

func (c *lateCaller) encode(path, id string) ([]byte, error) {
	request, err := platformtest.NewRequest(context.Background(), "http://"+c.deployment.instances[0].callerAddress+path, id)
	if err != nil {
		return nil, err
	}
	request.Header.Set(platformtest.TimeoutHeader, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	var data bytes.Buffer
	err = request.Write(&data)
	return data.Bytes(), err
}

// send sends the requests together and reads their answers.
func (c *lateCaller) send() []lateRequest {
	if c.conn == nil && !c.connect() {
		return nil
	}
	defer func() { _ = c.conn.Close() }()
	var sent []lateRequest
	var together []byte
	for n := range c.pipelined {
		id := fmt.Sprintf("%s-%d", c.name, n)
		data, err := c.encode(c.path, id)
		if err != nil {
			return nil
		}
		together = append(together, data...)
		sent = append(sent, lateRequest{attempt: attempt{id: id, path: c.path, sent: time.Now()}})
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout + lateAnswer))
	_, err := c.conn.Write(together)
	written := time.Now()
	closes := false
	for i := range sent {
		if err == nil {
			sent[i].written = written
		}
		sent[i].previousCloses = closes
		if !closes {
			closes = readAnswer(c.reader, nil, &sent[i].attempt)
		}
		sent[i].ended = time.Now()
	}
	return sent
}
