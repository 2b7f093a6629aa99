package modeler

import (
	"cmp"
	"slices"
)

// Rules is the rule set in force. It is immutable.
type Rules struct {
	Version Version
	// Text is the rule file as published.
	Text string
	// Fleet is the size of the fleet in tokens, to which percentages apply.
	Fleet Tokens
	// All lists are sorted, Shares and Methods by their first field.
	Shares         []ShareRule
	Methods        []MethodRule
	OutDataCentres []DataCentreID
	OutEndpoints   []EndpointID
	// DeadNodes lists nodes by configured name or complete node ID.
	DeadNodes []string
	// Lenders lists the members whose idle share other members may use. The rules declare them, but nothing applies them yet.
	Lenders []MemberID
}

// ShareRule sets the share of a member.
type ShareRule struct {
	Member MemberID
	// Percent is a percentage of the fleet, above 0 and at most 100.
	Percent float64
}

// MethodRule states whether calls of a service are idempotent, so that they may be repeated.
type MethodRule struct {
	// Service, Method and PathPrefix select calls; the longest PathPrefix wins.
	Service    string
	Method     string
	PathPrefix string
	Idempotent bool
}

// Cap returns the member's cap, its share in tokens, in a fleet of the given size.
func (s ShareRule) Cap(fleet Tokens) Tokens { return Tokens(float64(fleet) * s.Percent / 100) }

// CapOf returns the cap of a member and whether the rules name it.
func (r Rules) CapOf(member MemberID) (Tokens, bool) {
	i, ok := slices.BinarySearchFunc(r.Shares, member, func(s ShareRule, m MemberID) int { return cmp.Compare(s.Member, m) })
	if !ok {
		return 0, false
	}
	return r.Shares[i].Cap(r.Fleet), true
}

// Lends reports whether the rules let other members use the idle share of a member. Nothing applies this yet.
func (r Rules) Lends(member MemberID) bool {
	_, ok := slices.BinarySearch(r.Lenders, member)
	return ok
}

// IsOut reports whether the rules exclude an endpoint or its data centre from service.
func (r Rules) IsOut(e Endpoint) bool {
	return slices.Contains(r.OutDataCentres, e.DataCentre) || slices.Contains(r.OutEndpoints, e.ID)
}

// IsIdempotent reports whether a call may be repeated. Calls are non-idempotent unless a rule says otherwise.
func (r Rules) IsIdempotent(service, method, path string) bool {
	best, idempotent := -1, false
	for _, m := range r.Methods {
		if m.Service != service || m.Method != method || len(m.PathPrefix) <= best {
			continue
		}
		if len(path) >= len(m.PathPrefix) && path[:len(m.PathPrefix)] == m.PathPrefix {
			best, idempotent = len(m.PathPrefix), m.Idempotent
		}
	}
	return idempotent
}

// WithVersion returns a copy published at version.
func (r Rules) WithVersion(version Version) Rules {
	r.Version = version
	return r
}
