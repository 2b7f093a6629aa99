package modeler

import "time"

// Message is a message between nodes. Because clocks differ, times are encoded relative to the time of sending, and decoded relative to the
// time of receipt.
type Message struct {
	From NodeID
	// Incarnation is that of the sender's process. Messages of an earlier process do not show that the node is alive.
	Incarnation uint64
	Body        MessageBody
}

// MessageBody is the content of a message.
type MessageBody interface{ messageBody() }

type (
	// Ask asks the coordinator to place a request.
	Ask struct{ Request Request }
	// Queued informs the sender of an Ask that the request is queued at the coordinator.
	Queued struct{ ID RequestID }
	// Granted is the decision on an Ask.
	Granted struct {
		ID       RequestID
		Decision Decision
	}
	// Started reports that the first event of an attempt was received.
	Started struct{ ID RequestID }
	// Ended reports the outcome of an attempt. If ID is empty, the attempt is still in progress and only the endpoint's health is reported.
	Ended struct {
		ID          RequestID
		Endpoint    EndpointID
		Outcome     Outcome
		Fingerprint Fingerprint
		// SharedParts, Age and Survived are set if the attempt shows something about the shared parts of its prompt: it broke, or Survived is set.
		SharedParts []Fingerprint
		// Age is the time since the attempt was placed.
		Age time.Duration
		// Survived is set if the endpoint sent a whole success, or ran on for a while after the first event.
		Survived bool
		// ProcessEndedAt is set if the attempt broke: its end on the clock of the sender's process, see World.ProcessTime. Nodes of an earlier version
		// leave it out.
		ProcessEndedAt time.Duration
		// Succeeded is set if the endpoint sent a whole success that stated its own end, and Tokens is the number of tokens of the answer that were
		// received.
		Succeeded bool
		Tokens    Tokens
	}
	// Beat is a heartbeat: the node's registration data, the requests that it runs, and its read positions in the store.
	Beat struct {
		Node Node
		// Coordinates is set if the sender coordinates placement for all nodes.
		Coordinates bool
		Running     []Assignment
		// Part is that of the requests which Running holds: all running ones of the sender in it. The zero value stands for all requests.
		Part RequestPart
		// ReadPositions holds the sender's read positions in the topics Operators and Endpoints.
		ReadPositions [2]ReadPosition
		// ReadsForAll is set if the sender reads the store itself and distributes the changes to all nodes.
		ReadsForAll bool
		// Holds identifies the operators' records that the sender holds.
		Holds StateID
		// HoldsVersion is the Version of that state.
		HoldsVersion int64
		// Suspects holds the fingerprints that the sender knows, and Terms those of endpoints, while the coordinator is new.
		Suspects []Suspect
		Terms    []ReportedTerms
	}
	// StatePiece is one of Count pieces of a packed OperatorState. Age is the time since the sender last confirmed that there were no later records.
	StatePiece struct {
		State StateID
		// Base identifies the records that the receiver must hold to unpack the state. It is zero if the state is packed as a whole.
		Base    StateID
		Next    Position
		Version int64
		Age     time.Duration
		Index   int
		Count   int
		Data    []byte
	}
	// EndpointChanges distributes all changes of endpoints between the offsets From (inclusive) and Next (exclusive).
	EndpointChanges struct {
		From, Next Position
		Changes    []EndpointChange
	}
	// Digest is the coordinator's summary of the fleet.
	Digest struct {
		// Alive holds some of the live nodes. AliveRanks holds all live nodes that are registered.
		Alive      []ReportedNode
		AliveRanks []ReportedRank
		// Loads holds the loads of the busiest endpoints.
		Loads map[EndpointID]LoadSummary
		// Suspects holds the fingerprints that are quarantined, and those that may be soon. SuspectsPartial is set if it leaves out some of the latter.
		Suspects        []Suspect
		SuspectsPartial bool
		// Terms holds the terms of endpoints that name a limit, have done so lately or are leaving.
		Terms []ReportedTerms
		// Costs holds what the sender has learned of the routes' requests.
		Costs []CostSummary
	}
	// ReportedNode is a node in a digest. Age is the time since a node has received the last message from it.
	ReportedNode struct {
		Node Node
		Age  time.Duration
	}
	// ReportedRank is the rank of a node in a digest. Age is that of a ReportedNode.
	ReportedRank struct {
		Rank Position
		Age  time.Duration
	}
	// TermsReport tells the node that places requests what endpoints have said to the sender.
	TermsReport struct{ Terms []ReportedTerms }
)

func (Ask) messageBody()             {}
func (Queued) messageBody()          {}
func (Granted) messageBody()         {}
func (Started) messageBody()         {}
func (Ended) messageBody()           {}
func (Beat) messageBody()            {}
func (EndpointChanges) messageBody() {}
func (StatePiece) messageBody()      {}
func (Digest) messageBody()          {}
func (TermsReport) messageBody()     {}

// ReadPosition is a node's read position in a topic.
type ReadPosition struct {
	// End is the offset before which all records are known. LastChangeEnd is the offset after the last record that changed anything.
	End, LastChangeEnd Position
	// Age is the time since the node last confirmed that End was the end of the topic.
	Age time.Duration
}

// EndpointChange is an endpoint's record as read by another node.
type EndpointChange struct {
	Endpoint            Endpoint
	ColdFor             time.Duration
	Offset              Position
	Removed, Unreadable bool
}

// Event returns the change as the event that reading the record from the store would cause.
func (c EndpointChange) Event() Event {
	if c.Removed {
		return EndpointRemoved{ID: c.Endpoint.ID, Offset: c.Offset, Unreadable: c.Unreadable}
	}
	return EndpointChanged{Endpoint: c.Endpoint, ColdFor: c.ColdFor, Offset: c.Offset}
}

// Forwarded is a request whose placement was forwarded to another node.
type Forwarded struct {
	Request Request
	// To is the node that is asked: the coordinator, or its deputy while the coordinator does not respond.
	To NodeID
	// AskedAt is when the last Ask was sent to it; zero before the first one.
	AskedAt time.Time
	// AnsweredAt is when it last responded, or when it was chosen.
	AnsweredAt time.Time
	// Queued is set once it has reported the request as queued.
	Queued bool
}

// WithAsked returns the entry with AskedAt set.
func (f Forwarded) WithAsked(at time.Time) Forwarded {
	f.AskedAt = at
	return f
}

// WithQueued returns the entry after the asked node reported the request as queued.
func (f Forwarded) WithQueued(at time.Time) Forwarded {
	f.AnsweredAt, f.Queued = at, true
	return f
}

// Waiting is a request in this node's queue. It is placed as soon as an endpoint has capacity.
type Waiting struct {
	Request Request
	// Since is when the request was queued.
	Since time.Time
	// Local is set if no other node is asked for the placement any more.
	Local bool
}
