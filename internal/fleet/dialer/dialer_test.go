package dialer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
)

// startServer starts a server that writes responses[i] after request i of each connection. After the last response it keeps the connection
// open until the client closes it. accepted returns the number of connections so far.
func startServer(t *testing.T, responses ...string) (address string, accepted func() int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go serve(conn, responses)
		}
	}()
	return l.Addr().String(), func() int { return len(connections) }
}

func serve(conn net.Conn, responses []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
	// Keep the connection open until the client closes it.
	_, _ = reader.ReadByte()
}

func rawResponse(id, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(headers, ""), body)
}

func exchange(t *testing.T, pool *dialer.Pool, address, id string) (string, error) {
	t.Helper()
	header := http.Header{}
	header.Set("Request-Id", id)
	x, err := pool.Send(t.Context(), address, dialer.Outgoing{Method: http.MethodPost, URI: "/a/b?c=%20", Host: "h", Header: header, Body: []byte("body")})
	if err != nil {
		return "", err
	}
	complete := false
	defer func() { x.Close(complete) }()
	response, err := x.ReadResponse(http.MethodPost, time.Second, func(h http.Header) bool { return h.Get("Request-Id") == id })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	complete = err == nil
	return string(body), err
}

// TestReuse guards against opening a connection for each request, and against reusing one that carried unexpected bytes or is to be closed.
func TestReuse(t *testing.T) {
	tests := []struct {
		name string
		// responses are those on one connection. If it is not reused, the second request gets the first response on a new connection.
		responses   []string
		connections int
		second      string
	}{
		{"reused", []string{rawResponse("r1", "one"), rawResponse("r2", "two")}, 1, "two"},
		{"late response to the first request", []string{rawResponse("r1", "one"), rawResponse("r1", "again") + rawResponse("r2", "two")}, 1, "two"},
		{"extra bytes", []string{rawResponse("r1", "one") + "extra", rawResponse("r2", "two")}, 2, ""},
		{"Connection: close", []string{rawResponse("r1", "one", "Connection: close\r\n"), rawResponse("r2", "two")}, 2, ""},
		{"idle time of zero is ignored", []string{rawResponse("r1", "one", "Keep-Alive: timeout=0\r\n"), rawResponse("r2", "two")}, 1, "two"},
		{"interim response first", []string{"HTTP/1.1 100 Continue\r\n\r\n" + rawResponse("r1", "one"), rawResponse("r2", "two")}, 1, "two"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, accepted := startServer(t, tt.responses...)
			pool, closePool := dialer.NewPool(4)
			defer closePool()
			body, err := exchange(t, pool, address, "r1")
			assert.NilError(t, err)
			assert.Equal(t, body, "one")
			body, err = exchange(t, pool, address, "r2")
			if tt.second != "" {
				assert.NilError(t, err)
				assert.Equal(t, body, tt.second)
			} else {
				assert.Assert(t, err != nil, "the new connection must respond to r1, not r2")
			}
			assert.Equal(t, accepted(), tt.connections)
			assert.Equal(t, pool.Dialed(), int64(tt.connections))
		})
	}
}

// TestMaxIdle guards against keeping more idle connections than the node's share of those that an endpoint accepts.
func TestMaxIdle(t *testing.T) {
	tests := []struct {
		name          string
		maxIdle, kept int
	}{{"endpoint's share", 2, 2}, {"endpoint without limit", 0, 3}, {"above the pool's limit", 9, 3}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, accepted := startServer(t, rawResponse("r1", "one"), rawResponse("r1", "one"))
			pool, closePool := dialer.NewPool(3)
			defer closePool()
			for round := range 2 {
				const concurrent = 5
				open := make([]*dialer.Exchange, 0, concurrent)
				for range concurrent {
					header := http.Header{}
					header.Set("Request-Id", "r1")
					x, err := pool.Send(t.Context(), address, dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h", Header: header, MaxIdle: tt.maxIdle})
					assert.NilError(t, err)
					response, err := x.ReadResponse(http.MethodGet, time.Second, func(http.Header) bool { return true })
					assert.NilError(t, err)
					_, err = io.Copy(io.Discard, response.Body)
					assert.NilError(t, err)
					open = append(open, x)
				}
				for _, x := range open {
					x.Close(true)
				}
				// The second round reuses the idle connections of the first one.
				assert.Equal(t, int(pool.Dialed()), concurrent+round*(concurrent-tt.kept))
			}
			assert.Equal(t, accepted(), 10-tt.kept)
		})
	}
}

// TestResponseErrors guards against accepting an incomplete or malformed response or one to another request, and against reusing its
// connection.
func TestResponseErrors(t *testing.T) {
	tests := []struct {
		name, response string
		foreign        bool
	}{
		{"truncated body", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nabc", false},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", false},
		{"not HTTP", "garbage\r\n\r\n", false},
		{"only responses to other requests", rawResponse("x", "1") + rawResponse("y", "2") + rawResponse("z", "3"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := startServer(t, tt.response)
			pool, closePool := dialer.NewPool(4)
			defer closePool()
			_, err := exchange(t, pool, address, "r1")
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, dialer.ErrForeignResponse), tt.foreign)
			// The second request needs a new connection.
			_, err = exchange(t, pool, address, "r1")
			assert.Assert(t, err != nil)
			assert.Equal(t, pool.Dialed(), int64(2))
		})
	}
}

// TestUnsent guards against reporting a request as sent when no connection was made.
func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	pool, closePool := dialer.NewPool(1)
	defer closePool()
	_, err = pool.Send(t.Context(), address, dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h"})
	var failed dialer.SendError
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, !failed.Sent)
}

// TestCancelCloses guards against a connection that stays open after the caller has disconnected, so that the endpoint keeps working.
func TestCancelCloses(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	closed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, conn)
		closed <- err
	}()
	pool, closePool := dialer.NewPool(1)
	defer closePool()
	ctx, cancel := context.WithCancel(t.Context())
	x, err := pool.Send(ctx, l.Addr().String(), dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h"})
	assert.NilError(t, err)
	cancel()
	assert.NilError(t, <-closed)
	x.Close(false)
}

// TestEarlyResponse guards against reusing a connection while the rest of a long body is still being written: the endpoint would read the
// next request as part of that body.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		// Respond before reading the body.
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, rawResponse("r1", "early"))
		}
	}()
	pool, closePool := dialer.NewPool(4)
	defer closePool()
	x, err := pool.Send(t.Context(), l.Addr().String(), dialer.Outgoing{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 64<<20)})
	assert.NilError(t, err)
	_, err = x.ReadResponse(http.MethodPost, time.Second, func(http.Header) bool { return true })
	assert.NilError(t, err)
	x.Close(true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Get(ctx, l.Addr().String(), nil)
	assert.Assert(t, err != nil, "the connection must not be reused")
}

// TestAvoided guards against a repeat of a request on a connection that has carried it, against a new connection while another one is idle, and against
// one more connection than the endpoint had.
func TestAvoided(t *testing.T) {
	tests := []struct {
		name string
		// idle is the number of idle connections, and avoided the number of those that were used last and are avoided.
		idle, avoided int
		wantDialed    int64
	}{{"none", 1, 0, 1}, {"only one", 1, 1, 2}, {"one of two", 2, 1, 2}, {"all", 2, 2, 3}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := startServer(t, rawResponse("r1", "one"), rawResponse("r1", "two"), rawResponse("r1", "three"))
			pool, closePool := dialer.NewPool(4)
			defer closePool()
			send := func(avoided []dialer.ConnID) *dialer.Exchange {
				x, err := pool.Send(t.Context(), address, dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h", Avoided: avoided})
				assert.NilError(t, err)
				response, err := x.ReadResponse(http.MethodGet, time.Second, func(http.Header) bool { return true })
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				return x
			}
			var open []*dialer.Exchange
			for range tt.idle {
				open = append(open, send(nil))
			}
			var avoided []dialer.ConnID
			for i, x := range open {
				x.Close(true)
				if i >= tt.idle-tt.avoided {
					avoided = append(avoided, x.ConnID())
				}
			}
			x := send(avoided)
			assert.Assert(t, !slices.Contains(avoided, x.ConnID()))
			assert.Equal(t, pool.Dialed(), tt.wantDialed)
			x.Close(true)
			for range tt.idle + 1 {
				defer send(nil).Close(true)
			}
			assert.Equal(t, pool.Dialed(), tt.wantDialed+1, "the pool must have as many idle connections as before")
		})
	}
}
