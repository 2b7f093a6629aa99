package elector_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// contactTime is the bound contactMs: a node that was paused is not bound by the rule on the directory for so long.
const contactTime = 3 * time.Second

// TestPausedNode guards against a dead node that comes back into the directory because a node that was paused takes messages from before its pause,
// which have waited in its socket, for signs of life, and as the coordinator tells all nodes; and against one that sends all callers to itself because
// it ignores these messages.
func TestPausedNode(t *testing.T) {
	const size = 9
	tests := []struct {
		name   string
		paused []modeler.NodeID
		// lostAfter is the time from the pause to the end of the lost node.
		lostAfter, pause time.Duration
	}{
		{"coordinator", []modeler.NodeID{"n00"}, 500 * time.Millisecond, 8 * time.Second},
		{"coordinator, long pause", []modeler.NodeID{"n00"}, 2 * time.Second, 15 * time.Second},
		{"hub", []modeler.NodeID{"n03"}, 2 * time.Second, 10 * time.Second},
		{"coordinator and deputy", []modeler.NodeID{"n00", "n01"}, 500 * time.Millisecond, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(size)
			f.run(5 * time.Second)
			for _, id := range tt.paused {
				f.paused[id] = true
			}
			f.run(tt.lostAfter)
			lost := name(size - 1)
			f.dead[lost] = true
			f.run(tt.pause - tt.lostAfter)
			clear(f.paused)
			resumedAt := f.now
			for range 200 {
				f.run(step)
				for _, id := range tt.paused {
					named := elector.Alive(f.worlds[id], f.now)
					assert.Assert(t, len(named) >= size-1, "%s names %d nodes %s after its pause", id, len(named), f.now.Sub(resumedAt))
				}
				for id, world := range f.worlds {
					if slices.Contains(tt.paused, id) && f.now.Sub(resumedAt) <= contactTime {
						continue
					}
					for _, node := range elector.Alive(world, f.now) {
						assert.Assert(t, f.dead[id] || node.ID != lost, "%s names %s %s after the pause", id, lost, f.now.Sub(resumedAt))
					}
				}
			}
			assert.DeepEqual(t, f.coordinators(), map[modeler.NodeID]int{"n00": size - 1})
		})
	}
}
