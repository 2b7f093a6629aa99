// Package presenter holds the JSON forms that operators' commands and nodes exchange, and makes them from control values.
// Names are in Pascal case. Fields that end in Ms are whole milliseconds; amounts are tokens.
package presenter

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Status answers GET /status: what one node knows.
type Status struct {
	At         time.Time
	Node       string
	DataCentre string
	// Fenced is set while the node must not start new work.
	Fenced  bool
	Leaving bool
	Queued  int
	Running int
	Rules   RulesStatus
	// Nodes, Endpoints and Members are in the order of their IDs.
	Nodes     []NodeStatus
	Endpoints []EndpointStatus
	Members   []MemberStatus
}

// RulesStatus sums up the rules in effect.
type RulesStatus struct {
	Version        int64
	Fleet          int64
	Shares         int
	OutDataCentres []string
	OutEndpoints   []string
	DeadNodes      []string
}

// NodeStatus is a node as this one knows it.
type NodeStatus struct {
	ID         string
	Address    string
	DataCentre string
	// Phase is "Active", "Leaving", "Silent", "Reclaimed" or "Left".
	Phase      string
	Registered bool
	HeardAgoMs int64
	// Holds counts the endpoints that the node holds.
	Holds int
}

// EndpointStatus is an endpoint as this node knows it. Load is exact on the holder and lags elsewhere by UpdatedAgoMs.
type EndpointStatus struct {
	ID         string
	Kind       string
	DataCentre string
	// Phase is "Cold", "Warm" or "Lost".
	Phase   string
	Out     bool
	Leaving bool
	// Holder is empty while no node holds the endpoint.
	Holder       string
	Term         uint64
	Capacity     int64
	Reserved     int64
	Running      int
	Unconfirmed  int
	UpdatedAgoMs int64
}

// MemberStatus is a member's share. Balance, Used, Debt and Wanted are the part on this node; Cap is that of all nodes.
type MemberStatus struct {
	ID      string
	Cap     int64
	Balance int64
	Used    int64
	Debt    int64
	Wanted  int64
}

// StatusOf returns the status that a snapshot shows. Ages refer to s.At.
func StatusOf(s modeler.Snapshot) Status {
	holds := map[modeler.NodeID]int{}
	for _, e := range s.Endpoints {
		holds[e.Holder]++
	}
	return Status{
		At: s.At, Node: string(s.Self.ID), DataCentre: string(s.Self.DataCentre),
		Fenced: s.Fenced, Leaving: s.Leaving, Queued: s.Queued, Running: s.Running,
		Rules: RulesStatus{
			Version: int64(s.Rules.Version), Fleet: int64(s.Rules.Fleet), Shares: len(s.Rules.Shares),
			OutDataCentres: texts(s.Rules.OutDataCentres), OutEndpoints: texts(s.Rules.OutEndpoints), DeadNodes: texts(s.Rules.DeadNodes),
		},
		Nodes:     convert(s.Nodes, func(n modeler.Node) NodeStatus { return nodeStatus(n, holds[n.ID], s.At) }),
		Endpoints: convert(s.Endpoints, func(e modeler.Endpoint) EndpointStatus { return endpointStatus(e, s.At) }),
		Members:   convert(s.Members, memberStatus),
	}
}

func nodeStatus(n modeler.Node, holds int, at time.Time) NodeStatus {
	return NodeStatus{
		ID: string(n.ID), Address: n.Address, DataCentre: string(n.DataCentre), Phase: nodePhase(n.Phase),
		Registered: n.Registered, HeardAgoMs: ageMs(n.LastSeenAt, at), Holds: holds,
	}
}

func endpointStatus(e modeler.Endpoint, at time.Time) EndpointStatus {
	return EndpointStatus{
		ID: string(e.ID), Kind: kind(e.Kind), DataCentre: string(e.DataCentre), Phase: endpointPhase(e.Phase),
		Out: e.Out, Leaving: e.Leaving, Holder: string(e.Holder), Term: uint64(e.Term), Capacity: int64(e.Capacity),
		Reserved: int64(e.Reserved), Running: e.Running, Unconfirmed: e.Unconfirmed, UpdatedAgoMs: ageMs(e.UpdatedAt, at),
	}
}

func memberStatus(m modeler.Member) MemberStatus {
	return MemberStatus{
		ID: string(m.ID), Cap: int64(m.Cap), Balance: int64(m.Balance), Used: int64(m.Used), Debt: int64(m.Debt), Wanted: int64(m.Wanted),
	}
}

// ageMs returns -1 for a time that is not set.
func ageMs(since, now time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

func nodePhase(p modeler.NodePhase) string {
	return [...]string{"Active", "Leaving", "Silent", "Reclaimed", "Left"}[p]
}

func endpointPhase(p modeler.EndpointPhase) string { return [...]string{"Cold", "Warm", "Lost"}[p] }

func kind(k modeler.EndpointKind) string { return [...]string{"Engine", "Service"}[k] }

// convert never returns nil, so that JSON holds an empty list and not null.
func convert[T, R any](rows []T, one func(T) R) []R {
	result := make([]R, 0, len(rows))
	for _, row := range rows {
		result = append(result, one(row))
	}
	return result
}

func texts[T ~string](values []T) []string {
	return convert(values, func(v T) string { return string(v) })
}
