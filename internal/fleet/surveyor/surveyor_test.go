package surveyor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

var start = time.Unix(1_000_000, 0)

// world returns a world with two engines and a plain service, coordinated by a.
func world(self modeler.NodeID) *modeler.World {
	w := modeler.NewWorld(modeler.Node{ID: self})
	w.Coordinator = "a"
	w.Nodes.Put("b", modeler.Node{ID: "b"}.WithLastSeen(start.Add(time.Hour)))
	services := []modeler.Service{{ID: "engines", Engine: modeler.EngineProfile{PrefillRate: 1000}}, {ID: "plain"}}
	w.Configuration = modeler.NewConfiguration(1, nil, services, nil, modeler.Limits{})
	for _, id := range []modeler.EndpointID{"e1", "e2"} {
		w.Endpoints.Put(id, modeler.Endpoint{ID: id, Service: "engines", Slots: 4, StartUnixMilli: 7})
	}
	w.Endpoints.Put("p", modeler.Endpoint{ID: "p", Service: "plain", Slots: 4})
	return w
}

// play runs the system once and returns the engines that it asks.
func play(s *System, w *modeler.World, at time.Duration, events ...modeler.Event) []modeler.EndpointID {
	tick := &modeler.Tick{Now: start.Add(at), Events: events}
	s.Run(tick, w)
	var asked []modeler.EndpointID
	for _, effect := range tick.Effects() {
		if ask, ok := effect.(modeler.AskEngines); ok {
			for _, engine := range ask.Engines {
				asked = append(asked, engine.ID)
			}
		}
	}
	return asked
}

func from(node modeler.NodeID, body modeler.MessageBody) modeler.Event {
	return modeler.PeerReceived{Message: modeler.Message{From: node, Body: body}}
}

// TestSurvey guards against a coordinator that places on engines which are full of requests that nobody knows of, and against questions, which have a
// price, of nodes that know what runs or do not place.
func TestSurvey(t *testing.T) {
	ask := from("b", modeler.Ask{})
	loads := func(ids ...modeler.EndpointID) modeler.Event {
		summaries := map[modeler.EndpointID]modeler.LoadSummary{}
		for _, id := range ids {
			summaries[id] = modeler.LoadSummary{Running: 1}
		}
		return from("b", modeler.Digest{Loads: summaries})
	}
	both := []modeler.EndpointID{"e1", "e2"}
	tests := []struct {
		name    string
		self    modeler.NodeID
		off     bool
		before  []modeler.Event
		at      time.Duration
		request modeler.Event
		want    []modeler.EndpointID
	}{
		{name: "the first request after a restart of all", self: "a", at: time.Second, request: ask, want: both},
		{name: "switched off", self: "a", off: true, at: time.Second, request: ask},
		{name: "a node that does not coordinate", self: "b", at: time.Second, request: ask},
		{name: "a request of its own while others may place", self: "a", at: time.Second, request: modeler.PlacementRequested{}},
		{name: "a predecessor has told what runs", self: "a", before: []modeler.Event{loads("e1", "e2")}, at: time.Second, request: ask},
		{name: "a digest of a node that has just started", self: "a", before: []modeler.Event{loads()}, at: time.Second, request: ask, want: both},
		{name: "long after the start", self: "a", at: time.Minute, request: ask},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, w := New(!tt.off), world(tt.self)
			play(s, w, 0, tt.before...)
			assert.DeepEqual(t, play(s, w, tt.at, tt.request), tt.want)
			assert.DeepEqual(t, play(s, w, tt.at+time.Millisecond, tt.request), []modeler.EndpointID(nil))
		})
	}
}

// TestUnplacedWork guards against counting requests of this fleet twice, and against work that stays when the engine has ended it, has been replaced or
// does not answer any more.
func TestUnplacedWork(t *testing.T) {
	reported := func(requests int, born int64) modeler.Event {
		return modeler.EngineReported{Engine: modeler.Endpoint{ID: "e1", StartUnixMilli: born}, Requests: requests, Memory: 100}
	}
	s, w := New(true), world("a")
	play(s, w, time.Second, from("b", modeler.Ask{}))
	steps := []struct {
		name string
		at   time.Duration
		// placed is the time of a request of this fleet on the engine; zero means none.
		placed   time.Duration
		event    modeler.Event
		want     int
		asks     bool
		memory   modeler.Tokens
		released bool
	}{
		{name: "work that nobody knows", at: 1010 * time.Millisecond, event: reported(4, 7), want: 4, memory: 100},
		{name: "an earlier process of the engine", at: 1020 * time.Millisecond, event: reported(9, 6), want: 4, memory: 100},
		{name: "asked again", at: 1510 * time.Millisecond, want: 4, memory: 100, asks: true},
		{name: "less own work", at: 1520 * time.Millisecond, placed: 1100 * time.Millisecond, event: reported(3, 7), want: 2, memory: 90, released: true},
		{name: "no answer for a while", at: 4 * time.Second, want: 0, asks: true, released: true},
		{name: "nothing left", at: 5 * time.Second, event: reported(0, 7), want: 0},
	}
	for _, step := range steps {
		if step.placed > 0 {
			w.Assign(modeler.Assignment{
				Request: modeler.Request{ID: "r", Prompt: 10}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}, Placed: start.Add(step.placed),
			})
		}
		before := w.Releases
		var asked []modeler.EndpointID
		if step.event != nil {
			asked = play(s, w, step.at, step.event)
		} else {
			asked = play(s, w, step.at)
		}
		work, _ := w.UnplacedWork.Get("e1")
		assert.Equal(t, work.Requests, step.want, step.name)
		assert.Equal(t, work.Memory, step.memory, step.name)
		assert.Equal(t, len(asked) > 0, step.asks, step.name)
		assert.Equal(t, w.Releases > before, step.released, step.name)
	}
}
