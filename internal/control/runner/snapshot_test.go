package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// TestPublish guards against snapshots that contain outdated rows, published snapshots that are modified later, and changes of a member
// that no later tick publishes.
func TestPublish(t *testing.T) {
	start := time.Unix(1_000, 0)
	for _, c := range []struct {
		name string
		// after is the time between the first snapshot and the tick that follows the change of the rows.
		after       time.Duration
		nodes       int
		members     int
		wantMembers time.Duration
	}{
		{"too early", 50 * time.Millisecond, 1, 1, 0},
		{"nodes are due", 100 * time.Millisecond, 2, 1, membersInterval},
		{"members are due", time.Second, 2, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start
			world := modeler.NewWorld(modeler.Self{})
			fill(world, "nodes", 1)
			fill(world, "members", 1)
			l := New(world, Options{Executor: noEffects{}, Now: func() time.Time { return now }})
			before := l.Snapshot()
			fill(world, "nodes", 2)
			fill(world, "members", 2)
			now = start.Add(c.after)
			tick := &modeler.Tick{Now: now}
			l.publishDue(tick)
			assert.Equal(t, len(before.Nodes), 1)
			assert.Equal(t, len(before.Members), 1)
			assert.Equal(t, len(l.Snapshot().Nodes), c.nodes)
			assert.Equal(t, len(l.Snapshot().Members), c.members)
			if c.wantMembers > 0 {
				assert.Equal(t, tick.Next(), start.Add(c.wantMembers))
			}
		})
	}
}
