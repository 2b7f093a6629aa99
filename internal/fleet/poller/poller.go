// Package poller decides when this node reads the store. Calls to the store have a price and a limit that all nodes share, so one node reads
// continuously and sends what it read to the others: the coordinator, or while the store rejects the coordinator's calls, the node of lowest
// rank whose calls succeed. The others read when they receive no messages, or when the messages do not contain all records.
package poller

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// pollWait is how long the store holds a read without records. The sum of it and the heartbeat interval must stay below maxAge.
	pollWait = 600 * time.Millisecond
	// maxAge is the age of a node's state at which the node reads the store itself. The sum of it, one heartbeat interval and one read stays
	// below the two seconds within which operators' changes and leaving endpoints must be known.
	maxAge = 1200 * time.Millisecond
	// readerGrace is added to maxAge on nodes that do not elect: the time that an electing node needs for a read and a datagram.
	readerGrace = 200 * time.Millisecond
	// maxPeerAge is the maximum age of state that is accepted from another node, of its statement that it reads for all nodes, and of this
	// node's last read while it does so.
	maxPeerAge = time.Second
	// deliveryGrace is how long a node that lacks records waits for them from the node that reads for all nodes, which sends them after each
	// heartbeat.
	deliveryGrace = 300 * time.Millisecond
	// endpointInterval is the minimum time between two reads of the endpoints' entries, which engines write often.
	endpointInterval = 300 * time.Millisecond
	// operatorInterval is the minimum time between two reads of the operators' records.
	operatorInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxOtherBackoff bounds the pause of nodes that do not elect. They receive the records from the electing nodes once the store responds
	// again.
	maxOtherBackoff = 2 * time.Second
	// fetchTimeout is the time after which a read without a result is considered lost.
	fetchTimeout = 6 * time.Second
)

// topics lists the topics that change while a node runs, in the order of their numbers.
var topics = [...]modeler.Topic{modeler.Operators, modeler.Endpoints}

// topicState holds the schedule and progress of the reads of one topic.
type topicState struct {
	// startedAt is the start of the read in progress, or zero.
	startedAt time.Time
	// next is the earliest start of the next read.
	next    time.Time
	backoff time.Duration
	// target is the offset up to which another node has read, and behindSince is when this node was found to have read less, or zero.
	target      int64
	behindSince time.Time
	// listed is set after the first successful read.
	listed bool
}

// System decides when topics are read, and sends changes of endpoints and operators' records to other nodes.
type System struct {
	states [len(topics)]topicState
	// changes holds the changes of endpoints that were not sent to other nodes yet. Records before the offset sent are covered.
	changes []modeler.EndpointChange
	sent    int64
	// material is the offset after the last endpoint record that changed an endpoint.
	material int64

	operators operatorRecords
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
				s.material = max(s.material, e.End)
			}
		case modeler.EndpointChanged:
			s.collectChange(world, modeler.EndpointChange{Endpoint: e.Endpoint, ColdFor: e.ColdFor, Offset: e.Offset})
		case modeler.EndpointRemoved:
			s.collectChange(world, modeler.EndpointChange{
				Endpoint: modeler.Endpoint{ID: e.ID}, Offset: e.Offset, Removed: true, Unreadable: e.Unreadable,
			})
		case modeler.PeerReceived:
			s.receive(tick, world, e.Message)
		}
	}
	s.updateReadsForAll(tick.Now, world)
	s.sendChanges(tick, world)
	for i, topic := range topics {
		s.fetch(tick, world, topic, &s.states[i])
	}
	s.updateKnown(tick.Now, world)
}

// handleRead updates the topic's state after a read by this node or another one.
func (s *System) handleRead(world *modeler.World, e modeler.TopicRead) {
	if int(e.Topic) >= len(s.states) {
		return
	}
	r := &s.states[e.Topic]
	r.listed = true
	if !e.FromPeer {
		r.startedAt, r.backoff = time.Time{}, 0
	}
	if e.Topic == modeler.Operators {
		s.operators.update(e)
		if !e.FromPeer && e.ConfirmedAt.After(s.ownReadAt) {
			s.ownReadAt = e.ConfirmedAt
		}
	}
	if r.target <= world.NextOffsets[e.Topic] {
		r.behindSince = time.Time{}
	}
	confirm(world, e.Topic, e.ConfirmedAt)
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
	r := &s.states[e.Topic]
	r.startedAt = time.Time{}
	limit := maxOtherBackoff
	if world.IsHub || !r.listed || world.Coordinator == "" || world.Coordinates() {
		limit = maxBackoff
	}
	r.backoff = min(max(2*r.backoff, minBackoff), limit)
	r.next = now.Add(r.backoff)
}

// collectChange collects a change for other nodes. Entries that repeat the known state are not sent.
func (s *System) collectChange(world *modeler.World, change modeler.EndpointChange) {
	known, ok := world.Endpoints.Get(change.Endpoint.ID)
	if !change.Removed && ok && !s.isNew(known, change) {
		return
	}
	s.changes = append(s.changes, change)
	s.material = max(s.material, change.Offset+1)
}

// isNew reports whether a change has to be sent to other nodes. The applier has already applied it, so the comparison relies on ChangedAt, the
// offset of the last record that changed more than the cold start. Cold endpoints are always sent.
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
	if len(s.changes) > 0 && s.sent > 0 {
		s.broadcast(tick, world, modeler.EndpointNews{From: s.sent, Next: end, Changes: s.changes})
	}
	s.changes, s.sent = nil, end
	if state, ok := s.operators.changedState(); ok {
		state.Age = tick.Now.Sub(world.ConfirmedAt[modeler.Operators])
		s.broadcast(tick, world, state)
	}
}

// broadcast sends a message to all live nodes if this node reads for them or coordinates.
func (s *System) broadcast(tick *modeler.Tick, world *modeler.World, body modeler.MessageBody) {
	if !world.ReadsForAll && !world.Coordinates() {
		return
	}
	message := world.Message(body)
	for _, node := range world.Nodes.All() {
		if elector.Live(node, tick.Now) {
			tick.Emit(modeler.Send{To: node, Message: message})
		}
	}
}

// receive processes what another node has read.
func (s *System) receive(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.EndpointNews:
		if world.NextOffsets[modeler.Endpoints] >= body.From {
			world.NextOffsets[modeler.Endpoints] = max(world.NextOffsets[modeler.Endpoints], body.Next)
		}
		s.material = max(s.material, body.Next)
	case modeler.OperatorState:
		if body.Next > world.NextOffsets[modeler.Operators] {
			tick.Emit(modeler.Deliver{
				Topic: modeler.Operators, Page: modeler.Page{Records: body.Records, Next: body.Next}, ConfirmedAt: tick.Now.Add(-body.Age),
			})
		}
	case modeler.Beat:
		s.handleBeat(tick, world, message.From, body)
		for i, topic := range topics {
			known := body.Known[i]
			r := &s.states[i]
			r.target = max(r.target, known.LastChangeEnd)
			if r.behindSince.IsZero() && r.target > world.NextOffsets[topic] {
				r.behindSince = tick.Now
			}
			if !r.listed || known.Age > maxPeerAge || world.NextOffsets[topic] < known.LastChangeEnd {
				continue
			}
			world.NextOffsets[topic] = max(world.NextOffsets[topic], known.End)
			if topic == modeler.Endpoints {
				s.material = max(s.material, known.LastChangeEnd)
			}
			confirm(world, topic, tick.Now.Add(-known.Age))
		}
	}
}

// handleBeat records that another node reads for all nodes, and sends the operators' records to the sender if it lacks some.
func (s *System) handleBeat(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, beat modeler.Beat) {
	if beat.ReadsForAll && (from == world.Coordinator || beat.Node.Rank < world.Self.Rank) {
		s.readerSeenAt = tick.Now
	}
	peer, ok := world.Nodes.Get(from)
	if !ok || !world.ReadsForAll && !world.Coordinates() || beat.Known[modeler.Operators].End >= s.operators.next {
		return
	}
	if state, ok := s.operators.state(); ok {
		state.Age = tick.Now.Sub(world.ConfirmedAt[modeler.Operators])
		tick.Emit(modeler.Send{To: peer, Message: world.Message(state)})
	}
}

// ageLimit returns the age of this node's state at which it reads the store itself.
func ageLimit(world *modeler.World) time.Duration {
	if world.IsHub {
		return maxAge
	}
	return maxAge + readerGrace
}

// fetch starts a read if one is due and none is in progress.
func (s *System) fetch(tick *modeler.Tick, world *modeler.World, topic modeler.Topic, r *topicState) {
	if !r.startedAt.IsZero() && tick.Now.Sub(r.startedAt) < fetchTimeout {
		return
	}
	behind := r.target > world.NextOffsets[topic]
	if behind && topic == modeler.Operators && world.Coordinator != "" && !world.Coordinates() {
		if due := r.behindSince.Add(deliveryGrace); tick.Now.Before(due) {
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
	if tick.Now.Before(r.next) {
		tick.WakeAt(r.next)
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
	r.startedAt, r.next = tick.Now, tick.Now.Add(interval)
	tick.Emit(modeler.Fetch{Topic: topic, From: world.NextOffsets[topic], Wait: wait})
}

// updateKnown sets world.Known, which tells other nodes up to where this node knows each topic and when that was current.
func (s *System) updateKnown(now time.Time, world *modeler.World) {
	for i, topic := range topics {
		known := modeler.ReadPosition{End: world.NextOffsets[topic], LastChangeEnd: world.NextOffsets[topic], Age: now.Sub(world.ConfirmedAt[i])}
		if topic == modeler.Endpoints {
			known.LastChangeEnd = min(s.material, known.End)
		}
		world.ReadPositions[i] = known
	}
}
