// Package dialer keeps connections to endpoints. It uses the message formats of net/http but not its Transport: a request that must not run
// twice needs to know whether it was sent and on which connection, and the Transport replays requests on its own.
package dialer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout covers the round trip between data centres and the endpoint's handshake many times; an endpoint that is silent for that
	// long is given up.
	dialTimeout = 350 * time.Millisecond
	// idleTime is how long a connection is kept when the endpoint does not say how long it keeps it.
	idleTime = 20 * time.Second
	// idleMargin is taken off the time that the endpoint states, so that a request does not cross its close.
	idleMargin = 700 * time.Millisecond
	// readBuffer holds the header of an answer and several events.
	readBuffer = 4 << 10
)

const (
	// probeInterval is the time between keep-alive probes: the kernel takes whole seconds. probes without an answer end the connection.
	probeInterval = time.Second
	probes        = 2
	// silenceLimit ends a connection whose other side acknowledges nothing for that long, so that a request at an endpoint without power
	// is known to be over after about two seconds. Memory that it holds at other engines must be released within four.
	silenceLimit = 1500 * time.Millisecond
	// tcpUserTimeout is the socket option that sets silenceLimit; the syscall package has no name for it.
	tcpUserTimeout = 0x12
)

// limitSilence sets silenceLimit on a socket.
func limitSilence(_, _ string, socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// most bounds the idle connections of one address, whatever the endpoint accepts.
	most int
	mu   sync.Mutex
	// idle holds the connections of each address, the one used last at the end.
	idle   map[string][]*Conn
	closed bool
	dialed int64
}

// NewPool returns a pool and a function that closes its idle connections.
func NewPool(most int) (*Pool, func()) {
	p := &Pool{most: most, idle: map[string][]*Conn{}}
	return p, p.close
}

// Conn is a connection to an endpoint. One goroutine uses it at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set if the connection carried a request before.
	Reused  bool
	address string
	expires time.Time
}

// Get returns an idle connection or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		conn := p.take(address)
		if conn == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(conn.expires) && conn.quiet() {
			conn.Reused = true
			return conn, nil
		}
		conn.discard()
	}
}

// Dial returns a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	dialer := net.Dialer{
		Timeout: dialTimeout, Control: limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes},
	}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(conn, readBuffer), address: address}, nil
}

// Dialed returns the number of connections that were opened.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if conns = conns[:len(conns)-1]; len(conns) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = conns
	}
	return conn
}

// Put gives a connection back after a complete answer. keep is the time that the endpoint keeps it idle, zero if it did not say. most bounds
// the idle connections of the endpoint, zero if it states no limit.
func (p *Pool) Put(conn *Conn, keep time.Duration, most int) {
	conn.expires = time.Now().Add(idleTime)
	if keep > 0 {
		conn.expires = time.Now().Add(keep - idleMargin)
	}
	if conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.discard()
		return
	}
	if most <= 0 || most > p.most {
		most = p.most
	}
	p.mu.Lock()
	full := p.closed || len(p.idle[conn.address]) >= most
	if !full {
		p.idle[conn.address] = append(p.idle[conn.address], conn)
	}
	p.mu.Unlock()
	if full {
		conn.discard()
	}
}

// Forget closes the idle connections of an address.
func (p *Pool) Forget(address string) {
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

// discard closes a connection that will not be used again, so that a failure to close it concerns nobody.
func (c *Conn) discard() { _ = c.Close() }

// quiet tells whether the connection is open and holds no bytes. Bytes that come without a request belong to no answer.
func (c *Conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Reader.Buffered() == 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
