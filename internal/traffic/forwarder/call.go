package forwarder

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Request modeler.RequestID
	Member  modeler.MemberID
	Service string
	Method  string
	// Path is the unescaped path and starts with a slash. The rules that decide whether a call is idempotent match it.
	Path string
	// Target is the escaped path with the query, as it is sent.
	Target string
	Header map[string][]string
	Body   []byte
	// Key is the idempotency key, or empty if the caller sent none.
	Key string
	// Timeout shortens the request timeout of the node if it is positive.
	Timeout time.Duration
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	// BootID identifies the start of the service's process that responded.
	BootID string
	Status int
	Header map[string][]string
	Body   []byte
	// Replayed is set if this is the recorded response of an earlier attempt and the service did not run again.
	Replayed bool
}

// OutcomeBodyLimit is the maximum size in bytes of a response body that is recorded for repetitions with the same key. The log service
// handles only a few hundred records per second for all nodes, so larger bodies are not recorded.
const OutcomeBodyLimit = 32 << 10

// Call runs a call to a plain service. The current rules decide whether it is idempotent and may be repeated; any other call needs an
// idempotency key and runs at most once. The error is nil, a *RefusedError or ErrCallerGone.
func (f *Forwarder) Call(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	now := f.Now()
	deadline := f.deadline(now, call.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	run := &callRun{Forwarder: f, call: call, arrived: now, deadline: deadline}
	answer, err := run.execute(ctx)
	f.reportEnd(Summary{
		Request: call.Request, Member: call.Member, Kind: modeler.Service, Code: codeOf(err),
		Duration: f.Now().Sub(now), Attempts: run.attempts, LastAttempt: run.lastAttempt,
	})
	return answer, err
}

// callRun is the state of one call. It is not safe for concurrent use.
type callRun struct {
	*Forwarder
	call     ServiceCall
	arrived  time.Time
	deadline time.Time
	// failedGrants counts the grants that ended with a failure; attempts counts the grants for which the call was passed to Services.
	failedGrants int
	attempts     int
	lastAttempt  modeler.AttemptID
	// sent is set once a byte may have been sent to an endpoint.
	sent bool
}

func (r *callRun) execute(ctx context.Context) (ServiceResponse, error) {
	if r.idempotent() {
		return r.runIdempotent(ctx)
	}
	return r.runOnce(ctx)
}

func (r *callRun) idempotent() bool {
	snapshot := r.Control.Snapshot()
	return snapshot != nil && snapshot.Rules.IsIdempotent(r.call.Service, r.call.Method, r.call.Path)
}

// runIdempotent sends the call to one endpoint after another until one responds or the control loop refuses.
func (r *callRun) runIdempotent(ctx context.Context) (ServiceResponse, error) {
	return r.send(ctx, ctx, true)
}

// runOnce runs the call if the control loop permits an attempt for its key, and records the outcome.
func (r *callRun) runOnce(ctx context.Context) (ServiceResponse, error) {
	identity, err := r.identity()
	if err != nil {
		return ServiceResponse{}, err
	}
	decision, err := r.Control.AskCall(ctx, modeler.CallArrived{Call: identity})
	switch {
	case err != nil:
		// An earlier attempt with this key may have run, so the refusal must not state NotRun.
		r.Control.Post(modeler.CallEnded{Call: identity})
		return ServiceResponse{}, noDecisionError(ctx, true)
	case decision.Refusal != nil:
		return ServiceResponse{}, refused(*decision.Refusal, false)
	case decision.Outcome != nil:
		return replay(*decision.Outcome)
	case !decision.Run:
		// The background context selects the refusal of a stopping node.
		return ServiceResponse{}, noDecisionError(context.Background(), true)
	}
	// The call continues when its caller disconnects, so that its outcome is recorded for a repetition.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	defer cancel()
	answer, err := r.send(ctx, detached, false)
	r.Control.Post(modeler.CallEnded{Call: identity, Outcome: r.outcome(answer, err)})
	return answer, err
}

// send asks the control loop for endpoints with askCtx and sends the call with sendCtx. A non-idempotent call is sent again only if
// no byte of it was sent.
func (r *callRun) send(askCtx, sendCtx context.Context, idempotent bool) (answer ServiceResponse, err error) {
	defer func() { r.Control.Post(modeler.RequestEnded{Request: r.call.Request, Completed: err == nil}) }()
	decision, err := r.Control.Ask(askCtx, modeler.RequestArrived{Request: r.request()})
	for {
		if err != nil {
			return ServiceResponse{}, noDecisionError(askCtx, r.sent)
		}
		if decision.Grant == nil {
			return ServiceResponse{}, refusedDecision(decision, r.sent)
		}
		answer, failure := r.attempt(sendCtx, *decision.Grant)
		switch {
		case failure == nil:
			return answer, nil
		case r.sent && !idempotent:
			return ServiceResponse{}, refused(modeler.Refusal{
				Code: modeler.CodeOutcomeUnknown, Message: "the service did not answer; the call may have run",
			}, true)
		case askCtx.Err() != nil:
			return ServiceResponse{}, noDecisionError(askCtx, r.sent)
		}
		if r.failedGrants++; r.failedGrants >= maxGrants {
			return ServiceResponse{}, tooManyGrants(r.sent)
		}
		decision, err = r.Control.Ask(askCtx, modeler.RetryRequested{Request: r.call.Request, Died: died(failure), NotSent: notSent(failure)})
	}
}

func (r *callRun) attempt(ctx context.Context, grant modeler.Grant) (ServiceResponse, error) {
	if r.Now().Sub(grant.PermitAt) >= modeler.FenceTimeout {
		return ServiceResponse{}, errPermitExpired
	}
	r.attempts++
	r.lastAttempt = grant.Attempt
	answer, ran, err := r.Services.Call(ctx, grant, r.call)
	r.sent = r.sent || ran
	if err != nil {
		r.logFailure(r.call.Request, grant, err)
		return ServiceResponse{}, err
	}
	r.Control.Post(modeler.AttemptConfirmed{Attempt: grant.Attempt, BootID: answer.BootID})
	return answer, nil
}

func (r *callRun) request() modeler.Request {
	c := r.call
	return modeler.Request{
		ID: c.Request, Member: c.Member, Target: c.Service, Kind: modeler.Service,
		Fingerprint: fingerprint(c.Member, c.Service, c.Method, c.Target, string(c.Body)),
		ArrivedAt:   r.arrived, Deadline: r.deadline,
	}
}

// identity returns the identity under which the outcome of the call is recorded. It refuses a key that is missing or not a UUID of
// version 7. See docs/design.md, section 8.4.
func (r *callRun) identity() (modeler.Call, error) {
	c := r.call
	if c.Key == "" {
		return modeler.Call{}, refused(modeler.Refusal{
			Code: modeler.CodeKeyMissing, Message: "this call may not be repeated and needs an Idempotency-Key",
		}, false)
	}
	key, err := uuid.Parse(c.Key)
	// uuid.Parse also accepts a key in braces or with a prefix.
	if err != nil || key.Version() != 7 || !strings.EqualFold(key.String(), c.Key) {
		return modeler.Call{}, refused(modeler.Refusal{
			Code: modeler.CodeKeyInvalid, Message: "Idempotency-Key is not a UUID of version 7",
		}, false)
	}
	seconds, nanoseconds := key.Time().UnixTime()
	return modeler.Call{
		Member: c.Member, Key: key.String(), KeyTime: time.Unix(seconds, nanoseconds),
		BodyHash: hash(c.Service, c.Method, c.Target, string(c.Body)),
		Attempt:  modeler.AttemptID(uuid.Must(uuid.NewV7()).String()), Node: r.self(), Deadline: r.deadline,
	}, nil
}

func (r *callRun) self() modeler.NodeID {
	if snapshot := r.Control.Snapshot(); snapshot != nil {
		return snapshot.Self.ID
	}
	return ""
}

// outcome returns the outcome to record for a call that ended.
func (r *callRun) outcome(answer ServiceResponse, err error) modeler.CallOutcome {
	switch {
	case err == nil && len(answer.Body) <= OutcomeBodyLimit:
		outcome := modeler.CallOutcome{Ran: true, Known: true, Status: answer.Status, Body: answer.Body}
		if types := answer.Header["Content-Type"]; len(types) > 0 {
			outcome.ContentType = types[0]
		}
		return outcome
	case err == nil:
		return modeler.CallOutcome{Ran: true, Known: true, Truncated: true, Status: answer.Status}
	default:
		return modeler.CallOutcome{Ran: r.sent}
	}
}

// CodeAnswerNotKept refuses a repetition of a call that ran and whose response was larger than OutcomeBodyLimit.
const CodeAnswerNotKept modeler.Code = "AnswerNotKept"

// replay returns the recorded response of an earlier attempt, or a refusal if none was recorded.
func replay(outcome modeler.CallOutcome) (ServiceResponse, error) {
	switch {
	case !outcome.Known:
		return ServiceResponse{}, refused(modeler.Refusal{
			Code: modeler.CodeOutcomeUnknown, Message: "an earlier attempt with this key may have run; its answer was lost",
		}, true)
	case outcome.Truncated:
		return ServiceResponse{}, refused(modeler.Refusal{
			Code: CodeAnswerNotKept, Message: "an earlier attempt with this key ran; its answer was too large to keep",
		}, true)
	}
	answer := ServiceResponse{Status: outcome.Status, Header: map[string][]string{}, Body: outcome.Body, Replayed: true}
	if outcome.ContentType != "" {
		answer.Header["Content-Type"] = []string{outcome.ContentType}
	}
	return answer, nil
}
