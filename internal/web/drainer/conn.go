package drainer

import (
	"errors"
	"net"
	"sync"
	"time"
)

// conn is a connection whose wait for a request is limited during a drain. The limit is a read deadline, because the end of a read tells
// whether it has returned bytes, whereas closing the connection drops what was just read.
type conn struct {
	net.Conn
	drainer *Drainer

	mu sync.Mutex
	// waiting is set until the first byte of a request was read.
	waiting bool
	// deadline is the read deadline that the server has set. An earlier one may be in force while the connection is waiting.
	deadline time.Time
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wasWaiting := c.waiting
	c.waiting = false
	if !wasWaiting || !c.drainer.draining.Load() {
		return n, err
	}
	// Removes a limit that was set after the bytes had been read.
	return n, errors.Join(err, c.Conn.SetReadDeadline(c.deadline))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// CloseWrite closes the sending side if the underlying connection can do so. The server needs it so that a caller that is still sending
// receives its answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// awaitRequest marks the connection as waiting for another request.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
}

// requestRead marks the connection as carrying a request. The request may have been in a buffer of the server already when the connection began to
// wait for it.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	// An error means that the connection is closed.
	_ = c.applyDeadline()
}

// limitWait limits the wait of a connection that is waiting.
func (c *conn) limitWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An error means that the connection is closed.
	_ = c.applyDeadline()
}

// applyDeadline sets the read deadline of the underlying connection. The caller must hold mu.
func (c *conn) applyDeadline() error {
	at := c.deadline
	if c.waiting && c.drainer.draining.Load() {
		if limit := time.Now().Add(time.Duration(c.drainer.linger.Load())); at.IsZero() || limit.Before(at) {
			at = limit
		}
	}
	return c.Conn.SetReadDeadline(at)
}
