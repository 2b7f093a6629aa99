// Package modeler holds the rows, events and effects of the fleet's control state as immutable values. It decides nothing and
// knows no message format.
package modeler

// Identifiers of the rows of the control state.
type (
	// NodeID names an entry node. It stays the same over restarts of the process.
	NodeID string
	// EndpointID names one start of an endpoint.
	EndpointID string
	// ServiceID names a group of endpoints that serve the same requests.
	ServiceID string
	// DataCentreID names a data centre.
	DataCentreID string
	// MemberID names a member.
	MemberID string
	// RequestID names one attempt of a caller. It is unique over all callers.
	RequestID string
	// Fingerprint recognises a request that a caller sends again under another id.
	Fingerprint uint64
)

// NoFingerprint stands for requests that are too alike to be recognised.
const NoFingerprint Fingerprint = 0

// Tokens counts tokens of prompts and answers.
type Tokens int64
