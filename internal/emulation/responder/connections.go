// Package responder implements HTTP stand-ins for model engines and plain services, with the faults that tests inject.
package responder

import (
	"context"
	"net"
	"sync"
)

// connections tracks the open connections of one stand-in, so that faults can reset or silence them.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

func newConnections() *connections { return &connections{open: map[*connection]struct{}{}} }

// connection is an accepted connection that can be made silent: it stays open, but reads and writes block until it is closed.
type connection struct {
	net.Conn
	set         *connections
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blockIfSilent() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *connection) Write(b []byte) (int, error) {
	if c.blockIfSilent() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// blockIfSilent blocks until a silent connection is closed. It reports whether the connection was silent.
func (c *connection) blockIfSilent() bool {
	select {
	case <-c.silent:
		<-c.closed
		return true
	default:
		return false
	}
}

func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.set.mu.Lock()
		delete(c.set.open, c)
		c.set.mu.Unlock()
	})
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as happens when a process with unread input exits.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// allExcept returns the open connections other than except, which may be nil.
func (s *connections) allExcept(except *connection) []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*connection, 0, len(s.open))
	for c := range s.open {
		if c != except {
			all = append(all, c)
		}
	}
	return all
}

// resetAll resets all open connections other than except, which may be nil.
func (s *connections) resetAll(except *connection) {
	for _, c := range s.allExcept(except) {
		c.reset()
	}
}

// silenceAll silences all open connections other than except, which may be nil.
func (s *connections) silenceAll(except *connection) {
	for _, c := range s.allExcept(except) {
		c.silenceOnce.Do(func() { close(c.silent) })
	}
}

// listener accepts connections and adds them to a set.
type listener struct {
	net.Listener
	set *connections
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: raw, set: l.set, silent: make(chan struct{}), closed: make(chan struct{})}
	l.set.mu.Lock()
	l.set.open[c] = struct{}{}
	l.set.mu.Unlock()
	return c, nil
}

type connectionKey struct{}

// withConnection returns ctx with the connection; it is used as http.Server.ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionFromContext returns the connection of the request with context ctx, or nil.
func connectionFromContext(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}
