package modeler

import "time"

// Sender identifies the node that sent a batch.
type Sender struct {
	ID         NodeID
	Address    string
	PublicURL  string
	DataCentre DataCentreID
}

// Message is one message between nodes. Messages may be lost, repeated and reordered.
type Message interface{ message() }

// Digest is a gossip message: the state of the sender, of the endpoints that it holds and of other nodes that it knows.
type Digest struct {
	Rules     Version
	Endpoints []EndpointDigest
	Nodes     []NodeDigest
	// Quarantined lists the fingerprints of requests that crash endpoints.
	Quarantined []Quarantine
	Leaving     bool
	// Beat counts the sender's gossip rounds.
	Beat uint64
}

// EndpointDigest is the state of an endpoint as published by its holder.
type EndpointDigest struct {
	ID     EndpointID
	Holder NodeID
	Term   Term
	Phase  EndpointPhase
	BootID string
	Load   EndpointLoad
	// SweptTo is Endpoint.SweptTo.
	SweptTo int64
	// Age is how old the state was when the digest was sent.
	Age time.Duration
}

// NodeDigest is the state of another node as published by the sender.
type NodeDigest struct {
	// Sender holds only the ID of a node that is registered in the log.
	Sender  Sender
	Leaving bool
	// Beat is the newest gossip round of the node that the sender knows. Only a newer round shows that the node is alive. An age
	// would not include the delay of each hop, so that a crashed node would appear alive.
	Beat uint64
}

// Quarantine rejects requests with a fingerprint for a limited time.
type Quarantine struct {
	Fingerprint uint64
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

// VouchAsk asks the receiver for a Vouch, with which the sender postpones its fence.
type VouchAsk struct {
	// Nonce is echoed in Vouch, so that the asker can postpone its fence from the time at which it sent VouchAsk.
	Nonce uint64
}

// Vouch states that its sender has not promised not to vouch for For, so that For may postpone its fence.
type Vouch struct {
	For   NodeID
	Nonce uint64
}

// PromiseAsk asks the receiver to promise not to vouch for Node any more, so that Node can be reclaimed.
type PromiseAsk struct{ Node NodeID }

// Promise states that its sender has promised not to vouch for Node any more and has closed its transfer ledger with it. Refused is
// set when the sender does not promise, because Node sent a liveness signal recently or the sender still waits for its answer to a
// probe. A promise is valid for every reclaiming node, because the ledger does not change after it is closed. A VouchAsk of a node
// about which a promise was made is answered by a Promise that names the asker.
type Promise struct {
	Node    NodeID
	Refused bool
	Flows   []Flow
}

// BorrowAsk asks the receiver to transfer share balance of a member.
type BorrowAsk struct {
	Member MemberID
	Amount Tokens
	// Waited is how long the sender has needed the balance. If two nodes need it, the one that has waited longer gets it.
	Waited time.Duration
}

// BorrowRefusal states that the sender has no balance to lend.
type BorrowRefusal struct{ Member MemberID }

// TransferSent transfers share balance to the receiver.
type TransferSent struct{ Transfer Transfer }

// TransferAck confirms a transfer.
type TransferAck struct{ ID TransferID }

// DebtAsk asks the account node of a member whether the debt of a cap reduction is paid off.
type DebtAsk struct{ Member MemberID }

// DebtPaid states that the account node had no debt left after it had applied the control stream up to Offset.
type DebtPaid struct {
	Member MemberID
	Offset int64
}

// PermitAsk asks an endpoint's holder for a permit to run an attempt.
type PermitAsk struct {
	Attempt  AttemptID
	Request  RequestID
	Endpoint EndpointID
	Tokens   Tokens
	Prompt   Tokens
	Class    LengthClass
	// Suspect is set when an endpoint crashed during an earlier attempt of the request.
	Suspect bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Seen is the load on which the asker based its choice of the endpoint.
	Seen SeenLoad
}

// SeenLoad is the subset of an endpoint's load on which a routing decision depends.
type SeenLoad struct {
	// Running is the number of requests.
	Running int
	// LongPrefill is set when a long or huge prompt is being processed.
	LongPrefill bool
	// Any is set when the asker accepts the endpoint regardless of its load. The holder then ignores the other fields.
	Any bool
}

// PermitGiven grants a permit for an attempt.
type PermitGiven struct {
	Attempt  AttemptID
	Endpoint EndpointID
	Term     Term
	// Load is the endpoint's load including the permit.
	Load EndpointLoad
}

// PermitRefused denies a permit for an attempt.
type PermitRefused struct {
	Attempt  AttemptID
	Endpoint EndpointID
	Reason   PermitReason
	// Load is the endpoint's load; it is zero when Reason is NotHolder.
	Load EndpointLoad
}

// PermitReason states why a permit was denied.
type PermitReason uint8

// Permit reasons.
const (
	// NotHolder means that the node does not hold the endpoint, or may not grant permits for it now.
	NotHolder PermitReason = iota
	// NotInService means that the endpoint accepts no new work, that the attempt was released before, or that the asker has left or
	// was reclaimed.
	NotInService
	// NoMemory means that the engine has too little free memory or runs the maximum number of requests.
	NoMemory
	// ColdFull means that a cold endpoint runs ColdLimit requests.
	ColdFull
	// LongFull means that the fraction of the engine's memory for long and huge prompts is in use.
	LongFull
	// SuspectFull means that the endpoint runs another suspect request.
	SuspectFull
	// Unconfirmed means that ColdLimit earlier permits still wait for the endpoint's response header. A retry after a short time may
	// succeed.
	Unconfirmed
	// Outdated means that the endpoint has more load than the asker knew of. PermitRefused contains the current load; another
	// endpoint may be a better choice.
	Outdated
)

// PermitConfirm forwards AttemptConfirmed to the holder, or FirstTokenSeen if FirstToken is set. Both contain the data of the response
// header, because the first one that arrives confirms the permit, and either may be lost or reordered.
type PermitConfirm struct {
	Attempt    AttemptID
	Endpoint   EndpointID
	BootID     string
	Cold       bool
	FirstToken bool
}

// PermitRelease ends a permit. It is resent until acknowledged.
type PermitRelease struct {
	Attempt   AttemptID
	Endpoint  EndpointID
	Completed bool
	Died      bool
}

// PermitReleased acknowledges PermitRelease.
type PermitReleased struct{ Attempt AttemptID }

// RulesAsk asks for the rule file if the receiver has a newer version.
type RulesAsk struct{ Have Version }

// RulesFile carries a rule file.
type RulesFile struct {
	Version Version
	Text    string
}

func (Digest) message()         {}
func (VouchAsk) message()       {}
func (Vouch) message()          {}
func (PromiseAsk) message()     {}
func (Promise) message()        {}
func (BorrowAsk) message()      {}
func (BorrowRefusal) message()  {}
func (TransferSent) message()   {}
func (TransferAck) message()    {}
func (DebtAsk) message()        {}
func (DebtPaid) message()       {}
func (PermitAsk) message()      {}
func (PermitGiven) message()    {}
func (PermitRefused) message()  {}
func (PermitConfirm) message()  {}
func (PermitRelease) message()  {}
func (PermitReleased) message() {}
func (RulesAsk) message()       {}
func (RulesFile) message()      {}
