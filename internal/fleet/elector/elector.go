// Package elector detects which nodes are alive and elects the one that coordinates placement. There is no vote: each node elects the node
// that precedes all others, by processor capacity and then by rank, among those from which it received a message recently and that are not
// leaving. Ranks are offsets in the store. Two
// coordinators at the same time lower the quality of placement but never affect safety.
package elector

import (
	"cmp"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// beatInterval is the time between two heartbeats that a node exchanges with its coordinator.
	beatInterval = 250 * time.Millisecond
	// coordinatorTimeout is the time without messages after which a coordinator is replaced: three heartbeats and the delay of a datagram.
	coordinatorTimeout = 800 * time.Millisecond
	// helloInterval is the time between two hellos: heartbeats to nodes other than the coordinator, by which nodes detect each other even if
	// the coordinator fails.
	helloInterval = time.Second
	// nodeTimeout is the time without messages after which any other node counts as dead: two hello intervals and some delay.
	nodeTimeout = 2500 * time.Millisecond
	// reportTimeout is the time without messages after which a node counts as dead that only other nodes receive messages from. It is longer than
	// nodeTimeout by a heartbeat and its delay, since a report is that old when the coordinator sends it.
	reportTimeout = 3 * time.Second
	// assumedTime is the time after a pause within which a node receives a digest: the interval of digests, and the time in which digests from before
	// the pause may arrive.
	assumedTime = 1500 * time.Millisecond
	// hubCount is the number of hubs: the nodes that precede all others, which send hellos to all others. The other nodes send hellos only to the
	// hubs, so that the number of messages grows with the number of nodes and not with its square.
	hubCount = 6
	// digestEvery is the number of the coordinator's heartbeats per digest: two digests fit into reportTimeout. The coordinator also sends one
	// with every hello, and with the next heartbeat after a broken attempt.
	digestEvery = 4
	// handoverTime is how long nodes tell a new coordinator the fingerprints that the one before listed: several heartbeats. It may have just
	// started and know none.
	handoverTime = 2 * time.Second
	// maxRunning is the mean number of running requests in a heartbeat. Those of a node that serves more are spread over several heartbeats: one with
	// 400 requests exceeds the largest datagram and would never be sent.
	maxRunning = 100
	// silentNodeTimeout is the time without messages from a node after which only hellos are sent to it. A node that comes back sends hellos
	// itself.
	silentNodeTimeout = 20 * time.Second
)

// System tracks the live nodes and elects the coordinator.
type System struct {
	nextBeat, nextHello time.Time
	// doubted is set if the coordinator did not respond to a request before the last tick.
	doubted bool
	beats   int
	// suspectsRevision is the revision of World.BrokenAttempts at the last digest.
	suspectsRevision uint64
	// era is the highest era of the store that this node has seen, and zero before the first one.
	era int64
	// live holds the incarnations of the nodes for which Live reported true at the last heartbeat.
	live map[modeler.NodeID]uint64
	// announced counts, by incarnation, the digests that contained a node since it started.
	announced map[uint64]int
	// nextAlive, modulo the number of live nodes, is the index at which the rotation through them continues in the next digest.
	nextAlive int
	// loads summarises the load of all endpoints for the digest; it may be nil.
	loads func(now time.Time, world *modeler.World) map[modeler.EndpointID]modeler.LoadSummary
	// costs summarises what was learned of requests for the digest; it may be nil.
	costs func(now time.Time, world *modeler.World) []modeler.CostSummary
}

// WithCosts returns the system with a function that summarises what was learned of requests for the digest.
func (s *System) WithCosts(costs func(time.Time, *modeler.World) []modeler.CostSummary) *System {
	s.costs = costs
	return s
}

// New returns a System. loads summarises the load of all endpoints for the digest; it may be nil.
func New(loads func(time.Time, *modeler.World) map[modeler.EndpointID]modeler.LoadSummary) *System {
	return &System{loads: loads, announced: map[uint64]int{}, live: map[modeler.NodeID]uint64{}}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	if pausedAt, ok := world.Resumed(); ok {
		assumeAlive(tick.Now, world, pausedAt)
	}
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.SelfRegistered:
			world.Self = world.Self.WithRank(e.Rank)
			tick.Emit(modeler.LogEvent{Name: modeler.LogEventNodeRegistered, Fields: []modeler.LogField{{Key: "Rank", Value: e.Rank}}})
			s.nextBeat, s.nextHello = tick.Now, tick.Now
			if e.Rank.Era() < s.era {
				tick.Emit(modeler.RegisterAgain{})
			}
		case modeler.StoreRestored:
			s.handleRestored(tick, world, e.Era)
		case modeler.NodeRegistered:
			if _, known := world.Nodes.Get(e.Node.ID); known && e.Again {
				continue
			}
			mergeNode(world, e.Node)
			s.nextHello = tick.Now
		case modeler.LeaveRequested:
			world.Self, world.AddressUntil, world.StopAt = world.Self.WithLeaving(true), e.AddressUntil, e.StopAt
			s.nextBeat, s.nextHello = tick.Now, tick.Now
		case modeler.PeerReceived:
			s.handleMessage(tick, world, e.Message)
		}
	}
	s.elect(tick, world)
	if world.CoordinatorUnresponsive && !s.doubted {
		// The deputy needs to know what runs.
		s.nextBeat = tick.Now
	}
	s.doubted = world.CoordinatorUnresponsive
	s.beat(tick, world)
}

// handleRestored has this node registered again after the store has come back from a copy, which may lack its registration: nodes that start later find the
// others by it.
func (s *System) handleRestored(tick *modeler.Tick, world *modeler.World, era int64) {
	if s.era > 0 && era > s.era && world.Self.Rank != modeler.UnregisteredRank {
		tick.Emit(modeler.RegisterAgain{})
	}
	s.era = max(s.era, era)
}

// assumeAlive lets callers use the nodes that were live before a pause until this node has received a digest. It would otherwise name only itself.
func assumeAlive(now time.Time, world *modeler.World, pausedAt time.Time) {
	for id, node := range world.Nodes.All() {
		if Live(node, pausedAt) {
			world.Nodes.Put(id, node.WithAssumed(now.Add(assumedTime)))
		}
	}
}

// mergeNode adds a node, or replaces a known node by a newer incarnation. It reports whether the table changed.
func mergeNode(world *modeler.World, node modeler.Node) bool {
	if node.ID == world.Self.ID || node.ID == "" {
		return false
	}
	known, ok := world.Nodes.Get(node.ID)
	if ok && (known.Incarnation == node.Incarnation || known.Rank != modeler.UnregisteredRank && node.Rank < known.Rank) {
		return false
	}
	world.Nodes.Put(node.ID, node)
	return true
}

func (s *System) handleMessage(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.Beat:
		if known, ok := world.Nodes.Get(message.From); ok && known.Incarnation != message.Incarnation && known.LastSeenAt.IsZero() && message.From == body.Node.ID {
			// The registration that this node has read may be of an earlier process: the store may have come back from a copy, whose ranks are of the
			// later era.
			world.Nodes.Delete(message.From)
		}
		if mergeNode(world, body.Node) {
			s.nextHello = tick.Now
			if message.From == world.Coordinator {
				world.CoordinatorSince = tick.Now
			}
		}
		known, ok := world.Nodes.Get(message.From)
		if !ok || known.Incarnation != message.Incarnation {
			return
		}
		known = known.WithLeaving(body.Node.Leaving).WithRank(body.Node.Rank).WithMilliCores(body.Node.MilliCores).WithCoordinates(body.Coordinates)
		world.Nodes.Put(message.From, known)
	case modeler.Digest:
		if known, ok := world.Nodes.Get(message.From); !ok || known.Incarnation != message.Incarnation {
			return
		}
		s.applyDigest(tick.Now, world, body)
		if message.From == world.Coordinator {
			world.Loads, world.LoadsAt = body.Loads, tick.Now
		}
	}
	known, ok := world.Nodes.Get(message.From)
	if !ok || known.Incarnation != message.Incarnation || world.ReceivesStaleMessages(tick.Now) {
		return
	}
	world.Nodes.Put(message.From, known.WithLastSeen(tick.Now))
	if message.From == world.Coordinator {
		world.CoordinatorUnresponsive = false
	}
}

// Live reports whether this node received a message from the node within nodeTimeout or, according to digests, another node did so within
// reportTimeout.
func Live(node modeler.Node, now time.Time) bool {
	return within(node.LastSeenAt, now, nodeTimeout) || within(node.ReportedAt, now, reportTimeout)
}

// within reports whether at is set and less than limit ago.
func within(at, now time.Time, limit time.Duration) bool { return !at.IsZero() && now.Sub(at) < limit }

// announced returns this node as other nodes know it: without its capacity until it has read the store and could coordinate.
func announced(world *modeler.World) modeler.Node {
	if !world.Configuration.Loaded() || world.ConfirmedAt[modeler.Endpoints].IsZero() {
		return world.Self.WithMilliCores(0)
	}
	return world.Self
}

// candidate returns this node as a candidate for the coordinator. A node that is leaving is preferred to no other.
func candidate(world *modeler.World) modeler.Node {
	self := announced(world)
	if self.Leaving {
		self.Rank = modeler.UnregisteredRank
	}
	return self
}

func comparePrecedence(a, b modeler.Node) int {
	switch {
	case a.Precedes(b):
		return -1
	case b.Precedes(a):
		return 1
	default:
		return cmp.Compare(a.ID, b.ID)
	}
}

// elect chooses as coordinator the node that precedes all others among this node and those from which it received a message recently and that
// are not leaving. If this node is leaving, it is chosen only when there is no other.
func (s *System) elect(tick *modeler.Tick, world *modeler.World) {
	best := candidate(world)
	for id, node := range world.Nodes.All() {
		// A coordinator must be reachable from this node: reports by other nodes do not count.
		if node.Leaving || !node.Precedes(best) || !within(node.LastSeenAt, tick.Now, nodeTimeout) {
			continue
		}
		// A coordinator sends heartbeats at short intervals, so the short timeout applies to it, counted from its election at the earliest. A
		// node that does not coordinate sends this node heartbeats at the longer intervals only.
		if id == world.Coordinator && node.Coordinates && tick.Now.Sub(later(node.LastSeenAt, world.CoordinatorSince)) > coordinatorTimeout {
			continue
		}
		best = node
	}
	if world.Coordinator != "" && world.Coordinator != world.Self.ID {
		tick.WakeAt(tick.Now.Add(coordinatorTimeout / 4))
	}
	if best.ID == world.Coordinator {
		return
	}
	if old, ok := world.Nodes.Get(world.Coordinator); ok && !old.Leaving && Live(old, tick.Now) && old.Precedes(best) {
		// The old coordinator timed out. It counts as dead until a message from it, or a digest that reports it as alive, is
		// received; only a message makes it electable again.
		old.LastSeenAt, old.ReportedAt = time.Time{}, time.Time{}
		world.Nodes.Put(old.ID, old)
	}
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventCoordinatorChanged, Fields: []modeler.LogField{
		{Key: "Coordinator", Value: string(best.ID)}, {Key: "Replaced", Value: string(world.Coordinator)}, {Key: "Rank", Value: best.Rank},
	}})
	world.Coordinator, world.CoordinatorSince, world.CoordinatorUnresponsive = best.ID, tick.Now, false
	s.nextBeat = tick.Now
}

// PlacingNode returns the node that places this node's requests for engines: the coordinator or, if it does not respond, its deputy. It returns
// false if this node places them itself.
func PlacingNode(world *modeler.World, now time.Time) (modeler.Node, bool) {
	if world.CoordinatorUnresponsive {
		return Deputy(world, now)
	}
	return world.Nodes.Get(world.Coordinator)
}

// Deputy returns the node that places requests while the coordinator does not respond: the one that is elected if the coordinator has failed. It
// returns false if this node is the deputy itself.
func Deputy(world *modeler.World, now time.Time) (modeler.Node, bool) {
	best := candidate(world)
	for id, node := range world.Nodes.All() {
		if id != world.Coordinator && !node.Leaving && node.Precedes(best) && within(node.LastSeenAt, now, nodeTimeout) {
			best = node
		}
	}
	return best, best.ID != world.Self.ID
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beat sends heartbeats. The coordinator, and a node that reads the store for all, send them to all nodes. Other nodes send them to the
// coordinator, to its deputy while it does not respond, and at helloInterval also to the hubs, or to all nodes if they are hubs themselves. A node that has been silent for
// silentNodeTimeout is sent a heartbeat only at helloInterval.
func (s *System) beat(tick *modeler.Tick, world *modeler.World) {
	if world.SuspectsDue {
		s.nextBeat = tick.Now
	}
	if tick.Now.Before(s.nextBeat) && tick.Now.Before(s.nextHello) {
		tick.WakeAt(earlier(s.nextBeat, s.nextHello))
		return
	}
	s.logTimeouts(tick, world)
	hello := !tick.Now.Before(s.nextHello)
	messages := s.beatMessages(tick.Now, world)
	var digest *modeler.Digest
	if world.Coordinates() {
		revision := world.BrokenAttempts.Revision()
		if s.beats++; s.beats%digestEvery == 0 || hello || world.SuspectsDue || revision != s.suspectsRevision {
			s.suspectsRevision = revision
			digest = s.digest(tick.Now, world)
			world.SuspectsSentAt = tick.Now
		}
	}
	world.SuspectsDue = false
	var placing modeler.NodeID
	if node, ok := PlacingNode(world, tick.Now); ok {
		placing = node.ID
	}
	hubs, isHub := hubNodes(tick.Now, world)
	world.IsHub = isHub
	for id, node := range world.Nodes.All() {
		if !node.LastSeenAt.IsZero() && tick.Now.Sub(node.LastSeenAt) > silentNodeTimeout && !hello {
			continue
		}
		if world.Coordinates() || world.ReadsForAll || id == world.Coordinator || id == placing || hello && (isHub || hubs[id]) {
			for _, message := range messages {
				tick.Emit(modeler.Send{To: node, Message: message})
			}
			if digest != nil {
				tick.Emit(modeler.Send{To: node, Message: world.Message(*digest)})
			}
		}
	}
	s.nextBeat = tick.Now.Add(beatInterval)
	if hello {
		s.nextHello = tick.Now.Add(helloInterval)
	}
	tick.WakeAt(earlier(s.nextBeat, s.nextHello))
}

// logTimeouts logs the nodes that have stopped being live since the last heartbeat without leaving or restarting.
func (s *System) logTimeouts(tick *modeler.Tick, world *modeler.World) {
	for id, node := range world.Nodes.All() {
		if Live(node, tick.Now) && !node.Leaving {
			s.live[id] = node.Incarnation
			continue
		}
		if incarnation, ok := s.live[id]; ok && incarnation == node.Incarnation && !node.Leaving {
			fields := []modeler.LogField{{Key: "Node", Value: string(id)}, {Key: "Coordinator", Value: string(world.Coordinator)}}
			if !node.LastSeenAt.IsZero() {
				fields = append(fields, modeler.LogField{Key: "SinceMessage", Value: tick.Now.Sub(node.LastSeenAt)})
			}
			if !node.ReportedAt.IsZero() {
				fields = append(fields, modeler.LogField{Key: "SinceReport", Value: tick.Now.Sub(node.ReportedAt)})
			}
			tick.Emit(modeler.LogEvent{Name: modeler.LogEventNodeTimedOut, Fields: fields})
		}
		delete(s.live, id)
	}
}

// hubNodes returns the other nodes among the hubs, and whether this node is a hub. Dead nodes are excluded: they stay in the table, and
// without the exclusion all hubs would be dead nodes after some time. Nodes from which no message was received yet count as candidates.
func hubNodes(now time.Time, world *modeler.World) (others map[modeler.NodeID]bool, self bool) {
	nodes := []modeler.Node{announced(world)}
	for _, node := range world.Nodes.All() {
		if Live(node, now) || node.LastSeenAt.IsZero() {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, comparePrecedence)
	others = map[modeler.NodeID]bool{}
	for _, node := range nodes[:min(len(nodes), hubCount)] {
		if node.ID == world.Self.ID {
			self = true
			continue
		}
		others[node.ID] = true
	}
	return others, self
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// beatMessages returns a heartbeat with the requests of this node that are running, and with the suspects for a new coordinator. If many requests are running,
// it returns several heartbeats, each with a part of them.
func (s *System) beatMessages(now time.Time, world *modeler.World) []modeler.Message {
	body := modeler.Beat{Node: announced(world), Coordinates: world.Coordinates(), ReadPositions: world.ReadPositions, ReadsForAll: world.ReadsForAll, Holds: world.HeldState, HoldsVersion: world.HeldVersion}
	if now.Sub(world.CoordinatorSince) < handoverTime {
		body.Suspects, _ = suspects(now, world)
		body.Terms = reportedTerms(now, world)
	} else if !world.Coordinates() {
		body.Suspects = reportedSuspects(now, world)
	}
	own := world.ByNode.Keys(world.Self.ID)
	count := 1 + len(own)/maxRunning
	if count == 1 {
		body.Running = runningIn(world, own, modeler.RequestPart{})
		return []modeler.Message{world.Message(body)}
	}
	messages := make([]modeler.Message, 0, count)
	for i := range count {
		body.Part = modeler.RequestPart{Index: i, Count: count}
		body.Running = runningIn(world, own, body.Part)
		messages = append(messages, world.Message(body))
		body.Suspects, body.Terms = nil, nil
	}
	return messages
}

// runningIn returns the assignments of the requests that are in the part.
func runningIn(world *modeler.World, ids []modeler.RequestID, part modeler.RequestPart) []modeler.Assignment {
	var running []modeler.Assignment
	for _, id := range ids {
		if a, ok := world.Assignments.Get(id); ok && part.Contains(id) {
			// Shared parts are left out, because they would make each heartbeat longer.
			a.Request = a.Request.WithSharedParts(nil)
			running = append(running, a)
		}
	}
	return running
}

// Alive returns the nodes that callers may use, ordered by id: this node and the nodes for which Live reports true or that are assumed to be alive,
// without those that are leaving.
func Alive(world *modeler.World, now time.Time) []modeler.Node {
	var alive []modeler.Node
	if !world.Self.Leaving {
		alive = append(alive, world.Self)
	}
	for _, node := range world.Nodes.All() {
		if !node.Leaving && (Live(node, now) || now.Before(node.AssumedUntil)) {
			alive = append(alive, node)
		}
	}
	slices.SortFunc(alive, func(a, b modeler.Node) int { return cmp.Compare(a.ID, b.ID) })
	return alive
}
