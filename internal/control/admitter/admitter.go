// Package admitter decides on callers' requests: it charges the member's share, chooses an endpoint, obtains a permit from the
// node that holds the endpoint, and refuses early the requests that cannot be served in time.
package admitter

import (
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
	"damaskpick.example/damaskpick/internal/control/tabler"
)

const (
	// permitTimeout bounds the wait for a permit. After it, the attempt is released and another endpoint is chosen.
	permitTimeout = 500 * time.Millisecond
	// retryBackoff is the delay before an endpoint is chosen again after a refused permit.
	retryBackoff = 20 * time.Millisecond
	// unconfirmedBackoff replaces retryBackoff after a refusal as Unconfirmed, since a confirmation takes one round trip to the endpoint.
	unconfirmedBackoff = 3 * time.Millisecond
	// maxOutdatedRefusals is the number of refusals as Outdated after which a request accepts an endpoint regardless of its load.
	maxOutdatedRefusals = 3
	// releaseResendInterval is the time between two sends of an unacknowledged release.
	releaseResendInterval = time.Second
	// quarantineDuration is how long requests with the fingerprint of one that crashed maxCrashedEndpoints endpoints are refused.
	quarantineDuration  = 10 * time.Minute
	maxCrashedEndpoints = 2
	// retryAfter is the delay suggested to callers that are refused because of a temporary lack of capacity.
	retryAfter = time.Second
	// endReportTimeout is how long past its deadline a running request is kept when the goroutine that serves it does not report the
	// end.
	endReportTimeout = 5 * time.Second
)

// PermitGranter grants permits for the endpoints that this node holds.
type PermitGranter interface {
	Ask(*modeler.Tick, *modeler.World, modeler.NodeID, modeler.PermitAsk) modeler.Message
	Confirm(*modeler.Tick, *modeler.World, modeler.PermitConfirm)
	Release(*modeler.Tick, *modeler.World, modeler.PermitRelease)
}

// System admits and routes requests by a policy.
type System[P router.Policy] struct {
	policy  P
	permits PermitGranter
	cache   *PrefixCache
	// newAttemptID returns a new attempt id.
	newAttemptID func(modeler.Request) modeler.AttemptID
	// queue lists the queued requests. sortQueue sorts it by queueRank.
	queue            []modeler.RequestID
	permitDeadlines  *tabler.Timeline[modeler.RequestID]
	requestDeadlines *tabler.Timeline[modeler.RequestID]
	// pendingReleases holds the releases that are resent until they are acknowledged.
	pendingReleases map[modeler.AttemptID]pendingRelease
	releaseResends  *tabler.Timeline[modeler.AttemptID]
	retryBudget     retryBudget
	// choices counts how often each endpoint was chosen.
	choices map[modeler.EndpointID]uint64
	// unmetCosts holds, for each member, the total cost of the queued requests that could not be charged in the last tick.
	unmetCosts map[modeler.MemberID]modeler.Tokens
}

// pendingRelease is a PermitRelease and the node to which it is sent.
type pendingRelease struct {
	message modeler.PermitRelease
	holder  modeler.NodeID
	address string
}

// New returns the system. policy builds the routing policy from the system's prefix cache and a function that returns how often
// an endpoint was chosen.
func New[P router.Policy](weights modeler.Weights, permits PermitGranter, newAttemptID func(modeler.Request) modeler.AttemptID,
	policy func(*PrefixCache, func(modeler.EndpointID) uint64) P,
) *System[P] {
	s := &System[P]{
		permits: permits, cache: NewPrefixCache(), newAttemptID: newAttemptID,
		permitDeadlines:  tabler.NewTimeline[modeler.RequestID](),
		requestDeadlines: tabler.NewTimeline[modeler.RequestID](),
		pendingReleases:  map[modeler.AttemptID]pendingRelease{},
		releaseResends:   tabler.NewTimeline[modeler.AttemptID](),
		retryBudget:      newRetryBudget(weights.RetryPart),
		choices:          map[modeler.EndpointID]uint64{},
	}
	s.policy = policy(s.cache, func(id modeler.EndpointID) uint64 { return s.choices[id] })
	return s
}

// Run implements modeler.System.
func (s *System[P]) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		s.handleEvent(tick, world, event)
	}
	s.handleTimeouts(tick, world)
	s.placeQueued(tick, world)
	s.resendReleases(tick, world)
	s.expireQuarantines(tick, world)
}

func (s *System[P]) handleEvent(tick *modeler.Tick, world *modeler.World, event modeler.Event) {
	switch e := event.(type) {
	case modeler.RequestArrived:
		s.handleArrival(tick, world, e.Request)
	case modeler.RetryRequested:
		s.retryRequest(tick, world, e)
	case modeler.RequestEnded:
		s.endRequest(tick, world, e)
	case modeler.AttemptConfirmed:
		s.confirmAttempt(tick, world, e.Attempt, modeler.PermitConfirm{Attempt: e.Attempt, BootID: e.BootID, Cold: e.Cold})
	case modeler.FirstTokenSeen:
		s.confirmAttempt(tick, world, e.Attempt, modeler.PermitConfirm{Attempt: e.Attempt, FirstToken: true})
	case modeler.PeerReceived:
		s.handleMessages(tick, world, e.Messages)
	case modeler.PeerAnswered:
		s.handleMessages(tick, world, e.Messages)
	}
}

func (s *System[P]) handleMessages(tick *modeler.Tick, world *modeler.World, messages []modeler.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case modeler.PermitGiven:
			s.handlePermitGiven(tick, world, m)
		case modeler.PermitRefused:
			s.handlePermitRefused(tick, world, m)
		case modeler.PermitReleased:
			delete(s.pendingReleases, m.Attempt)
			s.releaseResends.Clear(m.Attempt)
		case modeler.Digest:
			s.mergeQuarantines(tick, world, m.Quarantined)
		}
	}
}

// handleArrival refuses a new request at once if checkRequest returns a refusal, and queues it otherwise.
func (s *System[P]) handleArrival(tick *modeler.Tick, world *modeler.World, r modeler.Request) {
	if refusal := s.checkRequest(tick, world, r); refusal != nil {
		s.reply(tick, r.ID, modeler.Decision{Refusal: refusal})
		return
	}
	s.retryBudget.addFirstAttempt()
	world.Requests.Put(r.ID, r)
	s.requestDeadlines.Set(r.ID, r.Deadline)
	s.enqueue(world, r)
}

func (s *System[P]) reply(tick *modeler.Tick, id modeler.RequestID, d modeler.Decision) {
	tick.Emit(modeler.Reply{Request: id, Decision: d})
}

// checkRequest returns a refusal if the node is fenced, the request is quarantined, or no endpoint or share could ever serve it.
// Otherwise it returns nil.
func (s *System[P]) checkRequest(tick *modeler.Tick, world *modeler.World, r modeler.Request) *modeler.Refusal {
	if world.Fenced(tick.Now) {
		return &modeler.Refusal{
			Code: modeler.CodeNodeFenced, RetryAfter: retryAfter,
			Message: "this node reaches neither the log nor another node; use another address",
		}
	}
	if refusal := checkQuarantine(tick, world, r, modeler.NotRun); refusal != nil {
		return refusal
	}
	if refusal := checkTarget(world, r); refusal != nil {
		return refusal
	}
	return checkShare(world, r)
}

// checkQuarantine refuses a request whose fingerprint is quarantined, by this node or another one. It is called again before each
// attempt.
func checkQuarantine(tick *modeler.Tick, world *modeler.World, r modeler.Request, run modeler.Run) *modeler.Refusal {
	until, ok := world.Quarantined.Get(r.Fingerprint)
	if !ok || !tick.Now.Before(until) {
		return nil
	}
	return &modeler.Refusal{
		Code: modeler.CodeRequestQuarantined, Run: run, RetryAfter: until.Sub(tick.Now),
		Message: "this request crashed endpoints and is not run again for a while",
	}
}

// checkTarget refuses a request that no endpoint could ever serve.
func checkTarget(world *modeler.World, r modeler.Request) *modeler.Refusal {
	known, largest := false, modeler.Tokens(0)
	for _, e := range world.Endpoints.All() {
		if e.Kind == r.Kind && e.Serves(r.Target) {
			known, largest = true, max(largest, e.Capacity)
		}
	}
	switch {
	case !known && r.Kind == modeler.Engine:
		return &modeler.Refusal{Code: modeler.CodeUnknownModel, Message: fmt.Sprintf("model %q is not served", r.Target)}
	case !known:
		return &modeler.Refusal{Code: modeler.CodeUnknownService, Message: fmt.Sprintf("service %q is not served", r.Target)}
	case r.Kind == modeler.Engine && r.Cost() > largest:
		return &modeler.Refusal{
			Code:    modeler.CodePromptTooLong,
			Message: fmt.Sprintf("prompt and output need %d tokens; the largest engine holds %d", r.Cost(), largest),
		}
	}
	return nil
}

// checkShare refuses a request that the member's cap could never cover.
func checkShare(world *modeler.World, r modeler.Request) *modeler.Refusal {
	limit, ok := world.Rules.CapOf(r.Member)
	if !ok || r.Cost() > limit {
		return &modeler.Refusal{
			Code:    modeler.CodeShareExceeded,
			Message: fmt.Sprintf("the request needs %d tokens; the share of %q is %d", r.Cost(), r.Member, limit),
		}
	}
	return nil
}
