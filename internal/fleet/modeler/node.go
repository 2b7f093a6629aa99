package modeler

import (
	"math/bits"
	"time"
)

// Node describes a node.
type Node struct {
	ID NodeID
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Rank is the position of the node's registration. The live node that Precedes all others coordinates placement. Nodes that are not
	// registered yet have UnregisteredRank.
	Rank Position
	// MilliCores is the processor capacity in thousandths of a core. It is zero if it is unknown, and in messages as long as the node cannot
	// coordinate because it has not read the store.
	MilliCores int
	// PeerAddress receives datagrams from other nodes.
	PeerAddress string
	// CallerAddress accepts connections from callers.
	CallerAddress string
	DataCentre    DataCentreID
	Region        string
	// LastSeenAt is when the last message from the node was received; zero before the first one.
	LastSeenAt time.Time
	// ReportedAt is when another node received the last message from the node that digests have reported. It is not the time of the digest:
	// each coordinator that repeats a report would otherwise renew it.
	ReportedAt time.Time
	// AssumedUntil is until when callers may use the node although no message shows that it is alive: it was alive when this process was paused.
	// Other nodes are not told.
	AssumedUntil time.Time
	// Leaving is set if the node is shutting down and accepts no new callers.
	Leaving bool
	// Coordinates is set if Coordinates was set in the node's last heartbeat. Such a node sends heartbeats at short intervals.
	Coordinates bool
}

// UnregisteredRank is the rank of a node that is not registered in the store yet. It is higher than any position.
const UnregisteredRank Position = 1 << 62

// WithLastSeen returns the node after a message from it was received.
func (n Node) WithLastSeen(at time.Time) Node {
	n.LastSeenAt = at
	return n
}

// WithReported returns the node after a digest reported that another node received a message from it at the given time. An earlier report that
// is newer stays in force.
func (n Node) WithReported(at time.Time) Node {
	if at.After(n.ReportedAt) {
		n.ReportedAt = at
	}
	return n
}

// WithAssumed returns the node with AssumedUntil set to the given time.
func (n Node) WithAssumed(until time.Time) Node {
	n.AssumedUntil = until
	return n
}

// AliveAt returns the time of the last message from the node that this node or, according to digests, another one has received.
func (n Node) AliveAt() time.Time {
	if n.ReportedAt.After(n.LastSeenAt) {
		return n.ReportedAt
	}
	return n.LastSeenAt
}

// WithLeaving returns the node with Leaving set to the given value.
func (n Node) WithLeaving(leaving bool) Node {
	n.Leaving = leaving
	return n
}

// WithCoordinates returns the node with Coordinates set to the given value.
func (n Node) WithCoordinates(coordinates bool) Node {
	n.Coordinates = coordinates
	return n
}

// WithMilliCores returns the node with the given processor capacity.
func (n Node) WithMilliCores(capacity int) Node {
	n.MilliCores = capacity
	return n
}

// capacityUnit is the smallest capacity that makes a difference between nodes. Below it, a node can coordinate only a small fleet.
const capacityUnit = 100

// Precedes reports whether the node is preferred to other as coordinator: a registered node to one that is not registered yet, then one with at
// least about twice the processor capacity, then the one that registered earlier.
func (n Node) Precedes(other Node) bool {
	registered, otherRegistered := n.Rank != UnregisteredRank, other.Rank != UnregisteredRank
	if registered != otherRegistered {
		return registered
	}
	class, otherClass := bits.Len(uint(n.MilliCores/capacityUnit)), bits.Len(uint(other.MilliCores/capacityUnit))
	if class != otherClass {
		return class > otherClass
	}
	return n.Rank < other.Rank
}

// WithRank returns the node with the rank of its registration.
func (n Node) WithRank(rank Position) Node {
	n.Rank = rank
	return n
}

// LoadSummary is the part of an endpoint's load that digests carry.
type LoadSummary struct {
	Running int
	Memory  Tokens
	// Backlog is the prefill time of the work that is queued or in progress.
	Backlog time.Duration
	// Gap is the smallest gap target of the decoding requests; zero if there are none.
	Gap time.Duration
	// Work is the time for which the calls at an endpoint of a plain service are expected to occupy slots from now on.
	Work time.Duration
}
