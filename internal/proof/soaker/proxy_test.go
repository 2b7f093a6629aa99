package soaker

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is the fault of a link.
type linkFault struct {
	delay time.Duration
	// holdToTarget holds back bytes from callers to the target, holdToCaller those in the other direction; both together cut the link. Held
	// bytes arrive after the fault ends if both sides still wait, as TCP retransmits lost packets: a stream never has a gap.
	holdToTarget, holdToCaller bool
}

// proxy is a link of the deployment: a loopback listener that forwards connections to a target and can inject faults.
type proxy struct {
	target   func() string
	listener net.Listener
	mu       sync.Mutex
	fault    linkFault
	// changed is closed and replaced when fault changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(t *testing.T, target func() string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{target: target, listener: l, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.setFault(linkFault{})
		p.reset(1, rand.New(rand.NewPCG(1, 1)))
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentFault returns the fault of the link and a channel that is closed when it changes.
func (p *proxy) currentFault() (linkFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

// reset closes about the given fraction of the open connections with a TCP reset.
func (p *proxy) reset(fraction float64, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if random.Float64() < fraction {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	target, err := net.Dial("tcp4", p.target())
	if err != nil {
		_ = caller.Close()
		return
	}
	p.track(caller, true)
	p.track(target, true)
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(target, caller, func(f linkFault) bool { return f.holdToTarget }) })
	copies.Go(func() { p.copy(caller, target, func(f linkFault) bool { return f.holdToCaller }) })
	copies.Wait()
	p.track(caller, false)
	p.track(target, false)
}

func (p *proxy) track(conn net.Conn, active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if active {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

// copy forwards bytes until one side ends, then closes both. It holds bytes back while holds reports true for the current fault.
func (p *proxy) copy(to, from net.Conn, holds func(linkFault) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		fault, changed := p.currentFault()
		if fault.delay > 0 {
			pause(fault.delay)
		}
		for holds(fault) {
			<-changed
			fault, changed = p.currentFault()
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pause waits for a time that is part of the scenario, such as the delay of a link or the time between two faults.
func pause(d time.Duration) { <-time.After(d) }

// TestProxyKeepsBytes guards against a link that drops part of a connection's bytes and forwards the rest, which TCP never does: in seed 10
// of TestSoak, a caller got a stream with a gap that no node had caused.
func TestProxyKeepsBytes(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	p := newProxy(t, func() string { return target.Addr().String() })
	caller, err := net.Dial("tcp4", p.address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	node, err := target.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	tests := []struct {
		fault linkFault
		data  string
	}{{linkFault{}, "a"}, {linkFault{holdToCaller: true}, "b"}, {linkFault{}, "c"}}
	for _, tt := range tests {
		p.setFault(tt.fault)
		_, err := node.Write([]byte(tt.data))
		assert.NilError(t, err)
		pause(50 * time.Millisecond)
	}
	got := make([]byte, len(tests))
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = io.ReadFull(caller, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "abc")
}
