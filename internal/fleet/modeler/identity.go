// Package modeler defines the entities, events and effects of the fleet's control state as immutable values. It contains no
// decision logic and does not depend on any message encoding.
package modeler

// Identifiers of the entities in the control state.
type (
	// NodeID identifies an entry node. It does not change when the process restarts.
	NodeID string
	// EndpointID identifies one start of an endpoint.
	EndpointID string
	// ServiceID identifies a group of endpoints that serve the same requests.
	ServiceID string
	// DataCentreID identifies a data centre.
	DataCentreID string
	// MemberID identifies a member.
	MemberID string
	// RequestID identifies one attempt by a caller. It is unique across all callers.
	RequestID string
	// Fingerprint identifies a request that a caller sends again under a different id.
	Fingerprint uint64
)

// NoFingerprint marks requests that are too similar to be told apart.
const NoFingerprint Fingerprint = 0

// Tokens is a number of prompt or output tokens.
type Tokens int64
