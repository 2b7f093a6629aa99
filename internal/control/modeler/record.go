package modeler

import "time"

// Stream names a stream of the log service.
type Stream string

// Streams of the log.
const (
	// StreamRules carries RulesPublished records.
	StreamRules Stream = "rules"
	// StreamControl carries NodeRegistered, NodeDeparted, NodeReclaim, Minted, HoldClaimed and HoldReleased records.
	StreamControl Stream = "control"
	// StreamCalls carries CallIntent, CallAborted and CallFinished records.
	StreamCalls Stream = "calls"
)

// Record is one decoded record of a log stream. Systems skip values of unknown types.
type Record struct {
	Offset int64
	// Time is when the record was appended, by the log service's clock.
	Time  time.Time
	Value any
}

// RulesPublished proposes a rule file. It takes effect if Base is the version in force at its offset.
type RulesPublished struct {
	PublishID string
	Base      Version
	Author    string
	Text      string
	// Renews is the version that this record repeats before the log's retention drops the earlier record, or zero.
	Renews Version
}

// NodeRegistered adds a node to the registered nodes.
type NodeRegistered struct{ Node Sender }

// NodeDeparted removes a node that has handed over everything that it held. It takes effect if Node, Heir and every Peer of Balances
// are live at its offset; a live node is registered and has neither left nor been reclaimed. Heir is empty if no other node is live;
// the balances then go to the next node that registers.
type NodeDeparted struct {
	Node NodeID
	Heir NodeID
	// Balances is, for each Peer, the amount that the node sent to it minus the amount that it received from it.
	Balances []Balance
}

// NodeReclaim removes one or several silent nodes. It takes effect if, at its offset, the nodes and By are live, every other live
// node is in Promised, and every Peer of Balances is live.
type NodeReclaim struct {
	Node NodeID
	By   NodeID
	// Balances is, for each Peer, the amount that it sent to the nodes minus the amount that it received from them. Together with the
	// amounts that the log credits to the nodes (in Minted and in earlier NodeRegistered, NodeDeparted and NodeReclaim records), this
	// is their balance. It is credited to By.
	Balances []Balance
	// Promised lists the nodes that promised not to vouch for Node and the nodes in With.
	Promised []NodeID
	// With lists nodes that are reclaimed together with Node. They need not have promised not to vouch for each other.
	With []NodeID
	// Wait is how long By must wait after it has read the record before it uses the balances.
	Wait time.Duration
}

// Nodes returns all nodes that the record removes.
func (r NodeReclaim) Nodes() []NodeID { return append([]NodeID{r.Node}, r.With...) }

// Balance is an amount of one member's share. Its meaning is set by the record that contains it.
type Balance struct {
	Member MemberID
	Amount Tokens
	// Peer is the node whose ledger contains the amount. It is empty in records that do not need it.
	Peer NodeID
}

// Minted credits the cap changes of a rule version to the members' account nodes. A member's account node is the node that minted for
// it first, or that node's successor. The record takes effect if Base is the version minted last at its offset.
type Minted struct {
	Version Version
	Base    Version
	By      NodeID
	// Changes lists the change of each member's cap; a reduction is negative.
	Changes []Balance
}

// HoldClaimed makes Node the holder of an endpoint. It takes effect if Node is live and the endpoint has no holder at the record's
// offset, and Term is higher than the endpoint's last term.
type HoldClaimed struct {
	Endpoint EndpointID
	Term     Term
	Node     NodeID
	// Renewal is set when the record repeats a claim that took effect, before the log's retention drops it. A renewal takes effect
	// unless Node has left or was reclaimed or Term is older than the endpoint's term.
	Renewal bool
}

// HoldReleased ends Node's hold of an endpoint. It takes effect if Node holds the endpoint under Term.
type HoldReleased struct {
	Endpoint EndpointID
	Term     Term
	Node     NodeID
}

// Call identifies one attempt to run a non-idempotent call.
type Call struct {
	Member MemberID
	// Key is the caller's idempotency key; KeyTime is the time it carries.
	Key      string
	KeyTime  time.Time
	BodyHash uint64
	Attempt  AttemptID
	Node     NodeID
	Deadline time.Time
}

// CallOutcome is the result of a call that has ended, as far as it is known.
type CallOutcome struct {
	// Ran is false when no byte was sent to the endpoint.
	Ran    bool
	Status int
	// ContentType and Body are returned as the answer to further calls with the same key.
	ContentType string
	Body        []byte
	// Truncated is set when Body was not stored because it exceeds the limit of a record or of memory. Body is empty then.
	Truncated bool
	// Known is false when the answer was not received.
	Known bool
}

// CallIntent announces that an attempt is about to run a call.
type CallIntent struct{ Call Call }

// CallAborted voids an intent, whether it precedes or follows the intent in the stream.
type CallAborted struct{ Call Call }

// CallFinished records the outcome of the attempt that ran.
type CallFinished struct {
	Call    Call
	Outcome CallOutcome
}

// CallDecision is the answer to CallArrived. One of Run, Outcome and Refusal is set.
type CallDecision struct {
	// Run permits the goroutine that waits for the decision to send the call.
	Run bool
	// Outcome is the recorded answer of an earlier attempt.
	Outcome *CallOutcome
	Refusal *Refusal
}
