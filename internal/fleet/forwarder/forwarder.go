// Package forwarder carries a caller's request to endpoints: it asks for a place, sends, repeats what may be repeated, and says truthfully
// how it ended. It knows no front end; the answer goes to a Sink.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Control decides about places.
type Control interface {
	Place(ctx context.Context, request modeler.Request) (modeler.Decision, error)
	Post(event modeler.Event)
	Snapshot() *modeler.Snapshot
}

// Protocol translates what endpoints are told and say.
type Protocol interface {
	AttemptHeader(caller http.Header, attempt modeler.AttemptFields) http.Header
	AnswerFields(status int, header http.Header) modeler.AnswerFields
}

// Sink takes the answer for the caller.
type Sink interface {
	// Begin sends the header. length is -1 for a stream.
	Begin(status int, header http.Header, length int) error
	Write(data []byte) (int, error)
	Flush() error
}

// Call is a request of a caller with the route that it takes.
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
}

// Status says how a request ended. Endings that the caller gets as a refusal promise that the request did not run.
type Status uint8

// Endings of requests.
const (
	// Delivered: the endpoint's answer was passed on.
	Delivered Status = iota
	// Refused: the request did not and will not run.
	Refused
	// Unknown: the request may have run; there is no answer.
	Unknown
	// TimedOut: the time of the route is over, and the request may have run.
	TimedOut
	// Interrupted: a stream ended before its end.
	Interrupted
	// Left: the caller closed its connection.
	Left
)

// String implements fmt.Stringer.
func (s Status) String() string {
	return [...]string{"Delivered", "Refused", "Unknown", "TimedOut", "Interrupted", "Left"}[s]
}

// Result is the end of a request.
type Result struct {
	Status Status
	// Code is the status of the endpoint's answer, if it was delivered.
	Code   int
	Reason modeler.RefusalReason
	// RetryAfter is set for refusals.
	RetryAfter time.Duration
	// Begun is set if a part of the answer was sent.
	Begun    bool
	Attempts int
	Endpoint modeler.EndpointID
	Helpers  int
	// First is the time from arrival to the first event or the whole answer; zero if there was none.
	First time.Duration
	// Last is the outcome of the last attempt.
	Last modeler.Outcome
}

// Forwarder serves calls. It is safe for concurrent use.
type Forwarder struct {
	Control  Control
	Protocol Protocol
	Pool     *dialer.Pool
	Memory   Memory
	Budget   *limiter.Budget
	Self     modeler.Node
	// OnRetry is told about each attempt after the first one.
	OnRetry func(call Call, attempt int, last modeler.Outcome, endpoint modeler.EndpointID)
}

const (
	// streamPatience, targetPatience and gapPatience give how long callers wait for the next event of a stream: the longest of a fixed
	// time, four objectives and eight pauses. The platform states these figures.
	streamPatience = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	// maxSends bounds the endpoints that are asked for one request, beyond those that ran it.
	maxSends = 4
	// minLeft is the least time in which another attempt may succeed.
	minLeft = 20 * time.Millisecond
)

// progress is what is known of a call while it is served.
type progress struct {
	call     Call
	deadline time.Time
	tried    []modeler.EndpointID
	// sends counts attempts, and ran those that may have run.
	sends, ran int
	// sentAt is when the last attempt began.
	sentAt time.Time
	// mayRun is set if the request may have run at an endpoint that did not answer.
	mayRun bool
	// fault is the engine that the last refusal blamed, if it is not the one that refused.
	fault modeler.EndpointID
	// failure is the last failure that an endpoint answered with.
	failure *answer
	// prepaid is set if the next repeat is taken from the budget already.
	prepaid bool
	// lastEvent is the id of the last event passed on, and begun tells whether the header was.
	lastEvent string
	begun     bool
	result    Result
}

// Serve serves a call and returns how it ended. Unless the result says that the answer has begun, or the caller left, the front end has to
// answer.
func (f *Forwarder) Serve(ctx context.Context, call Call, sink Sink) Result {
	p := &progress{call: call, deadline: f.deadline(call), lastEvent: call.Fields.LastEvent}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	f.Budget.Earn(call.Service.ID)
	f.attempts(ctx, p, sink)
	if p.failure != nil && !p.begun && !errors.Is(ctx.Err(), context.Canceled) {
		p.failure.deliver(p, sink)
	}
	return f.ended(ctx, p)
}

// attempts sends the call to endpoints until one has answered it or none may be asked any more.
func (f *Forwarder) attempts(ctx context.Context, p *progress, sink Sink) {
	for {
		decision, err := f.Control.Place(ctx, f.request(p))
		if err != nil {
			return
		}
		if decision.Refused {
			p.result.Reason, p.result.RetryAfter = decision.Reason, decision.RetryAfter
			return
		}
		outcome := f.attempt(ctx, p, decision.Plan, sink)
		p.result.Last = outcome
		if outcome == modeler.Answered || outcome == modeler.Abandoned {
			return
		}
		if p.fault != "" {
			p.tried = append(p.tried, p.fault)
		} else {
			p.tried = append(p.tried, decision.Plan.Endpoint.ID)
		}
		if !f.mayRepeat(ctx, p) {
			return
		}
		if f.OnRetry != nil {
			f.OnRetry(p.call, p.sends, outcome, decision.Plan.Endpoint.ID)
		}
	}
}

// deadline returns when the caller, or the operator for it, gives up.
func (f *Forwarder) deadline(call Call) time.Time {
	limit := call.Route.Timeout
	if call.Fields.Timeout > 0 && (limit <= 0 || call.Fields.Timeout < limit) {
		limit = call.Fields.Timeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return call.Arrived.Add(limit)
}

// defaultTimeout applies when neither the caller nor the route states one.
const defaultTimeout = 30 * time.Second

// patience is how long the caller of a stream waits for an event.
func patience(route modeler.Route) time.Duration {
	return max(streamPatience, targetPatience*route.Target, gapPatience*route.GapTarget)
}

func (f *Forwarder) request(p *progress) modeler.Request {
	call := p.call
	priority := call.Route.Priority
	if call.Member.HasPriority {
		priority = call.Member.Priority
	}
	deadline := p.deadline
	if call.Route.Kind == modeler.Stream && !p.begun {
		if end := call.Arrived.Add(patience(call.Route)); end.Before(deadline) {
			deadline = end
		}
	}
	return modeler.Request{
		ID:   modeler.RequestID(string(call.Fields.ID) + "/" + strconv.Itoa(p.sends) + "/" + strconv.FormatUint(f.Self.Incarnation%1e4, 36)),
		Node: f.Self.ID, Service: call.Service.ID, Kind: call.Route.Kind, Prompt: call.Fields.Prompt, Output: call.Fields.Output,
		Arrived: call.Arrived, Due: call.Arrived.Add(call.Route.Target), Deadline: deadline, Gap: call.Route.GapTarget,
		Priority: priority, Fingerprint: call.Fingerprint, Tried: p.tried, DataCentre: f.Self.DataCentre,
	}
}

// mayRepeat tells whether the call may be sent to another endpoint.
func (f *Forwarder) mayRepeat(ctx context.Context, p *progress) bool {
	route := p.call.Route
	if ctx.Err() != nil || time.Until(p.deadline) < minLeft || p.sends >= maxSends || p.ran >= route.Attempts {
		return false
	}
	if p.mayRun && !route.Repeatable() {
		return false
	}
	if p.prepaid {
		p.prepaid = false
		return true
	}
	if !f.spend(p.call) {
		p.result.Reason = modeler.ReasonBudget
		return false
	}
	return true
}

// spend takes a repeat from the budget. Half as many nodes again as live may exist.
func (f *Forwarder) spend(call Call) bool {
	nodes := len(f.Control.Snapshot().Alive)
	return f.Budget.Spend(call.Service.ID, nodes+nodes/2+1)
}

// ended says how the call ended, by what is known of its attempts.
func (f *Forwarder) ended(ctx context.Context, p *progress) Result {
	r := p.result
	r.Attempts, r.Begun = p.sends, p.begun
	overdue := time.Until(p.deadline) < minLeft
	switch {
	case r.Status == Delivered && r.Code != 0:
	case errors.Is(ctx.Err(), context.Canceled):
		r.Status = Left
	case p.begun:
		r.Status = Interrupted
	case p.mayRun && overdue:
		r.Status = TimedOut
	case p.mayRun:
		r.Status = Unknown
	default:
		r.Status = Refused
		if r.RetryAfter <= 0 {
			r.RetryAfter = refusedRetryAfter
		}
		if r.Reason == "" {
			r.Reason = modeler.ReasonOverloaded
		}
	}
	return r
}

// refusedRetryAfter is told to callers whose request no endpoint took: a few passes of an engine.
const refusedRetryAfter = 300 * time.Millisecond
