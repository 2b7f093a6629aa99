package watcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

// TestProbeEnd guards against a probe whose crash is not known as its result because it overlaps with another one, and against a sound part that waits for long
// because nobody knows that its probe has shown nothing.
func TestProbeEnd(t *testing.T) {
	const id modeler.RequestID = "r9/0/i"
	tests := []struct {
		name string
		// known is set if this node has the assignment of the probe, and stated if the report states its parts.
		known, stated bool
		ended         modeler.Ended
		want          modeler.ProbeState
	}{
		{"refused by its endpoint", true, false, modeler.Ended{ID: id, Outcome: modeler.Shed}, modeler.ProbeInconclusive},
		{"its caller left", true, false, modeler.Ended{ID: id, Outcome: modeler.Abandoned}, modeler.ProbeInconclusive},
		{"reported to a new coordinator", false, true, modeler.Ended{ID: id, Outcome: modeler.Silent}, modeler.ProbeInconclusive},
		{"broke", true, true, modeler.Ended{ID: id, Outcome: modeler.Broken, Age: 200 * time.Millisecond}, modeler.ProbeBroke},
		{"broke together with another", true, true, modeler.Ended{ID: id, Outcome: modeler.Broken, Age: 4 * time.Second}, modeler.ProbeBroke},
		{"another request", true, true, modeler.Ended{ID: "r8/0/i", Outcome: modeler.Shed}, modeler.ProbePlaced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Coordinator = "n"
			row := modeler.BrokenAttempts{}.WithBrokenAttempt(start).WithRequest(1, nil).WithQuarantine(start, start, time.Hour, 2)
			row = row.WithReported(modeler.BrokenAttempt{ID: "r1/0/i", PlacedAt: start.Add(4 * time.Second), EndedAt: start.Add(5 * time.Second)}, true)
			world.BrokenAttempts.Put(part, row.WithProbe(id, start.Add(3*time.Second)))
			if tt.known {
				world.Assign(modeler.Assignment{Request: modeler.Request{ID: tt.ended.ID, Node: "m", SharedParts: []modeler.Fingerprint{part}}, Placed: start.Add(3 * time.Second)})
			}
			if tt.stated {
				tt.ended.SharedParts = []modeler.Fingerprint{part}
			}
			report := modeler.PeerReceived{Message: modeler.Message{From: "m", Body: tt.ended}}
			watcher.New().Run(&modeler.Tick{Now: start.Add(5 * time.Second), Events: []modeler.Event{report}}, world)
			got, _ := world.BrokenAttempts.Get(part)
			assert.Equal(t, got.Probe.State, tt.want)
		})
	}
}

// TestProbeEndIsReported guards against a coordinator that does not learn that the probe of another node has shown nothing, because the report leaves out the parts
// of prompts that neither broke nor were answered.
func TestProbeEndIsReported(t *testing.T) {
	tests := []struct {
		name  string
		probe modeler.RequestID
		want  int
	}{{"probe", "r", 1}, {"another request", "other", 0}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Coordinator = "c"
			world.Nodes.Put("c", modeler.Node{ID: "c"}.WithLastSeen(start))
			row := modeler.BrokenAttempts{}.WithBrokenAttempt(start).WithRequest(1, nil).WithQuarantine(start, start, time.Hour, 2)
			world.BrokenAttempts.Put(part, row.WithProbe(tt.probe, start))
			world.Assign(modeler.Assignment{Request: modeler.Request{ID: "r", Node: "n", SharedParts: []modeler.Fingerprint{part}}, Placed: start})
			tick := &modeler.Tick{Now: start.Add(time.Second), Events: []modeler.Event{modeler.AttemptEnded{ID: "r", Outcome: modeler.Shed}}}
			watcher.New().Run(tick, world)
			reports := 0
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					ended, ok := send.Message.Body.(modeler.Ended)
					assert.Assert(t, ok)
					assert.Equal(t, len(ended.SharedParts), tt.want)
					reports++
				}
			}
			assert.Equal(t, reports, 1)
		})
	}
}

// TestStaleProbe guards against a node that waits for the probe of a part which was cleared while the node was paused. The quarantine counts all the same until later
// messages show whether it still holds.
func TestStaleProbe(t *testing.T) {
	suspect := modeler.Suspect{
		Fingerprint: part, Count: 3, SharedPart: true, Quarantines: 1, QuarantinedFor: time.Minute,
		Probe: modeler.ProbeReport{Quarantine: 1, Number: 1, ID: "r", State: modeler.ProbePlaced},
	}
	tests := []struct {
		name  string
		since time.Duration
		body  modeler.MessageBody
		want  int
	}{
		{"digest after a pause", 0, modeler.Digest{Suspects: []modeler.Suspect{suspect}}, 0},
		{"heartbeat after a pause", 0, modeler.Beat{Suspects: []modeler.Suspect{suspect}}, 0},
		{"digest later", 400 * time.Millisecond, modeler.Digest{Suspects: []modeler.Suspect{suspect}}, 1},
		{"heartbeat later", 400 * time.Millisecond, modeler.Beat{Suspects: []modeler.Suspect{suspect}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			if _, ok := tt.body.(modeler.Beat); ok {
				world.Coordinator = "n"
			}
			world.BeginTick(start.Add(-5 * time.Second))
			world.BeginTick(start)
			message := modeler.PeerReceived{Message: modeler.Message{From: "c", Incarnation: 1, Body: tt.body}}
			watcher.New().Run(&modeler.Tick{Now: start.Add(tt.since), Events: []modeler.Event{message}}, world)
			got, _ := world.BrokenAttempts.Get(part)
			assert.Assert(t, got.Quarantined(start.Add(tt.since)))
			assert.Equal(t, got.Probe.Number, tt.want)
		})
	}
}

// TestTakeoverKeepsGrowth guards against a fingerprint that crashes engines more often than its bound allows because each new coordinator begins with the shortest
// quarantine again.
func TestTakeoverKeepsGrowth(t *testing.T) {
	tests := []struct {
		name        string
		fingerprint modeler.Fingerprint
		first       time.Duration
		growth      int
	}{{"request", 7, time.Minute, 10}, {"shared part", part, 10 * time.Minute, 2}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &simulatedFleet{now: start, nodes: map[modeler.NodeID]*fleetNode{}}
			s.add("a", 1, 1000)
			s.add("b", 2, 1000)
			s.run(4 * time.Second)
			row := modeler.BrokenAttempts{Count: 4}.WithBrokenAttempt(s.now)
			if tt.fingerprint == part {
				row = row.WithRequest(1, nil).WithRequest(2, nil).WithRequest(3, nil)
			}
			row = row.WithQuarantine(s.now.Add(-time.Hour), s.now.Add(-time.Hour), time.Second, 1).WithQuarantine(s.now, s.now, tt.first, tt.growth)
			s.nodes["a"].world.BrokenAttempts.Put(tt.fingerprint, row)
			s.run(2 * time.Second)
			s.nodes["a"].frozen = true
			s.run(4 * time.Second)
			assert.Equal(t, s.nodes["b"].world.Coordinator, modeler.NodeID("b"))
			known, _ := s.nodes["b"].world.BrokenAttempts.Get(tt.fingerprint)
			assert.Equal(t, known.Quarantines, 2)
			ends := known.Until.Add(time.Second)
			next := known.WithQuarantine(ends, ends, tt.first, tt.growth)
			assert.Equal(t, next.Until.Sub(ends), tt.first*time.Duration(tt.growth*tt.growth))
		})
	}
}
