package modeler

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
)

// Request holds the properties of a caller's request that placement uses.
type Request struct {
	ID      RequestID
	Node    NodeID
	Service ServiceID
	Kind    Kind
	// Prompt and Output are the sizes declared by the caller. They are zero for plain services.
	Prompt, Output Tokens
	// Arrived is the arrival time on the clock of the node that holds this value.
	Arrived time.Time
	// Due is when the response, or the first event of a stream, counts as late.
	Due time.Time
	// Deadline is the end of the caller's or the route's timeout. For a stream, it is when the caller leaves if it has got no further event.
	Deadline time.Time
	// RunsUntil is the end of the caller's or the route's timeout for the whole answer. It is not sent to other nodes.
	RunsUntil time.Time
	// Gap is the target for the longest gap between two events.
	Gap         time.Duration
	Priority    int
	Fingerprint Fingerprint
	// SharedParts holds the fingerprints of the parts of the prompt that other requests may share. It must not be modified.
	SharedParts []Fingerprint
	// Tried holds the endpoints on which this request has already failed. It must not be modified.
	Tried []EndpointID
	// Resumes is set for the rest of a stream whose header was sent. It is not sent to other nodes.
	Resumes bool
	// RepeatsBroken is set if an earlier attempt broke and the caller has received nothing yet.
	RepeatsBroken bool
	// Cost is the key by which the cost of the request is predicted.
	Cost estimator.Key
	// Borrows is set if the request repeats an attempt and its node has used up its own part of the retry budget. The node that places requests for all
	// lends it a retry or refuses it.
	Borrows bool
	// DataCentre is the data centre of the node that received the request.
	DataCentre DataCentreID
	// WeightFactor multiplies the weight of the request. It is above 1 for classes of requests that meet their target less often than
	// others; values below 1, including zero, count as 1.
	WeightFactor float64
}

// WithTried returns the request with e added to Tried.
func (r Request) WithTried(e EndpointID) Request {
	r.Tried = append(slices.Clone(r.Tried), e)
	return r
}

// WithWeightFactor returns the request with WeightFactor set to the given factor.
func (r Request) WithWeightFactor(factor float64) Request {
	r.WeightFactor = factor
	return r
}

// Fingerprints returns the fingerprint of the request and those of the shared parts of its prompt.
func (r Request) Fingerprints() []Fingerprint {
	return append(slices.Clone(r.SharedParts), r.Fingerprint)
}

// WithSharedParts returns the request with SharedParts set.
func (r Request) WithSharedParts(parts []Fingerprint) Request {
	r.SharedParts = parts
	return r
}

// MaxMemory returns the KV cache memory that the request may need.
func (r Request) MaxMemory() Tokens { return r.Prompt + r.Output }

// Assignment is a request that runs on an endpoint.
type Assignment struct {
	Request Request
	Plan    Plan
	// Placed is when the plan was made.
	Placed time.Time
	// FirstEventAt is when the first event was received; zero before that.
	FirstEventAt time.Time
	// Predicted is the time for which a call to a plain service was expected to occupy a slot when it was placed; zero if nothing was known.
	Predicted time.Duration
	// Alone is set if no other call was known at the endpoint when this one was placed. The time of another one may include waiting.
	Alone bool
	// Granted is set on the node that has placed the request of another node.
	Granted bool
}

// WithFirstEvent returns the assignment after its first event.
func (a Assignment) WithFirstEvent(at time.Time) Assignment {
	a.FirstEventAt = at
	return a
}

// Plan is the placement of a request.
type Plan struct {
	Endpoint Endpoint
	// Helpers are further engines, each of which processes a part of the prompt. It must not be modified.
	Helpers []Endpoint
	// Reserved is the memory that each helper reserves for the prompt, in the order of Helpers. It is empty for prompts that fit into the
	// memory of Endpoint. It must not be modified.
	Reserved []Tokens
	// PartPrefill is the prefill time that each engine of the plan needs for its part of the prompt.
	PartPrefill time.Duration
	// TimeToFirstEvent is the expected time from placement to the first event.
	TimeToFirstEvent time.Duration
	// Late is set if the request is expected to miss its Due time already when it is placed. Only a limited fraction of the engines
	// processes late prompts.
	Late bool
}

// ReservedOn returns the memory that an endpoint reserves for the prompt as a helper; zero if it is not a helper.
func (p Plan) ReservedOn(id EndpointID) Tokens {
	for i, reserved := range p.Reserved {
		if p.Helpers[i].ID == id {
			return reserved
		}
	}
	return 0
}

// ReservedOnHelpers returns the total memory that the helpers reserve.
func (p Plan) ReservedOnHelpers() Tokens {
	var sum Tokens
	for _, reserved := range p.Reserved {
		sum += reserved
	}
	return sum
}

// Engines returns all endpoints that process the prompt: Endpoint, then Helpers.
func (p Plan) Engines() []Endpoint { return append([]Endpoint{p.Endpoint}, p.Helpers...) }

// Decision is the result of placing a request: a plan or a refusal.
type Decision struct {
	Plan Plan
	// Refused is set if the request was not placed on an endpoint.
	Refused bool
	// Reason is a stable identifier for logs and metrics.
	Reason RefusalReason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Temporary reports whether the refusal is temporary, so that the request may be placed later.
func (d Decision) Temporary() bool {
	return d.Refused && (d.Reason == ReasonOverloaded || d.Reason == ReasonNoEndpoint || d.Reason == ReasonLimited || d.Reason == ReasonPaused ||
		d.Reason == ReasonSuspected)
}

// RefusalReason is the reason why a request was not placed.
type RefusalReason string

// Reasons for refusals.
const (
	// ReasonNoEndpoint means that no endpoint of the service is available.
	ReasonNoEndpoint RefusalReason = "NoEndpoint"
	// ReasonOverloaded means that no endpoint has capacity in time.
	ReasonOverloaded RefusalReason = "Overloaded"
	// ReasonTooLarge means that the request exceeds the memory that the engines of one plan can provide together.
	ReasonTooLarge RefusalReason = "TooLarge"
	// ReasonLimited means that all endpoints of the service name limits that leave no share in time.
	ReasonLimited RefusalReason = "EndpointLimit"
	// ReasonPaused means that all endpoints of the service have asked this node for a pause that lasts too long.
	ReasonPaused RefusalReason = "EndpointPause"
	// ReasonQuarantined means that the connections to several endpoints broke while they ran the request.
	ReasonQuarantined RefusalReason = "Quarantined"
	// ReasonSuspected means that a connection broke while an endpoint ran a request with the same content, and that another one runs.
	ReasonSuspected RefusalReason = "Suspected"
	// ReasonBudget means that the retry budget is used up.
	ReasonBudget RefusalReason = "RetryBudget"
	// ReasonLeaving means that the node stops before the request could end.
	ReasonLeaving RefusalReason = "Leaving"
	// ReasonNoConfiguration means that the node has not read a configuration yet.
	ReasonNoConfiguration RefusalReason = "NoConfiguration"
)
