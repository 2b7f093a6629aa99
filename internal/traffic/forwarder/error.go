package forwarder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// ErrCallerGone is returned when the caller disconnected or its response could not be written.
var ErrCallerGone = errors.New("caller disconnected")

// CodeCallerGone is used in summaries only, because there is no caller to send it to.
const CodeCallerGone modeler.Code = "CallerGone"

// EndpointError is a failure of an endpoint in one attempt.
type EndpointError struct {
	// Died is set if the endpoint broke off the stream or refused the connection, and unset if it refused the request or did not
	// respond.
	Died bool
	// NotSent is set if no byte of the attempt was sent.
	NotSent bool
	// Miscounted is set if tokens are missing or repeated at an unknown position of the delivered text, so that the response cannot be
	// continued.
	Miscounted bool
	Err        error
}

// Error implements error.
func (e *EndpointError) Error() string { return fmt.Sprintf("endpoint: %v", e.Err) }

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Err }

// RefusedError is returned for a request that is refused. The front end sends the refusal to the caller.
type RefusedError struct{ Refusal modeler.Refusal }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Refusal.Code, e.Refusal.Message)
}

// refused returns the error for a refusal. If a byte was sent, the refusal states that execution is unknown, whatever the control loop
// assumed.
func refused(refusal modeler.Refusal, sent bool) error {
	if sent {
		refusal.Run = modeler.Unknown
	}
	return &RefusedError{Refusal: refusal}
}

// refusedDecision returns the error for a decision without a grant.
func refusedDecision(decision modeler.Decision, sent bool) error {
	if decision.Refusal == nil {
		return noDecisionError(context.Background(), sent)
	}
	return refused(*decision.Refusal, sent)
}

// maxGrants bounds the grants of one request. Usually the retry budget of the control loop ends a request earlier. This bound prevents a
// busy loop if every grant fails immediately, for example because all permits are too old.
const maxGrants = 16

// tooManyGrants returns the error for a request that reached maxGrants.
func tooManyGrants(sent bool) error {
	return refused(modeler.Refusal{
		Code: modeler.CodeEndpointFailed, Message: fmt.Sprintf("%d attempts at endpoints failed", maxGrants), RetryAfter: stoppingRetryAfter,
	}, sent)
}

// stoppingRetryAfter gives callers time to look up the address of another node.
const stoppingRetryAfter = time.Second

// miscountedError returns the error for a response in which tokens are missing or repeated.
func miscountedError() error {
	return refused(modeler.Refusal{Code: modeler.CodeEndpointFailed, Message: "the engine lost or repeated a part of the answer"}, true)
}

// noDecisionError returns the error for a request that ends without a decision of the control loop: the deadline passed, the caller
// disconnected, or the node is stopping.
func noDecisionError(ctx context.Context, sent bool) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refused(modeler.Refusal{Code: modeler.CodeDeadlineExceeded, Message: "the deadline passed while the request waited for an endpoint"}, sent)
	case ctx.Err() != nil:
		return ErrCallerGone
	default:
		return refused(modeler.Refusal{Code: modeler.CodeStopping, Message: "this node is stopping", RetryAfter: stoppingRetryAfter}, sent)
	}
}

// codeOf returns the summary code of a result.
func codeOf(err error) modeler.Code {
	var refusal *RefusedError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refusal):
		return refusal.Refusal.Code
	default:
		return CodeCallerGone
	}
}
