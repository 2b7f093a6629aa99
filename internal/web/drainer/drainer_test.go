package drainer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	// A request to slowPath takes slowTime, unless its context ends before.
	slowPath = "/slow"
	slowTime = 100 * time.Millisecond
	// timeout bounds each test. No test waits for it unless it fails.
	timeout = 5 * time.Second
)

// countingListener reports the number of bytes of each read of its connections, and 0 for a new connection. The reads return once resume is
// closed.
type countingListener struct {
	net.Listener
	reads  chan int
	resume chan struct{}
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.reads <- 0
	}
	return countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	listener countingListener
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.listener.reads <- n
		<-c.listener.resume
	}
	return n, err
}

// testServer is a server whose drainer is under test, and one connection to it.
type testServer struct {
	drainer *Drainer
	reads   chan int
	// resume is closed once the server gets the bytes that its connection has read.
	resume  chan struct{}
	caller  net.Conn
	answers *bufio.Reader
	// begun receives a value when the handler has sent the header of an answer. The answer repeats the request's body once finish is closed.
	begun  chan struct{}
	finish chan struct{}
	// delay is the time between the start of a request's goroutine and the drainer's handler, as on a machine with little processor time.
	delay atomic.Int64
	// ended is closed once Serve has returned.
	ended    chan struct{}
	listener net.Listener
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{
		drainer: New(), reads: make(chan int, 100), resume: make(chan struct{}), begun: make(chan struct{}, 100), finish: make(chan struct{}), ended: make(chan struct{}),
	}
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.listener = s.drainer.Listener(countingListener{inner, s.reads, s.resume})
	drained := s.drainer.Handler(http.HandlerFunc(s.serve))
	delayed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.delay.Load()))
		drained.ServeHTTP(w, r)
	})
	server := &http.Server{
		Handler: delayed, ReadHeaderTimeout: timeout, IdleTimeout: time.Minute, ConnState: s.drainer.Track,
		ConnContext: s.drainer.ConnContext,
	}
	go func() {
		defer close(s.ended)
		_ = server.Serve(s.listener)
	}()
	t.Cleanup(func() { _ = server.Close() })
	s.caller, err = net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.caller.Close() })
	assert.NilError(t, s.caller.SetDeadline(time.Now().Add(timeout)))
	assert.Equal(t, <-s.reads, 0)
	s.answers = bufio.NewReader(s.caller)
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(w).Flush()
	s.begun <- struct{}{}
	<-s.finish
	if r.URL.Path == slowPath {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(slowTime):
		}
	}
	_, _ = w.Write(append([]byte("body "), body...))
}

// send writes a part of a request and waits until the server's connection has read it.
func (s *testServer) send(t *testing.T, part string) {
	t.Helper()
	_, err := io.WriteString(s.caller, part)
	assert.NilError(t, err)
	for missing := len(part); missing > 0; {
		select {
		case n := <-s.reads:
			missing -= n
		case <-time.After(timeout):
			t.Fatalf("the server did not read %q", part)
		}
	}
}

// receive reads one answer and returns its body and whether it ends the connection.
func (s *testServer) receive(t *testing.T) (string, bool) {
	t.Helper()
	response, err := http.ReadResponse(s.answers, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body), response.Close
}

// stopAccepting closes the listener, waits for the end of Serve and begins to drain.
func (s *testServer) stopAccepting(t *testing.T, linger time.Duration) {
	t.Helper()
	assert.NilError(t, s.listener.Close())
	<-s.ended
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	// The limits are set although the context has ended. The result depends on whether the connection has ended already.
	_ = s.drainer.Drain(ended, linger)
}

// TestDrain guards against a graceful stop that interrupts a request of which the server has read a part, and against one that waits for
// connections without a request.
func TestDrain(t *testing.T) {
	for _, c := range []struct {
		name string
		// unseen is set if the server gets the bytes of before only after the limit was set.
		unseen bool
		// kept is set if the connection has carried a request before.
		kept bool
		// before is read by the server before the drain, after arrives once the limit on idle connections has passed.
		before, after string
		// body is the answer to the request in before and after, empty if there is no request.
		body string
	}{
		{name: "connection without a request"},
		{name: "idle connection", kept: true},
		{name: "first header in parts", before: get[:5], after: get[5:], body: "body "},
		{name: "header read while the limit is set", unseen: true, before: get[:5], after: get[5:], body: "body "},
		{name: "later header in parts", kept: true, before: get[:5], after: get[5:], body: "body "},
		{name: "request without a body", kept: true, before: get, body: "body "},
		{
			name: "body after the header", kept: true,
			before: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", after: "text", body: "body text",
		},
		{
			name: "body in parts", kept: true,
			before: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nte", after: "xt", body: "body text",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t)
			close(s.finish)
			if !c.unseen {
				close(s.resume)
			}
			if c.kept {
				s.send(t, get)
				_, closes := s.receive(t)
				assert.Assert(t, !closes)
			}
			if c.before != "" {
				s.send(t, c.before)
			}
			s.stopAccepting(t, 0)
			if c.unseen {
				close(s.resume)
			}
			if c.after != "" {
				s.send(t, c.after)
			}
			if c.body != "" {
				body, _ := s.receive(t)
				assert.Equal(t, body, c.body)
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			assert.NilError(t, s.drainer.Drain(ctx, 0))
			_, err := s.answers.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestDrainLingers guards against a drain that ends a connection between an answer that began before the drain, which does not announce
// the end, and the caller's next request.
func TestDrainLingers(t *testing.T) {
	s := newTestServer(t)
	close(s.resume)
	s.send(t, get)
	<-s.begun
	s.stopAccepting(t, timeout)
	close(s.finish)
	_, closes := s.receive(t)
	assert.Assert(t, !closes)
	s.send(t, get)
	_, closes = s.receive(t)
	assert.Assert(t, closes)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	assert.NilError(t, s.drainer.Drain(ctx, timeout))
}

// TestDrainBufferedRequest guards against a drain that ends a connection whose next request the server had read together with the one before.
func TestDrainBufferedRequest(t *testing.T) {
	s := newTestServer(t)
	close(s.resume)
	s.send(t, get+strings.Replace(get, "/", slowPath, 1))
	<-s.begun
	s.stopAccepting(t, 0)
	close(s.finish)
	for range 2 {
		body, _ := s.receive(t)
		assert.Equal(t, body, "body ")
	}
}

// TestDrainDelayedRequest guards against a drain that ends a connection although the server has found the next request on it, because the limit of the
// wait for that request is in force until its handler runs.
func TestDrainDelayedRequest(t *testing.T) {
	s := newTestServer(t)
	close(s.resume)
	s.send(t, get+strings.Replace(get, "/", slowPath, 1))
	<-s.begun
	s.delay.Store(int64(slowTime))
	s.stopAccepting(t, 0)
	close(s.finish)
	for range 2 {
		body, _ := s.receive(t)
		assert.Equal(t, body, "body ")
	}
}

// TestDrainDeadline guards against a drain that waits for a request past the end of its context.
func TestDrainDeadline(t *testing.T) {
	s := newTestServer(t)
	close(s.resume)
	s.send(t, get)
	<-s.begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, s.drainer.Drain(ctx, 0), context.Canceled)
	close(s.finish)
	body, _ := s.receive(t)
	assert.Equal(t, body, "body ")
}
