package applier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// step is a tick at a time after start, with at most one event.
type step struct {
	at    time.Duration
	event modeler.Event
}

var start = time.Unix(1000, 0)

func run(steps []step) *modeler.World {
	world := modeler.NewWorld(modeler.Node{ID: "n"})
	system := applier.New()
	for _, s := range steps {
		tick := &modeler.Tick{Now: start.Add(s.at)}
		if s.event != nil {
			tick.Events = []modeler.Event{s.event}
		}
		system.Run(tick, world)
	}
	return world
}

func configuration(version int64, offset modeler.Position) modeler.ConfigurationChanged {
	return modeler.ConfigurationChanged{Configuration: modeler.NewConfiguration(version, nil, nil, nil, modeler.Limits{}).WithOffset(offset)}
}

func changed(offset modeler.Position) modeler.EndpointChanged {
	return modeler.EndpointChanged{Endpoint: modeler.Endpoint{ID: "e", Service: "s", Address: "a"}, Offset: offset}
}

// at returns a position.
func at(era, offset int64) modeler.Position { return modeler.NewPosition(era, offset) }

// TestConfigurationNeverReverts guards against an older configuration replacing a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		want  int64
	}{
		{"newer", []step{{0, configuration(3, 1)}, {1, configuration(8, 2)}}, 8},
		{"read again", []step{{0, configuration(8, 2)}, {1, configuration(8, 2)}}, 8},
		{"older record read late", []step{{0, configuration(8, 2)}, {1, configuration(3, 1)}}, 8},
		{"older version at a higher offset", []step{{0, configuration(8, 2)}, {1, configuration(3, 5)}}, 8},
		{"older version in a restored store", []step{{0, configuration(8, at(1, 2))}, {1, configuration(3, at(2, 1))}}, 8},
		{"newer version at an offset that was given out again", []step{{0, configuration(8, at(1, 2))}, {1, configuration(9, at(2, 2))}}, 9},
		{"newer version known from before the return", []step{{0, configuration(3, at(2, 1))}, {1, configuration(8, at(1, 2))}}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, run(tt.steps).Configuration.Version, tt.want) })
	}
}

// TestDataCentres guards against a data centre that stays in service after operators took it out, or out of service after they put it back.
func TestDataCentres(t *testing.T) {
	change := func(out bool, offset modeler.Position) modeler.DataCentreChanged {
		return modeler.DataCentreChanged{DataCentre: "dc", Out: out, Offset: offset}
	}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{"out", []step{{0, change(true, 1)}}, true},
		{"back", []step{{0, change(true, 1)}, {1, change(false, 2)}}, false},
		{"older record read late", []step{{0, change(true, 1)}, {1, change(false, 2)}, {2, change(true, 1)}}, false},
		{"out again", []step{{0, change(true, 1)}, {1, change(false, 2)}, {2, change(true, 3)}}, true},
		{"not listed", []step{{0, change(true, 1)}, {1, modeler.TopicListed{Topic: modeler.Operators, End: 2}}}, false},
		{"written after the listing began", []step{{0, change(true, 1)}, {1, modeler.TopicListed{Topic: modeler.Operators, End: 1}}}, true},
		{
			"listed",
			[]step{{0, change(true, 1)}, {1, modeler.TopicListed{Topic: modeler.Operators, Keys: map[string]bool{"dc": true}}}}, true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, out := run(tt.steps).OutDataCentres.Get("dc")
			assert.Equal(t, out, tt.want)
		})
	}
}

// TestEndpoints guards against endpoints that are still used after they were removed, and against live endpoints that are removed because
// the store was unavailable.
func TestEndpoints(t *testing.T) {
	removed := modeler.EndpointRemoved{ID: "e", Offset: 2}
	failed := modeler.TopicFailed{Topic: modeler.Endpoints, Reason: "timeout", StartedAt: start.Add(100 * time.Millisecond)}
	read := func(confirmed time.Duration) modeler.TopicRead {
		return modeler.TopicRead{Topic: modeler.Endpoints, Next: 3, ConfirmedAt: start.Add(confirmed)}
	}
	unreadable := modeler.EndpointRemoved{ID: "e", Offset: 2, Unreadable: true}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{"known", []step{{0, changed(1)}}, true},
		{"removed", []step{{0, changed(1)}, {time.Second, removed}}, false},
		{"removed record read late", []step{{0, changed(3)}, {time.Second, removed}}, true},
		{"older entry read late", []step{{0, changed(1)}, {time.Second, removed}, {2 * time.Second, changed(1)}}, false},
		{"expired while the store was unavailable", []step{{0, changed(1)}, {time.Second, failed}, {2 * time.Second, removed}}, true},
		{
			"kept while the store is unavailable",
			[]step{{0, changed(1)}, {time.Second, failed}, {2 * time.Second, removed}, {20 * time.Second, nil}}, true,
		},
		{
			"does not reappear after the store's recovery",
			[]step{
				{0, changed(1)}, {time.Second, failed}, {2 * time.Second, removed}, {3 * time.Second, read(3 * time.Second)},
				{5300 * time.Millisecond, read(5 * time.Second)},
			}, false,
		},
		{
			"reappears after the store's recovery",
			[]step{
				{0, changed(1)}, {time.Second, failed}, {2 * time.Second, removed}, {3 * time.Second, read(3 * time.Second)}, {4 * time.Second, changed(4)},
				{6 * time.Second, read(6 * time.Second)},
			}, true,
		},
		{"unreadable entry", []step{{0, changed(1)}, {time.Second, failed}, {2 * time.Second, unreadable}}, false},
		{"not listed", []step{{0, changed(1)}, {time.Second, modeler.TopicListed{Topic: modeler.Endpoints, End: 2}}}, false},
		{"received after the listing began", []step{{0, changed(1)}, {time.Second, modeler.TopicListed{Topic: modeler.Endpoints, End: 1}}}, true},
		{
			"listing of another topic", []step{{0, changed(1)}, {time.Second, modeler.TopicListed{Topic: modeler.Nodes}}}, true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, known := run(tt.steps).Endpoints.Get("e")
			assert.Equal(t, known, tt.want)
		})
	}
}

// TestStoreRegainedByOthers guards against a removed endpoint that is kept forever. This happens if only a read by this node counts as
// the store's recovery, because the node does not read the store while other nodes send it the changes.
func TestStoreRegainedByOthers(t *testing.T) {
	tests := []struct {
		name string
		// confirmed is when another node last read the store.
		confirmed time.Duration
		want      bool
	}{
		{"before the failure", 900 * time.Millisecond, true},
		{"after the failure", 3 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			system := applier.New()
			apply := func(at time.Duration, events ...modeler.Event) {
				system.Run(&modeler.Tick{Now: start.Add(at), Events: events}, world)
			}
			apply(0, changed(1))
			apply(time.Second, modeler.TopicFailed{Topic: modeler.Endpoints, Reason: "timeout", StartedAt: start.Add(950 * time.Millisecond)})
			apply(2*time.Second, modeler.EndpointRemoved{ID: "e", Offset: 2})
			world.ConfirmedAt[modeler.Endpoints] = start.Add(tt.confirmed)
			apply(3 * time.Second)
			if tt.confirmed > time.Second {
				world.ConfirmedAt[modeler.Endpoints] = start.Add(tt.confirmed + 2*time.Second)
			}
			apply(5300 * time.Millisecond)
			_, known := world.Endpoints.Get("e")
			assert.Equal(t, known, tt.want)
		})
	}
}

// TestRestartResetsState guards against a restarted endpoint that inherits the health and the prefill work of its earlier start.
func TestRestartResetsState(t *testing.T) {
	world := modeler.NewWorld(modeler.Node{ID: "n"})
	system := applier.New()
	apply := func(event modeler.Event) {
		system.Run(&modeler.Tick{Now: start, Events: []modeler.Event{event}}, world)
	}
	apply(changed(1))
	world.Health.Put("e", modeler.Health{}.WithNoResponse(start))
	world.PrefillEnd.Put("e", start.Add(time.Hour))
	restarted := changed(2)
	restarted.Endpoint.StartUnixMilli = 7
	restarted.ColdFor = 3 * time.Second
	apply(restarted)
	_, health := world.Health.Get("e")
	_, prefill := world.PrefillEnd.Get("e")
	assert.Assert(t, !health && !prefill)
	endpoint, _ := world.Endpoints.Get("e")
	assert.Assert(t, endpoint.Cold(start.Add(2*time.Second)) && !endpoint.Cold(start.Add(3*time.Second)))
}

// TestEarlierEra guards against an endpoint that stays for good because its entry was lost when the store came back from a copy, and against a read of
// before the return that confirms the state of after it.
func TestEarlierEra(t *testing.T) {
	read := func(next modeler.Position, at time.Duration) modeler.TopicRead {
		return modeler.TopicRead{Topic: modeler.Endpoints, Next: next, End: next, ConfirmedAt: start.Add(at)}
	}
	tests := []struct {
		name  string
		event modeler.Event
		want  int
	}{
		{"entry read before the return", changed(at(1, 30)), 0},
		{"entry that another node read before the return", peerChange(changed(at(1, 30))), 0},
		{"entry read after the return", changed(at(2, 21)), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := run([]step{{0, read(at(1, 25), 0)}, {1, read(at(2, 20), 1)}, {2, tt.event}, {3, read(at(1, 31), 3)}})
			assert.Equal(t, world.Endpoints.Len(), tt.want)
			assert.Equal(t, world.NextOffsets[modeler.Endpoints], at(2, 20))
		})
	}
}

func peerChange(e modeler.EndpointChanged) modeler.Event {
	body := modeler.EndpointChanges{From: e.Offset, Next: e.Offset + 1, Changes: []modeler.EndpointChange{{Endpoint: e.Endpoint, Offset: e.Offset}}}
	return modeler.PeerReceived{Message: modeler.Message{From: "other", Body: body}}
}
