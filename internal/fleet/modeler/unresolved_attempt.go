package modeler

import (
	"slices"
	"time"
)

// maxUnresolvedAttempts bounds the attempts of one row. Fewer than that cause a quarantine.
const maxUnresolvedAttempts = 8

// UnresolvedAttempts holds, for the fingerprint of a request or of a shared part of prompts, the last attempts that ended without an answer and without a
// broken connection. If the endpoint of one has ended too, which shows in the endpoint's entry some seconds later, the attempt counts as broken.
type UnresolvedAttempts struct {
	// SharedPart is set for the fingerprint of a shared part.
	SharedPart bool
	// Attempts is ordered by EndedAt. It must not be modified.
	Attempts []UnresolvedAttempt
}

// UnresolvedAttempt is one attempt of UnresolvedAttempts.
type UnresolvedAttempt struct {
	// Ended is the report of the attempt. SharedParts and Age are set whatever its outcome.
	Ended Ended
	// From is the node that reported the attempt, and Process the incarnation of its process.
	From    NodeID
	Process uint64
	// StartUnixMilli is the start time of the endpoint's process that the attempt was sent to.
	StartUnixMilli int64
	EndedAt        time.Time
}

// WithAttempt returns the row with one more attempt, without the oldest one if there are too many.
func (u UnresolvedAttempts) WithAttempt(attempt UnresolvedAttempt) UnresolvedAttempts {
	u.Attempts = append(slices.Clone(u.Attempts[max(len(u.Attempts)-maxUnresolvedAttempts+1, 0):]), attempt)
	return u
}

// Without returns the row without the attempts for which drop returns true.
func (u UnresolvedAttempts) Without(drop func(UnresolvedAttempt) bool) UnresolvedAttempts {
	u.Attempts = slices.DeleteFunc(slices.Clone(u.Attempts), drop)
	return u
}

// EndpointEnded reports whether the process of the endpoint that the attempt was sent to has ended. endpoint is the endpoint's current row; known is
// false if there is none.
func (u UnresolvedAttempt) EndpointEnded(endpoint Endpoint, known bool) bool {
	return !known || endpoint.StartUnixMilli != u.StartUnixMilli
}
