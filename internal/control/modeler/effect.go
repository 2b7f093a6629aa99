package modeler

import "time"

// Effect is an action that a tick requests. The control loop carries out those that answer waiting goroutines, the executor all
// others.
type Effect interface{ effect() }

// Reply delivers the decision about a request to the goroutine that waits for it.
type Reply struct {
	Request  RequestID
	Decision Decision
}

// ReplyCall delivers the decision about a non-idempotent call to the goroutine that waits for it.
type ReplyCall struct {
	Attempt  AttemptID
	Decision CallDecision
}

// SendPeer sends a batch of messages to a node.
type SendPeer struct {
	To       NodeID
	Address  string
	Messages []Message
}

// AppendRecord appends a record to a log stream. The result arrives as AppendEnded.
type AppendRecord struct {
	Stream Stream
	Record any
}

// CancelAttempt tells an engine to stop an attempt and free its memory.
type CancelAttempt struct {
	Endpoint EndpointID
	Address  string
	Attempt  AttemptID
	Term     Term
}

// RequestReport immediately requests a report of the running attempts from an engine. The report arrives as EndpointReported. A failed
// request causes no event; the observer's periodic requests find unreachable endpoints.
type RequestReport struct{ Endpoint Endpoint }

func (Reply) effect()         {}
func (ReplyCall) effect()     {}
func (SendPeer) effect()      {}
func (AppendRecord) effect()  {}
func (CancelAttempt) effect() {}
func (RequestReport) effect() {}

// Run states whether a refused request or call may have been executed.
type Run uint8

// Run values.
const (
	// NotRun means that no byte was sent to an endpoint.
	NotRun Run = iota
	// Unknown means that the request or call may have been executed.
	Unknown
)

// String returns the value used in refusals.
func (r Run) String() string {
	if r == NotRun {
		return "NotRun"
	}
	return "Unknown"
}

// Code is the stable code of a refusal.
type Code string

// Refusal codes.
const (
	CodeUnknownModel       Code = "UnknownModel"
	CodeUnknownService     Code = "UnknownService"
	CodePromptTooLong      Code = "PromptTooLong"
	CodeShareExceeded      Code = "ShareExceeded"
	CodeShareExhausted     Code = "ShareExhausted"
	CodeOverloaded         Code = "Overloaded"
	CodeNoEndpoint         Code = "NoEndpoint"
	CodeDeadlineExceeded   Code = "DeadlineExceeded"
	CodeEndpointFailed     Code = "EndpointFailed"
	CodeRequestQuarantined Code = "RequestQuarantined"
	CodeNodeFenced         Code = "NodeFenced"
	CodeStopping           Code = "Stopping"
	CodeLogUnavailable     Code = "LogUnavailable"
	CodeKeyMissing         Code = "KeyMissing"
	CodeKeyInvalid         Code = "KeyInvalid"
	CodeKeyExpired         Code = "KeyExpired"
	CodeKeyReused          Code = "KeyReused"
	CodeCallInProgress     Code = "CallInProgress"
	CodeOutcomeUnknown     Code = "OutcomeUnknown"
)

// Refusal explains to a caller why its request was not served.
type Refusal struct {
	Code    Code
	Message string
	Run     Run
	// RetryAfter is the suggested delay before a retry. It is zero when a retry does not help.
	RetryAfter time.Duration
}

// Decision is the answer to RequestArrived and RetryRequested. Exactly one of Grant and Refusal is set.
type Decision struct {
	Grant   *Grant
	Refusal *Refusal
}

// Grant permits the goroutine that serves the request to run one attempt. It is made from the permit
// that the endpoint's holder gave in a PermitGiven.
type Grant struct {
	Attempt  AttemptID
	Endpoint EndpointID
	Address  string
	Term     Term
	// Priority is higher for more urgent requests. Engines serve higher values first.
	Priority int
	// Deadline is the time by which the request must end.
	Deadline time.Time
	// PermitAt is when the permit was obtained. If the attempt is not sent within FenceTimeout of it, a new permit is needed.
	PermitAt time.Time
}
