// Package drainer ends the connections of an http.Server during a graceful stop, without interrupting a request of which the server has
// read a byte. http.Server.Shutdown closes such connections: it regards a connection as idle until the whole header is read, and the
// server drops every request whose header it has read after the call.
package drainer

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Drainer tracks the connections of one http.Server, which must use Listener, Track, ConnContext and Handler. It is safe for concurrent use.
type Drainer struct {
	// linger is the time in nanoseconds that Drain leaves a connection for another request. It is valid once draining is set.
	linger   atomic.Int64
	draining atomic.Bool

	mu   sync.Mutex
	open map[*conn]struct{}
	// changed is closed and replaced when a connection has ended.
	changed chan struct{}
}

// New returns a Drainer.
func New() *Drainer {
	return &Drainer{open: map[*conn]struct{}{}, changed: make(chan struct{})}
}

// Listener returns a listener for http.Server.Serve that accepts the connections of inner. TLS must be above it.
func (d *Drainer) Listener(inner net.Listener) net.Listener {
	return listener{Listener: inner, drainer: d}
}

// Handler returns a handler that calls next. During Drain, its answers end their connections.
func (d *Drainer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.requestRead()
		}
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is the ConnContext callback of the http.Server.
func (d *Drainer) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, innerConn(c))
}

// innerConn returns the connection below TLS.
func innerConn(c net.Conn) net.Conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		return encrypted.NetConn()
	}
	return c
}

// Track records the state of a connection. It is the ConnState callback of the http.Server.
func (d *Drainer) Track(c net.Conn, state http.ConnState) {
	tracked, ok := innerConn(c).(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		d.mu.Lock()
		d.open[tracked] = struct{}{}
		d.mu.Unlock()
	case http.StateIdle:
		tracked.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		d.mu.Lock()
		delete(d.open, tracked)
		close(d.changed)
		d.changed = make(chan struct{})
		d.mu.Unlock()
	case http.StateActive:
	}
}

// Drain ends each connection that sends no byte of a request (with TLS, no byte at all) for the time linger, and returns when the last connection has ended. If
// ctx ends first, it returns its error, and the connections go on ending. It must be called after Serve has returned, because the
// listener was closed. A linger of at least a round trip to the callers lets a caller finish that sends one request after another.
func (d *Drainer) Drain(ctx context.Context, linger time.Duration) error {
	d.linger.Store(int64(linger))
	d.draining.Store(true)
	d.mu.Lock()
	conns := slices.Collect(maps.Keys(d.open))
	d.mu.Unlock()
	for _, c := range conns {
		c.limitWait()
	}
	for {
		d.mu.Lock()
		count, changed := len(d.open), d.changed
		d.mu.Unlock()
		if count == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("%d connections are open: %w", count, ctx.Err())
		}
	}
}

type listener struct {
	net.Listener
	drainer *Drainer
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, drainer: l.drainer}, nil
}
