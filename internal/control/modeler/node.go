package modeler

import "time"

// NodePhase is the state of a node in the set of nodes.
type NodePhase uint8

// Node phases.
const (
	NodeActive NodePhase = iota
	NodeLeaving
	// NodeSilent nodes have sent no liveness signal for longer than the silence timeout. It is FenceTimeout for up to 24 nodes and
	// grows with the number of nodes.
	NodeSilent
	// NodeReclaimed nodes lost their balances and holds through a NodeReclaim record.
	NodeReclaimed
	NodeLeft
)

// Node describes one incarnation of a node. It is a row of World.Nodes.
type Node struct {
	ID         NodeID
	Address    string
	PublicURL  string
	DataCentre DataCentreID
	Phase      NodePhase
	// Registered is set once the node's NodeRegistered record was read from the log.
	Registered bool
	// LastSeenAt is the time of the node's last liveness signal: a message from it, or a newer Beat of it in the gossip of another
	// node.
	LastSeenAt time.Time
	// Beat is the node's newest known gossip round.
	Beat uint64
	// PromisedTo is the node to which this node has promised not to vouch for the node with this ID any more. It is empty if there is
	// no such promise, it is this node itself if it reclaims the node, and it is never unset.
	PromisedTo NodeID
}

// Gone reports whether the node has left or was reclaimed, so that it can do no more work.
func (n Node) Gone() bool { return n.Phase == NodeReclaimed || n.Phase == NodeLeft }

// WithLastSeen returns a copy whose last liveness signal was at the given time. A silent node becomes active; a node that is gone is
// returned unchanged.
func (n Node) WithLastSeen(at time.Time) Node {
	if n.Gone() {
		return n
	}
	n.LastSeenAt = at
	if n.Phase == NodeSilent {
		n.Phase = NodeActive
	}
	return n
}

// WithBeat returns a copy with Beat set to beat and a liveness signal at the given time. It returns n unchanged unless beat is newer.
func (n Node) WithBeat(beat uint64, at time.Time) Node {
	if beat <= n.Beat {
		return n
	}
	n.Beat = beat
	return n.WithLastSeen(at)
}

// WithSender returns a copy with the addresses and the data centre of sender.
func (n Node) WithSender(sender Sender) Node {
	n.Address, n.PublicURL, n.DataCentre = sender.Address, sender.PublicURL, sender.DataCentre
	return n
}

// Live reports whether the node is registered and has neither left nor been reclaimed. A silent or crashed node is live until it is
// reclaimed.
func (n Node) Live() bool { return n.Registered && !n.Gone() }

// WithPhase returns a copy with Phase set to phase. A node that is gone is returned unchanged.
func (n Node) WithPhase(phase NodePhase) Node {
	if n.Gone() {
		return n
	}
	n.Phase = phase
	return n
}

// WithRegistered returns a copy with Registered set.
func (n Node) WithRegistered() Node {
	n.Registered = true
	return n
}

// WithPromise returns a copy with PromisedTo set to to, unless it was set before.
func (n Node) WithPromise(to NodeID) Node {
	if n.PromisedTo == "" {
		n.PromisedTo = to
	}
	return n
}

// Transfer moves share balance between two nodes. The sender resends it until it is acknowledged.
type Transfer struct {
	ID       TransferID
	Member   MemberID
	From, To NodeID
	Amount   Tokens
	// Seq numbers the transfers of a pair of nodes from 1, so that the receiver need not keep the IDs of transfers received without a gap.
	Seq      uint64
	ResendAt time.Time
	// Sends counts how often the transfer was sent.
	Sends int
}

// WithResendAt returns a copy that counts one more send and is due for a resend at the given time.
func (t Transfer) WithResendAt(at time.Time) Transfer {
	t.ResendAt = at
	t.Sends++
	return t
}

// Flow is the net result of the transfers between a node and a peer for one member. Either Sent or Received holds the net amount; the
// other one is zero. Readers use only their difference.
type Flow struct {
	Member MemberID
	// Sent is the amount subtracted from the node's balance, whether or not the peer received it.
	Sent Tokens
	// Received is the amount added to the node's balance.
	Received Tokens
}
