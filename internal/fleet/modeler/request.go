package modeler

import (
	"slices"
	"time"
)

// Request is what placement knows of a caller's request.
type Request struct {
	ID      RequestID
	Node    NodeID
	Service ServiceID
	Kind    Kind
	// Prompt and Output are the sizes that the caller states. They are zero for plain services.
	Prompt, Output Tokens
	// Arrived is on the clock of the node that holds the row.
	Arrived time.Time
	// Due is when the first answer is late.
	Due time.Time
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Gap is the longest pause between events that is on time.
	Gap         time.Duration
	Priority    int
	Fingerprint Fingerprint
	// Tried holds the endpoints that failed this request. It must not be changed.
	Tried []EndpointID
	// DataCentre is that of the node that asks.
	DataCentre DataCentreID
	// Favour multiplies the weight of requests whose kind is served worse than others. Zero counts as 1.
	Favour float64
}

// WithTried returns the request with one more endpoint that failed it.
func (r Request) WithTried(e EndpointID) Request {
	r.Tried = append(slices.Clone(r.Tried), e)
	return r
}

// WithFavour returns the request with a multiple of its weight.
func (r Request) WithFavour(favour float64) Request {
	r.Favour = favour
	return r
}

// Total is the memory that the request may need.
func (r Request) Total() Tokens { return r.Prompt + r.Output }

// Assignment is a request that runs on an endpoint.
type Assignment struct {
	Request Request
	Plan    Plan
	// Placed is when the plan was made.
	Placed time.Time
	// Started is when the first event came; zero before.
	Started time.Time
}

// WithStarted returns the assignment after its first event.
func (a Assignment) WithStarted(at time.Time) Assignment {
	a.Started = at
	return a
}

// Plan says where a request runs.
type Plan struct {
	Endpoint Endpoint
	// Helpers process a part of the prompt each. It must not be changed.
	Helpers []Endpoint
	// Held is the memory that each helper sets aside for the prompt, in the order of Helpers. It is empty for prompts that fit the first
	// engine, and must not be changed.
	Held []Tokens
	// Part is the time that each engine of the plan needs for its part of the prompt.
	Part time.Duration
	// First is the expected time from placement to the first event.
	First time.Duration
	// Late is set if the request is late already when it is placed. Late reads get a bounded part of the engines.
	Late bool
}

// HeldAt returns the memory that an endpoint holds for the prompt as a helper.
func (p Plan) HeldAt(id EndpointID) Tokens {
	for i, held := range p.Held {
		if p.Helpers[i].ID == id {
			return held
		}
	}
	return 0
}

// HeldElsewhere is the memory that helpers hold together.
func (p Plan) HeldElsewhere() Tokens {
	var sum Tokens
	for _, held := range p.Held {
		sum += held
	}
	return sum
}

// Engines returns the endpoints that process the prompt.
func (p Plan) Engines() []Endpoint { return append([]Endpoint{p.Endpoint}, p.Helpers...) }

// Decision answers a request for a place.
type Decision struct {
	Plan Plan
	// Refused is set if the request gets no endpoint.
	Refused bool
	// Reason is a stable word for logs and metrics.
	Reason RefusalReason
	// RetryAfter is when a new attempt may succeed.
	RetryAfter time.Duration
}

// MayChange tells whether a request that is refused after a wait may find a place later.
func (d Decision) MayChange() bool {
	return d.Refused && (d.Reason == ReasonOverloaded || d.Reason == ReasonNoEndpoint)
}

// RefusalReason says why a request got no endpoint.
type RefusalReason string

// Reasons of refusals.
const (
	// ReasonNoEndpoint: no endpoint of the service is in service.
	ReasonNoEndpoint RefusalReason = "NoEndpoint"
	// ReasonOverloaded: no endpoint becomes free in time.
	ReasonOverloaded RefusalReason = "Overloaded"
	// ReasonTooLarge: the request exceeds the memory of an engine.
	ReasonTooLarge RefusalReason = "TooLarge"
	// ReasonQuarantined: the request crashed endpoints.
	ReasonQuarantined RefusalReason = "Quarantined"
	// ReasonBudget: the budget for repeats is used up.
	ReasonBudget RefusalReason = "RetryBudget"
	// ReasonNoConfiguration: the node knows no configuration yet.
	ReasonNoConfiguration RefusalReason = "NoConfiguration"
)
