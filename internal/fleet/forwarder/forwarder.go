// Package forwarder forwards callers' requests to endpoints: it asks the control state for a placement, sends the request, retries it where
// that is allowed, and reports whether it ran. It does not depend on a front end; the answer is written to a Sink.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Control is the forwarder's interface to the control state, which decides on placements.
type Control interface {
	// Place returns a plan for the request or a refusal. A plan occupies its endpoints until an AttemptEnded event with the request's ID is
	// posted, even if the request is not sent. If Place returns an error, the placement was cancelled and no such event is needed.
	Place(ctx context.Context, request modeler.Request) (modeler.Decision, error)
	Post(event modeler.Event)
	Snapshot() *modeler.Snapshot
}

// Protocol encodes the header of an attempt and decodes the header of an answer.
type Protocol interface {
	AttemptHeader(caller http.Header, attempt modeler.AttemptFields) http.Header
	ResponseFields(status int, header http.Header) modeler.ResponseFields
}

// Sink receives the answer to the caller.
type Sink interface {
	// Begin sends the status and the header. length is the size of the body in bytes, or -1 if it is not known, as for a stream.
	Begin(status int, header http.Header, length int) error
	Write(data []byte) (int, error)
	Flush() error
}

// Call is a caller's request with the route, service and member that it was matched to.
type Call struct {
	Fields  modeler.RequestFields
	Route   modeler.Route
	Service modeler.Service
	Member  modeler.Member
	// Method, URI, Host, Header and Body are as the caller sent them.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	Arrived           time.Time
	Fingerprint       modeler.Fingerprint
	// SharedParts holds the fingerprints of the parts of the request that others may share: of its prompt, and of a target with another query.
	SharedParts []modeler.Fingerprint
	// Cost is the key by which the cost of the request is predicted.
	Cost estimator.Key
	// Memory is charged for what is held of the answer.
	Memory Memory
}

// Memory is the account of what a request holds.
type Memory interface {
	// Charge sets the bytes that are held for the answer. If it fails, they must not be held. A smaller charge never fails.
	Charge(ctx context.Context, bytes int64) error
}

// Status is the final state of a request. A refusal promises the caller that the request did not run.
type Status uint8

// Final states of requests.
const (
	// Delivered: the endpoint's answer was forwarded.
	Delivered Status = iota
	// Refused: the request did not and will not run.
	Refused
	// Unknown: the request may have run; there is no answer.
	Unknown
	// TimedOut: the request's timeout passed, and the request may have run.
	TimedOut
	// Interrupted: a stream was cut off after its header was sent.
	Interrupted
	// Left: the caller closed its connection.
	Left
	// Stopped: this node has stopped and cut off a stream whose header was sent.
	Stopped
)

// ErrStopping is the cause with which the context of Serve is cancelled when the node stops. The callers of requests whose answer has not begun
// still get an answer.
var ErrStopping = errors.New("the node is stopping")

// String implements fmt.Stringer.
func (s Status) String() string {
	return [...]string{"Delivered", "Refused", "Unknown", "TimedOut", "Interrupted", "Left", "Stopped"}[s]
}

// Result describes how a request ended.
type Result struct {
	Status Status
	// Code is the status of the endpoint's answer, if it was delivered.
	Code   int
	Reason modeler.RefusalReason
	// RetryAfter is set for refusals.
	RetryAfter time.Duration
	// HeaderSent is set once the header of an answer was written to the Sink.
	HeaderSent bool
	Attempts   int
	Endpoint   modeler.EndpointID
	Helpers    int
	// First is the time from arrival to the first event or the whole answer; zero if there was none.
	First time.Duration
	// Pause is the longest interval between two events of a stream.
	Pause time.Duration
	// Last is the outcome of the last attempt.
	Last modeler.Outcome
}

// Forwarder serves calls. It is safe for concurrent use.
type Forwarder struct {
	Control  Control
	Protocol Protocol
	Pool     *dialer.Pool
	Reserver Reserver
	Budget   *limiter.Budget
	Self     modeler.Node
	// Borrows is set if the node that places requests lends retries.
	Borrows bool
	// OnRetry, if set, is called before each retry. attempt is the number of attempts so far, last the outcome of the last one, and
	// endpoint the endpoint that it was sent to.
	OnRetry func(call Call, attempt int, last modeler.Outcome, endpoint modeler.EndpointID)
	// OnInvalidAnswer, if set, is called for each invalid answer of an endpoint.
	OnInvalidAnswer func(answer InvalidAnswer)
}

const (
	// Callers wait for the next event of a stream for the longest of minStreamWait, streamWaitTargets times the route's target and
	// streamWaitGaps times its gap target. The platform specifies these figures for its callers.
	minStreamWait     = 2 * time.Second
	streamWaitTargets = 4
	streamWaitGaps    = 8
	// maxReached bounds the attempts of one request that may have reached an endpoint.
	maxReached = 4
	// maxAttempts bounds all attempts of one request, including those that fail to connect. It is higher than maxReached because four
	// attempts in a row failed to connect when a third of the endpoints were unreachable.
	maxAttempts = 8
	// minAttemptTime is the shortest time before the deadline in which another attempt may succeed.
	minAttemptTime = 20 * time.Millisecond
	// resumeInterval is the time between two searches for an engine that resumes a stream. A refusal may come at once, for example if the service
	// has left the configuration.
	resumeInterval = 50 * time.Millisecond
	// minResumeTime is the same limit for resuming a stream. It is longer because an engine has to process the prompt again.
	minResumeTime = 150 * time.Millisecond
)

// progress is the state of a call while it is served.
type progress struct {
	call     Call
	deadline time.Time
	tried    []modeler.EndpointID
	// connections holds the connections on which the call was sent. None of them carries it again.
	connections []dialer.ConnID
	// attempts counts all attempts and is limited by maxAttempts. possibleRuns counts those in which the endpoint may have run the request
	// and is limited by the route's MaxRuns. It never exceeds reached, which never exceeds attempts.
	attempts, possibleRuns int
	// sentAt is when the last attempt began.
	sentAt time.Time
	// mayHaveRun is set if the request may have run in an attempt whose answer was not forwarded.
	mayHaveRun bool
	// faultyHelper is the helper that the last refusal named as its cause; empty if the refusing endpoint is the cause itself.
	faultyHelper modeler.EndpointID
	// succeeded is set if the last endpoint sent a whole success that stated its own end.
	succeeded bool
	// failedAnswer is the last answer with a failure status (5xx) that an endpoint sent.
	failedAnswer *answer
	// reached counts the attempts that may have reached an endpoint and is limited by maxReached. countedRetries counts the retries that were
	// counted in the retry budget. The first attempt that reaches an endpoint is no retry.
	reached, countedRetries int
	// borrows is set if the next attempt needs a retry that the node which places requests lends.
	borrows bool
	// nextDecision is the placement that the guard found while the last endpoint was silent. The next attempt uses it, or Serve releases it.
	nextDecision *modeler.Decision
	// lastEventID is the id of the last event that was forwarded, and lastEventAt the time of that event.
	lastEventID string
	lastEventAt time.Time
	// tokens is the number of tokens of the last attempt's answer that were received.
	tokens modeler.Tokens
	// brokeBefore is set once an attempt broke.
	brokeBefore bool
	// longBegun is set once a part of an answer that is no stream was forwarded. No other answer can follow it.
	longBegun bool
	// headerSent is set once the header of an answer was forwarded. streamStatus and streamType are the status and the media type of a stream then.
	headerSent   bool
	streamStatus int
	streamType   string
	result       Result
}

// Serve forwards a call and returns how it ended. The front end has to answer the caller itself, unless the result has HeaderSent set or
// the status Left.
func (f *Forwarder) Serve(ctx context.Context, call Call, sink Sink) Result {
	p := &progress{call: call, deadline: Deadline(call), lastEventID: call.Fields.LastEvent}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	f.Budget.AddRequest(call.Service.ID)
	f.runAttempts(ctx, p, sink)
	if p.nextDecision != nil {
		// Release the placement: the call ended before it was used.
		f.Control.Post(modeler.AttemptEnded{ID: f.request(p).ID, Outcome: modeler.Abandoned})
	}
	if p.failedAnswer != nil && !p.headerSent && !callerLeft(ctx) {
		p.failedAnswer.deliver(p, sink)
	}
	return f.finalResult(ctx, p)
}

// runAttempts sends the call to endpoints until one has answered it or no retry is allowed.
func (f *Forwarder) runAttempts(ctx context.Context, p *progress, sink Sink) {
	for {
		decision, err := f.place(ctx, p)
		if err != nil {
			return
		}
		if decision.Temporary() && p.headerSent && time.Until(f.callerDeadline(p)) > minResumeTime {
			// A stream whose header was sent can no longer be refused with a Retry-After.
			if !wait(ctx, resumeInterval) {
				return
			}
			continue
		}
		if decision.Refused {
			p.result.Reason, p.result.RetryAfter = decision.Reason, decision.RetryAfter
			return
		}
		if time.Now().After(f.callerDeadline(p)) {
			// Release the placement: it came after the caller's deadline.
			f.Control.Post(modeler.AttemptEnded{ID: f.request(p).ID, Outcome: modeler.Abandoned})
			p.result.Reason = modeler.ReasonOverloaded
			return
		}
		outcome := f.attempt(ctx, p, decision.Plan, sink)
		p.result.Last = outcome
		p.brokeBefore = p.brokeBefore || outcome == modeler.Broken
		if outcome == modeler.Answered || outcome == modeler.Abandoned || p.longBegun {
			return
		}
		if p.faultyHelper != "" {
			p.tried = append(p.tried, p.faultyHelper)
		} else {
			p.tried = append(p.tried, decision.Plan.Endpoint.ID)
		}
		if !f.mayRetry(ctx, p) {
			return
		}
		if f.OnRetry != nil {
			f.OnRetry(p.call, p.attempts, outcome, decision.Plan.Endpoint.ID)
		}
	}
}

// wait returns true after a delay, or false when ctx ends before.
func wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// place returns the decision for the next attempt: the one that the guard found during the last attempt, or a new one.
func (f *Forwarder) place(ctx context.Context, p *progress) (modeler.Decision, error) {
	if nextDecision := p.nextDecision; nextDecision != nil {
		p.nextDecision = nil
		return *nextDecision, nil
	}
	return f.Control.Place(ctx, f.request(p))
}

// callerDeadline returns when the caller disconnects if it receives nothing more: at the request's deadline, or earlier for a stream that
// pauses for too long.
func (f *Forwarder) callerDeadline(p *progress) time.Time {
	last := p.call.Arrived
	if !p.lastEventAt.IsZero() {
		last = p.lastEventAt
	}
	if end := last.Add(streamWaitLimit(p.call.Route)); p.call.Route.Kind == modeler.Stream && end.Before(p.deadline) {
		return end
	}
	return p.deadline
}

// Deadline returns the deadline of a call from the shorter of the route's and the caller's timeout.
func Deadline(call Call) time.Time {
	limit := call.Route.Timeout
	if call.Fields.Timeout > 0 && (limit <= 0 || call.Fields.Timeout < limit) {
		limit = call.Fields.Timeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return call.Arrived.Add(limit)
}

// LeavesAt returns when the caller of a call that has just arrived disconnects if it receives nothing.
func LeavesAt(call Call) time.Time {
	f := &Forwarder{}
	return f.callerDeadline(&progress{call: call, deadline: Deadline(call)})
}

// defaultTimeout applies when neither the caller nor the route states a timeout.
const defaultTimeout = 30 * time.Second

// streamWaitLimit returns how long the caller of a stream waits for the next event.
func streamWaitLimit(route modeler.Route) time.Duration {
	return max(minStreamWait, streamWaitTargets*route.Target, streamWaitGaps*route.GapTarget)
}

func (f *Forwarder) request(p *progress) modeler.Request {
	call := p.call
	priority := call.Route.Priority
	if call.Member.HasPriority {
		priority = call.Member.Priority
	}
	request := modeler.Request{
		ID:   modeler.RequestID(string(call.Fields.ID) + "/" + strconv.Itoa(p.attempts) + "/" + strconv.FormatUint(f.Self.Incarnation%1e4, 36)),
		Node: f.Self.ID, Service: call.Service.ID, Kind: call.Route.Kind, Prompt: call.Fields.Prompt, Output: call.Fields.Output,
		Arrived: call.Arrived, Due: call.Arrived.Add(call.Route.Target), Deadline: f.callerDeadline(p), RunsUntil: p.deadline,
		Gap: call.Route.GapTarget, Priority: priority, Fingerprint: call.Fingerprint, SharedParts: call.SharedParts,
		RepeatsBroken: p.brokeBefore && !p.headerSent, Borrows: p.borrows, Cost: call.Cost,
		Tried: p.tried, DataCentre: f.Self.DataCentre,
	}
	if p.headerSent {
		return f.resumeRequest(request, call.Route, p.deadline)
	}
	return request
}

// resumeRequest returns the request for the rest of a stream whose header was sent. Its times count from now: with the original times it
// would count as late at once, and other requests would be placed before it.
func (f *Forwarder) resumeRequest(request modeler.Request, route modeler.Route, deadline time.Time) modeler.Request {
	now := time.Now()
	request.Resumes = true
	request.Arrived, request.Due, request.Deadline = now, now.Add(route.Target), now.Add(streamWaitLimit(route))
	if deadline.Before(request.Deadline) {
		request.Deadline = deadline
	}
	return request
}

// mayRetry reports whether the call may be sent to another endpoint. If so, it counts the retry in the retry budget if that is needed.
func (f *Forwarder) mayRetry(ctx context.Context, p *progress) bool {
	route := p.call.Route
	if ctx.Err() != nil || time.Until(p.deadline) < minAttemptTime || p.attempts >= maxAttempts ||
		p.reached >= maxReached || p.possibleRuns >= route.MaxRuns {
		return false
	}
	if p.mayHaveRun && !route.Repeatable() {
		return false
	}
	if p.countedRetries >= p.reached {
		// Nothing to count: the last attempt reached no endpoint, or the guard counted the retry when it found the placement.
		return true
	}
	if !f.allowRetry(p.call) {
		if !f.Borrows {
			p.result.Reason = modeler.ReasonBudget
			return false
		}
		// The node that places requests lends a retry with the placement, or refuses.
		p.borrows = true
	}
	p.countedRetries++
	return true
}

// allowRetry reports whether this node's part of the retry budget allows a retry, and counts it if so. Each node may use an equal share of the budget's
// slack.
func (f *Forwarder) allowRetry(call Call) bool {
	return f.Budget.TryRetry(call.Service.ID, f.budgetNodes())
}

// mustBorrow reports whether a retry needs one that the node which places requests lends.
func (f *Forwarder) mustBorrow(call Call) bool {
	return f.Borrows && !f.Budget.Allows(call.Service.ID, f.budgetNodes())
}

// budgetNodes returns the number of nodes among which the slack is divided. Because more nodes may exist than are known to be alive, it is 1.5 times the
// known nodes, rounded down, plus one.
func (f *Forwarder) budgetNodes() int {
	nodes := len(f.Control.Snapshot().Alive)
	return nodes + nodes/2 + 1
}

// finalResult returns how the call ended, derived from its attempts.
func (f *Forwarder) finalResult(ctx context.Context, p *progress) Result {
	r := p.result
	r.Attempts, r.HeaderSent = p.attempts, p.headerSent
	overdue := time.Until(p.deadline) < minAttemptTime
	switch {
	case r.Status == Delivered && r.Code != 0:
	case callerLeft(ctx):
		r.Status = Left
	case p.headerSent && stopping(ctx):
		r.Status = Stopped
	case p.headerSent:
		r.Status = Interrupted
	case p.mayHaveRun && overdue:
		r.Status = TimedOut
	case p.mayHaveRun:
		r.Status = Unknown
	default:
		r.Status = Refused
		if r.RetryAfter <= 0 {
			r.RetryAfter = refusedRetryAfter
		}
		if r.Reason == "" && stopping(ctx) {
			r.Reason = modeler.ReasonLeaving
		}
		if r.Reason == "" {
			r.Reason = modeler.ReasonOverloaded
		}
	}
	return r
}

// callerLeft reports whether the context of a call was cancelled because its caller has disconnected.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !stopping(ctx)
}

// stopping reports whether the context of a call was cancelled because the node stops.
func stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// refusedRetryAfter is the Retry-After of a refusal whose decision stated none. It covers a few passes of an engine.
const refusedRetryAfter = 300 * time.Millisecond
