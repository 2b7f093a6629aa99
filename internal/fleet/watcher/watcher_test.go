package watcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

var start = time.Unix(1000, 0)

// TestOutcomes guards against an endpoint that is avoided although it lives, or used although it does not answer.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name     string
		lived    time.Duration
		outcome  modeler.Outcome
		avoided  bool
		failures bool
	}{
		{"answered", 0, modeler.Answered, false, false},
		{"caller left", 0, modeler.Abandoned, false, false},
		{"shed", 0, modeler.Shed, false, false},
		{"failed", 0, modeler.Failed, false, true},
		{"garbled", 0, modeler.Garbled, false, true},
		{"broken", 0, modeler.Broken, false, true},
		{"unreachable", 0, modeler.Unreachable, true, true},
		{"silent", 0, modeler.Silent, true, true},
		{"silent to one, alive to others", 9800 * time.Millisecond, modeler.Silent, false, false},
		{"silent, and a sign of life long ago", 8 * time.Second, modeler.Silent, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Endpoints.Put("e", modeler.Endpoint{ID: "e"})
			if tt.lived > 0 {
				world.Health.Put("e", modeler.Health{}.WithActivity(start.Add(tt.lived)))
			}
			world.Assign(modeler.Assignment{Request: modeler.Request{ID: "r", Node: "n"}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e"}}})
			now := start.Add(10 * time.Second)
			tick := &modeler.Tick{Now: now, Events: []modeler.Event{modeler.AttemptEnded{ID: "r", Outcome: tt.outcome}}}
			watcher.New().Run(tick, world)
			health, _ := world.Health.Get("e")
			assert.Equal(t, now.Before(health.AvoidUntil), tt.avoided)
			assert.Equal(t, health.FailureRate(now) > 0, tt.failures)
			assert.Equal(t, world.Assignments.Len(), 0)
		})
	}
}

// TestQuarantine guards against a request that goes on crashing endpoints, and against one broken connection that bars a request.
func TestQuarantine(t *testing.T) {
	world := modeler.NewWorld(modeler.Node{ID: "n"})
	world.Endpoints.Put("e", modeler.Endpoint{ID: "e"})
	system := watcher.New()
	wants := []bool{false, false, true}
	for i, want := range wants {
		body := modeler.Ended{ID: "r", Endpoint: "e", Outcome: modeler.Broken, Fingerprint: 7}
		system.Run(&modeler.Tick{Now: start, Events: []modeler.Event{modeler.PeerReceived{Message: modeler.Message{From: "m", Body: body}}}}, world)
		strikes, _ := world.BrokenAttempts.Get(7)
		assert.Equal(t, strikes.Quarantined(start), want, "after %d", i+1)
	}
	strikes, _ := world.BrokenAttempts.Get(7)
	assert.Assert(t, !strikes.Quarantined(start.Add(2*time.Minute)))

	other := modeler.NewWorld(modeler.Node{ID: "m"})
	digest := modeler.Digest{Quarantined: []modeler.Fingerprint{7}}
	watcher.New().Run(&modeler.Tick{Now: start, Events: []modeler.Event{modeler.PeerReceived{Message: modeler.Message{From: "n", Body: digest}}}}, other)
	learned, _ := other.BrokenAttempts.Get(7)
	assert.Assert(t, learned.Quarantined(start))
}

// TestStrikes guards against requests that are refused because others like them were broken off: those without a body are not told apart, and
// one that was answered crashes nothing.
func TestStrikes(t *testing.T) {
	tests := []struct {
		name        string
		fingerprint modeler.Fingerprint
		outcomes    []modeler.Outcome
		want        bool
	}{
		{"three breaks", 7, []modeler.Outcome{modeler.Broken, modeler.Broken, modeler.Broken}, true},
		{"no fingerprint", modeler.NoFingerprint, []modeler.Outcome{modeler.Broken, modeler.Broken, modeler.Broken, modeler.Broken}, false},
		{"answered between", 7, []modeler.Outcome{modeler.Broken, modeler.Broken, modeler.Answered, modeler.Broken}, false},
		{"other failures", 7, []modeler.Outcome{modeler.Failed, modeler.Silent, modeler.Unreachable, modeler.Garbled}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Endpoints.Put("e", modeler.Endpoint{ID: "e"})
			for _, outcome := range tt.outcomes {
				body := modeler.Ended{ID: "r", Endpoint: "e", Outcome: outcome, Fingerprint: tt.fingerprint}
				event := modeler.PeerReceived{Message: modeler.Message{From: "m", Body: body}}
				watcher.New().Run(&modeler.Tick{Now: start, Events: []modeler.Event{event}}, world)
			}
			strikes, _ := world.BrokenAttempts.Get(tt.fingerprint)
			assert.Equal(t, strikes.Quarantined(start), tt.want)
		})
	}
}

// TestEndIsTold guards against a coordinator that takes the place of an ended request for used.
func TestEndIsTold(t *testing.T) {
	world := modeler.NewWorld(modeler.Node{ID: "n"})
	world.Nodes.Put("c", modeler.Node{ID: "c"})
	world.Coordinator = "c"
	world.Assign(modeler.Assignment{Request: modeler.Request{ID: "r", Node: "n", Fingerprint: 5}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e"}}})
	tick := &modeler.Tick{Now: start, Events: []modeler.Event{modeler.AttemptEnded{ID: "r", Outcome: modeler.Failed}}}
	watcher.New().Run(tick, world)
	assert.Equal(t, len(tick.Effects()), 1)
	sent, ok := tick.Effects()[0].(modeler.Send)
	assert.Assert(t, ok)
	assert.DeepEqual(t, sent.Message.Body, modeler.Ended{ID: "r", Endpoint: "e", Outcome: modeler.Failed, Fingerprint: 5})
}

// TestSilentAttemptGoesOn guards against a dark endpoint that gets more requests because nobody may leave it, and against an attempt that is
// taken for ended while its answer may still come.
func TestSilentAttemptGoesOn(t *testing.T) {
	world := modeler.NewWorld(modeler.Node{ID: "n"})
	world.Nodes.Put("c", modeler.Node{ID: "c"})
	world.Coordinator = "c"
	world.Endpoints.Put("e", modeler.Endpoint{ID: "e"})
	world.Assign(modeler.Assignment{Request: modeler.Request{ID: "r", Node: "n"}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e"}}})
	system := watcher.New()
	tick := &modeler.Tick{Now: start, Events: []modeler.Event{modeler.AttemptSilent{ID: "r"}}}
	system.Run(tick, world)
	health, _ := world.Health.Get("e")
	assert.Assert(t, start.Before(health.AvoidUntil))
	assert.Equal(t, world.Assignments.Len(), 1)
	var told modeler.Ended
	for _, effect := range tick.Effects() {
		if send, ok := effect.(modeler.Send); ok {
			told, _ = send.Message.Body.(modeler.Ended)
		}
	}
	assert.DeepEqual(t, told, modeler.Ended{Endpoint: "e", Outcome: modeler.Silent})

	coordinator := modeler.NewWorld(modeler.Node{ID: "c"})
	coordinator.Endpoints.Put("e", modeler.Endpoint{ID: "e"})
	system.Run(&modeler.Tick{Now: start, Events: []modeler.Event{modeler.PeerReceived{Message: modeler.Message{From: "n", Body: told}}}}, coordinator)
	health, _ = coordinator.Health.Get("e")
	assert.Assert(t, start.Before(health.AvoidUntil))
}

// TestJudgedOnce guards against a line of the log for each request that one dead endpoint fails: 30 within 0.5 s were seen.
func TestJudgedOnce(t *testing.T) {
	world := modeler.NewWorld(modeler.Node{ID: "n"})
	world.Endpoints.Put("e", modeler.Endpoint{ID: "e"})
	system, lines := watcher.New(), 0
	for _, id := range []modeler.RequestID{"r1", "r2", "r3"} {
		world.Assign(modeler.Assignment{Request: modeler.Request{ID: id, Node: "n"}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e"}}})
		tick := &modeler.Tick{Now: start, Events: []modeler.Event{modeler.AttemptEnded{ID: id, Outcome: modeler.Unreachable}}}
		system.Run(tick, world)
		for _, effect := range tick.Effects() {
			if note, ok := effect.(modeler.Note); ok && note.Name == modeler.NoteEndpointJudged {
				lines++
			}
		}
	}
	assert.Equal(t, lines, 1)
}
