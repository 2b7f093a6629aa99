package dialer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
)

// startEndlessServer starts a server that answers each request with begin and then with repeated until the connection is closed. sent returns
// the number of bytes that it has written; closed is closed once the client has closed the connection.
func startEndlessServer(t *testing.T, begin, repeated string) (address string, sent func() int64, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var written atomic.Int64
	ended := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		defer close(ended)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for chunk := begin; ; chunk = strings.Repeat(repeated, 1+4096/len(repeated)) {
			n, err := io.WriteString(conn, chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return l.Addr().String(), written.Load, ended
}

// TestEndless guards against endpoints that send bytes without end: the request would wait until its deadline, or the node would keep all the
// bytes in memory.
func TestEndless(t *testing.T) {
	const (
		// deadline is the time that the request has, and soon the time within which it must fail.
		deadline, soon = 20 * time.Second, 5 * time.Second
		// mostBytes bounds what the server may write. Most of it is in the buffers of the kernel.
		mostBytes = 32 << 20
	)
	tests := []struct {
		name, begin, repeated string
		// body is set if the header ends, so that the bytes are in the body.
		body bool
	}{
		{"no response", "", "\x00garbage", false},
		{"status line", "HTTP/1.1 200 ", "very ", false},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "long", false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: more\r\n", false},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
		{"responses to another request", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", false},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x", false},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "extension", true},
		{"empty chunks with extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;extension=yes\r\nx\r\n", true},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n", true},
		{"rejected request's body", "HTTP/1.1 503 Unavailable\r\n\r\n", "x", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address, sent, closed := startEndlessServer(t, tt.begin, tt.repeated)
			pool, closePool := dialer.NewPool(4)
			defer closePool()
			x, err := pool.Send(t.Context(), address, dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h"})
			assert.NilError(t, err)
			begin := time.Now()
			response, err := x.ReadResponse(http.MethodGet, deadline, func(h http.Header) bool { return h.Get("Request-Id") != "other" })
			assert.Equal(t, err == nil, tt.body, "%v", err)
			complete := false
			if tt.body {
				complete = x.Drain(response)
			}
			assert.Assert(t, !complete, "the response counts as complete")
			assert.Assert(t, time.Since(begin) < soon, "failed after %v", time.Since(begin))
			x.Close(complete)
			select {
			case <-closed:
			case <-time.After(soon):
				t.Fatal("the connection is open")
			}
			assert.Assert(t, sent() < mostBytes, "%d bytes", sent())
		})
	}
}

// TestDrainSlowly guards against a request that cannot go on elsewhere because the endpoint that rejected it sends the rest of its response
// byte by byte.
func TestDrainSlowly(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err = io.WriteString(conn, "HTTP/1.1 503 Unavailable\r\nContent-Length: 1000\r\n\r\n"); err != nil {
			return
		}
		for ticker := time.NewTicker(10 * time.Millisecond); err == nil; <-ticker.C {
			_, err = io.WriteString(conn, "x")
		}
	}()
	pool, closePool := dialer.NewPool(4)
	defer closePool()
	x, err := pool.Send(t.Context(), l.Addr().String(), dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h"})
	assert.NilError(t, err)
	begin := time.Now()
	response, err := x.ReadResponse(http.MethodGet, 20*time.Second, func(http.Header) bool { return true })
	assert.NilError(t, err)
	assert.Assert(t, !x.Drain(response))
	assert.Assert(t, time.Since(begin) < time.Second, "drained for %v", time.Since(begin))
	x.Close(false)
}
