package modeler

import "time"

// Node is the row of an entry node.
type Node struct {
	ID NodeID
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Rank is the offset of the node's registration in the store. The live node with the lowest rank coordinates placement.
	// Unregistered nodes have UnregisteredRank.
	Rank int64
	// PeerAddress takes datagrams of other nodes.
	PeerAddress string
	// CallerAddress is what callers connect to.
	CallerAddress string
	DataCentre    DataCentreID
	Region        string
	// HeardAt is when a message of the node came last; zero before the first.
	HeardAt time.Time
	// ReportedAt is when the coordinator last said that it hears the node.
	ReportedAt time.Time
	// Leaving nodes take no new callers.
	Leaving bool
	// Coordinates is set if the node said last that it coordinates placement; it then sends beats at short intervals.
	Coordinates bool
}

// UnregisteredRank is the rank of a node that the store has not registered yet.
const UnregisteredRank int64 = 1 << 62

// WithHeard returns the row after a message of the node.
func (n Node) WithHeard(at time.Time) Node {
	n.HeardAt = at
	return n
}

// WithReported returns the row after the coordinator said that it hears the node.
func (n Node) WithReported(at time.Time) Node {
	n.ReportedAt = at
	return n
}

// WithLeaving returns the row of a node that stops.
func (n Node) WithLeaving(leaving bool) Node {
	n.Leaving = leaving
	return n
}

// WithCoordinates returns the row of a node that says whether it coordinates placement.
func (n Node) WithCoordinates(coordinates bool) Node {
	n.Coordinates = coordinates
	return n
}

// WithRank returns the row after its registration.
func (n Node) WithRank(rank int64) Node {
	n.Rank = rank
	return n
}

// LoadSummary is the load of an endpoint as the coordinator knows it.
type LoadSummary struct {
	Running int
	Memory  Tokens
	// Backlog is the reading time that is not done yet.
	Backlog time.Duration
	// Gap is the shortest pause that a generating request bears; zero if there is none.
	Gap time.Duration
}
