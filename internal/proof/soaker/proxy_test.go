package soaker

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is what is wrong with a link.
type linkFault struct {
	delay time.Duration
	// swallow drops what callers send, answer what they get, silently; both cut the link.
	swallow, answer bool
}

// proxy is one link of the deployment: a loopback listener that passes connections on to a target.
type proxy struct {
	target   func() string
	listener net.Listener
	mu       sync.Mutex
	fault    linkFault
	conns    map[net.Conn]bool
}

func newProxy(t *testing.T, target func() string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.reset(1, rand.New(rand.NewPCG(1, 1)))
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *proxy) current() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset resets a share of the open connections.
func (p *proxy) reset(share float64, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if random.Float64() < share {
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
	copies.Go(func() { p.copy(target, caller, func(f linkFault) bool { return f.swallow }) })
	copies.Go(func() { p.copy(caller, target, func(f linkFault) bool { return f.answer }) })
	copies.Wait()
	p.track(caller, false)
	p.track(target, false)
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

// copy passes bytes on until one side ends, then ends both.
func (p *proxy) copy(to, from net.Conn, drops func(linkFault) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		fault := p.current()
		if fault.delay > 0 {
			pause(fault.delay)
		}
		if n > 0 && !drops(fault) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pause waits for a time that is part of the scene: the delay of a link, or the time between two steps.
func pause(d time.Duration) { <-time.After(d) }
