package dialer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
)

// scripted serves connections by a script: answers[i] is written after request i of a connection was read; the connection closes after the
// last one.
func scripted(t *testing.T, answers ...string) (address string, accepted func() int) {
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
			go serve(conn, answers)
		}
	}()
	return l.Addr().String(), func() int { return len(connections) }
}

func serve(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
	// The connection stays open until the other side closes it.
	_, _ = reader.ReadByte()
}

func answer(id, body string, headers ...string) string {
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
	response, err := x.Answer(http.MethodPost, time.Second, func(h http.Header) bool { return h.Get("Request-Id") == id })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	complete = err == nil
	return string(body), err
}

// TestReuse guards against connections that are opened anew for each request, or used again after something odd came on them.
func TestReuse(t *testing.T) {
	tests := []struct {
		name string
		// answers are those of one connection; the second request gets the first answer of a new connection if it is not used again.
		answers     []string
		connections int
		second      string
	}{
		{"kept", []string{answer("r1", "one"), answer("r2", "two")}, 1, "two"},
		{"late answer to the first request", []string{answer("r1", "one"), answer("r1", "again") + answer("r2", "two")}, 1, "two"},
		{"extra bytes", []string{answer("r1", "one") + "extra", answer("r2", "two")}, 2, ""},
		{"close announced", []string{answer("r1", "one", "Connection: close\r\n"), answer("r2", "two")}, 2, ""},
		{"an idle time of zero says nothing", []string{answer("r1", "one", "Keep-Alive: timeout=0\r\n"), answer("r2", "two")}, 1, "two"},
		{"interim answer first", []string{"HTTP/1.1 100 Continue\r\n\r\n" + answer("r1", "one"), answer("r2", "two")}, 1, "two"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, accepted := scripted(t, tt.answers...)
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
				assert.Assert(t, err != nil, "a new connection answers r1 first, which is not the second request's answer")
			}
			assert.Equal(t, accepted(), tt.connections)
			assert.Equal(t, pool.Dialed(), int64(tt.connections))
		})
	}
}

// TestMostIdle guards against nodes that together keep more idle connections than an endpoint accepts.
func TestMostIdle(t *testing.T) {
	tests := []struct {
		name       string
		most, kept int
	}{{"endpoint's share", 2, 2}, {"no limit of the endpoint", 0, 3}, {"more than the pool's", 9, 3}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, accepted := scripted(t, answer("r1", "one"), answer("r1", "one"))
			pool, closePool := dialer.NewPool(3)
			defer closePool()
			for round := range 2 {
				const together = 5
				open := make([]*dialer.Exchange, 0, together)
				for range together {
					header := http.Header{}
					header.Set("Request-Id", "r1")
					x, err := pool.Send(t.Context(), address, dialer.Outgoing{Method: http.MethodGet, URI: "/", Host: "h", Header: header, MostIdle: tt.most})
					assert.NilError(t, err)
					response, err := x.Answer(http.MethodGet, time.Second, func(http.Header) bool { return true })
					assert.NilError(t, err)
					_, err = io.Copy(io.Discard, response.Body)
					assert.NilError(t, err)
					open = append(open, x)
				}
				for _, x := range open {
					x.Close(true)
				}
				// The second round takes what the first one left.
				assert.Equal(t, int(pool.Dialed()), together+round*(together-tt.kept))
			}
			assert.Equal(t, accepted(), 10-tt.kept)
		})
	}
}

// TestAnswerErrors guards against a cut or foreign answer that is taken for a whole one.
func TestAnswerErrors(t *testing.T) {
	tests := []struct {
		name, answer string
		foreign      bool
	}{
		{"cut body", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nabc", false},
		{"cut chunk", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", false},
		{"no answer in the protocol", "garbage\r\n\r\n", false},
		{"others' answers only", answer("x", "1") + answer("y", "2") + answer("z", "3"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := scripted(t, tt.answer)
			pool, closePool := dialer.NewPool(4)
			defer closePool()
			_, err := exchange(t, pool, address, "r1")
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, dialer.ErrForeign), tt.foreign)
			// Nothing of that connection is used again.
			_, err = exchange(t, pool, address, "r1")
			assert.Assert(t, err != nil)
			assert.Equal(t, pool.Dialed(), int64(2))
		})
	}
}

// TestUnsent guards against a request that counts as sent though no connection was made.
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

// TestCancelCloses guards against an endpoint that goes on for a caller that has left.
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

// TestEarlyAnswer guards against a connection that is used again while the rest of a long body is still being written: the endpoint would
// take the next request for that rest.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		// The answer comes before the body is read.
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer("r1", "early"))
		}
	}()
	pool, closePool := dialer.NewPool(4)
	defer closePool()
	x, err := pool.Send(t.Context(), l.Addr().String(), dialer.Outgoing{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 64<<20)})
	assert.NilError(t, err)
	_, err = x.Answer(http.MethodPost, time.Second, func(http.Header) bool { return true })
	assert.NilError(t, err)
	x.Close(true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Get(ctx, l.Addr().String())
	assert.Assert(t, err != nil, "the connection must not be kept")
}
