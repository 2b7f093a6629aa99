package invoker

import (
	"context"
	"net"
	"sync"
)

// connection counts the bytes written to it and can be sealed against further writes. The transport may still be writing a request when it
// returns an error or the end of a response, so a count read at that time could be too low.
type connection struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	written int64
	// writing is open while a write is in progress, closed after it, and nil before the first.
	writing chan struct{}
	// request is how much was written of the request of the last call of begin.
	request transmission
}

// begin starts counting a request with a body of the given size in bytes.
func (c *connection) begin(bodySize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = transmission{left: bodySize}
}

func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	writing := make(chan struct{})
	c.writing = writing
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(writing)
	c.written += int64(n)
	c.request = c.request.withWritten(b[:n])
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
	return isOpen(c.writing) || c.written > writtenBefore
}

// isOpen reports whether a channel that nothing is sent on is neither nil nor closed.
func isOpen(channel chan struct{}) bool {
	select {
	case <-channel:
		return false
	default:
		return channel != nil
	}
}

// endRequest closes the connection and reports whether the request was written completely before.
func (c *connection) endRequest() bool {
	_ = c.Close()
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		<-writing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request.complete()
}

// transmission is how much of a request was written. Values are immutable.
type transmission struct {
	// matched is the number of bytes of headEnd with which the part of the head that was written ends.
	matched int
	// left is the number of bytes of the body that were not written yet.
	left int
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// withWritten returns the transmission after more bytes were written.
func (t transmission) withWritten(data []byte) transmission {
	for len(data) > 0 && t.matched < len(headEnd) {
		switch data[0] {
		case headEnd[t.matched]:
			t.matched++
		case headEnd[0]:
			t.matched = 1
		default:
			t.matched = 0
		}
		data = data[1:]
	}
	t.left -= len(data)
	return t
}

// complete reports whether the head and the body were written.
func (t transmission) complete() bool { return t.matched == len(headEnd) && t.left <= 0 }

// dialer opens connections of type *connection.
type dialer struct{ net.Dialer }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn}, nil
}
