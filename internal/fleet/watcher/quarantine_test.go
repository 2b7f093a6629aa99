package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

const part modeler.Fingerprint = 1 << 40

// report is how an attempt with a shared part ended, as a node reports it.
type report struct {
	// at is the time of the report after start, and placed that of the placement.
	at, placed  time.Duration
	id          modeler.RequestID
	fingerprint modeler.Fingerprint
	outcome     modeler.Outcome
	survived    bool
}

func (r report) event() modeler.Event {
	return modeler.PeerReceived{Message: modeler.Message{From: "m", Body: modeler.Ended{
		ID: r.id, Endpoint: "e", Outcome: r.outcome, Fingerprint: r.fingerprint, SharedParts: []modeler.Fingerprint{part}, Age: r.at - r.placed,
		Survived: r.survived,
	}}}
}

// broken returns the report of a request that broke 0.2 s after its placement.
func broken(at time.Duration, fingerprint modeler.Fingerprint) report {
	id := modeler.RequestID(fmt.Sprintf("r%d/0/i", fingerprint))
	return report{at: at, placed: at - 200*time.Millisecond, id: id, fingerprint: fingerprint, outcome: modeler.Broken}
}

// TestSharedPartQuarantine guards against a part of prompts that crashes one endpoint after another in different requests, and against a
// quarantine of parts that sound requests share.
func TestSharedPartQuarantine(t *testing.T) {
	const ms = time.Millisecond
	noBody := func(at time.Duration, id modeler.RequestID) report {
		r := broken(at, modeler.NoFingerprint)
		r.id = id
		return r
	}
	tests := []struct {
		name    string
		reports []report
		// at is when the part is checked.
		at   time.Duration
		want bool
	}{
		{"three requests in turn", []report{broken(0, 1), broken(300*ms, 2), broken(700*ms, 3)}, 700 * ms, true},
		{"two requests", []report{broken(0, 1), broken(300*ms, 2)}, time.Second, false},
		{"too early for others to survive", []report{broken(0, 1), broken(200*ms, 2), broken(400*ms, 3)}, 500 * ms, false},
		{"later the same", []report{broken(0, 1), broken(200*ms, 2), broken(400*ms, 3)}, 600 * ms, true},
		{"the same request", []report{broken(0, 1), broken(300*ms, 1), broken(700*ms, 1), broken(1100*ms, 1)}, 2 * time.Second, false},
		{"two requests, one of them twice", []report{broken(0, 1), broken(300*ms, 2), broken(700*ms, 2)}, 2 * time.Second, false},
		{"two requests, both of them twice", []report{broken(0, 1), broken(300*ms, 1), broken(700*ms, 2), broken(1100*ms, 2)}, 2 * time.Second, true},
		{"three requests, placed while the first was repeated", []report{
			broken(0, 1), broken(300*ms, 1), {at: 400 * ms, placed: 50 * ms, fingerprint: 2, outcome: modeler.Broken},
			{at: 700 * ms, placed: 450 * ms, fingerprint: 3, outcome: modeler.Broken},
		}, time.Second, true},
		{"without a body", []report{noBody(0, "a/0/i"), noBody(300*ms, "b/0/i"), noBody(700*ms, "c/0/i")}, time.Second, true},
		{"the same without a body", []report{noBody(0, "a/0/i"), noBody(300*ms, "a/1/i"), noBody(700*ms, "a/2/i")}, time.Second, false},
		{"all at one moment", []report{broken(0, 1), broken(ms, 2), broken(2*ms, 3), broken(3*ms, 4)}, time.Second, false},
		{
			"an answer between",
			[]report{broken(0, 1), broken(300*ms, 2), {at: 600 * ms, placed: ms, fingerprint: 3, survived: true}, broken(700*ms, 4)}, time.Second, false,
		},
		{
			"a stream that broke after it had run on", []report{
				broken(0, 1), broken(300*ms, 2), {at: 600 * ms, placed: ms, fingerprint: 3, outcome: modeler.Broken, survived: true}, broken(700*ms, 4),
			}, time.Second, false,
		},
		{
			"an answer of an attempt that was placed before", []report{
				broken(0, 1), broken(300*ms, 2), {at: 600 * ms, placed: -time.Second, fingerprint: 3, survived: true}, broken(700*ms, 4),
			}, time.Second, true,
		},
		{
			"an answer afterwards", []report{
				broken(0, 1), broken(300*ms, 2), broken(700*ms, 3), {at: 900 * ms, placed: 100 * ms, fingerprint: 4, survived: true},
			}, time.Second, false,
		},
		{
			"other failures", []report{
				{at: 300 * ms, fingerprint: 1, outcome: modeler.Failed}, {at: 600 * ms, placed: 300 * ms, fingerprint: 2, outcome: modeler.Silent},
				{at: 900 * ms, placed: 600 * ms, fingerprint: 3, outcome: modeler.Unreachable},
			}, time.Second, false,
		},
		{"ended after ten minutes", []report{broken(0, 1), broken(300*ms, 2), broken(700*ms, 3)}, 10*time.Minute + 700*ms, false},
		{
			"once more after its end", []report{broken(0, 1), broken(300*ms, 2), broken(700*ms, 3), broken(11*time.Minute, 4)},
			11*time.Minute + 19*time.Minute, true,
		},
		{
			"ended after twice as long", []report{broken(0, 1), broken(300*ms, 2), broken(700*ms, 3), broken(11*time.Minute, 4)},
			11*time.Minute + 20*time.Minute, false,
		},
		{"crashes days apart", []report{broken(0, 1), broken(24*time.Hour, 2), broken(48*time.Hour, 3)}, 48 * time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The endpoint is not in the table: its entry may be removed before the attempt is reported.
			world, system := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New()
			for _, r := range tt.reports {
				system.Run(&modeler.Tick{Now: start.Add(r.at)}, world)
				system.Run(&modeler.Tick{Now: start.Add(r.at), Events: []modeler.Event{r.event()}}, world)
			}
			brokenAttempts, _ := world.BrokenAttempts.Get(part)
			assert.Equal(t, brokenAttempts.Quarantined(start.Add(tt.at)), tt.want)
		})
	}
}

// TestCompanions guards against the quarantine of a sound part because all requests that crashed had it too, and against a part that crashes endpoints and is
// never refused because it comes with changing others.
func TestCompanions(t *testing.T) {
	type crash []modeler.Fingerprint
	tests := []struct {
		name    string
		crashes []crash
		parts   []modeler.Fingerprint
		want    bool
	}{
		{"the same parts", []crash{{1, 2}, {1, 2}, {1, 2}}, []modeler.Fingerprint{1, 2}, true},
		{"and one more", []crash{{1, 2}, {1, 2}, {1, 2}}, []modeler.Fingerprint{1, 3, 2}, true},
		{"only the first", []crash{{1, 2}, {1, 2}, {1, 2}}, []modeler.Fingerprint{1}, false},
		{"only the second", []crash{{1, 2}, {1, 2}, {1, 2}}, []modeler.Fingerprint{2, 3}, false},
		{"the second with another first one", []crash{{1, 2}, {3, 2}, {1, 2}}, []modeler.Fingerprint{4, 2}, true},
		{"the second alone crashed later", []crash{{1, 2}, {1, 2}, {1, 2}, {3, 2}}, []modeler.Fingerprint{2, 4}, true},
		{"the sixth of many", []crash{{1, 2, 3, 4, 5, 6}, {1, 2, 3, 4, 5, 6}, {1, 2, 3, 4, 5, 6}}, []modeler.Fingerprint{1, 2, 3, 4, 5}, false},
		{"the first alone after that", []crash{{1, 2}, {1, 2}, {1, 2}, {3, 2}}, []modeler.Fingerprint{1, 4}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world, system, now := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New(), start
			for i, parts := range tt.crashes {
				now = now.Add(time.Second)
				body := modeler.Ended{ID: "r", Outcome: modeler.Broken, Fingerprint: modeler.Fingerprint(100 + i), SharedParts: parts, Age: time.Second}
				system.Run(&modeler.Tick{Now: now, Events: []modeler.Event{modeler.PeerReceived{Message: modeler.Message{From: "m", Body: body}}}}, world)
			}
			refused := false
			for _, part := range tt.parts {
				brokenAttempts, _ := world.BrokenAttempts.Get(part)
				refused = refused || brokenAttempts.Quarantined(now) && brokenAttempts.Blames(tt.parts)
			}
			assert.Equal(t, refused, tt.want)
		})
	}
}

// TestRunningStreamClearsPart guards against a quarantine of a sound part for as long as the streams with it last.
func TestRunningStreamClearsPart(t *testing.T) {
	tests := []struct {
		name   string
		placed time.Duration
		after  time.Duration
		want   bool
	}{
		{"ran on", 0, 300 * time.Millisecond, true},
		{"not long enough", 0, 200 * time.Millisecond, false},
		{"placed before the first broken attempt", -time.Second, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world, system := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New()
			world.BrokenAttempts.Put(part, modeler.BrokenAttempts{}.WithBrokenAttempt(start).WithRequest(1, nil))
			world.Assign(modeler.Assignment{
				Request: modeler.Request{ID: "r", Node: "n", SharedParts: []modeler.Fingerprint{part}}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e"}},
				Placed: start.Add(tt.placed),
			})
			system.Run(&modeler.Tick{Now: start, Events: []modeler.Event{modeler.AttemptStarted{ID: "r"}}}, world)
			system.Run(&modeler.Tick{Now: start.Add(tt.after)}, world)
			_, ok := world.BrokenAttempts.Get(part)
			assert.Equal(t, !ok, tt.want)
		})
	}
}

// TestEndedEvidence guards against a report that leaves out what an attempt shows about shared parts, and against longer messages without need.
func TestEndedEvidence(t *testing.T) {
	parts := []modeler.Fingerprint{part}
	tests := []struct {
		name       string
		outcome    modeler.Outcome
		succeeded  bool
		firstEvent time.Duration
		want       modeler.Ended
	}{
		{"answered", modeler.Answered, true, 0, modeler.Ended{SharedParts: parts, Age: time.Second, Survived: true}},
		{"caller error, or no stated end", modeler.Answered, false, 0, modeler.Ended{}},
		{"broken before the first event", modeler.Broken, false, 0, modeler.Ended{SharedParts: parts, Age: time.Second, ProcessEndedAt: time.Microsecond}},
		{"broken soon after it", modeler.Broken, false, 900 * time.Millisecond, modeler.Ended{SharedParts: parts, Age: time.Second, ProcessEndedAt: time.Microsecond}},
		{"broken later", modeler.Broken, false, 600 * time.Millisecond, modeler.Ended{SharedParts: parts, Age: time.Second, ProcessEndedAt: time.Microsecond, Survived: true}},
		{"caller left a running stream", modeler.Abandoned, false, 600 * time.Millisecond, modeler.Ended{SharedParts: parts, Age: time.Second, Survived: true}},
		{"caller left early", modeler.Abandoned, false, 0, modeler.Ended{}},
		{"shed", modeler.Shed, false, 0, modeler.Ended{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Nodes.Put("c", modeler.Node{ID: "c"})
			world.Coordinator = "c"
			assignment := modeler.Assignment{
				Request: modeler.Request{ID: "r", Node: "n", SharedParts: parts}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e"}}, Placed: start,
			}
			if tt.firstEvent > 0 {
				assignment = assignment.WithFirstEvent(start.Add(tt.firstEvent))
			}
			world.Assign(assignment)
			tick := &modeler.Tick{Now: start.Add(time.Second), Events: []modeler.Event{modeler.AttemptEnded{ID: "r", Outcome: tt.outcome, Succeeded: tt.succeeded}}}
			watcher.New().Run(tick, world)
			tt.want.ID, tt.want.Endpoint, tt.want.Outcome, tt.want.Succeeded = "r", "e", tt.outcome, tt.succeeded
			var got []modeler.Ended
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					got = append(got, send.Message.Body.(modeler.Ended))
				}
			}
			assert.DeepEqual(t, got, []modeler.Ended{tt.want})
		})
	}
}

// TestSuspects guards against a quarantine that ends with the coordinator, and against one that stays on other nodes after it was lifted.
func TestSuspects(t *testing.T) {
	listed := []modeler.Suspect{{Fingerprint: part, Count: 3, Requests: []modeler.Fingerprint{1, 2, 3}, SharedPart: true, Companions: []modeler.Fingerprint{part, 5}, QuarantinedFor: time.Hour}}
	until := []modeler.Suspect{listed[0]}
	until[0].QuarantinedFor = time.Minute
	type digest struct {
		from        modeler.NodeID
		incarnation uint64
		suspects    []modeler.Suspect
		at          time.Duration
		partial     bool
	}
	tests := []struct {
		name        string
		coordinator modeler.NodeID
		digests     []digest
		at          time.Duration
		want        bool
	}{
		{"learned", "c", []digest{{"c", 1, listed, 0, false}}, 0, true},
		{"learned from the coordinator before", "d", []digest{{"c", 1, listed, 0, false}}, 0, true},
		{"until its end", "c", []digest{{"c", 1, until, 0, false}}, time.Minute, false},
		{"lifted by the coordinator", "c", []digest{{"c", 1, listed, 0, false}, {"c", 1, nil, 3 * time.Second, false}}, 3 * time.Second, false},
		{"no room for it", "c", []digest{{"c", 1, listed, 0, false}, {"c", 1, nil, 3 * time.Second, true}}, 3 * time.Second, true},
		{"the coordinator may not know it yet", "c", []digest{{"c", 1, listed, 0, false}, {"c", 1, nil, time.Second, false}}, time.Second, true},
		{"another node does not list it", "d", []digest{{"c", 1, listed, 0, false}, {"c", 1, nil, 3 * time.Second, false}}, 3 * time.Second, true},
		{"a new coordinator does not know it", "d", []digest{{"c", 1, listed, 0, false}, {"d", 2, nil, 3 * time.Second, false}}, 3 * time.Second, true},
		{"the coordinator has restarted", "c", []digest{{"c", 1, listed, 0, false}, {"c", 2, nil, 3 * time.Second, false}}, 3 * time.Second, true},
		{
			"lifted by a new coordinator that knew it", "d",
			[]digest{{"c", 1, listed, 0, false}, {"d", 2, listed, 3 * time.Second, false}, {"d", 2, nil, 6 * time.Second, false}}, 6 * time.Second, false,
		},
		{"this node coordinates", "n", []digest{{"c", 1, listed, 0, false}}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Coordinator = tt.coordinator
			for _, d := range tt.digests {
				message := modeler.Message{From: d.from, Incarnation: d.incarnation, Body: modeler.Digest{Suspects: d.suspects, SuspectsPartial: d.partial}}
				watcher.New().Run(&modeler.Tick{Now: start.Add(d.at), Events: []modeler.Event{modeler.PeerReceived{Message: message}}}, world)
			}
			brokenAttempts, _ := world.BrokenAttempts.Get(part)
			assert.Equal(t, brokenAttempts.Quarantined(start.Add(tt.at)), tt.want)
		})
	}
}

// TestSuspectsForCoordinator guards against a new coordinator that places requests which the one before refused.
func TestSuspectsForCoordinator(t *testing.T) {
	suspects := []modeler.Suspect{{Fingerprint: part, Count: 3, Requests: []modeler.Fingerprint{1, 2, 3}, SharedPart: true, QuarantinedFor: time.Minute}}
	for _, tt := range []struct {
		name        string
		coordinator modeler.NodeID
		want        bool
	}{{"this node coordinates", "n", true}, {"another node coordinates", "c", false}} {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			world.Coordinator = tt.coordinator
			message := modeler.Message{From: "m", Body: modeler.Beat{Suspects: suspects}}
			watcher.New().Run(&modeler.Tick{Now: start, Events: []modeler.Event{modeler.PeerReceived{Message: message}}}, world)
			brokenAttempts, _ := world.BrokenAttempts.Get(part)
			assert.Equal(t, brokenAttempts.Quarantined(start), tt.want)
		})
	}
}

// TestBrokenAttemptsAreBounded guards against a table that grows with each broken attempt, and against a quarantine, or a count that is about to become
// one, that is lost to it.
func TestBrokenAttemptsAreBounded(t *testing.T) {
	world, system := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New()
	world.BrokenAttempts.Put(part, modeler.BrokenAttempts{}.WithBrokenAttempt(start).WithRequest(1, nil).WithQuarantine(start, start, time.Hour, 2))
	world.BrokenAttempts.Put(9999999, modeler.BrokenAttempts{}.WithBrokenAttempt(start).WithBrokenAttempt(start))
	now := start
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		body := modeler.Ended{ID: "r", Endpoint: "e", Outcome: modeler.Broken, Fingerprint: modeler.Fingerprint(i + 1)}
		system.Run(&modeler.Tick{Now: now, Events: []modeler.Event{modeler.PeerReceived{Message: modeler.Message{From: "m", Body: body}}}}, world)
	}
	assert.Assert(t, world.BrokenAttempts.Len() <= 2048, "%d rows", world.BrokenAttempts.Len())
	brokenAttempts, _ := world.BrokenAttempts.Get(part)
	assert.Assert(t, brokenAttempts.Quarantined(now))
	_, ok := world.BrokenAttempts.Get(9999999)
	assert.Assert(t, ok)
}

// TestProbeIsKnown guards against one more crash with each new coordinator, because it does not know that the probe of a quarantine broke.
func TestProbeIsKnown(t *testing.T) {
	old := modeler.BrokenAttempts{}.WithBrokenAttempt(start).WithRequest(1, nil).WithQuarantine(start, start, time.Hour, 2)
	probed := old.WithProbe("r", start.Add(2*time.Second))
	tests := []struct {
		name string
		row  modeler.BrokenAttempts
		// due is set if another probe is due after 25 s. After a minute one is due in any case.
		due bool
	}{
		{"no probe yet", old, true},
		{"the probe runs", probed, true},
		{"the probe broke", probed.WithBrokenAttempt(start.Add(3 * time.Second)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := start.Add(4 * time.Second)
			suspect, ok := tt.row.Suspect(part, at)
			assert.Assert(t, ok)
			world := modeler.NewWorld(modeler.Node{ID: "n"})
			for i := range 3 {
				digest := modeler.PeerReceived{Message: modeler.Message{From: "c", Body: modeler.Digest{Suspects: []modeler.Suspect{suspect}}}}
				watcher.New().Run(&modeler.Tick{Now: at.Add(time.Duration(i) * time.Second), Events: []modeler.Event{digest}}, world)
			}
			received, _ := world.BrokenAttempts.Get(part)
			assert.Equal(t, received.ProbeDue(at.Add(25*time.Second)), tt.due)
			assert.Assert(t, received.ProbeDue(at.Add(time.Minute)))
		})
	}
}

// TestQuarantinesAfterReturn guards against a quarantine that ends with the nodes that know it, because the store has come back from a copy without it.
func TestQuarantinesAfterReturn(t *testing.T) {
	tests := []struct {
		name        string
		coordinator modeler.NodeID
		reads       bool
		eras        []int64
		after       time.Duration
		want        int
	}{
		{"first era of the process", "n", false, []int64{1}, time.Second, 0}, {"the store comes back", "n", false, []int64{1, 2}, time.Second, 1},
		{"an earlier era is named late", "n", false, []int64{2, 1}, time.Second, 0}, {"on a node that does not decide", "m", false, []int64{1, 2}, time.Second, 0},
		{"on the one that reads for all", "m", true, []int64{1, 2}, time.Second, 1}, {"the quarantine has ended", "n", false, []int64{1, 2}, time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world, system := modeler.NewWorld(modeler.Node{ID: "n"}), watcher.New()
			world.Nodes.Put("m", modeler.Node{ID: "m"})
			world.Coordinator, world.ReadsForAll = tt.coordinator, tt.reads
			world.BrokenAttempts.Put(part, modeler.BrokenAttempts{Count: 3, SharedPart: true, At: start, FirstAt: start, From: start, Until: start.Add(10 * time.Minute), Quarantines: 1})
			saved := 0
			for _, era := range tt.eras {
				tick := &modeler.Tick{Now: start.Add(tt.after), Events: []modeler.Event{modeler.StoreRestored{Era: era}}}
				system.Run(tick, world)
				for _, effect := range tick.Effects() {
					if save, ok := effect.(modeler.SaveQuarantine); ok {
						saved++
						assert.Equal(t, save.Suspect.Fingerprint, part)
						assert.Equal(t, save.Until, start.Add(10*time.Minute))
					}
				}
			}
			assert.Equal(t, saved, tt.want)
		})
	}
}
