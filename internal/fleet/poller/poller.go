// Package poller decides when this node reads the store. Calls to the store are priced and limited over all nodes, so that one node reads
// all the time and tells the others: the coordinator, or while the store turns it away, the node of lowest rank that is served. The others
// read when they hear nothing, or when what they were told is not enough.
package poller

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// pollWait is how long the store holds a read without records. Together with the interval of beats it stays below maxAge.
	pollWait = 600 * time.Millisecond
	// maxAge is the age of what a node knows at which it reads for itself. With one beat and one read it stays below the two seconds in
	// which operators' changes and leaving endpoints must be known.
	maxAge = 1200 * time.Millisecond
	// readerGrace is how much longer nodes that do not elect wait for the word of those that do: a read and a datagram.
	readerGrace = 200 * time.Millisecond
	// trustAge is the age at which another node's word still counts.
	trustAge = time.Second
	// newsGrace is how long a node that is behind waits for the records from the node that reads for all, which sends them after each beat.
	newsGrace = 300 * time.Millisecond
	// endpointInterval is the shortest time between two reads of the endpoints' entries, which engines write often.
	endpointInterval = 300 * time.Millisecond
	// operatorInterval is the same for what operators write.
	operatorInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxOtherBackoff is the longest pause of nodes that do not elect. Those that elect notice the return of the store and tell them.
	maxOtherBackoff = 2 * time.Second
	// fetchTimeout is when a read that did not report back counts as lost.
	fetchTimeout = 6 * time.Second
)

// topics are those that change while a node runs.
var topics = [...]modeler.Topic{modeler.Operators, modeler.Endpoints}

// reading is the state of one topic.
type reading struct {
	// asked is when a read began that has not reported back; zero if none runs.
	asked time.Time
	// next is the earliest time of the next read.
	next    time.Time
	backoff time.Duration
	// target is the offset that another node has read up to, and behind when this node learnt that it has not.
	target int64
	behind time.Time
	listed bool
}

// System decides when topics are read and passes on changes of endpoints.
type System struct {
	readings [len(topics)]reading
	// changes holds the changes of endpoints since the last message to other nodes, which covered everything before sent.
	changes []modeler.EndpointChange
	sent    int64
	// material is the end of the last record of an endpoint that changed something.
	material int64

	operators operators
	// ownRead is when this node last read for itself what operators wrote, and readerHeardAt when a node that comes before it last said that
	// it reads for all.
	ownRead, readerHeardAt time.Time
}

// New returns the system.
func New() *System { return &System{operators: newOperators()} }

// Run implements modeler.System. It runs after the applier.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.TopicRead:
			s.read(world, e)
		case modeler.TopicFailed:
			s.failed(tick.Now, world, e)
		case modeler.TopicListed:
			if e.Topic == modeler.Endpoints {
				// Keys that were dropped are not among the newest records, so that any record before may have changed something.
				s.material = max(s.material, e.End)
			}
		case modeler.EndpointChanged:
			s.changed(world, modeler.EndpointChange{Endpoint: e.Endpoint, ColdFor: e.ColdFor, Offset: e.Offset})
		case modeler.EndpointRemoved:
			s.changed(world, modeler.EndpointChange{
				Endpoint: modeler.Endpoint{ID: e.ID}, Offset: e.Offset, Removed: true, Unreadable: e.Unreadable,
			})
		case modeler.PeerReceived:
			s.receive(tick, world, e.Message)
		}
	}
	s.settleReader(tick.Now, world)
	s.tell(tick, world)
	for i, topic := range topics {
		s.fetch(tick, world, topic, &s.readings[i])
	}
	s.publish(tick.Now, world)
}

func (s *System) read(world *modeler.World, e modeler.TopicRead) {
	if int(e.Topic) >= len(s.readings) {
		return
	}
	r := &s.readings[e.Topic]
	r.listed = true
	if !e.FromPeer {
		r.asked, r.backoff = time.Time{}, 0
	}
	if e.Topic == modeler.Operators {
		s.operators.keep(e)
		if !e.FromPeer && e.Current.After(s.ownRead) {
			s.ownRead = e.Current
		}
	}
	if r.target <= world.Ends[e.Topic] {
		r.behind = time.Time{}
	}
	confirm(world, e.Topic, e.Current)
}

// confirm notes that what this node knows was current at a time.
func confirm(world *modeler.World, topic modeler.Topic, at time.Time) {
	if at.After(world.ConfirmedAt[topic]) {
		world.ConfirmedAt[topic] = at
	}
}

func (s *System) failed(now time.Time, world *modeler.World, e modeler.TopicFailed) {
	if int(e.Topic) >= len(s.readings) {
		return
	}
	r := &s.readings[e.Topic]
	r.asked = time.Time{}
	longest := maxOtherBackoff
	if world.IsHub || !r.listed || world.Coordinator == "" || world.Coordinates() {
		longest = maxBackoff
	}
	r.backoff = min(max(2*r.backoff, minBackoff), longest)
	r.next = now.Add(r.backoff)
}

// changed collects a change for other nodes. Entries that repeat what is known are not passed on.
func (s *System) changed(world *modeler.World, change modeler.EndpointChange) {
	known, ok := world.Endpoints.Get(change.Endpoint.ID)
	if !change.Removed && ok && !s.differs(known, change) {
		return
	}
	s.changes = append(s.changes, change)
	s.material = max(s.material, change.Offset+1)
}

// differs tells whether an entry says something that this node has not passed on. The applier has taken it over already, so that only what
// it remembers of the time before can tell; cold endpoints are always passed on.
func (s *System) differs(known modeler.Endpoint, change modeler.EndpointChange) bool {
	return known.ChangedAt == change.Offset || change.ColdFor > 0
}

// settleReader settles whether this node reads the store for all: as the coordinator, or in its place while no node that comes before does.
func (s *System) settleReader(now time.Time, world *modeler.World) {
	world.ReadsForAll = (world.Coordinates() || world.IsHub && now.Sub(s.readerHeardAt) > trustAge) && now.Sub(s.ownRead) < trustAge
}

// tell sends what is new to all nodes.
func (s *System) tell(tick *modeler.Tick, world *modeler.World) {
	end := world.Ends[modeler.Endpoints]
	if len(s.changes) > 0 && s.sent > 0 {
		s.tellAll(tick, world, modeler.EndpointNews{From: s.sent, Next: end, Changes: s.changes})
	}
	s.changes, s.sent = nil, end
	if state, ok := s.operators.news(); ok {
		state.Age = tick.Now.Sub(world.ConfirmedAt[modeler.Operators])
		s.tellAll(tick, world, state)
	}
}

// tellAll sends a message to all live nodes if this node reads for them.
func (s *System) tellAll(tick *modeler.Tick, world *modeler.World, body modeler.MessageBody) {
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

// receive takes over what another node has read.
func (s *System) receive(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.EndpointNews:
		if world.Ends[modeler.Endpoints] >= body.From {
			world.Ends[modeler.Endpoints] = max(world.Ends[modeler.Endpoints], body.Next)
		}
		s.material = max(s.material, body.Next)
	case modeler.OperatorState:
		if body.Next > world.Ends[modeler.Operators] {
			tick.Emit(modeler.Deliver{
				Topic: modeler.Operators, Page: modeler.Page{Records: body.Records, Next: body.Next}, Current: tick.Now.Add(-body.Age),
			})
		}
	case modeler.Beat:
		s.heard(tick, world, message.From, body)
		for i, topic := range topics {
			known := body.Known[i]
			r := &s.readings[i]
			r.target = max(r.target, known.LastChangeEnd)
			if r.behind.IsZero() && r.target > world.Ends[topic] {
				r.behind = tick.Now
			}
			if !r.listed || known.Age > trustAge || world.Ends[topic] < known.LastChangeEnd {
				continue
			}
			world.Ends[topic] = max(world.Ends[topic], known.End)
			if topic == modeler.Endpoints {
				s.material = max(s.material, known.LastChangeEnd)
			}
			confirm(world, topic, tick.Now.Add(-known.Age))
		}
	}
}

// heard notes who else reads for all, and sends the operators' records to a node that lacks some.
func (s *System) heard(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, beat modeler.Beat) {
	if beat.ReadsForAll && (from == world.Coordinator || beat.Node.Rank < world.Self.Rank) {
		s.readerHeardAt = tick.Now
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

// longestAge is the age of what this node knows at which it reads for itself.
func longestAge(world *modeler.World) time.Duration {
	if world.IsHub {
		return maxAge
	}
	return maxAge + readerGrace
}

// fetch begins a read if one is due.
func (s *System) fetch(tick *modeler.Tick, world *modeler.World, topic modeler.Topic, r *reading) {
	if !r.asked.IsZero() && tick.Now.Sub(r.asked) < fetchTimeout {
		return
	}
	behind := r.target > world.Ends[topic]
	if behind && topic == modeler.Operators && world.Coordinator != "" && !world.Coordinates() {
		if due := r.behind.Add(newsGrace); tick.Now.Before(due) {
			behind = false
			tick.WakeAt(due)
		}
	}
	old := tick.Now.Sub(world.ConfirmedAt[topic]) >= longestAge(world)
	alone := world.Coordinates() || world.Coordinator == "" || world.ReadsForAll
	if !behind && !old && !alone {
		tick.WakeAt(world.ConfirmedAt[topic].Add(longestAge(world)))
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
	if behind || !alone {
		wait = 0
	}
	r.asked, r.next = tick.Now, tick.Now.Add(interval)
	tick.Emit(modeler.Fetch{Topic: topic, From: world.Ends[topic], Wait: wait})
}

// publish tells the other systems what this node knows and how recently.
func (s *System) publish(now time.Time, world *modeler.World) {
	for i, topic := range topics {
		known := modeler.ReadPosition{End: world.Ends[topic], LastChangeEnd: world.Ends[topic], Age: now.Sub(world.ConfirmedAt[i])}
		if topic == modeler.Endpoints {
			known.LastChangeEnd = min(s.material, known.End)
		}
		world.Known[i] = known
	}
}
