package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// coldWindow is the span in which requests to a cold endpoint are counted. It is longer than the second of the rule, since requests reach
// the endpoint at uneven delays.
const coldWindow = 1200 * time.Millisecond

// coldLimiter counts what this node placed on cold endpoints.
type coldLimiter struct {
	// sent holds the times of the last window, oldest first.
	sent map[modeler.EndpointID][]time.Time
}

func newColdLimiter() coldLimiter { return coldLimiter{sent: map[modeler.EndpointID][]time.Time{}} }

// allows tells whether the endpoint may get one more request now. A negative limit allows all.
func (l coldLimiter) allows(now time.Time, endpoint modeler.Endpoint, limit float64) bool {
	if limit < 0 || !endpoint.Cold(now) {
		return true
	}
	return float64(len(l.recent(now, endpoint.ID))+1) <= limit
}

// take counts a request and tells whether it is allowed.
func (l coldLimiter) take(now time.Time, endpoint modeler.Endpoint, limit float64) bool {
	if limit < 0 || !endpoint.Cold(now) {
		return true
	}
	if !l.allows(now, endpoint, limit) {
		return false
	}
	l.sent[endpoint.ID] = append(l.sent[endpoint.ID], now)
	return true
}

func (l coldLimiter) recent(now time.Time, id modeler.EndpointID) []time.Time {
	times := l.sent[id]
	for len(times) > 0 && now.Sub(times[0]) > coldWindow {
		times = times[1:]
	}
	if len(times) == 0 {
		delete(l.sent, id)
		return nil
	}
	l.sent[id] = times
	return times
}
