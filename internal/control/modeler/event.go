package modeler

import "time"

// Event is an input of the control goroutine.
type Event interface{ event() }

// RequestArrived requests a decision about a new request.
type RequestArrived struct{ Request Request }

// RetryRequested requests another attempt for a running request.
type RetryRequested struct {
	Request RequestID
	// Delivered counts the output tokens that the caller has already received.
	Delivered Tokens
	// Died is set when the connection to the endpoint broke or could not be made. NotSent is set when no byte was sent to the
	// endpoint.
	Died    bool
	NotSent bool
}

// RequestEnded reports that a request has ended, whether it succeeded, failed or was cancelled.
type RequestEnded struct {
	Request RequestID
	// Completed is set when the caller received the complete answer.
	Completed bool
}

// AttemptConfirmed reports that the response header of an attempt has arrived.
type AttemptConfirmed struct {
	Attempt AttemptID
	BootID  string
	// Cold is set when the header states that the endpoint is in cold start.
	Cold bool
}

// FirstTokenSeen reports the first token of an attempt: its prompt has been processed.
type FirstTokenSeen struct{ Attempt AttemptID }

// PeerReceived carries the messages of one batch from a node.
type PeerReceived struct {
	From     Sender
	Messages []Message
}

// PeerAnswered carries the answer to a batch that this node sent at SentAt.
type PeerAnswered struct {
	From     Sender
	SentAt   time.Time
	Messages []Message
}

// PeerFailed reports that a batch was not answered. The node may have received its messages.
type PeerFailed struct {
	To       NodeID
	Messages []Message
}

// RecordsRead carries records of a log stream in offset order.
type RecordsRead struct {
	Stream  Stream
	Records []Record
	// AskedAt is when the read was sent. AtEnd is set when the read reached the end of the stream.
	AskedAt time.Time
	AtEnd   bool
	// Skipped is set when the log dropped records that the reader had not read yet, before the first record of this read.
	Skipped bool
}

// RecordApplied is raised by the detector for the records of the control stream, in offset order. It is not raised for a record that
// the detector finds without effect, such as a Minted or HoldClaimed record of a node that had left or been reclaimed at the record's
// offset. Later systems may still ignore the record.
type RecordApplied struct {
	Record Record
	// UsableAt is the time from which the node that is credited by a NodeReclaim, NodeDeparted or NodeRegistered record may use the
	// credited balances.
	UsableAt time.Time
}

// AppendEnded reports the result of an append. When Failed is set, the record may be in the log or may still be appended, unless
// NotAppended is set too.
type AppendEnded struct {
	Stream Stream
	Record any
	Offset int64
	Failed bool
	// NotAppended is set when the record was not appended and never will be.
	NotAppended bool
}

// LogFailed reports that a read of the log failed.
type LogFailed struct{ Stream Stream }

// EndpointsListed replaces the set of endpoints that come from the settings and the instance list.
type EndpointsListed struct{ Endpoints []Endpoint }

// EndpointReported carries an endpoint's report of its running attempts.
type EndpointReported struct {
	Endpoint EndpointID
	BootID   string
	// Attempts lists the running attempts.
	Attempts []RunningAttempt
	// TakenAt is when the report was requested.
	TakenAt time.Time
}

// EndpointUnreachable reports that an endpoint did not answer several consecutive requests for a report.
type EndpointUnreachable struct{ Endpoint EndpointID }

// RunningAttempt is an attempt that an endpoint runs.
type RunningAttempt struct {
	Attempt AttemptID
	// Node is the node that sent the attempt.
	Node NodeID
	// Tokens is the memory that the attempt holds.
	Tokens Tokens
}

// CallArrived requests a decision whether a non-idempotent call may run. See docs/design.md, section 8.4.
type CallArrived struct {
	Call Call
}

// CallEnded reports the outcome of a call that ran, or that the call was never sent.
type CallEnded struct {
	Call    Call
	Outcome CallOutcome
}

// StopRequested requests a graceful shutdown.
type StopRequested struct{}

func (RequestArrived) event()      {}
func (RetryRequested) event()      {}
func (RequestEnded) event()        {}
func (AttemptConfirmed) event()    {}
func (FirstTokenSeen) event()      {}
func (PeerReceived) event()        {}
func (PeerAnswered) event()        {}
func (PeerFailed) event()          {}
func (RecordsRead) event()         {}
func (RecordApplied) event()       {}
func (AppendEnded) event()         {}
func (LogFailed) event()           {}
func (EndpointsListed) event()     {}
func (EndpointReported) event()    {}
func (EndpointUnreachable) event() {}
func (CallArrived) event()         {}
func (CallEnded) event()           {}
func (StopRequested) event()       {}
