// Package counter counts the bytes and connections of control traffic, per group of connections. The counters are in the process's
// default metrics set.
package counter

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Groups of connections. Each is counted at the node that serves /metrics.
const (
	// PeerClient are connections that this node opened to other nodes, and PeerServer those that others opened to it.
	PeerClient = "peer-client"
	PeerServer = "peer-server"
	Log        = "log"
	Instances  = "instances"
)

// Traffic counts one group of connections. It is safe for concurrent use.
type Traffic struct {
	// Sent and Received count bytes above TCP; with TLS, those inside it.
	Sent, Received *metrics.Counter
	// Opened counts connections.
	Opened *metrics.Counter
}

// New returns the counters of a group. Two calls with the same group share them.
func New(group string) Traffic {
	bytes := func(direction string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`damaskpick_control_bytes_total{group=%q,direction=%q}`, group, direction))
	}
	return Traffic{
		Sent: bytes("sent"), Received: bytes("received"),
		Opened: metrics.GetOrCreateCounter(fmt.Sprintf(`damaskpick_control_connections_total{group=%q}`, group)),
	}
}

// DialFunc is the signature of the dial functions of net and net/http.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dialer whose connections are counted.
func (t Traffic) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.wrap(c), nil
	}
}

// Listen returns a listener whose connections are counted.
func (t Traffic) Listen(inner net.Listener) net.Listener {
	return listener{Listener: inner, traffic: t}
}

func (t Traffic) wrap(c net.Conn) net.Conn {
	t.Opened.Inc()
	return connection{Conn: c, traffic: t}
}

type listener struct {
	net.Listener
	traffic Traffic
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrap(c), nil
}

type connection struct {
	net.Conn
	traffic Traffic
}

func (c connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(n)
	return n, err
}

func (c connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(n)
	return n, err
}
