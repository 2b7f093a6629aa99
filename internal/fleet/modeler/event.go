package modeler

import "time"

// Event is a fact that reaches the control goroutine.
type Event interface{ event() }

// Topic names what is followed in the store.
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
	// ConfigurationChanged brings the operators' configuration.
	ConfigurationChanged struct{ Configuration Configuration }
	// DataCentreChanged says whether operators have taken a data centre out of service.
	DataCentreChanged struct {
		DataCentre DataCentreID
		Out        bool
		Offset     int64
	}
	// EndpointChanged brings the entry of an endpoint.
	EndpointChanged struct {
		Endpoint Endpoint
		// ColdFor is how long the endpoint stays cold.
		ColdFor time.Duration
		Offset  int64
	}
	// EndpointRemoved says that an endpoint has no entry any more.
	EndpointRemoved struct {
		ID     EndpointID
		Offset int64
		// Unreadable is set if there is an entry that cannot be used.
		Unreadable bool
	}
	// NodeRegistered brings the registration of a node.
	NodeRegistered struct{ Node Node }
	// SelfRegistered says that the store has taken the registration of this node.
	SelfRegistered struct{ Rank int64 }
	// TopicListed follows the newest records of a topic: keys that were not among them since Since do not exist any more.
	TopicListed struct {
		Topic Topic
		Keys  map[string]bool
		// End is the end of the topic when the listing began.
		End int64
	}
	// TopicRead says that everything before Next was read, and that nothing followed it at the time Current.
	TopicRead struct {
		Topic   Topic
		Next    int64
		Current time.Time
		// Records are those that were read. It must not be changed.
		Records []Record
		// Listed is set if Records are the newest ones of all keys, Told if another node has read them.
		Listed, Told bool
	}
	// TopicFailed says that a call to the store failed.
	TopicFailed struct {
		Topic  Topic
		Reason string
	}

	// PlaceAsked asks for a place; the answer is a Decision.
	PlaceAsked struct{ Request Request }
	// AttemptStarted says that the first event of an answer came.
	AttemptStarted struct{ ID RequestID }
	// AttemptSilent says that an attempt has been silent for too long. It goes on until there is another place.
	AttemptSilent struct{ ID RequestID }
	// AttemptEnded says how an attempt ended.
	AttemptEnded struct {
		ID      RequestID
		Outcome Outcome
		// Fault is the engine that the endpoint blamed for a refusal; empty if it is the endpoint itself.
		Fault EndpointID
	}
	// PlaceCancelled says that nobody waits for a place any more.
	PlaceCancelled struct{ ID RequestID }

	// PeerReceived brings a message of another node.
	PeerReceived struct{ Message Message }
	// LeaveAsked says that this node stops.
	LeaveAsked struct{}
)

func (ConfigurationChanged) event() {}
func (DataCentreChanged) event()    {}
func (EndpointChanged) event()      {}
func (EndpointRemoved) event()      {}
func (NodeRegistered) event()       {}
func (SelfRegistered) event()       {}
func (TopicListed) event()          {}
func (TopicRead) event()            {}
func (TopicFailed) event()          {}
func (PlaceAsked) event()           {}
func (AttemptStarted) event()       {}
func (AttemptSilent) event()        {}
func (AttemptEnded) event()         {}
func (PlaceCancelled) event()       {}
func (PeerReceived) event()         {}
func (LeaveAsked) event()           {}

// Outcome says how an attempt at an endpoint ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Answered: the endpoint gave a whole answer that is a success or the caller's fault.
	Answered Outcome = iota
	// Abandoned: the caller left or the time was over; it says nothing about the endpoint.
	Abandoned
	// Failed: the endpoint answered with a failure.
	Failed
	// Shed: the endpoint refused and did not run the request.
	Shed
	// Misdirected: another endpoint has the address.
	Misdirected
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection broke after the request was sent.
	Broken
	// Silent: nothing came in time.
	Silent
	// Garbled: what came is no answer to this request.
	Garbled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"Answered", "Abandoned", "Failed", "Shed", "Misdirected", "Unreachable", "Broken", "Silent", "Garbled"}[o]
}

// Effect is something that an I/O worker carries out.
type Effect interface{ effect() }

type (
	// Reply answers PlaceAsked.
	Reply struct {
		ID       RequestID
		Decision Decision
	}
	// Send hands a message to another node.
	Send struct {
		To      Node
		Message Message
	}
	// Fetch reads a topic from an offset on. It is answered by events of the records, then TopicRead or TopicFailed. A node that has not
	// read the topic before lists its newest records instead.
	Fetch struct {
		Topic Topic
		From  int64
		Wait  time.Duration
	}
	// Deliver hands over the newest records of all keys of a topic as another node has read them. It is answered like a Fetch.
	Deliver struct {
		Topic   Topic
		Page    Page
		Current time.Time
	}
	// Note is a line of the log.
	Note struct {
		Name    NoteName
		Request RequestID
		Fields  []Field
	}
)

// Field is a key and its value in a line of the log.
type Field struct {
	Key   string
	Value any
}

func (Reply) effect()   {}
func (Send) effect()    {}
func (Fetch) effect()   {}
func (Deliver) effect() {}
func (Note) effect()    {}
