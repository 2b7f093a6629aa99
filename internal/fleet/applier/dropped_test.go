package applier_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestDroppedEntries guards against a node that starts after an outage of the store and sends all requests to the few endpoints whose entries are back; and
// against one that uses endpoints which have crashed or left, or goes on using some that do not come back.
func TestDroppedEntries(t *testing.T) {
	entry := func(id int, offset modeler.Position, draining bool) modeler.EndpointChanged {
		name := fmt.Sprint("e", id)
		return modeler.EndpointChanged{
			Endpoint: modeler.Endpoint{ID: modeler.EndpointID(name), Service: "s", Address: name, Draining: draining}, Offset: offset,
		}
	}
	tests := []struct {
		name          string
		listed, ready int
		draining      int
		// replaced is set if the dropped endpoints have started again under other ids.
		replaced       bool
		used, usedLast int
	}{
		{name: "most have expired", listed: 5, ready: 15, used: 20, usedLast: 6},
		{name: "all have expired", ready: 20, used: 20, usedLast: 1},
		{name: "some have crashed", listed: 18, ready: 2, used: 18, usedLast: 18},
		{name: "many have started again", listed: 20, ready: 15, replaced: true, used: 20, usedLast: 20},
		{name: "some have left", listed: 10, draining: 10, used: 10, usedLast: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world, system := modeler.NewWorld(modeler.Node{ID: "n"}), applier.New()
			run := func(at time.Duration, events ...modeler.Event) int {
				system.Run(&modeler.Tick{Now: start.Add(at), Events: events}, world)
				return world.Endpoints.Len()
			}
			var events []modeler.Event
			keys := map[string]bool{}
			for i := range tt.listed {
				events = append(events, entry(i, modeler.Position(i), false))
				keys[fmt.Sprint("e", i)] = true
			}
			var dropped []modeler.EndpointChanged
			for i := range tt.ready + tt.draining {
				e := entry(100+i, modeler.Position(100+i), i >= tt.ready)
				if tt.replaced {
					e.Endpoint.Address = fmt.Sprint("e", i)
				}
				dropped = append(dropped, e)
			}
			events = append(events, modeler.EndpointsDropped{Entries: dropped}, modeler.TopicListed{Topic: modeler.Endpoints, Keys: keys, End: 200})
			assert.Equal(t, run(0, events...), tt.used)
			run(100*time.Millisecond, modeler.TopicRead{Topic: modeler.Endpoints, Next: 200, ConfirmedAt: start})
			if tt.ready > 2 && !tt.replaced {
				// One of them writes its entry again.
				assert.Equal(t, run(time.Second, entry(100, 201, false)), tt.used)
			}
			last := start.Add(2100 * time.Millisecond)
			run(2200*time.Millisecond, modeler.TopicRead{Topic: modeler.Endpoints, Next: 202, ConfirmedAt: last})
			assert.Equal(t, run(2300*time.Millisecond), tt.usedLast)
		})
	}
}
