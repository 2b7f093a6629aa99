package modeler

import "time"

// RequestPhase is the progress of a request on the node that received it.
type RequestPhase uint8

// Request phases.
const (
	// Queued requests wait for share balance or for an endpoint.
	Queued RequestPhase = iota
	// AwaitingPermit requests wait for a permit from an endpoint's holder.
	AwaitingPermit
	// Running requests have a permit, and the waiting goroutine was sent its Grant.
	Running
)

// Request describes a caller's request. It is a row of World.Requests.
type Request struct {
	ID     RequestID
	Member MemberID
	// Target is the requested model or service.
	Target string
	Kind   EndpointKind
	// Prompt and MaxOutput are both charged before the request runs. They are zero for a request to a service.
	Prompt    Tokens
	MaxOutput Tokens
	// PrefixHash identifies the beginning of the prompt for prefix cache affinity. Zero means unknown.
	PrefixHash uint64
	// Fingerprint is a hash of the member and the body, by which repetitions of a request that crashes endpoints are recognised.
	Fingerprint uint64
	ArrivedAt   time.Time
	Deadline    time.Time

	Phase   RequestPhase
	Attempt AttemptID
	// Endpoint is the endpoint on which the current attempt runs, or for which a permit was requested.
	Endpoint EndpointID
	// BootID and ReportedCold come from the response header of the current attempt. BootID is empty until the header arrives.
	BootID       string
	ReportedCold bool
	// Charged is the amount charged to the member's balance on this node for the request.
	Charged Tokens
	// Excluded lists endpoints on which an attempt of this request failed, including attempts that never reached the endpoint.
	Excluded []EndpointID
	// Delivered counts the output tokens that the caller received from earlier attempts. They are included in Prompt.
	Delivered Tokens
	// Deaths counts endpoints that crashed while they ran this request.
	Deaths int
	// Attempts counts the permits that the request obtained.
	Attempts int
	// OutdatedRefusals counts permits that were refused because the endpoint had more load than this node knew of.
	OutdatedRefusals int
	// RetryAt is the earliest time at which an endpoint may be chosen again.
	RetryAt time.Time
}

// Class returns the length class of the prompt.
func (r Request) Class() LengthClass { return ClassOf(r.Prompt) }

// Cost returns the amount that the request is charged while it runs. A call of a service costs one token, so that shares limit services
// too.
func (r Request) Cost() Tokens { return max(r.Prompt+r.MaxOutput, 1) }

// WithPermitRequested returns a copy that waits for a permit to run attempt on endpoint.
func (r Request) WithPermitRequested(attempt AttemptID, endpoint EndpointID) Request {
	r.Phase, r.Attempt, r.Endpoint = AwaitingPermit, attempt, endpoint
	r.BootID, r.ReportedCold = "", false
	return r
}

// WithHeader returns a copy with the data of the current attempt's response header.
func (r Request) WithHeader(bootID string, cold bool) Request {
	r.BootID, r.ReportedCold = bootID, cold
	return r
}

// WithRunning returns a copy whose current attempt obtained its permit.
func (r Request) WithRunning() Request {
	r.Phase = Running
	r.Attempts++
	return r
}

// WithQueued returns a queued copy without an attempt, for which no endpoint is chosen before retryAt.
func (r Request) WithQueued(retryAt time.Time) Request {
	r.Phase, r.Attempt, r.Endpoint, r.RetryAt = Queued, "", "", retryAt
	return r
}

// WithOutdatedRefusal returns a copy that counts one more permit refused because of outdated load.
func (r Request) WithOutdatedRefusal() Request {
	r.OutdatedRefusals++
	return r
}

// WithCharged returns a copy with Charged set to amount.
func (r Request) WithCharged(amount Tokens) Request {
	r.Charged = amount
	return r
}

// WithExcluded returns a copy with endpoint added to Excluded. If died is set, it counts one more endpoint that crashed during the
// attempt.
func (r Request) WithExcluded(endpoint EndpointID, died bool) Request {
	excluded := make([]EndpointID, 0, len(r.Excluded)+1)
	r.Excluded = append(append(excluded, r.Excluded...), endpoint)
	if died {
		r.Deaths++
	}
	return r
}

// WithProgress returns a copy for continuation on another endpoint after the caller received delivered output tokens in total. The
// tokens move from MaxOutput to Prompt, so that the cost stays the same.
func (r Request) WithProgress(delivered Tokens) Request {
	fresh := min(max(delivered-r.Delivered, 0), r.MaxOutput)
	r.Delivered += fresh
	r.Prompt += fresh
	r.MaxOutput -= fresh
	return r
}

// Permit is the right to run one attempt on an endpoint, as recorded by the endpoint's holder. It is a row of World.Permits.
type Permit struct {
	Attempt  AttemptID
	Endpoint EndpointID
	// Node is the node that requested the permit and must release it.
	Node    NodeID
	Request RequestID
	// Seq numbers the permits that the holder granted, from 1. It is zero if an earlier holder granted the permit.
	Seq    uint64
	Tokens Tokens
	Prompt Tokens
	Class  LengthClass
	// Confirmed is set once the endpoint's response header has arrived.
	Confirmed bool
	// FirstToken is set once the prompt has been processed.
	FirstToken bool
	// Suspect is set when an endpoint crashed during an earlier attempt of the request.
	Suspect bool
	// ReportedFrom is the time of the confirmation or, before that, the time at which the permit can no longer be used. A report of
	// the engine taken from this time on that lacks the attempt proves that it has ended.
	ReportedFrom time.Time
	ExpiresAt    time.Time
}

// WithConfirmed returns a copy confirmed at the given time, or p unchanged if it was confirmed before.
func (p Permit) WithConfirmed(at time.Time) Permit {
	if !p.Confirmed {
		p.Confirmed, p.ReportedFrom = true, at
	}
	return p
}

// WithFirstToken returns a copy whose prompt has been processed.
func (p Permit) WithFirstToken() Permit {
	p.FirstToken = true
	return p
}
