// Package poller decides when this node reads the store. Calls to the store have a price and a limit that all nodes share, so one node reads
// continuously and sends what it read to the others: the coordinator, or while the store rejects the coordinator's calls, the node of lowest
// rank whose calls succeed. The others read when they receive no messages, or when the messages do not contain all records.
package poller

import (
	"cmp"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// pollWait is how long the store waits for new records before it responds. The sum of pollWait and the heartbeat interval must stay below
	// maxAge.
	pollWait = 600 * time.Millisecond
	// maxAge is the age of a node's state at which the node reads the store itself. The sum of maxAge, one heartbeat interval and one read
	// stays below the two seconds within which operators' changes and leaving endpoints must be known.
	maxAge = 1200 * time.Millisecond
	// readerGrace is added to maxAge on nodes that are not hubs: the time that a hub needs for a read and a datagram.
	readerGrace = 200 * time.Millisecond
	// maxPeerAge is the maximum age of state that is accepted from another node. A heartbeat with ReadsForAll set is valid for the same
	// time. A node stops reading for all nodes when its own last read is older.
	maxPeerAge = time.Second
	// deliveryGrace is how long a node that lacks records waits for them from the node that reads for all nodes, which sends them after each
	// heartbeat.
	deliveryGrace = 300 * time.Millisecond
	// endpointInterval is the minimum time between two reads of the endpoints' entries, which engines write often.
	endpointInterval = 300 * time.Millisecond
	// maxChanges is the maximum number of changes of endpoints in one message. 600 of them exceed the largest datagram and would never be sent.
	maxChanges = 200
	// operatorInterval is the minimum time between two reads of the operators' records.
	operatorInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxOtherBackoff bounds the pause of nodes that are not hubs and lack no record. They receive the records from the hubs once the store responds
	// again.
	maxOtherBackoff = 2 * time.Second
	// fetchTimeout is the time after which a read without a result is considered lost.
	fetchTimeout = 6 * time.Second
)

// topics lists the topics that the poller reads, in the order of their numbers.
var topics = [...]modeler.Topic{modeler.Operators, modeler.Endpoints}

// topicState holds the schedule and progress of the reads of one topic.
type topicState struct {
	// startedAt is the start of the read in progress, or zero.
	startedAt time.Time
	// next is the earliest start of the next read.
	next    time.Time
	backoff time.Duration
	// target is the offset after the last change that another node has read, or the end of the topic as of the last read of this node, and behindSince is
	// when this node was found to have read less, or zero.
	target      modeler.Position
	behindSince time.Time
	// wasRead is set after the first read, by this node or another one.
	wasRead bool
}

// System decides when topics are read, and sends changes of endpoints and operators' records to other nodes.
type System struct {
	states [len(topics)]topicState
	// changes holds the changes of endpoints that were not sent to other nodes yet. Changes before the offset sentEnd were
	// sent, unless another node sends them.
	changes []modeler.EndpointChange
	sentEnd modeler.Position
	// listed is set after a listing of the endpoints until changes are sent. The changes then lack those whose keys were deleted, so that the others have to
	// list, too.
	listed bool
	// lastChangeEnd is the offset after the last endpoint record that changed an endpoint.
	lastChangeEnd modeler.Position

	operators operatorRecords
	// targetVersion is the highest version of the operators' records that another node holds.
	targetVersion int64
	// incoming holds the pieces of the state that this node receives.
	incoming assembly
	lag      lag
	// ownReadAt is when this node itself last read the operators' records. readerSeenAt is when this node last received a heartbeat of the
	// coordinator or a node of lower rank that reads for all nodes.
	ownReadAt, readerSeenAt time.Time
}

// New returns a system that has read no topic.
func New() *System { return &System{operators: newOperatorRecords()} }

// Run implements modeler.System. It runs after the applier.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.TopicRead:
			s.handleRead(world, e)
		case modeler.TopicFailed:
			s.handleFailure(tick.Now, world, e)
		case modeler.TopicListed:
			if e.Topic == modeler.Endpoints {
				// Deleted keys are not among the newest records, so any record before End may have changed an endpoint.
				s.lastChangeEnd = max(s.lastChangeEnd, e.End)
			}
		case modeler.EndpointChanged:
			s.collectChange(world, modeler.EndpointChange{Endpoint: e.Endpoint, ColdFor: e.ColdFor, Offset: e.Offset})
		case modeler.EndpointRemoved:
			s.collectChange(world, modeler.EndpointChange{
				Endpoint: modeler.Endpoint{ID: e.ID}, Offset: e.Offset, Removed: true, Unreadable: e.Unreadable,
			})
		case modeler.PeerReceived:
			s.handleMessage(tick, world, e.Message)
		}
	}
	s.updateReadsForAll(tick.Now, world)
	s.sendChanges(tick, world)
	for i, topic := range topics {
		s.fetch(tick, world, topic, &s.states[i])
	}
	s.lag.report(tick, world.NextOffsets[modeler.Operators], s.states[modeler.Operators].target)
	s.updateReadPositions(tick.Now, world)
	world.HeldState, world.HeldVersion = s.operators.state.ID, s.operators.state.Version
	world.OperatorsBehind = s.states[modeler.Operators].target > world.NextOffsets[modeler.Operators] || s.targetVersion > world.HeldVersion
}

// handleRead updates the topic's state after a read by this node or another one.
func (s *System) handleRead(world *modeler.World, e modeler.TopicRead) {
	if int(e.Topic) >= len(s.states) {
		return
	}
	state := &s.states[e.Topic]
	state.wasRead = true
	if !e.FromPeer {
		state.startedAt, state.backoff = time.Time{}, 0
	}
	if e.Topic == modeler.Operators {
		s.operators.update(e, world.IsHub || sends(world))
	}
	if e.Next.Era() < world.NextOffsets[e.Topic].Era() {
		// The read began before the store came back from a copy.
		return
	}
	if e.Topic == modeler.Endpoints && e.Listed {
		s.listed = true
	}
	if e.Topic == modeler.Operators {
		if !e.FromPeer && e.ConfirmedAt.After(s.ownReadAt) {
			s.ownReadAt = e.ConfirmedAt
		}
	}
	state.target = max(state.target, e.End)
	if state.target <= world.NextOffsets[e.Topic] {
		state.behindSince = time.Time{}
	}
	if e.Next >= world.NextOffsets[e.Topic] {
		confirm(world, e.Topic, e.ConfirmedAt)
	}
}

// confirm records that this node's state of a topic was current at a time.
func confirm(world *modeler.World, topic modeler.Topic, at time.Time) {
	if at.After(world.ConfirmedAt[topic]) {
		world.ConfirmedAt[topic] = at
	}
}

// handleFailure doubles the topic's backoff, up to its limit, after a failed read.
func (s *System) handleFailure(now time.Time, world *modeler.World, e modeler.TopicFailed) {
	if int(e.Topic) >= len(s.states) {
		return
	}
	state := &s.states[e.Topic]
	state.startedAt = time.Time{}
	if e.Topic == modeler.Operators {
		s.lag.fail(e.Reason)
	}
	limit := maxOtherBackoff
	if world.IsHub || !state.wasRead || state.target > world.NextOffsets[e.Topic] || world.Coordinator == "" || world.Coordinates() {
		limit = maxBackoff
	}
	state.backoff = min(max(2*state.backoff, minBackoff), limit)
	state.next = now.Add(state.backoff)
}

// collectChange collects a change for other nodes. Entries that repeat the known state or that the applier has not applied are not sent.
func (s *System) collectChange(world *modeler.World, change modeler.EndpointChange) {
	if applied, _ := world.EndpointOffsets.Get(change.Endpoint.ID); applied != change.Offset {
		return
	}
	known, ok := world.Endpoints.Get(change.Endpoint.ID)
	if !change.Removed && ok {
		if !s.isNew(known, change) {
			return
		}
		change.Endpoint = known
	}
	s.changes = append(s.changes, change)
	s.lastChangeEnd = max(s.lastChangeEnd, change.Offset+1)
}

// isNew reports whether a change has to be sent to other nodes. The applier has already applied it, so the comparison relies on
// ChangeOffset, the offset of the last record that changed more than the cold start. Cold endpoints are always sent.
func (s *System) isNew(known modeler.Endpoint, change modeler.EndpointChange) bool {
	return known.ChangeOffset == change.Offset || change.ColdFor > 0
}

// updateReadsForAll decides whether this node reads the store for all nodes: as the coordinator, or in place of it while neither the
// coordinator nor a node of lower rank does. Its own last read must be recent.
func (s *System) updateReadsForAll(now time.Time, world *modeler.World) {
	world.ReadsForAll = (world.Coordinates() || world.IsHub && now.Sub(s.readerSeenAt) > maxPeerAge) && now.Sub(s.ownReadAt) < maxPeerAge
}

// sendChanges sends the collected changes and the changed operators' records to all nodes.
func (s *System) sendChanges(tick *modeler.Tick, world *modeler.World) {
	end := world.NextOffsets[modeler.Endpoints]
	if s.sentEnd > 0 {
		next := end
		if s.listed {
			next = s.sentEnd
		}
		for _, body := range splitChanges(s.sentEnd, next, s.changes) {
			s.broadcast(tick, world, body)
		}
	}
	s.changes, s.sentEnd, s.listed = nil, end, false
	s.sendChange(tick, world)
}

// splitChanges returns messages with at most maxChanges changes each, which together cover all records from the offset from up to next. A receiver that
// misses one of them does not take the later ones for complete, and reads the store.
func splitChanges(from, next modeler.Position, changes []modeler.EndpointChange) []modeler.EndpointChanges {
	slices.SortStableFunc(changes, func(a, b modeler.EndpointChange) int { return cmp.Compare(a.Offset, b.Offset) })
	var messages []modeler.EndpointChanges
	for len(changes) > 0 {
		count := min(len(changes), maxChanges)
		body := modeler.EndpointChanges{From: from, Next: next, Changes: changes[:count:count]}
		if changes = changes[count:]; len(changes) > 0 {
			body.Next = min(max(from, changes[0].Offset), next)
		}
		messages, from = append(messages, body), body.Next
	}
	return messages
}

// broadcast sends a message to all live nodes if this node reads for all nodes or coordinates.
func (s *System) broadcast(tick *modeler.Tick, world *modeler.World, body modeler.MessageBody) {
	if !sends(world) {
		return
	}
	message := world.Message(body)
	for _, node := range world.Nodes.All() {
		if elector.Live(node, tick.Now) {
			tick.Emit(modeler.Send{To: node, Message: message})
		}
	}
}

// handleMessage processes what another node has read.
func (s *System) handleMessage(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.EndpointChanges:
		if world.NextOffsets[modeler.Endpoints] >= body.From {
			world.NextOffsets[modeler.Endpoints] = max(world.NextOffsets[modeler.Endpoints], body.Next)
		}
		s.lastChangeEnd = max(s.lastChangeEnd, body.Next)
	case modeler.StatePiece:
		s.handlePiece(tick, world, body)
	case modeler.Beat:
		s.handleBeat(tick, world, message.From, body)
		for i, topic := range topics {
			known := body.ReadPositions[i]
			state := &s.states[i]
			state.target = max(state.target, known.LastChangeEnd)
			if state.behindSince.IsZero() && state.target > world.NextOffsets[topic] {
				state.behindSince = tick.Now
			}
			// The end of a topic in another era confirms nothing.
			if !state.wasRead || known.Age > maxPeerAge || world.NextOffsets[topic] < known.LastChangeEnd || known.End.Era() != world.NextOffsets[topic].Era() {
				continue
			}
			world.NextOffsets[topic] = max(world.NextOffsets[topic], known.End)
			if topic == modeler.Endpoints {
				s.lastChangeEnd = max(s.lastChangeEnd, known.LastChangeEnd)
			}
			confirm(world, topic, tick.Now.Add(-known.Age))
		}
	}
}

// handleBeat records that another node reads for all nodes, and which of the operators' records the sender holds.
func (s *System) handleBeat(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, beat modeler.Beat) {
	if beat.ReadsForAll && (from == world.Coordinator || beat.Node.Precedes(world.Self)) {
		s.readerSeenAt = tick.Now
	}
	s.targetVersion = max(s.targetVersion, beat.HoldsVersion)
	s.answerHeartbeat(tick, world, from, beat)
}

// ageLimit returns the age of this node's state at which it reads the store itself.
func ageLimit(world *modeler.World) time.Duration {
	if world.IsHub {
		return maxAge
	}
	return maxAge + readerGrace
}

// fetch starts a read if one is due and none is in progress.
func (s *System) fetch(tick *modeler.Tick, world *modeler.World, topic modeler.Topic, state *topicState) {
	if !state.startedAt.IsZero() && tick.Now.Sub(state.startedAt) < fetchTimeout {
		return
	}
	behind := state.target > world.NextOffsets[topic]
	if behind && topic == modeler.Operators && world.Coordinator != "" && !world.Coordinates() {
		if due := state.behindSince.Add(deliveryGrace); tick.Now.Before(due) {
			behind = false
			tick.WakeAt(due)
		}
	}
	outdated := tick.Now.Sub(world.ConfirmedAt[topic]) >= ageLimit(world)
	polls := world.Coordinates() || world.Coordinator == "" || world.ReadsForAll
	if !behind && !outdated && !polls {
		tick.WakeAt(world.ConfirmedAt[topic].Add(ageLimit(world)))
		return
	}
	if tick.Now.Before(state.next) {
		tick.WakeAt(state.next)
		return
	}
	interval := operatorInterval
	if topic == modeler.Endpoints {
		interval = endpointInterval
	}
	wait := pollWait
	if behind || !polls {
		wait = 0
	}
	state.startedAt, state.next = tick.Now, tick.Now.Add(interval)
	tick.Emit(modeler.Fetch{Topic: topic, From: world.NextOffsets[topic], Wait: wait, Newest: readsNewest(topic, state, world)})
}

// readsNewest reports whether the newest record of each key is read instead of all missing ones. Each configuration replaces the one before, so that only
// the last one is needed, and a listing may take longer than a read.
func readsNewest(topic modeler.Topic, state *topicState, world *modeler.World) bool {
	missing := state.target - world.NextOffsets[topic]
	return topic == modeler.Operators && (missing > 1 || missing == 1 && state.backoff > 0)
}

// updateReadPositions sets world.ReadPositions, which other nodes receive with each heartbeat.
func (s *System) updateReadPositions(now time.Time, world *modeler.World) {
	for i, topic := range topics {
		known := modeler.ReadPosition{End: world.NextOffsets[topic], LastChangeEnd: world.NextOffsets[topic], Age: now.Sub(world.ConfirmedAt[i])}
		if topic == modeler.Endpoints {
			known.LastChangeEnd = min(s.lastChangeEnd, known.End)
		}
		world.ReadPositions[i] = known
	}
}
