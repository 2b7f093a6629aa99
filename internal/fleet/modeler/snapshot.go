package modeler

import "time"

// Snapshot is an immutable copy of parts of the control state for other goroutines.
type Snapshot struct {
	Self          Node
	Coordinator   NodeID
	Configuration Configuration
	// Alive holds the nodes that callers may use, including this one unless it is leaving.
	Alive []Node
	// Endpoints is the number of endpoints in each state.
	Endpoints map[EndpointState]int
	// OperatorsAge and EndpointsAge are the times since this node's state of the two topics was last confirmed as current, by its own read
	// or another node's, as of the time of the snapshot.
	OperatorsAge, EndpointsAge time.Duration
	// OperatorsBehind is set if this node lacks operators' records that another node has read.
	OperatorsBehind bool
	// ReadsForAll is set while this node reads the store and distributes the changes to all nodes.
	ReadsForAll bool
	// Limited holds the endpoints that name a limit, and Leaving is the number of those that have said in a response that they are shutting down.
	// Limited must not be modified.
	Limited map[EndpointID]bool
	Leaving int
	// Waiting is the number of queued requests.
	Waiting int
	// Quarantined is the number of fingerprints of requests and shared parts that are refused.
	Quarantined int
	// SuspectRequests is the number of fingerprints of requests of which one at a time runs. Those that are refused are among them.
	SuspectRequests int
}

// NewSnapshot returns a snapshot of world with the given live nodes.
func NewSnapshot(world *World, alive []Node, now time.Time) *Snapshot {
	s := &Snapshot{
		Self: world.Self, Coordinator: world.Coordinator, Configuration: world.Configuration, Alive: alive, ReadsForAll: world.ReadsForAll,
		OperatorsAge: now.Sub(world.ConfirmedAt[Operators]), EndpointsAge: now.Sub(world.ConfirmedAt[Endpoints]), Waiting: world.Waiting.Len(),
		OperatorsBehind: world.OperatorsBehind, Endpoints: map[EndpointState]int{},
	}
	for _, endpoint := range world.Endpoints.All() {
		s.Endpoints[world.State(endpoint, now)]++
	}
	for id, terms := range world.Terms.All() {
		if terms.Limited {
			if s.Limited == nil {
				s.Limited = map[EndpointID]bool{}
			}
			s.Limited[id] = true
		}
		if terms.Leaving {
			s.Leaving++
		}
	}
	for _, brokenAttempts := range world.BrokenAttempts.All() {
		if brokenAttempts.Quarantined(now) {
			s.Quarantined++
		}
		if brokenAttempts.RunsAlone(now) {
			s.SuspectRequests++
		}
	}
	return s
}

// EndpointState is the reason why an endpoint receives no requests or only a limited number, or StateInService.
type EndpointState string

// States of endpoints. If several apply, the first one in this order is the state.
const (
	// StateOut means that operators took the data centre out of service.
	StateOut EndpointState = "Out"
	// StateDraining means that the endpoint receives no new requests.
	StateDraining EndpointState = "Draining"
	// StateMisdirected means that a different endpoint responds at the address.
	StateMisdirected EndpointState = "Misdirected"
	// StateAvoided means that the endpoint failed to respond and its back-off has not ended.
	StateAvoided EndpointState = "Avoided"
	// StateMissing means that the entry may have expired because of a store failure. The endpoint still receives requests.
	StateMissing EndpointState = "Missing"
	// StateCold means that the endpoint receives a limited number of requests during its cold start.
	StateCold EndpointState = "Cold"
	// StateInService means that none of the other states applies.
	StateInService EndpointState = "InService"
)

// EndpointStates lists all states in order of precedence.
var EndpointStates = [...]EndpointState{
	StateOut, StateDraining, StateMisdirected, StateAvoided, StateMissing, StateCold, StateInService,
}

// State returns the state of an endpoint.
func (w *World) State(endpoint Endpoint, now time.Time) EndpointState {
	health, _ := w.Health.Get(endpoint.ID)
	_, out := w.OutDataCentres.Get(endpoint.DataCentre)
	switch {
	case out:
		return StateOut
	case endpoint.Draining || w.TermsOf(endpoint).Leaving:
		return StateDraining
	case health.Misdirected:
		return StateMisdirected
	case now.Before(health.AvoidUntil):
		return StateAvoided
	case !endpoint.MissingSince.IsZero():
		return StateMissing
	case endpoint.Cold(now):
		return StateCold
	default:
		return StateInService
	}
}
