package invoker

import (
	"context"
	"net"
	"sync"
)

// connection counts the bytes written to it and can be sealed against further writes. The transport may still be writing a request when it
// returns an error, so a count read at that time could be too low.
type connection struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	writing bool
	written int64
}

func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// bytesWritten returns the number of bytes written so far.
func (c *connection) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes later writes fail. It reports whether more than writtenBefore bytes were written, or a write is in progress.
func (c *connection) seal(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > writtenBefore
}

// dialer opens connections of type *connection.
type dialer struct{ net.Dialer }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn}, nil
}
