package simulator

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// LogFaults are the faults that the log stand-in injects. POST /faults replaces all of them, GET /faults returns them.
type LogFaults struct {
	// Outage answers every append and read with 503. Nothing is appended.
	Outage bool
	// OutageFor answers only these clients with 503. An entry is an IP address, a node ID or the node name in a node ID.
	OutageFor []string
	// SlowMs delays every response to an append or a read by this many milliseconds, after the request took effect.
	SlowMs int
	// LoseAcks is how many of the next appends take effect but get a closed connection instead of a response; -1 means all.
	LoseAcks int
	// LateAppends is how many of the next appends take effect only after LateMs milliseconds, whether or not the client still
	// waits; -1 means all.
	LateAppends int
	LateMs      int
}

// outageAffects reports whether an outage applies to the client.
func (f LogFaults) outageAffects(c client) bool {
	if f.Outage {
		return true
	}
	return slices.ContainsFunc(f.OutageFor, func(name string) bool {
		return name == c.address || name == c.node || name == c.name
	})
}

// withLostAck returns a copy with the next append subtracted from LoseAcks, and whether that append's acknowledgement is lost.
func (f LogFaults) withLostAck() (LogFaults, bool) {
	var applies bool
	f.LoseAcks, applies = countDown(f.LoseAcks)
	return f, applies
}

// withLateAppend returns a copy with the next append subtracted from LateAppends, and whether that append takes effect late.
func (f LogFaults) withLateAppend() (LogFaults, bool) {
	var applies bool
	f.LateAppends, applies = countDown(f.LateAppends)
	return f, applies
}

// countDown decrements a positive count and reports whether the fault applies. A negative count applies without limit.
func countDown(n int) (int, bool) {
	if n > 0 {
		return n - 1, true
	}
	return n, n < 0
}

// client identifies the sender of a request to the log.
type client struct {
	address string
	// node is the value of the X-Node-Id header; name is what precedes the incarnation in it.
	node string
	name string
}

func clientOf(r *http.Request) client {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		address = r.RemoteAddr
	}
	node := r.Header.Get("X-Node-Id")
	name, _, _ := strings.Cut(node, "/")
	return client{address: address, node: node, name: name}
}
