package modeler

import "time"

// Snapshot is the published view of the control state. It is never changed.
type Snapshot struct {
	Self          Node
	Coordinator   NodeID
	Configuration Configuration
	// Alive are the nodes that callers may use, this one included unless it is leaving.
	Alive []Node
	// Endpoints counts the endpoints that have an entry by their state.
	Endpoints map[EndpointState]int
	// OperatorsAge and EndpointsAge are the ages of what this node knows, whoever has read it, when the snapshot was taken.
	OperatorsAge, EndpointsAge time.Duration
	// ReadsForAll is set while this node reads the store for all.
	ReadsForAll bool
	Waiting     int
}

// NewSnapshot returns a view of the world in which the given nodes are alive.
func NewSnapshot(world *World, alive []Node, now time.Time) *Snapshot {
	s := &Snapshot{
		Self: world.Self, Coordinator: world.Coordinator, Configuration: world.Configuration, Alive: alive, ReadsForAll: world.ReadsForAll,
		OperatorsAge: now.Sub(world.ConfirmedAt[Operators]), EndpointsAge: now.Sub(world.ConfirmedAt[Endpoints]), Waiting: world.Waiting.Len(),
		Endpoints: map[EndpointState]int{},
	}
	for _, endpoint := range world.Endpoints.All() {
		s.Endpoints[world.State(endpoint, now)]++
	}
	return s
}

// EndpointState says whether an endpoint gets work, and why not.
type EndpointState string

// States of endpoints, in the order in which they are judged.
const (
	// StateOut: operators have taken the data centre out of service.
	StateOut EndpointState = "Out"
	// StateDraining: the endpoint gets no new work.
	StateDraining EndpointState = "Draining"
	// StateMisdirected: another endpoint answers at the address.
	StateMisdirected EndpointState = "Misdirected"
	// StateAvoided: it failed to answer and is left alone for a while.
	StateAvoided EndpointState = "Avoided"
	// StateMissing: its entry vanished while the store was disturbed. It still gets work.
	StateMissing EndpointState = "Missing"
	// StateCold: it gets a limited number of requests.
	StateCold EndpointState = "Cold"
	// StateInService: nothing speaks against it.
	StateInService EndpointState = "InService"
)

// EndpointStates lists all states.
var EndpointStates = [...]EndpointState{
	StateOut, StateDraining, StateMisdirected, StateAvoided, StateMissing, StateCold, StateInService,
}

// State judges an endpoint.
func (w *World) State(endpoint Endpoint, now time.Time) EndpointState {
	health, _ := w.Health.Get(endpoint.ID)
	_, out := w.Out.Get(endpoint.DataCentre)
	switch {
	case out:
		return StateOut
	case endpoint.Draining:
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
