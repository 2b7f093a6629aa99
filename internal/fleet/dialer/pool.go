// Package dialer pools connections to endpoints and exchanges requests and responses on them. It uses the message formats of net/http but not
// its Transport: for a request that must not run twice, the caller has to know whether it was sent and on which connection, and the Transport
// resends requests on its own.
package dialer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/internal/web/checker"
)

const (
	// dialTimeout is how long an endpoint may take to accept a connection. It is many times the round trip between data centres plus the
	// endpoint's handshake.
	dialTimeout = 350 * time.Millisecond
	// defaultIdleTime is how long an idle connection is kept when the endpoint sends no Keep-Alive timeout.
	defaultIdleTime = 20 * time.Second
	// idleMargin is subtracted from the endpoint's Keep-Alive timeout, so that no request is sent while the endpoint closes the connection.
	idleMargin = 700 * time.Millisecond
	// readBufferSize is the size of a read buffer in bytes. It holds the header of a response and several events.
	readBufferSize = 4 << 10
)

const (
	// probeInterval is the time between TCP keep-alive probes; the kernel accepts whole seconds only. The connection ends after probeCount
	// probes without a response.
	probeInterval = time.Second
	probeCount    = 2
	// ackTimeout is how long the other side may acknowledge nothing before the kernel ends the connection. With it, a request to an endpoint
	// that lost power fails after about two seconds. Memory that the endpoint reserved on other engines must be released within four seconds.
	ackTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which the syscall package does not define.
	tcpUserTimeout = 0x12
)

// setUserTimeout sets ackTimeout on a socket. It is the Control function of the net.Dialer.
func setUserTimeout(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// maxIdle bounds the idle connections to one address, even if the endpoint accepts more.
	maxIdle int
	mu      sync.Mutex
	// idle holds the idle connections by address. The most recently used one is last.
	idle   map[string][]*Conn
	closed bool
	dialed int64
	// lastID is the id of the connection that was opened last.
	lastID ConnID
}

// NewPool returns a pool that keeps up to maxIdle idle connections to each address, and a function that closes the idle connections.
func NewPool(maxIdle int) (*Pool, func()) {
	p := &Pool{maxIdle: maxIdle, idle: map[string][]*Conn{}}
	return p, p.close
}

// ConnID identifies a connection of a pool. Ids are not used again.
type ConnID uint64

// Conn is a connection to an endpoint. One goroutine uses it at a time.
type Conn struct {
	net.Conn
	id     ConnID
	Reader *bufio.Reader
	// source is what Reader reads from.
	source *responseReader
	// Reused is set if the connection was idle in the pool before.
	Reused  bool
	address string
	expires time.Time
}

// Get returns an idle connection to the address whose id is not in avoided, or a new one if there is none. A new one replaces one of the avoided: an
// endpoint resets connections above its limit, and the request would count as one that may have run.
func (p *Pool) Get(ctx context.Context, address string, avoided []ConnID) (*Conn, error) {
	for {
		conn := p.popIdle(address, avoided)
		if conn == nil {
			if replaced := p.popIdle(address, nil); replaced != nil {
				replaced.discard()
			}
			return p.dial(ctx, address)
		}
		if time.Now().Before(conn.expires) && conn.reusable() {
			conn.Reused = true
			return conn, nil
		}
		conn.discard()
	}
}

// dial opens a new connection and counts it, even if it fails.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	p.mu.Lock()
	p.dialed++
	p.lastID++
	id := p.lastID
	p.mu.Unlock()
	dialer := net.Dialer{
		Timeout: dialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	source := &responseReader{reader: conn, left: math.MaxInt64}
	return &Conn{Conn: conn, id: id, Reader: bufio.NewReaderSize(source, readBufferSize), source: source, address: address}, nil
}

// responseReader checks the heads of responses, and fails with errHeaderTooLong after a number of bytes. It is used by one goroutine at a time.
type responseReader struct {
	reader io.Reader
	// left is the number of bytes that may still be read.
	left int64
	// scanner has got all bytes that were read since the beginning of the current head.
	scanner checker.Scanner
}

func (r *responseReader) limit(bytes int64) { r.left = bytes }

func (r *responseReader) unlimit() { r.left = math.MaxInt64 }

// Read implements io.Reader. It returns a checker.HeadError instead of the bytes of an invalid head.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if headErr := r.scanner.Scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// beginHead checks the bytes that follow as the head of a response. Those in the buffer were read together with an earlier response.
func (c *Conn) beginHead() error {
	c.source.limit(maxHeaderBytes)
	c.source.scanner = checker.Scanner{}
	// Peeking at what is buffered does not fail.
	buffered, _ := c.Reader.Peek(c.Reader.Buffered())
	return c.source.scanner.Scan(buffered)
}

// Dialed returns the number of connections that were dialed, including failed ones.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// popIdle removes the most recently used idle connection of an address that is not to be avoided and returns it, or nil if there is none.
func (p *Pool) popIdle(address string, avoided []ConnID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, conn := range slices.Backward(conns) {
		if slices.Contains(avoided, conn.id) {
			continue
		}
		if conns = slices.Delete(conns, i, i+1); len(conns) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = conns
		}
		return conn
	}
	return nil
}

// Put returns a connection to the pool after a complete response. keepAlive is the endpoint's Keep-Alive timeout, or zero if it sent none.
// maxIdle bounds the idle connections to the endpoint; zero means the bound of the pool.
func (p *Pool) Put(conn *Conn, keepAlive time.Duration, maxIdle int) {
	conn.expires = time.Now().Add(defaultIdleTime)
	if keepAlive > 0 {
		conn.expires = time.Now().Add(keepAlive - idleMargin)
	}
	if conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.discard()
		return
	}
	if maxIdle <= 0 || maxIdle > p.maxIdle {
		maxIdle = p.maxIdle
	}
	p.mu.Lock()
	full := p.closed || len(p.idle[conn.address]) >= maxIdle
	if !full {
		p.idle[conn.address] = append(p.idle[conn.address], conn)
	}
	p.mu.Unlock()
	if full {
		conn.discard()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		conn.discard()
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]*Conn{}, true
	p.mu.Unlock()
	for _, conns := range idle {
		for _, conn := range conns {
			conn.discard()
		}
	}
}

// discard closes the connection. An error is ignored because the connection is not used again.
func (c *Conn) discard() { _ = c.Close() }

// reusable reports whether the connection is open and has no unread bytes. Bytes that were received before a request was sent cannot be its
// response.
func (c *Conn) reusable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Reader.Buffered() == 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var peeked [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}
