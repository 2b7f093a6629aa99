// Package presenter defines the JSON messages between operators' commands and nodes, and converts the state of the control loop to
// them. Field names are in Pascal case. Fields that end in Ms are whole milliseconds; amounts are tokens.
package presenter

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Status is the response to GET /status: the state of the fleet as known to one node.
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
	// Nodes, Endpoints and Members are sorted by ID.
	Nodes     []NodeStatus
	Endpoints []EndpointStatus
	Members   []MemberStatus
}

// RulesStatus is a summary of the rules in effect. Fleet is the capacity in tokens that percentages refer to; Shares is a count.
type RulesStatus struct {
	Version        int64
	Fleet          int64
	Shares         int
	OutDataCentres []string
	OutEndpoints   []string
	DeadNodes      []string
}

// NodeStatus is the state of a node as known to the reporting node. HeardAgoMs is the time since that node's last
// message, or -1 if there was none.
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

// EndpointStatus is the state of an endpoint as known to the reporting node. The load is exact if that node is the holder and
// UpdatedAgoMs old otherwise; UpdatedAgoMs is -1 if no load has been received.
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

// MemberStatus is the share of a member. Balance, Used, Debt and Wanted are the amounts on the reporting node; Cap is the amount on all
// nodes.
type MemberStatus struct {
	ID      string
	Cap     int64
	Balance int64
	Used    int64
	Debt    int64
	Wanted  int64
}

// StatusOf converts a snapshot to a status. Ages are relative to s.At.
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
			OutDataCentres: toStrings(s.Rules.OutDataCentres), OutEndpoints: toStrings(s.Rules.OutEndpoints), DeadNodes: toStrings(s.Rules.DeadNodes),
		},
		Nodes:     convertAll(s.Nodes, func(n modeler.Node) NodeStatus { return nodeStatus(n, holds[n.ID], s.At) }),
		Endpoints: convertAll(s.Endpoints, func(e modeler.Endpoint) EndpointStatus { return endpointStatus(e, s.At) }),
		Members:   convertAll(s.Members, memberStatus),
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
		ID: string(e.ID), Kind: endpointKind(e.Kind), DataCentre: string(e.DataCentre), Phase: endpointPhase(e.Phase),
		Out: e.Out, Leaving: e.Leaving, Holder: string(e.Holder), Term: uint64(e.Term), Capacity: int64(e.Capacity),
		Reserved: int64(e.Reserved), Running: e.Running, Unconfirmed: e.Unconfirmed, UpdatedAgoMs: ageMs(e.UpdatedAt, at),
	}
}

func memberStatus(m modeler.Member) MemberStatus {
	return MemberStatus{
		ID: string(m.ID), Cap: int64(m.Cap), Balance: int64(m.Balance), Used: int64(m.Used), Debt: int64(m.Debt), Wanted: int64(m.Wanted),
	}
}

// ageMs returns the time from since to now, or -1 if since is zero.
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

func endpointKind(k modeler.EndpointKind) string { return [...]string{"Engine", "Service"}[k] }

// convertAll converts every item. The result is never nil, so that JSON has an empty list and not null.
func convertAll[T, R any](items []T, convert func(T) R) []R {
	result := make([]R, 0, len(items))
	for _, item := range items {
		result = append(result, convert(item))
	}
	return result
}

func toStrings[T ~string](values []T) []string {
	return convertAll(values, func(v T) string { return string(v) })
}
