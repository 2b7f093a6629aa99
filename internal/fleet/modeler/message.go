package modeler

import "time"

// Message is what nodes tell each other. Times are relative to the sending or receipt of the message, since clocks differ.
type Message struct {
	From NodeID
	// Incarnation is that of the sender.
	Incarnation uint64
	Body        MessageBody
}

// MessageBody is the content of a message.
type MessageBody interface{ messageBody() }

type (
	// Ask asks the coordinator for a place.
	Ask struct{ Request Request }
	// Queued says that the request waits for a place.
	Queued struct{ ID RequestID }
	// Granted answers Ask.
	Granted struct {
		ID       RequestID
		Decision Decision
	}
	// Started says that the first event of an attempt came.
	Started struct{ ID RequestID }
	// Ended says how an attempt ended. Without an id it only says what an attempt that goes on found out about the endpoint.
	Ended struct {
		ID          RequestID
		Endpoint    EndpointID
		Outcome     Outcome
		Fingerprint Fingerprint
	}
	// Beat says that a node lives and what runs there.
	Beat struct {
		Node Node
		// Coordinates is set if the sender places requests for others.
		Coordinates bool
		Running     []Assignment
		// Known says what the sender knows of Operators and Endpoints.
		Known [2]Known
		// ReadsForAll is set if the sender has read the store itself and tells all others.
		ReadsForAll bool
	}
	// OperatorState passes on everything that operators have written: the newest record of each key before Next. Age is how long ago the
	// sender knew that nothing followed.
	OperatorState struct {
		Records []Record
		Next    int64
		Age     time.Duration
	}
	// EndpointNews passes on changes of endpoints: all that is new between two offsets.
	EndpointNews struct {
		From, Next int64
		Changes    []EndpointChange
	}
	// Digest is what the coordinator knows.
	Digest struct {
		// Alive are some of the nodes that the coordinator hears, and AliveRanks the ranks of all that have one.
		Alive      []Node
		AliveRanks []int64
		// Loads are those of the busiest endpoints.
		Loads       map[EndpointID]LoadSummary
		Quarantined []Fingerprint
	}
)

func (Ask) messageBody()           {}
func (Queued) messageBody()        {}
func (Granted) messageBody()       {}
func (Started) messageBody()       {}
func (Ended) messageBody()         {}
func (Beat) messageBody()          {}
func (EndpointNews) messageBody()  {}
func (OperatorState) messageBody() {}
func (Digest) messageBody()        {}

// Known says how far and how recently a node knows a topic.
type Known struct {
	// End is the offset up to which everything is known, and Material the end of the last record that changed something.
	End, Material int64
	// Age is how long ago that was current.
	Age time.Duration
}

// EndpointChange is a record of an endpoint as another node has read it.
type EndpointChange struct {
	Endpoint            Endpoint
	ColdFor             time.Duration
	Offset              int64
	Removed, Unreadable bool
}

// Event returns the change as an event of the store.
func (c EndpointChange) Event() Event {
	if c.Removed {
		return EndpointRemoved{ID: c.Endpoint.ID, Offset: c.Offset, Unreadable: c.Unreadable}
	}
	return EndpointChanged{Endpoint: c.Endpoint, ColdFor: c.ColdFor, Offset: c.Offset}
}

// Forwarded is the row of a request whose place another node decides.
type Forwarded struct {
	Request Request
	// AskedAt is when the last Ask was sent.
	AskedAt time.Time
	// AnsweredAt is when the coordinator last said something about it, or when it was first asked.
	AnsweredAt time.Time
	// Waiting is set once the coordinator said that the request waits.
	Waiting bool
}

// WithAsked returns the row after an Ask was sent.
func (f Forwarded) WithAsked(at time.Time) Forwarded {
	f.AskedAt = at
	return f
}

// WithWaiting returns the row after the coordinator said that the request waits.
func (f Forwarded) WithWaiting(at time.Time) Forwarded {
	f.AnsweredAt, f.Waiting = at, true
	return f
}

// Waiting is the row of a request that this node places as soon as an endpoint fits.
type Waiting struct {
	Request Request
	// Since is when the row was made.
	Since time.Time
}

// Strikes counts the endpoints that broke off a request with this fingerprint.
type Strikes struct {
	Count int
	// At is the time of the last one.
	At time.Time
}

// WithStrike returns the row after one more broken attempt.
func (s Strikes) WithStrike(at time.Time) Strikes { return Strikes{Count: s.Count + 1, At: at} }

const (
	// strikeLimit is the number of endpoints that one request may break off before it is refused.
	strikeLimit = 3
	// quarantineTime is how long it is refused.
	quarantineTime = time.Minute
)

// Quarantined tells whether requests with this fingerprint are refused.
func (s Strikes) Quarantined(now time.Time) bool {
	return s.Count >= strikeLimit && now.Sub(s.At) < quarantineTime
}

// WithQuarantine returns the row of a fingerprint that another node refuses.
func (s Strikes) WithQuarantine(at time.Time) Strikes {
	return Strikes{Count: max(s.Count, strikeLimit), At: at}
}
