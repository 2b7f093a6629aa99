package packer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/poller"
)

var now = time.Unix(1000, 0)

// state returns a state with one configuration of many routes and a data centre out of service. The version differs in its first bytes, as in the operators'
// records.
func state(version, routes int) modeler.OperatorState {
	var value strings.Builder
	fmt.Fprintf(&value, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&value, `{"name":"r-%x","host":"host%d.example","pathPrefix":"/p%x/","kind":"stream","timeoutMs":10000,"service":"s"},`, i*7919, i%7, i*104729)
	}
	value.WriteString("]}")
	return modeler.NewOperatorState([]modeler.Record{
		{Key: "evacuate/a", Value: []byte("{}"), Offset: 3}, {Key: "config", Value: []byte(value.String()), Offset: modeler.Position(version)},
	}, modeler.Position(version)+1)
}

// TestPack guards against states that differ after they were restored, against differences that are as large as the whole state, and against a difference
// that is applied to other records than those it was made from.
func TestPack(t *testing.T) {
	tests := []struct {
		name        string
		state, base modeler.OperatorState
		// receiver is what the receiver uses as the base.
		receiver modeler.OperatorState
		maxBytes int
		fails    bool
	}{
		{"small", state(5, 1), modeler.OperatorState{}, modeler.OperatorState{}, 300, false},
		{"many routes", state(5, 1500), modeler.OperatorState{}, modeler.OperatorState{}, 40 << 10, false},
		{"larger than the window", state(5, 40000), modeler.OperatorState{}, modeler.OperatorState{}, 1 << 20, false},
		{"one route more", state(6, 1501), state(5, 1500), state(5, 1500), 400, false},
		{"many routes more", state(6, 1500), state(5, 200), state(5, 200), 40 << 10, false},
		{"base larger than the window", state(6, 40001), state(5, 40000), state(5, 40000), 1 << 20, false},
		{"the receiver holds other records", state(6, 1501), state(5, 1500), state(4, 1400), 400, true},
		{"the receiver holds nothing", state(6, 1501), state(5, 1500), modeler.OperatorState{}, 400, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed, err := pack(tt.state, tt.base)
			assert.NilError(t, err)
			assert.Assert(t, len(packed) <= tt.maxBytes, "%d bytes", len(packed))
			got, err := unpack(packed, tt.receiver, tt.state.ID, tt.state.Next)
			assert.Equal(t, err != nil, tt.fails, "%v", err)
			if !tt.fails {
				// The identifier covers all records.
				assert.Equal(t, got.ID, tt.state.ID)
				assert.Equal(t, len(got.Records), len(tt.state.Records))
			}
		})
	}
}

// FuzzUnpack guards against a message that makes a node panic.
func FuzzUnpack(f *testing.F) {
	packed, err := pack(state(5, 3), modeler.OperatorState{})
	assert.NilError(f, err)
	f.Add(packed, encodeRecords(state(5, 3).Records))
	f.Fuzz(func(_ *testing.T, packed, records []byte) {
		_, _ = unpack(packed, modeler.OperatorState{}, 1, 1)
		_, _ = decodeRecords(records)
	})
}

// link passes messages to a channel.
type link struct{ sent chan modeler.Message }

func (l *link) Send(_ modeler.Node, message modeler.Message) error {
	l.sent <- message
	return nil
}

// start starts a Packer until the test ends.
func start(t *testing.T, options Options) *Packer {
	p := New(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
	return p
}

// member is the control state of a node, as far as it concerns the operators' records.
type member struct {
	world   *modeler.World
	systems []modeler.System
	now     time.Time
}

func newMember(id modeler.NodeID) *member {
	m := &member{world: modeler.NewWorld(modeler.Node{ID: id}), systems: []modeler.System{applier.New(), poller.New()}, now: now}
	m.world.Coordinator = "reader"
	for _, other := range []modeler.NodeID{"reader", "turned away"} {
		if other != id {
			m.world.Nodes.Put(other, modeler.Node{ID: other}.WithLastSeen(now))
		}
	}
	m.run(modeler.TopicRead{Topic: modeler.Operators, Next: 3, ConfirmedAt: now}, modeler.TopicRead{Topic: modeler.Endpoints, Next: 3, ConfirmedAt: now})
	return m
}

func (m *member) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: m.now, Events: events}
	for _, system := range m.systems {
		system.Run(tick, m.world)
	}
	return tick.Effects()
}

func (m *member) heartbeat() modeler.Event {
	body := modeler.Beat{Node: m.world.Self, Holds: m.world.HeldState, ReadPositions: m.world.ReadPositions}
	return modeler.PeerReceived{Message: m.world.Message(body)}
}

// TestLargeConfigurationReachesNodeTurnedAway guards against a node that keeps an old configuration while the store turns it away, because the new one is
// larger than a datagram. Pieces are lost on the way, and a further version comes.
func TestLargeConfigurationReachesNodeTurnedAway(t *testing.T) {
	tests := []struct {
		name string
		lose func(round int, piece modeler.StatePiece) bool
		// rounds is the number of heartbeats after which the node has to hold the newest state.
		rounds int
	}{
		{"no loss", func(int, modeler.StatePiece) bool { return false }, 1},
		{"the first pieces are lost once", func(round int, p modeler.StatePiece) bool { return round == 0 && p.Index < 2 }, 2},
		{"other pieces are lost each time", func(round int, p modeler.StatePiece) bool { return p.Index%3 != round%3 }, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			round := 0
			out := &link{sent: make(chan modeler.Message)}
			sender := start(t, Options{Sender: out, OnUnusable: func(err error) { t.Error(err) }})
			delivered := make(chan modeler.Deliver, 1)
			receiver := start(t, Options{Deliver: func(d modeler.Deliver) { delivered <- d }, OnUnusable: func(err error) { t.Error(err) }})
			a, b := newMember("reader"), newMember("turned away")
			a.now, b.now = now.Add(400*time.Millisecond), now.Add(400*time.Millisecond)
			for version, target := range []modeler.OperatorState{state(5, 6000), state(6, 6001)} {
				wait := a.run(modeler.TopicRead{Topic: modeler.Operators, Next: target.Next, End: target.Next, ConfirmedAt: a.now, Records: target.Records, Listed: true})
				for round = 0; b.world.HeldState != target.ID; round++ {
					assert.Assert(t, round < tt.rounds, "version %d has not arrived", version)
					lose := func(p modeler.StatePiece) bool { return tt.lose(round, p) }
					exchange(sender, receiver, wait, out, lose, b, delivered)
					a.now, b.now = a.now.Add(400*time.Millisecond), b.now.Add(400*time.Millisecond)
					wait = a.run(b.heartbeat())
				}
			}
		})
	}
}

// exchange carries out the effects that send a state and passes the pieces that are not lost to the receiver.
func exchange(
	sender, receiver *Packer, effects []modeler.Effect, out *link, lose func(modeler.StatePiece) bool, to *member, delivered <-chan modeler.Deliver,
) {
	for _, effect := range effects {
		send, ok := effect.(modeler.SendState)
		if !ok {
			continue
		}
		sender.Send(send)
		for last := false; !last; {
			message := <-out.sent
			piece := message.Body.(modeler.StatePiece)
			last = piece.Index == piece.Count-1
			if lose(piece) {
				continue
			}
			for _, effect := range to.run(modeler.PeerReceived{Message: message}) {
				if unpack, ok := effect.(modeler.UnpackState); ok {
					receiver.Unpack(unpack)
					d := <-delivered
					to.run(modeler.TopicRead{
						Topic: d.Topic, Next: d.Page.Next, End: d.Page.End, ConfirmedAt: d.ConfirmedAt, Records: d.Page.Records, Listed: true, FromPeer: true,
					})
				}
			}
		}
	}
}

// TestSendNewest guards against a node that receives each of many versions although only the last one counts.
func TestSendNewest(t *testing.T) {
	out := &link{sent: make(chan modeler.Message, 100)}
	p := New(Options{Sender: out, OnUnusable: func(err error) { t.Error(err) }})
	for version := range 20 {
		p.Send(modeler.SendState{To: modeler.Node{ID: "a"}, State: state(version+4, 5)})
		p.Send(modeler.SendState{To: modeler.Node{ID: "b"}, State: state(version+4, 5)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	for range 2 {
		assert.Equal(t, (<-out.sent).Body.(modeler.StatePiece).State, state(23, 5).ID)
	}
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, len(out.sent), 0)
}
