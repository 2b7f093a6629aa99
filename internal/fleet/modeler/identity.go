// Package modeler defines the entities, events and effects of the fleet's control state as immutable values. It contains no
// decision logic and does not depend on any message encoding.
package modeler

import (
	"strconv"
	"strings"
)

// Identifiers of the entities in the control state.
type (
	// NodeID identifies a node. It does not change when the process restarts.
	NodeID string
	// EndpointID identifies an endpoint. An endpoint that restarts may keep it; see Endpoint.StartUnixMilli.
	EndpointID string
	// ServiceID identifies a group of endpoints that serve the same requests.
	ServiceID string
	// DataCentreID identifies a data centre.
	DataCentreID string
	// MemberID identifies a member.
	MemberID string
	// RequestID identifies a request. In RequestFields it is the id that the caller sent. In Request and in everything that refers to it, it
	// identifies one attempt: the caller's id, the number of the attempt and the node's incarnation.
	RequestID string
	// Fingerprint is a hash of a request's content, which is the same when a caller repeats the request under a new id, or of a part of its
	// prompt, which is the same in all requests with that part.
	Fingerprint uint64
)

// NoFingerprint stands for content that is not known. Nothing is counted for it.
const NoFingerprint Fingerprint = 0

// JoinFingerprints returns fingerprints in hexadecimal, separated by commas, for the log.
func JoinFingerprints(list []Fingerprint) string {
	texts := make([]string, 0, len(list))
	for _, f := range list {
		texts = append(texts, strconv.FormatUint(uint64(f), 16))
	}
	return strings.Join(texts, ",")
}

// Tokens is a number of prompt or output tokens.
type Tokens int64
