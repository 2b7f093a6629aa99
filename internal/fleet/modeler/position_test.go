package modeler

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPosition guards against an offset of a later era that is taken for older than one of an earlier era, and against offsets that run into the era.
func TestPosition(t *testing.T) {
	tests := []struct {
		name  string
		era   int64
		at    int64
		after Position
		text  string
	}{
		{"first record", 0, 0, -1, "0"}, {"without eras", 0, 7, NewPosition(0, 6), "7"}, {"same era", 2, 7, NewPosition(2, 6), "2:7"},
		{"offsets are given out again", 2, 3, NewPosition(1, 900), "2:3"}, {"largest", MaxEra, 1<<offsetBits - 1, NewPosition(MaxEra, 0), "2097151:1099511627775"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPosition(tt.era, tt.at)
			assert.Assert(t, p > tt.after && p < UnregisteredRank)
			assert.Equal(t, p.Era(), tt.era)
			assert.Equal(t, p.Offset(), tt.at)
			assert.Equal(t, p.String(), tt.text)
		})
	}
}
