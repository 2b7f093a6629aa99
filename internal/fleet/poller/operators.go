package poller

import (
	"maps"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxHeldStates and maxHeldBytes bound the earlier states that a node keeps to send differences from them. The current one does not count.
	maxHeldStates = 8
	maxHeldBytes  = 2 << 20
	// receiptTime is the time within which the heartbeats of a node that was sent a state may still name an earlier one.
	receiptTime = 300 * time.Millisecond
)

// operatorRecords holds the newest record of each key that operators have written. They are sent to nodes that lack some.
type operatorRecords struct {
	records map[string]modeler.Record
	// state holds the records as other nodes receive them.
	state modeler.OperatorState
	// earlier holds the states before, the last one first, on nodes that send them to others.
	earlier []modeler.OperatorState
	// changed is set until takeChange is called.
	changed bool
	peers   map[modeler.NodeID]peerState
}

// peerState is what this node knows of the operators' records of another node.
type peerState struct {
	// holds is the state that the last heartbeat named. sent is the one that this node sent to it last, at sentAt.
	holds, sent modeler.StateID
	sentAt      time.Time
}

// current returns the state that the node holds, as far as is known. A heartbeat may have been sent before the last state arrived.
func (p peerState) current(now time.Time) modeler.StateID {
	if p.sent != 0 && now.Sub(p.sentAt) < receiptTime {
		return p.sent
	}
	return p.holds
}

func newOperatorRecords() operatorRecords {
	return operatorRecords{records: map[string]modeler.Record{}, peers: map[modeler.NodeID]peerState{}}
}

// update applies the records of a read. A read that is not newer than the known records adds only those with a later version, which this node may lack if the
// store came back from a copy before it started. keepEarlier is set if the state before is needed to send differences from it.
func (o *operatorRecords) update(read modeler.TopicRead, keepEarlier bool) {
	newer := read.Next > o.state.Next
	changed := newer && len(read.Records) > 0
	if newer && read.Listed {
		o.replace(read.Records)
	} else {
		for _, record := range read.Records {
			known := o.records[record.Key]
			switch {
			case record.Version > known.Version, newer && record.Version == known.Version:
				o.records[record.Key] = record
				changed = true
			}
			if newer && record.Value == nil && known.Version == 0 {
				delete(o.records, record.Key)
			}
		}
	}
	if !newer && !changed {
		return
	}
	previous := o.state
	o.state = modeler.NewOperatorState(slices.Collect(maps.Values(o.records)), max(read.Next, previous.Next))
	o.changed = o.changed || changed
	o.keep(previous, keepEarlier)
}

// replace replaces the records by those of a listing, except those with a later version: the store may have come back from a copy.
func (o *operatorRecords) replace(records []modeler.Record) {
	listed := make(map[string]modeler.Record, len(records))
	for _, record := range records {
		listed[record.Key] = record
	}
	for key, known := range o.records {
		if known.Version > listed[key].Version {
			listed[key] = known
		}
	}
	o.records = listed
}

// keep adds a state to the earlier ones and drops those that exceed the bounds.
func (o *operatorRecords) keep(previous modeler.OperatorState, keepEarlier bool) {
	if !keepEarlier {
		o.earlier = nil
		return
	}
	if previous.ID != 0 {
		o.earlier = slices.Insert(o.earlier, 0, previous)
	}
	size := 0
	for i, state := range o.earlier {
		if size += state.Size(); i >= maxHeldStates || size > maxHeldBytes {
			o.earlier = slices.Delete(o.earlier, i, len(o.earlier))
			return
		}
	}
}

// takeChange reports whether the records have changed since the last call.
func (o *operatorRecords) takeChange() bool {
	changed := o.changed
	o.changed = false
	return changed
}

// base returns the earlier state with the given ID, or the zero value if it is not known.
func (o *operatorRecords) base(id modeler.StateID) modeler.OperatorState {
	if i := slices.IndexFunc(o.earlier, func(s modeler.OperatorState) bool { return s.ID == id }); i >= 0 {
		return o.earlier[i]
	}
	return modeler.OperatorState{}
}

// sends reports whether this node sends the operators' records to others.
func sends(world *modeler.World) bool { return world.ReadsForAll || world.Coordinates() }

// sendChange sends the operators' records to all live nodes after they have changed.
func (s *System) sendChange(tick *modeler.Tick, world *modeler.World) {
	if !s.operators.takeChange() || !sends(world) {
		return
	}
	for id, node := range world.Nodes.All() {
		if !elector.Live(node, tick.Now) {
			continue
		}
		base := s.operators.base(s.operators.peers[id].current(tick.Now))
		if base.ID == 0 && len(s.operators.earlier) > 0 {
			// Most nodes hold the state before. One that does not ignores the difference, and its next heartbeat says what it holds.
			base = s.operators.earlier[0]
		}
		s.sendState(tick, world, node, base)
	}
}

// answerHeartbeat sends the operators' records to a node whose heartbeat says that it lacks some, by its position or by the version that it holds.
func (s *System) answerHeartbeat(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, beat modeler.Beat) {
	peer := s.operators.peers[from]
	peer.holds = beat.Holds
	s.operators.peers[from] = peer
	node, ok := world.Nodes.Get(from)
	if !ok || peer.current(tick.Now) == s.operators.state.ID {
		return
	}
	lacksVersion := beat.Holds != 0 && beat.HoldsVersion < s.operators.state.Version
	switch {
	case sends(world) && (lacksVersion || beat.ReadPositions[modeler.Operators].End < s.operators.state.Next):
	case world.IsHub && lacksVersion && (beat.Coordinates || beat.ReadsForAll):
		// The node that sends the records to all lacks some itself, and cannot read them as long as the operators have not written them again.
	default:
		return
	}
	s.sendState(tick, world, node, s.operators.base(beat.Holds))
}

func (s *System) sendState(tick *modeler.Tick, world *modeler.World, to modeler.Node, base modeler.OperatorState) {
	if s.operators.state.ID == 0 {
		return
	}
	peer := s.operators.peers[to.ID]
	peer.sent, peer.sentAt = s.operators.state.ID, tick.Now
	s.operators.peers[to.ID] = peer
	tick.Emit(modeler.SendState{To: to, State: s.operators.state, Base: base, ConfirmedAt: world.ConfirmedAt[modeler.Operators]})
}
