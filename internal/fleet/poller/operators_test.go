package poller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// sentStates returns the effects that send the operators' records to other nodes.
func sentStates(effects []modeler.Effect) []modeler.SendState {
	var sent []modeler.SendState
	for _, effect := range effects {
		if send, ok := effect.(modeler.SendState); ok {
			sent = append(sent, send)
		}
	}
	return sent
}

func configuration(offset modeler.Position, size int) modeler.Record {
	return modeler.Record{Key: "configuration", Value: make([]byte, size), Offset: offset}
}

// TestOperatorState guards against nodes that never receive a new configuration because the store rejects their calls.
func TestOperatorState(t *testing.T) {
	newer := configuration(5, 10)
	tests := []struct {
		name   string
		reads  []modeler.TopicRead
		known  modeler.Position
		wanted []modeler.Record
	}{
		{"one record", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{newer}}}, 5, []modeler.Record{newer}},
		{"the receiver has it", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{newer}}}, 6, nil},
		{
			"newest of each key",
			[]modeler.TopicRead{{Next: 7, Records: []modeler.Record{newer, {Key: "zone", Value: []byte("v"), Offset: 6}}}, {Next: 8, Records: []modeler.Record{configuration(7, 20)}}},
			6, []modeler.Record{configuration(7, 20), {Key: "zone", Value: []byte("v"), Offset: 6}},
		},
		{
			"deleted key", []modeler.TopicRead{{Next: 7, Records: []modeler.Record{newer, {Key: "zone", Value: []byte("v"), Offset: 6}}}, {Next: 8, Records: []modeler.Record{{Key: "zone", Offset: 7}}}},
			6, []modeler.Record{newer},
		},
		{
			"listed again", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{newer}}, {Next: 9, Records: []modeler.Record{configuration(8, 20)}, Listed: true}},
			6, []modeler.Record{configuration(8, 20)},
		},
		{"larger than a datagram", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{configuration(5, 300<<10)}}}, 5, []modeler.Record{configuration(5, 300<<10)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "n")
			for _, read := range tt.reads {
				read.Topic, read.ConfirmedAt = modeler.Operators, start
				n.run(read)
			}
			n.now = n.now.Add(400 * time.Millisecond)
			known := modeler.ReadPosition{End: tt.known, LastChangeEnd: tt.known}
			sent := sentStates(n.run(beat(known, modeler.ReadPosition{End: 5, LastChangeEnd: 5})))
			if tt.wanted == nil {
				assert.Equal(t, len(sent), 0)
				return
			}
			assert.Equal(t, len(sent), 1)
			assert.Equal(t, sent[0].To.ID, modeler.NodeID("other"))
			assert.DeepEqual(t, sent[0].State.Records, tt.wanted)
			assert.Equal(t, sent[0].State.Next, tt.reads[len(tt.reads)-1].Next)
		})
	}
}

// holds returns a heartbeat of the node "other" that says which records it holds.
func holds(next modeler.Position, state modeler.StateID) modeler.Event {
	position := modeler.ReadPosition{End: next, LastChangeEnd: next}
	return modeler.PeerReceived{Message: modeler.Message{From: "other", Body: modeler.Beat{
		Holds: state, ReadPositions: [2]modeler.ReadPosition{position, {End: 5, LastChangeEnd: 5}},
	}}}
}

// TestStateBase guards against a whole configuration being sent to nodes that hold one of the last ones, and against differences that the receiver cannot
// use.
func TestStateBase(t *testing.T) {
	state := func(offset modeler.Position) modeler.OperatorState {
		return modeler.NewOperatorState([]modeler.Record{configuration(offset, 10)}, offset+1)
	}
	tests := []struct {
		name string
		// held is the state that the heartbeat names.
		held modeler.OperatorState
		want modeler.StateID
	}{
		{"the state before", state(7), state(7).ID}, {"an earlier state", state(6), state(6).ID}, {"no state", modeler.OperatorState{Next: 5}, 0},
		{"an unknown state", modeler.NewOperatorState([]modeler.Record{configuration(6, 11)}, 7), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "n")
			for offset := modeler.Position(5); offset <= 8; offset++ {
				n.run(modeler.TopicRead{Topic: modeler.Operators, Next: offset + 1, ConfirmedAt: start, Records: []modeler.Record{configuration(offset, 10)}})
			}
			n.now = n.now.Add(400 * time.Millisecond)
			sent := sentStates(n.run(holds(tt.held.Next, tt.held.ID)))
			assert.Equal(t, len(sent), 1)
			assert.Equal(t, sent[0].Base.ID, tt.want)
			assert.DeepEqual(t, sent[0].State, state(8))
		})
	}
}

// TestStateRepeated guards against a state that is never sent again although its pieces were lost, and against one that is sent with each heartbeat that
// crosses it.
func TestStateRepeated(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"the heartbeat may have crossed the state", 250 * time.Millisecond, 0}, {"the state was lost", 300 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "n")
			read := modeler.TopicRead{Topic: modeler.Operators, Next: 6, ConfirmedAt: start, Records: []modeler.Record{configuration(5, 10)}}
			assert.Equal(t, len(sentStates(n.run(read))), 1, "all nodes are sent the change at once")
			n.now = n.now.Add(tt.after)
			assert.Equal(t, len(sentStates(n.run(holds(5, 0)))), tt.want)
		})
	}
}

// TestHeldStates guards against a node whose memory grows with the number of configurations.
func TestHeldStates(t *testing.T) {
	n := newNode("n", "n")
	const size = 600 << 10
	var states []modeler.StateID
	for offset := modeler.Position(5); offset < 25; offset++ {
		records := []modeler.Record{configuration(offset, size)}
		n.run(modeler.TopicRead{Topic: modeler.Operators, Next: offset + 1, ConfirmedAt: start, Records: records})
		states = append(states, modeler.NewOperatorState(records, offset+1).ID)
	}
	n.now = n.now.Add(400 * time.Millisecond)
	usable := 0
	for i, id := range states[:len(states)-1] {
		sent := sentStates(n.run(holds(modeler.Position(i)+6, id)))
		assert.Equal(t, len(sent), 1)
		if sent[0].Base.ID == id {
			usable++
		}
		n.now = n.now.Add(400 * time.Millisecond)
	}
	assert.Equal(t, usable, 3, "2 MiB hold three of them")
}

// TestReadsForAll guards against all nodes reading the store because it rejects the coordinator's calls, and against two nodes that both keep
// reading it for all nodes.
func TestReadsForAll(t *testing.T) {
	reading := func(from modeler.NodeID, rank modeler.Position) modeler.Event {
		body := modeler.Beat{Node: modeler.Node{ID: from, Rank: rank}, ReadsForAll: true}
		return modeler.PeerReceived{Message: modeler.Message{From: from, Body: body}}
	}
	tests := []struct {
		name  string
		self  modeler.NodeID
		isHub bool
		event modeler.Event
		want  bool
	}{
		{"coordinates", "other", true, nil, true},
		{"hub, and no other node reads", "n", true, nil, true},
		{"not a hub", "n", false, nil, false},
		{"coordinator reads", "n", true, reading("other", 1), false},
		{"node of lower rank reads", "n", true, reading("third", 2), false},
		{"node of larger rank reads", "n", true, reading("fourth", 9), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(tt.self, "other")
			n.world.Self = n.world.Self.WithRank(5)
			n.world.IsHub = tt.isHub
			n.now = n.now.Add(2 * time.Second)
			var events []modeler.Event
			if tt.event != nil {
				events = append(events, tt.event)
			}
			n.run(append(events, modeler.TopicRead{Topic: modeler.Operators, Next: 5, ConfirmedAt: n.now})...)
			assert.Equal(t, n.world.ReadsForAll, tt.want)
			n.now = n.now.Add(time.Second)
			n.run()
			assert.Assert(t, !n.world.ReadsForAll, "its last read is too old")
		})
	}
}

// TestOtherBackoff guards against calls to an unavailable store whose number grows with the number of nodes.
func TestOtherBackoff(t *testing.T) {
	n := newNode("n", "other")
	n.now = n.now.Add(2 * time.Second)
	calls := 0
	for range 200 {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, topic := range fetches(n.run()) {
			calls++
			n.run(modeler.TopicFailed{Topic: topic})
		}
	}
	assert.Assert(t, calls >= 10 && calls <= 20, "%d calls in 10 s", calls)
}

// version returns a configuration with a version.
func version(v int64, position modeler.Position) modeler.Record {
	return modeler.Record{Key: "configuration", Value: []byte{byte(v)}, Offset: position, Version: v}
}

// TestRecordsAfterReturn guards against the records of a copy that replace the newest configuration in what a node sends to others, and against one that is
// never replaced.
func TestRecordsAfterReturn(t *testing.T) {
	at := modeler.NewPosition
	zone := func(position modeler.Position) modeler.Record {
		return modeler.Record{Key: "zone", Value: []byte("v"), Offset: position}
	}
	known := []modeler.Record{version(13, at(1, 3)), zone(at(1, 2))}
	listing := func(next modeler.Position, records ...modeler.Record) modeler.TopicRead {
		return modeler.TopicRead{Topic: modeler.Operators, Next: next, End: next, Records: records, Listed: true}
	}
	read := func(next modeler.Position, records ...modeler.Record) modeler.TopicRead {
		return modeler.TopicRead{Topic: modeler.Operators, Next: next, End: next, Records: records}
	}
	tests := []struct {
		name   string
		events []modeler.Event
		want   modeler.OperatorState
	}{
		{"older version listed", []modeler.Event{listing(at(2, 2), version(10, at(2, 1)))}, modeler.NewOperatorState([]modeler.Record{version(13, at(1, 3))}, at(2, 2))},
		{"no configuration listed", []modeler.Event{listing(at(2, 1), zone(at(2, 0)))}, modeler.NewOperatorState([]modeler.Record{version(13, at(1, 3)), zone(at(2, 0))}, at(2, 1))},
		{"same version listed", []modeler.Event{listing(at(2, 3), version(13, at(2, 2)))}, modeler.NewOperatorState([]modeler.Record{version(13, at(2, 2))}, at(2, 3))},
		{
			"same version written again", []modeler.Event{listing(at(2, 2), version(10, at(2, 1))), read(at(2, 3), version(13, at(2, 2)))},
			modeler.NewOperatorState([]modeler.Record{version(13, at(2, 2))}, at(2, 3)),
		},
		{
			"newer version at an offset that was given out again", []modeler.Event{listing(at(2, 2), version(10, at(2, 1))), read(at(2, 4), version(13, at(2, 2)), version(16, at(2, 3)))},
			modeler.NewOperatorState([]modeler.Record{version(16, at(2, 3))}, at(2, 4)),
		},
		{
			"newer version of the earlier era, from another node", []modeler.Event{listing(at(2, 2), version(10, at(2, 1))), listing(at(1, 6), version(14, at(1, 5)))},
			modeler.NewOperatorState([]modeler.Record{version(14, at(1, 5))}, at(2, 2)),
		},
		{"older read", []modeler.Event{read(at(1, 3), version(10, at(1, 1)))}, modeler.NewOperatorState(known, at(1, 4))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "n")
			n.run(listing(at(1, 4), known...))
			for _, e := range tt.events {
				n.run(e)
			}
			assert.Equal(t, n.world.HeldState, tt.want.ID)
			assert.Equal(t, n.world.HeldVersion, tt.want.Version)
		})
	}
}

// TestVersionSpreads guards against a node that starts after the store came back from a copy and believes the copy's configuration, although other nodes know
// a newer one.
func TestVersionSpreads(t *testing.T) {
	at := modeler.NewPosition
	heartbeat := func(held modeler.OperatorState, coordinates bool) modeler.Event {
		position := modeler.ReadPosition{End: held.Next, LastChangeEnd: held.Next}
		return modeler.PeerReceived{Message: modeler.Message{From: "other", Body: modeler.Beat{
			Holds: held.ID, HoldsVersion: held.Version, Coordinates: coordinates, ReadPositions: [2]modeler.ReadPosition{position, {}},
		}}}
	}
	copied := modeler.NewOperatorState([]modeler.Record{version(10, at(2, 1))}, at(2, 2))
	newest := modeler.NewOperatorState([]modeler.Record{version(13, at(1, 3))}, at(2, 2))
	tests := []struct {
		name        string
		coordinator modeler.NodeID
		isHub       bool
		from        modeler.Event
		sent        int
	}{
		{"the coordinator to a new node", "n", false, heartbeat(copied, false), 1}, {"the coordinator to one that has it", "n", false, heartbeat(newest, false), 0},
		{"a hub to a new coordinator", "other", true, heartbeat(copied, true), 1}, {"a hub to a new node", "other", true, heartbeat(copied, false), 0},
		{"any node to a new coordinator", "other", false, heartbeat(copied, true), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", tt.coordinator)
			n.world.IsHub = tt.isHub
			n.run(modeler.TopicRead{Topic: modeler.Operators, Next: newest.Next, End: newest.Next, Records: newest.Records, Listed: true, FromPeer: true})
			n.now = n.now.Add(1100 * time.Millisecond)
			n.run()
			sent := sentStates(n.run(tt.from))
			assert.Equal(t, len(sent), tt.sent)
			for _, s := range sent {
				assert.Equal(t, s.State.ID, newest.ID)
			}
		})
	}
	t.Run("receiver", func(t *testing.T) {
		n := newNode("n", "other")
		n.run(modeler.TopicRead{Topic: modeler.Operators, Next: copied.Next, End: copied.Next, Records: copied.Records, Listed: true})
		n.run(heartbeat(newest, true))
		assert.Assert(t, n.world.OperatorsBehind)
		piece := modeler.StatePiece{State: newest.ID, Next: newest.Next, Version: newest.Version, Count: 1, Data: []byte{1}}
		unpacks := 0
		for _, effect := range n.run(modeler.PeerReceived{Message: modeler.Message{From: "other", Body: piece}}) {
			if _, ok := effect.(modeler.UnpackState); ok {
				unpacks++
			}
		}
		assert.Equal(t, unpacks, 1)
		n.run(modeler.TopicRead{Topic: modeler.Operators, Next: newest.Next, End: newest.Next, Records: newest.Records, Listed: true, FromPeer: true})
		assert.Equal(t, n.world.HeldState, newest.ID)
		assert.Assert(t, !n.world.OperatorsBehind)
	})
}
