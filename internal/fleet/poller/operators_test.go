package poller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// states returns the operators' states that were sent, and their receivers.
func states(effects []modeler.Effect) (sent []modeler.OperatorState, to []modeler.NodeID) {
	for _, effect := range effects {
		send, ok := effect.(modeler.Send)
		if !ok {
			continue
		}
		if state, ok := send.Message.Body.(modeler.OperatorState); ok {
			sent, to = append(sent, state), append(to, send.To.ID)
		}
	}
	return sent, to
}

func configuration(offset int64, size int) modeler.Record {
	return modeler.Record{Key: "configuration", Value: make([]byte, size), Offset: offset}
}

// TestOperatorState guards against nodes that never receive a new configuration because the store rejects their calls.
func TestOperatorState(t *testing.T) {
	newer := configuration(5, 10)
	tests := []struct {
		name   string
		reads  []modeler.TopicRead
		known  int64
		wanted []modeler.Record
	}{
		{"one record", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{newer}}}, 5, []modeler.Record{newer}},
		{"the receiver has it", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{newer}}}, 6, nil},
		{
			"newest of each key",
			[]modeler.TopicRead{{Next: 7, Records: []modeler.Record{newer, {Key: "zone", Value: []byte("v"), Offset: 6}}}, {Next: 8, Records: []modeler.Record{configuration(7, 20)}}},
			6, []modeler.Record{{Key: "zone", Value: []byte("v"), Offset: 6}, configuration(7, 20)},
		},
		{
			"deleted key", []modeler.TopicRead{{Next: 7, Records: []modeler.Record{newer, {Key: "zone", Value: []byte("v"), Offset: 6}}}, {Next: 8, Records: []modeler.Record{{Key: "zone", Offset: 7}}}},
			6, []modeler.Record{newer},
		},
		{
			"listed again", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{newer}}, {Next: 9, Records: []modeler.Record{configuration(8, 20)}, Listed: true}},
			6, []modeler.Record{configuration(8, 20)},
		},
		{"too large for a datagram", []modeler.TopicRead{{Next: 6, Records: []modeler.Record{configuration(5, 60<<10)}}}, 5, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "n")
			for _, read := range tt.reads {
				read.Topic, read.ConfirmedAt = modeler.Operators, start
				n.run(read)
			}
			known := modeler.ReadPosition{End: tt.known, LastChangeEnd: tt.known}
			sent, to := states(n.run(beat(known, modeler.ReadPosition{End: 5, LastChangeEnd: 5})))
			if tt.wanted == nil {
				assert.Equal(t, len(sent), 0)
				return
			}
			assert.DeepEqual(t, to, []modeler.NodeID{"other"})
			assert.DeepEqual(t, sent[0].Records, tt.wanted)
			assert.Equal(t, sent[0].Next, tt.reads[len(tt.reads)-1].Next)
		})
	}
}

// TestDeliver guards against a received state that replaces newer records that this node has read itself.
func TestDeliver(t *testing.T) {
	tests := []struct {
		name string
		next int64
		want int
	}{
		{"newer", 6, 1}, {"the same", 5, 0}, {"older", 4, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "other")
			state := modeler.OperatorState{Records: []modeler.Record{configuration(tt.next-1, 10)}, Next: tt.next, Age: 100 * time.Millisecond}
			delivered := 0
			for _, effect := range n.run(modeler.PeerReceived{Message: modeler.Message{From: "other", Body: state}}) {
				if deliver, ok := effect.(modeler.Deliver); ok {
					delivered++
					assert.Equal(t, deliver.ConfirmedAt, start.Add(-100*time.Millisecond))
				}
			}
			assert.Equal(t, delivered, tt.want)
		})
	}
}

// TestReadsForAll guards against all nodes reading the store because it rejects the coordinator's calls, and against two nodes that both keep
// reading it for all nodes.
func TestReadsForAll(t *testing.T) {
	reading := func(from modeler.NodeID, rank int64) modeler.Event {
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
