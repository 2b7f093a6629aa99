package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// coldWindow is the sliding window in which requests to a cold endpoint are counted. It is longer than the second that the limit refers to,
// because requests reach the endpoint after varying delays.
const coldWindow = 1200 * time.Millisecond

// coldLimiter limits the rate of requests that this node places on cold endpoints.
type coldLimiter struct {
	// sent holds the placement times within the window, oldest first.
	sent map[modeler.EndpointID][]time.Time
}

func newColdLimiter() coldLimiter { return coldLimiter{sent: map[modeler.EndpointID][]time.Time{}} }

// allows reports whether one more request may be placed on the endpoint now. A negative limit means no limit.
func (l coldLimiter) allows(now time.Time, endpoint modeler.Endpoint, limit float64) bool {
	if limit < 0 || !endpoint.Cold(now) {
		return true
	}
	return float64(len(l.recent(now, endpoint.ID))+1) <= limit
}

// acquire reports whether one more request may be placed on the endpoint now and, if so, counts it against the limit.
func (l coldLimiter) acquire(now time.Time, endpoint modeler.Endpoint, limit float64) bool {
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
