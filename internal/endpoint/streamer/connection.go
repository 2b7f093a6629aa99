package streamer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// connection bounds the time without data from an engine: a read fails if it received no byte for gap. The time between two reads does not
// count, so a slow reader does not make a stream fail.
type connection struct {
	net.Conn
	gap time.Duration
	// wroteAt is when the last piece of the request was written, in nanoseconds since 1970. A read counts the gap from then on, because
	// an engine cannot respond before it has received the whole prompt.
	wroteAt atomic.Int64
	// silent is set when a read or a write exceeded gap.
	silent atomic.Bool
}

// maxWriteBytes bounds the bytes that are written under one deadline, so that sending a long prompt may take longer than the gap.
const maxWriteBytes = 64 << 10

func (c *connection) Read(b []byte) (int, error) {
	start := time.Now()
	for {
		if err := c.SetReadDeadline(start.Add(c.gap)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wrote := time.Unix(0, c.wroteAt.Load())
		if !wrote.After(start) {
			c.silent.Store(true)
			return n, err
		}
		start = wrote
	}
}

func (c *connection) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := c.SetWriteDeadline(time.Now().Add(c.gap)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+maxWriteBytes, len(b))])
		written += n
		c.wroteAt.Store(time.Now().UnixNano())
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.silent.Store(true)
			}
			return written, err
		}
	}
	return written, nil
}

// dialer opens connections of type *connection.
type dialer struct {
	net.Dialer
	gap time.Duration
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, gap: d.gap}, nil
}
