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

	mu    sync.Mutex
	phase phase
	// deadline is the read deadline that the server has set. An earlier one may be in force while the connection is waiting.
	deadline time.Time
}

// phase is what a connection does. A drain limits its wait in all phases but inRequest.
type phase uint8

const (
	// beforeFirst is the phase until the first byte of the first request was read.
	beforeFirst phase = iota
	// afterAnswer is the phase from the end of an answer until the server has set the read deadline of its wait for the next request.
	afterAnswer
	// awaitingNext is the phase until the first byte of the next request was read, or until the server sets another read deadline: it does so once it
	// has found the first bytes of a request, which it may have read together with the request before.
	awaitingNext
	inRequest
)

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wasWaiting := c.phase != inRequest
	c.phase = inRequest
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
	switch c.phase {
	case afterAnswer:
		c.phase = awaitingNext
	case awaitingNext:
		c.phase = inRequest
	case beforeFirst, inRequest:
	}
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
	c.phase = afterAnswer
}

// requestRead marks the connection as carrying a request.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inRequest
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
	if c.phase != inRequest && c.drainer.draining.Load() {
		if limit := time.Now().Add(time.Duration(c.drainer.linger.Load())); at.IsZero() || limit.Before(at) {
			at = limit
		}
	}
	return c.Conn.SetReadDeadline(at)
}
