package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// ending is what a rawEngine does with the connection after a reply.
type ending uint8

const (
	keepOpen ending = iota
	sendFIN
	sendRST
)

// reply is what a rawEngine writes after it has read a request. "{id}" stands for the id of the request.
type reply struct {
	text string
	// idle is written after text, once sendIdle is called. Empty means not at all.
	idle string
	end  ending
	// repeat is written after text until the connection is closed, with a pause between two times. Empty means not at all.
	repeat string
	pause  time.Duration
}

// rawEngine is a stand-in for an engine that writes exactly the bytes of its replies, one for each request. It closes the connection of a
// request for which no reply is left.
type rawEngine struct {
	// id is unique. A request of another process for an earlier engine with this address must not use up a reply.
	id, address string
	replies     chan reply
	// written is the number of bytes that were written by repeat, and closed receives a value once that ends.
	written atomic.Int64
	closed  chan struct{}
	// idle carries channels that serve closes after it has written reply.idle.
	idle chan chan struct{}
}

func startRawEngine(t *testing.T, replies ...reply) *rawEngine {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &rawEngine{
		id: fmt.Sprintf("raw-%x", rand.Uint64()), address: l.Addr().String(),
		replies: make(chan reply, len(replies)), closed: make(chan struct{}, len(replies)), idle: make(chan chan struct{}),
	}
	for _, r := range replies {
		e.replies <- r
	}
	close(e.replies)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// endpoint returns the endpoint as the control knows it.
func (e *rawEngine) endpoint() modeler.Endpoint {
	return modeler.Endpoint{ID: modeler.EndpointID(e.id), Address: e.address}
}

func (e *rawEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Header.Get("Expected-Instance") != e.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			return
		}
		r, ok := <-e.replies
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(r.text, "{id}", request.Header.Get("Request-Id"))); err != nil {
			return
		}
		if r.repeat != "" {
			e.repeat(conn, r)
			return
		}
		if r.idle != "" {
			done := <-e.idle
			_, _ = io.WriteString(conn, r.idle)
			close(done)
		}
		switch r.end {
		case sendRST:
			// Without lingering, closing resets the connection.
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case sendFIN:
			return
		case keepOpen:
		}
	}
}

// repeat writes the repeated bytes of a reply until the connection is closed by the other side.
func (e *rawEngine) repeat(conn net.Conn, r reply) {
	defer func() { e.closed <- struct{}{} }()
	written := func() bool {
		n, err := io.WriteString(conn, r.repeat)
		e.written.Add(int64(n))
		return err == nil
	}
	if r.pause <= 0 {
		for written() {
		}
		return
	}
	ticker := time.NewTicker(r.pause)
	defer ticker.Stop()
	for written() {
		<-ticker.C
	}
}

// sendIdle lets the engine write the idle bytes of its last reply and returns when they are written.
func (e *rawEngine) sendIdle() {
	done := make(chan struct{})
	e.idle <- done
	<-done
}

// awaitClosed waits until the connection of a repeated reply is closed.
func (e *rawEngine) awaitClosed(t *testing.T) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is open")
	}
}

// placingControl places each request on the first endpoint that it has not tried.
type placingControl struct {
	endpoints []modeler.Endpoint
	snapshot  *modeler.Snapshot
}

func (c placingControl) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	for _, e := range c.endpoints {
		if !slices.Contains(request.Tried, e.ID) {
			return modeler.Decision{Plan: modeler.Plan{Endpoint: e, TimeToFirstEvent: 50 * time.Millisecond}}, ctx.Err()
		}
	}
	return modeler.Decision{Refused: true, Reason: modeler.ReasonOverloaded}, ctx.Err()
}
func (placingControl) Post(modeler.Event)            {}
func (c placingControl) Snapshot() *modeler.Snapshot { return c.snapshot }

// eventCount is the number of events of a whole stream.
const eventCount = 3

// front is a server for callers in front of a first endpoint and a sound second one.
type front struct {
	address string
	second  *platformtest.Endpoint
	// lastEvent is the last event that the caller has from an earlier answer; empty if there is none.
	lastEvent string
}

// startFront starts a front. Streams may be resumed, unless once is set.
func startFront(t *testing.T, first modeler.Endpoint, once bool) *front {
	t.Helper()
	second := &platformtest.Endpoint{ID: "e2", Slots: 4, Events: eventCount}
	t.Cleanup(second.Start())
	f := startFrontOf(t, once, first, modeler.Endpoint{ID: "e2", Address: second.Address()})
	f.second = second
	return f
}

// startFrontOf starts a front of the given endpoints, which are tried in their order.
func startFrontOf(t *testing.T, once bool, endpoints ...modeler.Endpoint) *front {
	t.Helper()
	return startFrontWith(t, string(platformtest.Configuration(3)), once, endpoints...)
}

// startFrontWith starts a front with a configuration.
func startFrontWith(t *testing.T, record string, once bool, endpoints ...modeler.Endpoint) *front {
	t.Helper()
	if once {
		record = strings.ReplaceAll(record, `"streamResume":true`, `"streamResume":false`)
	}
	event, err := platform.OperatorRecord(modeler.Record{Key: "config", Value: []byte(record)})
	assert.NilError(t, err)
	control := placingControl{
		endpoints: endpoints,
		snapshot:  &modeler.Snapshot{Configuration: event.(modeler.ConfigurationChanged).Configuration},
	}
	server := httptest.NewServer(newCallers(t, control))
	t.Cleanup(server.Close)
	return &front{address: server.Listener.Addr().String()}
}

// received is what a caller received. The answer is complete if it ended as its length or its last chunk says.
type received struct {
	Status              int
	ID, Signature, Body string
	Complete            bool
}

// call sends a request on a connection of its own and reads the answer to its end.
func (f *front) call(t *testing.T, path, id string, timeout time.Duration) received {
	t.Helper()
	request, err := platformtest.NewRequest(t.Context(), "http://"+f.address+path, id)
	assert.NilError(t, err)
	request.Header.Set(platformtest.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	if f.lastEvent != "" {
		request.Header.Set("Last-Event-Id", f.lastEvent)
	}
	conn, err := net.Dial("tcp4", f.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, request.Write(conn))
	return readAnswer(conn, request)
}

// readAnswer reads the answer to a request to its end.
func readAnswer(conn net.Conn, request *http.Request) received {
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return received{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
	return received{
		Status: response.StatusCode, ID: response.Header.Get("Request-Id"), Signature: response.Header.Get("Response-Signature"),
		Body: string(body), Complete: err == nil && framed,
	}
}
