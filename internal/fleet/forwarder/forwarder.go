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
	// Pause is the longest time between two events of a stream.
	Pause time.Duration
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
	// maxArrivals bounds the endpoints that one request may reach, and maxSends those that are tried, also in vain: with a third of the
	// endpoints dark, four attempts in a row failed to connect.
	maxArrivals = 4
	maxSends    = 8
	// minLeft is the least time in which another attempt may succeed.
	minLeft = 20 * time.Millisecond
	// minResume is the same for the rest of a stream: an engine has to process the prompt again.
	minResume = 150 * time.Millisecond
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
	// arrived counts the attempts that may have reached an endpoint, and paid those that the budget was charged for: all but the first.
	arrived, paid int
	// next is a place that was found while the last endpoint was silent.
	next *modeler.Decision
	// lastEvent is the id of the last event passed on, heardAt its time, and begun tells whether the header was passed on.
	lastEvent string
	heardAt   time.Time
	begun     bool
	result    Result
}

// Serve serves a call and returns how it ended. Unless the result says that the answer has begun, or the caller left, the front end has to
// answer.
func (f *Forwarder) Serve(ctx context.Context, call Call, sink Sink) Result {
	p := &progress{call: call, deadline: f.deadline(call), lastEvent: call.Fields.LastEvent}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	f.Budget.Deposit(call.Service.ID)
	f.attempts(ctx, p, sink)
	if p.failure != nil && !p.begun && !errors.Is(ctx.Err(), context.Canceled) {
		p.failure.deliver(p, sink)
	}
	return f.ended(ctx, p)
}

// attempts sends the call to endpoints until one has answered it or none may be asked any more.
func (f *Forwarder) attempts(ctx context.Context, p *progress, sink Sink) {
	for {
		decision, err := f.place(ctx, p)
		if err != nil {
			return
		}
		if decision.Temporary() && p.begun && time.Until(f.leaves(p)) > minResume {
			// The caller of a stream that has begun cannot be told to come back.
			continue
		}
		if decision.Refused {
			p.result.Reason, p.result.RetryAfter = decision.Reason, decision.RetryAfter
			return
		}
		if time.Now().After(f.leaves(p)) {
			// The place came when the caller was about to have left; it is returned.
			f.Control.Post(modeler.AttemptEnded{ID: f.request(p).ID, Outcome: modeler.Abandoned})
			p.result.Reason = modeler.ReasonOverloaded
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

// place returns where the call goes next.
func (f *Forwarder) place(ctx context.Context, p *progress) (modeler.Decision, error) {
	if next := p.next; next != nil {
		p.next = nil
		return *next, nil
	}
	return f.Control.Place(ctx, f.request(p))
}

// leaves returns when the caller leaves if it gets nothing more: at its deadline, or earlier when a stream pauses for too long.
func (f *Forwarder) leaves(p *progress) time.Time {
	last := p.call.Arrived
	if p.begun {
		last = p.heardAt
	}
	if end := last.Add(patience(p.call.Route)); p.call.Route.Kind == modeler.Stream && end.Before(p.deadline) {
		return end
	}
	return p.deadline
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
	request := modeler.Request{
		ID:   modeler.RequestID(string(call.Fields.ID) + "/" + strconv.Itoa(p.sends) + "/" + strconv.FormatUint(f.Self.Incarnation%1e4, 36)),
		Node: f.Self.ID, Service: call.Service.ID, Kind: call.Route.Kind, Prompt: call.Fields.Prompt, Output: call.Fields.Output,
		Arrived: call.Arrived, Due: call.Arrived.Add(call.Route.Target), Deadline: f.leaves(p), Gap: call.Route.GapTarget,
		Priority: priority, Fingerprint: call.Fingerprint, Tried: p.tried, DataCentre: f.Self.DataCentre,
	}
	if p.begun {
		return f.resumed(request, call.Route, p.deadline)
	}
	return request
}

// resumed returns the request for the rest of a stream that has begun. Its times count from now: it is no request that was late from the
// start, which others would go before.
func (f *Forwarder) resumed(request modeler.Request, route modeler.Route, deadline time.Time) modeler.Request {
	now := time.Now()
	request.Arrived, request.Due, request.Deadline = now, now.Add(route.Target), now.Add(patience(route))
	if deadline.Before(request.Deadline) {
		request.Deadline = deadline
	}
	return request
}

// mayRepeat tells whether the call may be sent to another endpoint.
func (f *Forwarder) mayRepeat(ctx context.Context, p *progress) bool {
	route := p.call.Route
	if ctx.Err() != nil || time.Until(p.deadline) < minLeft || p.sends >= maxSends || p.arrived >= maxArrivals || p.ran >= route.Attempts {
		return false
	}
	if p.mayRun && !route.Repeatable() {
		return false
	}
	if p.paid >= p.arrived {
		// It was paid for by an attempt that reached no endpoint, or when the place was found.
		return true
	}
	if !f.spend(p.call) {
		p.result.Reason = modeler.ReasonBudget
		return false
	}
	p.paid++
	return true
}

// spend takes a repeat from the budget. Half as many nodes again as live may exist.
func (f *Forwarder) spend(call Call) bool {
	nodes := len(f.Control.Snapshot().Alive)
	return f.Budget.TryWithdraw(call.Service.ID, nodes+nodes/2+1)
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
