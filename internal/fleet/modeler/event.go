package modeler

import "time"

// Event is an input of the control goroutine.
type Event interface{ event() }

// Topic identifies a topic of the store.
type Topic uint8

// Topics of the store.
const (
	Operators Topic = iota
	Endpoints
	Nodes
)

// String implements fmt.Stringer.
func (t Topic) String() string { return [...]string{"Operators", "Endpoints", "Nodes"}[t] }

type (
	// ConfigurationChanged carries a configuration of the operators.
	ConfigurationChanged struct{ Configuration Configuration }
	// DataCentreChanged reports that operators took a data centre out of service or put it back.
	DataCentreChanged struct {
		DataCentre DataCentreID
		Out        bool
		Offset     Position
	}
	// EndpointChanged carries the entry of an endpoint.
	EndpointChanged struct {
		Endpoint Endpoint
		// ColdFor is the remaining time of the endpoint's cold start.
		ColdFor time.Duration
		Offset  Position
	}
	// EndpointRemoved reports that an endpoint no longer has a usable entry.
	EndpointRemoved struct {
		ID     EndpointID
		Offset Position
		// Unreadable is set if the entry exists but cannot be used.
		Unreadable bool
	}
	// EndpointsDropped carries the entries that were removed last, as they were before. It comes before the first TopicListed of a process.
	EndpointsDropped struct{ Entries []EndpointChanged }
	// NodeRegistered carries the registration of a node. Again is set if it was read after the store has come back from a copy, in which registrations may
	// be older than what is known.
	NodeRegistered struct {
		Node  Node
		Again bool
	}
	// SelfRegistered reports that the registration of this node was written to the store.
	SelfRegistered struct{ Rank Position }
	// ListingBegan begins a listing of a topic, before the events for the newest record of each key. End is the end of the topic when the listing began.
	ListingBegan struct {
		Topic Topic
		End   Position
	}
	// TopicListed ends a listing of a topic, after the events for the newest record of each key. A key that is not in Keys was deleted,
	// unless it has a record with an offset of End or higher.
	TopicListed struct {
		Topic Topic
		Keys  map[string]bool
		// End is the end offset of the topic when the listing began.
		End Position
	}
	// TopicRead reports that all records before Next were read, and that there were no later records at the time ConfirmedAt. ConfirmedAt is zero if there
	// were: the response held only a part of the records before End.
	TopicRead struct {
		Topic       Topic
		Next, End   Position
		ConfirmedAt time.Time
		// Records are the records that were read. It must not be modified.
		Records []Record
		// Listed is set if Records holds the newest record of each key. FromPeer is set if another node read the records.
		Listed, FromPeer bool
	}
	// TopicFailed reports that a call to the store failed. StartedAt is the start of the call. The failure is noticed up to its time limit later, when
	// the store may respond again.
	TopicFailed struct {
		Topic     Topic
		Reason    string
		StartedAt time.Time
	}
	// StoreRestored reports that a response of the store has named a new era: the store has come back from a copy, and what was written since then is
	// gone. It also comes for the first response to this process.
	StoreRestored struct{ Era int64 }
	// QuarantinesRead carries the quarantines that the store holds.
	QuarantinesRead struct{ Suspects []Suspect }

	// PlacementRequested asks for the placement of a request. The result is a Reply with a Decision.
	PlacementRequested struct{ Request Request }
	// ExplainRequested asks where a request would go. The result is an Explained effect with the same ID.
	ExplainRequested struct {
		ID      uint64
		Request Request
	}
	// AttemptStarted reports that the first event of a response was received.
	AttemptStarted struct{ ID RequestID }
	// AttemptSilent reports that an attempt has received nothing for too long. The attempt continues until the request is placed elsewhere.
	AttemptSilent struct{ ID RequestID }
	// AttemptEnded reports the outcome of an attempt.
	AttemptEnded struct {
		ID      RequestID
		Outcome Outcome
		// FaultyEngine is the engine that the endpoint named as the cause of a refusal; empty if the endpoint itself is the cause.
		FaultyEngine EndpointID
		// Succeeded is set if the endpoint sent a whole success that stated its own end. A caller error does not show that the endpoint ran the
		// request, and an answer that ends with its connection may be one that the end of the endpoint cut off.
		Succeeded bool
		// Tokens is the number of tokens of the answer that were received.
		Tokens Tokens
	}
	// EndpointResponded reports what an endpoint has said about the requests that it takes in a response to a request that was sent at SentAt. It is
	// left out for responses that say nothing, unless the endpoint has named a limit before.
	EndpointResponded struct {
		Endpoint Endpoint
		Notice   EndpointNotice
		SentAt   time.Time
	}
	// EngineReported reports what an engine works on: the requests that run or wait there, and the memory that they use.
	EngineReported struct {
		Engine   Endpoint
		Requests int
		Memory   Tokens
	}
	// PlacementCancelled reports that the caller of Place has given up, so that the Decision is not needed.
	PlacementCancelled struct{ ID RequestID }

	// PeerReceived carries a message from another node.
	PeerReceived struct{ Message Message }
	// LeaveRequested reports that this node is shutting down. Callers may use its address until AddressUntil, and at StopAt it cuts off the
	// requests that are still running.
	LeaveRequested struct{ AddressUntil, StopAt time.Time }
)

func (ConfigurationChanged) event() {}
func (DataCentreChanged) event()    {}
func (EndpointChanged) event()      {}
func (EndpointRemoved) event()      {}
func (EndpointsDropped) event()     {}
func (NodeRegistered) event()       {}
func (SelfRegistered) event()       {}
func (ListingBegan) event()         {}
func (TopicListed) event()          {}
func (TopicRead) event()            {}
func (TopicFailed) event()          {}
func (StoreRestored) event()        {}
func (QuarantinesRead) event()      {}
func (PlacementRequested) event()   {}
func (ExplainRequested) event()     {}
func (AttemptStarted) event()       {}
func (AttemptSilent) event()        {}
func (AttemptEnded) event()         {}
func (EndpointResponded) event()    {}
func (EngineReported) event()       {}
func (PlacementCancelled) event()   {}
func (PeerReceived) event()         {}
func (LeaveRequested) event()       {}

// Outcome is the result of an attempt on an endpoint.
type Outcome uint8

// Outcomes of attempts.
const (
	// Answered means that the endpoint sent a complete response that is a success or a caller error.
	Answered Outcome = iota
	// Abandoned means that the caller disconnected or the deadline passed. It does not affect the endpoint's health.
	Abandoned
	// Failed means that the endpoint responded with a server error.
	Failed
	// Shed means that the endpoint refused the request and did not run it.
	Shed
	// Misdirected means that a different endpoint has the address.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Broken means that the connection broke after the request was sent.
	Broken
	// Silent means that nothing was received in time.
	Silent
	// Garbled means that the received data is not a valid response to this request.
	Garbled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"Answered", "Abandoned", "Failed", "Shed", "Misdirected", "Unreachable", "Broken", "Silent", "Garbled"}[o]
}

// Effect is an output of the control goroutine that an I/O worker carries out.
type Effect interface{ effect() }

type (
	// Reply returns the decision on a PlacementRequested event to the goroutine that waits for it.
	Reply struct {
		ID       RequestID
		Decision Decision
	}
	// Explained returns an explanation to the goroutine that waits for it.
	Explained struct {
		ID          uint64
		Explanation Explanation
	}
	// Send sends a message to another node.
	Send struct {
		To      Node
		Message Message
	}
	// Fetch reads a topic starting at an offset. It results in the events of the records, then TopicRead or TopicFailed. A node that has
	// not read the topic before lists the newest record of each key instead.
	Fetch struct {
		Topic Topic
		From  Position
		// Wait is how long the store may wait for new records before it returns none.
		Wait time.Duration
		// Newest requests the newest record of each key instead of all records from From on.
		Newest bool
	}
	// Deliver passes the newest record of each key of a topic, as read by another node, to the follower of the topic. It results in the same
	// events as a Fetch that lists these records.
	Deliver struct {
		Topic       Topic
		Page        Page
		ConfirmedAt time.Time
	}
	// SendState sends the operators' records to another node, packed as the difference from Base if the receiver holds it.
	SendState struct {
		To    Node
		State OperatorState
		// Base is the zero value if the sender does not know which records the receiver holds.
		Base OperatorState
		// ConfirmedAt is when the sender last confirmed that there were no later records.
		ConfirmedAt time.Time
	}
	// UnpackState unpacks the operators' records that another node has sent and passes them to the follower of the topic, as a Deliver does.
	UnpackState struct {
		State  StateID
		Base   OperatorState
		Next   Position
		Packed []byte
		// ConfirmedAt is when the sender last confirmed that there were no later records.
		ConfirmedAt time.Time
	}
	// SaveQuarantine writes a quarantine to the store, where it outlives all nodes. Until is its end.
	SaveQuarantine struct {
		Suspect Suspect
		Until   time.Time
	}
	// DeleteQuarantine removes a quarantine from the store.
	DeleteQuarantine struct{ Fingerprint Fingerprint }
	// FetchQuarantines reads the quarantines in the store. It results in QuarantinesRead once the store responds.
	FetchQuarantines struct{}
	// RegisterAgain writes this node's registration to the store again if it is not there any more. It results in NodeRegistered for the others.
	RegisterAgain struct{}
	// AskEngines asks engines what they work on. It results in EngineReported for each one that answers.
	AskEngines struct{ Engines []Endpoint }
	// LogEvent is one line for the log.
	LogEvent struct {
		Name    LogEventName
		Request RequestID
		Fields  []LogField
	}
)

// LogField is a key and value of a log event.
type LogField struct {
	Key   string
	Value any
}

func (Reply) effect()            {}
func (Explained) effect()        {}
func (Send) effect()             {}
func (Fetch) effect()            {}
func (Deliver) effect()          {}
func (SendState) effect()        {}
func (UnpackState) effect()      {}
func (SaveQuarantine) effect()   {}
func (DeleteQuarantine) effect() {}
func (FetchQuarantines) effect() {}
func (RegisterAgain) effect()    {}
func (AskEngines) effect()       {}
func (LogEvent) effect()         {}
