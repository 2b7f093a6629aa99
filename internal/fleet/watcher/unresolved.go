package watcher

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// unresolvedRetention is how long the end of an endpoint is attributed to an attempt that ended without an answer. An entry expires after three
	// heartbeat intervals of the endpoint.
	unresolvedRetention = 10 * time.Second
	// resolveInterval is the time between two comparisons of unresolved attempts with the entries of their endpoints.
	resolveInterval = 100 * time.Millisecond
	// maxUnresolved bounds the fingerprints in the table, and maxAbandoned those that callers who leave may add: they must not keep out the rest.
	maxUnresolved = 1024
	maxAbandoned  = maxUnresolved / 2
)

// recordUnresolved keeps an attempt that ended without an answer and without a broken connection: behind a cut, or when the host of the endpoint has
// failed, nothing else shows that the endpoint has ended.
func recordUnresolved(tick *modeler.Tick, world *modeler.World, from sender, a modeler.Assignment, e modeler.Ended) {
	switch e.Outcome {
	case modeler.Silent, modeler.Abandoned, modeler.Garbled:
	default:
		return
	}
	endpoint, ok := world.Endpoints.Get(e.Endpoint)
	if !ok || e.Survived {
		return
	}
	e.SharedParts, e.Age = a.Request.SharedParts, tick.Now.Sub(a.Placed)
	attempt := modeler.UnresolvedAttempt{Ended: e, From: from.node, Process: from.process, StartUnixMilli: endpoint.StartUnixMilli, EndedAt: tick.Now}
	if e.Fingerprint != modeler.NoFingerprint {
		putUnresolved(world, e.Fingerprint, false, attempt)
	}
	for _, part := range e.SharedParts {
		putUnresolved(world, part, true, attempt)
	}
}

func putUnresolved(world *modeler.World, fingerprint modeler.Fingerprint, sharedPart bool, attempt modeler.UnresolvedAttempt) {
	limit := maxUnresolved
	if attempt.Ended.Outcome == modeler.Abandoned {
		limit = maxAbandoned
	}
	row, ok := world.UnresolvedAttempts.Get(fingerprint)
	if !ok && world.UnresolvedAttempts.Len() >= limit {
		return
	}
	row.SharedPart = sharedPart
	world.UnresolvedAttempts.Put(fingerprint, row.WithAttempt(attempt))
}

// reportOf returns the report of an attempt whose endpoint has ended.
func reportOf(attempt modeler.UnresolvedAttempt) report {
	return newReport(sender{node: attempt.From, process: attempt.Process}, attempt.Ended, attempt.EndedAt)
}

// resolve counts the unresolved attempts whose endpoints have ended as broken, and deletes those that are too old for that.
func (s *System) resolve(tick *modeler.Tick, world *modeler.World) {
	if world.UnresolvedAttempts.Len() == 0 || tick.Now.Before(s.nextResolveAt) {
		return
	}
	s.nextResolveAt = tick.Now.Add(resolveInterval)
	for fingerprint, row := range world.UnresolvedAttempts.All() {
		rest := row.Without(func(attempt modeler.UnresolvedAttempt) bool {
			endpoint, known := world.Endpoints.Get(attempt.Ended.Endpoint)
			if !attempt.EndpointEnded(endpoint, known) {
				return tick.Now.Sub(attempt.EndedAt) >= unresolvedRetention
			}
			if row.SharedPart {
				countBroken(tick, world, partPolicy{}, fingerprint, reportOf(attempt))
			} else {
				countBroken(tick, world, requestPolicy{}, fingerprint, reportOf(attempt))
			}
			return true
		})
		switch len(rest.Attempts) {
		case len(row.Attempts):
		case 0:
			world.UnresolvedAttempts.Delete(fingerprint)
		default:
			world.UnresolvedAttempts.Put(fingerprint, rest)
		}
	}
}
