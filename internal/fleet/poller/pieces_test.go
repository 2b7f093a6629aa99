package poller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestPieces guards against a configuration that never arrives because one of its pieces is lost, against pieces of different states that are joined, and
// against an older state that replaces a newer one.
func TestPieces(t *testing.T) {
	held := modeler.NewOperatorState([]modeler.Record{configuration(5, 10)}, 6)
	piece := func(state, base modeler.StateID, next modeler.Position, index int) modeler.StatePiece {
		return modeler.StatePiece{State: state, Base: base, Next: next, Index: index, Count: 3, Age: 100 * time.Millisecond, Data: []byte{byte(state), byte(index)}}
	}
	type arrival struct {
		after time.Duration
		piece modeler.StatePiece
	}
	whole := []arrival{{0, piece(1, 0, 9, 0)}, {0, piece(1, 0, 9, 1)}, {0, piece(1, 0, 9, 2)}}
	tests := []struct {
		name     string
		arrivals []arrival
		// want holds the packed states in order.
		want []string
	}{
		{"in order", whole, []string{"\x01\x00\x01\x01\x01\x02"}},
		{"out of order and twice", []arrival{whole[2], whole[0], whole[0], whole[1], whole[2]}, []string{"\x01\x00\x01\x01\x01\x02"}},
		{"a lost piece comes later", []arrival{whole[0], whole[2], {300 * time.Millisecond, whole[0].piece}, whole[1]}, []string{"\x01\x00\x01\x01\x01\x02"}},
		{"a lost piece does not come", whole[:2], nil},
		{"a repeat while it is unpacked", append(whole[:3:3], whole...), []string{"\x01\x00\x01\x01\x01\x02"}},
		{
			"a repeat after it could not be unpacked", append(whole[:3:3], arrival{time.Second, whole[0].piece}, whole[1], whole[2]),
			[]string{"\x01\x00\x01\x01\x01\x02", "\x01\x00\x01\x01\x01\x02"},
		},
		{
			"a newer state meanwhile", []arrival{whole[0], whole[1], {0, piece(2, 0, 10, 0)}, whole[2], {0, piece(2, 0, 10, 1)}, {0, piece(2, 0, 10, 2)}},
			[]string{"\x02\x00\x02\x01\x02\x02"},
		},
		{"another packing meanwhile", []arrival{whole[0], {0, piece(1, held.ID, 9, 1)}, whole[1], whole[2]}, []string{"\x01\x00\x01\x01\x01\x02"}},
		{
			"the sender ends halfway and another one packs against other records",
			[]arrival{whole[0], {time.Second, piece(1, held.ID, 9, 0)}, {0, piece(1, held.ID, 9, 1)}, {0, piece(1, held.ID, 9, 2)}},
			[]string{"\x01\x00\x01\x01\x01\x02"},
		},
		{"against the records that this node holds", []arrival{{0, piece(1, held.ID, 9, 0)}, {0, piece(1, held.ID, 9, 1)}, {0, piece(1, held.ID, 9, 2)}}, []string{"\x01\x00\x01\x01\x01\x02"}},
		{"against other records", []arrival{{0, piece(1, 77, 9, 0)}, {0, piece(1, 77, 9, 1)}, {0, piece(1, 77, 9, 2)}}, nil},
		{"as new as what this node holds", []arrival{{0, piece(1, 0, 6, 0)}, {0, piece(1, 0, 6, 1)}, {0, piece(1, 0, 6, 2)}}, nil},
		{"older than what this node holds", []arrival{{0, piece(1, 0, 5, 0)}, {0, piece(1, 0, 5, 1)}, {0, piece(1, 0, 5, 2)}}, nil},
		{"impossible numbers", []arrival{
			{0, modeler.StatePiece{State: 1, Next: 9, Index: -1, Count: 1, Data: []byte{1}}}, {0, modeler.StatePiece{State: 1, Next: 9, Index: 1, Count: 1, Data: []byte{1}}},
			{0, modeler.StatePiece{State: 1, Next: 9, Count: 1 << 30, Data: []byte{1}}}, {0, modeler.StatePiece{State: 1, Next: 9, Count: 1}},
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "other")
			n.run(modeler.TopicRead{Topic: modeler.Operators, Next: 6, ConfirmedAt: start, Records: held.Records})
			var got []string
			for _, a := range tt.arrivals {
				n.now = n.now.Add(a.after)
				for _, effect := range n.run(modeler.PeerReceived{Message: modeler.Message{From: "other", Body: a.piece}}) {
					if unpack, ok := effect.(modeler.UnpackState); ok {
						got = append(got, string(unpack.Packed))
						assert.Equal(t, unpack.Base.ID, a.piece.Base)
						assert.Equal(t, unpack.Next, a.piece.Next)
						assert.Equal(t, unpack.ConfirmedAt, n.now.Add(-100*time.Millisecond))
					}
				}
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
