package placer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// passInterval is the shortest time between two passes over the queue. It bounds the work that freed capacity causes on a loaded
	// coordinator, and is short compared to the time that a request occupies a slot.
	passInterval = 4 * time.Millisecond
	// maxDecisions bounds the decisions of one tick, so that messages of other nodes are answered in time however long the queue is. The
	// rest of a pass follows in the next tick.
	maxDecisions = 24
	// minOnTimeFraction is the smallest fraction of its target for which a request counts as on time.
	minOnTimeFraction = 0.1
)

// queueKey is the position of a request in the queue and the group of requests that need the same. It does not change while the request
// waits.
type queueKey struct {
	id modeler.RequestID
	// lateAt is when the request can no longer be on time on an engine with typical load, and waitsUntil when it is refused if it still
	// cannot be placed.
	lateAt, waitsUntil time.Time

	priority int
	due      time.Time
	group    queueGroup
}

// queueGroup identifies requests that need the same: if the most urgent one of them cannot be placed, the others cannot either.
type queueGroup struct {
	service  modeler.ServiceID
	priority int
	// size is twice the binary logarithm of the prompt's length, rounded down.
	size int
	// late is set for requests that can no longer be on time.
	late bool
	// tried lists the endpoints that the requests must not use again.
	tried string
}

// sizeClass returns twice the binary logarithm of a prompt's length, rounded down.
func sizeClass(prompt modeler.Tokens) int {
	if prompt <= 0 {
		return 0
	}
	exponent := bits.Len64(uint64(prompt)) - 1
	class := 2 * exponent
	// The upper half-octave begins at the exponent's power of two times the square root of two, which is close to 181/128.
	if float64(prompt) >= float64(uint64(1)<<exponent)*181/128 {
		class++
	}
	return class
}

func newQueueKey(world *modeler.World, request modeler.Request) queueKey {
	key := queueKey{
		id: request.ID, priority: request.Priority, due: request.Due, lateAt: lateAt(world, request),
		waitsUntil: waitsUntil(request),
		group:      queueGroup{service: request.Service, priority: request.Priority, size: sizeClass(request.Prompt)},
	}
	for _, id := range request.Tried {
		key.group.tried += string(id) + ","
	}
	return key
}

// lateAt returns when a request can no longer be on time on an engine with typical load. Each request counts as on time for minOnTimeFraction of
// its target, however short that is.
func lateAt(world *modeler.World, request modeler.Request) time.Time {
	at := request.Due.Add(-typicalTimeToFirstEvent(world, request))
	earliest := request.Arrived.Add(scale(request.Due.Sub(request.Arrived), minOnTimeFraction))
	if earliest.After(request.Due) || at.After(earliest) {
		return at
	}
	return earliest
}

func (k queueKey) compare(other queueKey) int {
	return cmp.Or(cmp.Compare(k.priority, other.priority), k.due.Compare(other.due), cmp.Compare(k.id, other.id))
}

// queue orders the rows of World.Waiting by urgency and decides which of them a tick decides on. Waiting requests are decided again only
// when capacity was freed or at retryInterval, and of each group only up to the first one that has to wait.
type queue struct {
	// keys is sorted. It may hold keys of requests that no longer wait; a pass removes them.
	keys []queueKey
	// arrived holds the keys that were added since the last call of takeArrived.
	arrived []queueKey
	// blocked holds the groups whose most urgent request had to wait in the last pass, unless capacity was freed since.
	blocked map[queueGroup]bool
	// capacity is the revision of the capacity when the last pass began.
	capacity capacityRevision
	// passedAt is when the last pass began, and nextPass when the next one is due without freed capacity.
	passedAt, nextPass time.Time
	// unfinished is set while a pass continues in the next tick. No other pass begins before its end, so that each group gets its turn.
	unfinished bool
}

// capacityRevision changes whenever capacity may have been freed.
type capacityRevision struct {
	releases, endpoints, outDataCentres uint64
	configuration                       modeler.Position
}

func newQueue() *queue { return &queue{blocked: map[queueGroup]bool{}} }

// add inserts the key of a request that begins to wait.
func (q *queue) add(key queueKey) {
	at, found := slices.BinarySearchFunc(q.keys, key, queueKey.compare)
	if !found {
		q.keys = slices.Insert(q.keys, at, key)
	}
	q.arrived = append(q.arrived, key)
}

// takeArrived returns the keys that were added since the last call, the most urgent first.
func (q *queue) takeArrived() []queueKey {
	arrived := q.arrived
	q.arrived = nil
	slices.SortFunc(arrived, queueKey.compare)
	return arrived
}

// due returns the keys that have to be decided on now, in order of urgency: all of them if a pass is due, otherwise those that have just
// arrived. Requests that can still be on time come first, because placing a late one first could make another one late, too.
func (q *queue) due(now time.Time, capacity capacityRevision, arrived []queueKey, waits func(modeler.RequestID) bool) []queueKey {
	freed := capacity != q.capacity && now.Sub(q.passedAt) >= passInterval
	if !q.unfinished && !freed && now.Before(q.nextPass) {
		return lateLast(now, arrived)
	}
	if !q.unfinished {
		q.capacity, q.passedAt, q.nextPass = capacity, now, now.Add(retryInterval)
		clear(q.blocked)
	}
	q.unfinished = false
	q.keys = slices.DeleteFunc(q.keys, func(k queueKey) bool { return !waits(k.id) })
	return lateLast(now, q.keys)
}

// lateLast returns the keys with the ones of late requests moved to the end. It marks their groups as late.
func lateLast(now time.Time, keys []queueKey) []queueKey {
	ordered := make([]queueKey, 0, len(keys))
	var late []queueKey
	for _, k := range keys {
		if now.After(k.lateAt) {
			k.group.late = true
			late = append(late, k)
			continue
		}
		ordered = append(ordered, k)
	}
	return append(ordered, late...)
}

// skips reports whether a request is not decided on because the most urgent request of its group has to wait.
func (q *queue) skips(now time.Time, key queueKey) bool {
	return q.blocked[key.group] && now.Before(key.waitsUntil)
}

// wake returns when the next tick has to run for the requests that wait.
func (q *queue) wake(capacity capacityRevision) time.Time {
	switch {
	case q.unfinished:
		return q.passedAt
	case capacity != q.capacity:
		return earlier(q.passedAt.Add(passInterval), q.nextPass)
	default:
		return q.nextPass
	}
}
