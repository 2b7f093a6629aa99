package loadtester

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// handover is a way by which coordination passes on.
type handover struct {
	name string
	act  func(s *partSite, id modeler.NodeID)
	// extra is the number of probes that it may add: each side of a cut places its own.
	extra int
}

// handovers are planned stops, failures, pauses and cuts. The last two are longer than the time after which a coordinator is replaced.
var handovers = []handover{
	{name: "stopped", act: (*partSite).stop},
	{name: "killed", act: (*partSite).kill},
	{name: "paused", act: func(s *partSite, id modeler.NodeID) { s.pause(id, 4*time.Second) }},
	{name: "cut off", act: func(s *partSite, id modeler.NodeID) { s.cut(id, 4*time.Second) }, extra: 1},
	{name: "all killed", act: func(s *partSite, _ modeler.NodeID) {
		for _, id := range s.nodeIDs() {
			s.kill(id)
		}
	}},
}

// targets choose the nodes that get the requests under which engines crash: one after the other, or the coordinator, which fails together with what it has sent.
var targets = []struct {
	name   string
	choose func(s *partSite) func(number int) *node
}{
	{"sent to all nodes", func(s *partSite) func(int) *node {
		return func(number int) *node { return s.nodes[nodeID(number%len(s.nodes))] }
	}},
	{"sent to the coordinator", func(s *partSite) func(int) *node { return func(int) *node { return s.coordinator() } }},
}

const (
	partNodes  = 5
	partLength = 110 * time.Second
)

// TestPartProbesAtHandover guards against a coordinator that does not know of the probes of the one before, and sends a part that crashes engines to one more
// (BUDGET). Coordination passes on once, at each moment of the schedule of probes.
func TestPartProbesAtHandover(t *testing.T) {
	const ms = time.Millisecond
	offsets := []time.Duration{-2 * time.Second, -300 * ms, -10 * ms, 0, 2 * ms, 100 * ms, 160 * ms, 400 * ms, 2 * time.Second}
	for _, target := range targets {
		undisturbed := newPartSite(1)
		undisturbed.play(partLength, target.choose(undisturbed))
		t.Logf("%s: crashes %d, probes %v, late %v", target.name, len(undisturbed.crashes), undisturbed.probes, undisturbed.late)
		assert.Assert(t, len(undisturbed.probes) >= 3)
		for _, way := range handovers {
			for number, probe := range undisturbed.probes[:3] {
				for _, offset := range offsets {
					t.Run(fmt.Sprintf("%s/%s/%v after probe %d", target.name, way.name, offset, number+1), func(t *testing.T) {
						t.Parallel()
						s := newPartSite(1)
						s.clock.at(s.begin.Add(probe+offset), func() { way.act(s, s.coordinator().world.Self.ID) })
						s.play(partLength, target.choose(s))
						assert.Check(t, len(s.late) <= maxLateRuns, "late %v", s.late)
						assert.Check(t, len(s.probes) <= len(undisturbed.probes)+way.extra, "probes %v", s.probes)
					})
				}
			}
		}
	}
}

// TestPartProbesAtEachHandover guards against the same where coordination passes on again and again: at each probe, or all the time. It does so for a request that
// comes again and again, too: a new coordinator has to know its quarantines and how long they have become.
func TestPartProbesAtEachHandover(t *testing.T) {
	atProbes := func(after time.Duration, way handover) func(s *partSite) {
		return func(s *partSite) {
			s.onProbe = func() {
				s.clock.after(after, func() { way.act(s, s.coordinator().world.Self.ID) })
			}
		}
	}
	inTurn := func(interval time.Duration, way handover) func(s *partSite) {
		return func(s *partSite) {
			for i := range int((partLength - 20*time.Second) / interval) {
				s.clock.at(s.begin.Add(20*time.Second+time.Duration(i)*interval), func() { way.act(s, nodeID(i%partNodes)) })
			}
		}
	}
	type scenario struct {
		name    string
		prepare func(s *partSite)
	}
	const ms = time.Millisecond
	moments := []time.Duration{0, 5 * ms, 30 * ms, 170 * ms, 400 * ms}
	tests := make([]scenario, 0, len(handovers)*(len(moments)+2))
	for _, way := range handovers {
		for _, after := range moments {
			tests = append(tests, scenario{fmt.Sprintf("%s %v after each probe", way.name, after), atProbes(after, way)})
		}
		tests = append(tests, scenario{way.name + " in turn", inTurn(2*time.Second, way)}, scenario{way.name + " in turn, slowly", inTurn(7*time.Second, way)})
	}
	for _, tt := range tests {
		for _, target := range targets {
			for _, fault := range []struct {
				name      string
				byRequest bool
			}{{"part", false}, {"request", true}} {
				t.Run(fmt.Sprintf("%s/%s/%s", tt.name, target.name, fault.name), func(t *testing.T) {
					t.Parallel()
					for _, seed := range seeds {
						s := newPartSite(seed)
						s.byRequest = fault.byRequest
						tt.prepare(s)
						s.play(partLength, target.choose(s))
						assert.Check(t, len(s.late) <= maxLateRuns, "seed %d: probes %v, late %v", seed, s.probes, s.late)
					}
				})
			}
		}
	}
}

// TestSoundPartAtHandover guards against a sound part that is refused for longer than the users allow because coordination passes on before it is cleared: all engines
// have crashed together, and the new coordinator waits for a probe that nobody makes.
func TestSoundPartAtHandover(t *testing.T) {
	const (
		lastCrash = 5900 * time.Millisecond
		interval  = 100 * time.Millisecond
		length    = 20 * time.Second
		// freedAfter is the users' bound: twice contactTime after the last crash.
		freedAfter = 2 * contactTime
	)
	for _, way := range handovers {
		for offset := -time.Second; offset <= 3*time.Second; offset += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v after the last crash", way.name, offset), func(t *testing.T) {
				s := newPartSite(1)
				s.clock.at(s.begin.Add(lastCrash+offset), func() { way.act(s, s.coordinator().world.Self.ID) })
				for _, before := range []time.Duration{900 * time.Millisecond, 450 * time.Millisecond, 0} {
					s.clock.at(s.begin.Add(lastCrash-before), func() {
						for _, e := range s.engines {
							s.crash(e, 50*time.Millisecond)
						}
					})
				}
				sent := 0
				for number := range int(length / interval) {
					s.clock.at(s.begin.Add(time.Second+time.Duration(number)*interval), func() {
						to := s.nodes[nodeID(number%partNodes)]
						if s.inTouch(to) && s.clock.now.Sub(s.begin) > lastCrash+freedAfter {
							sent++
						}
						s.send(number, to, false)
					})
				}
				s.clock.runUntil(s.begin.Add(length + 2*time.Second))
				begun := 0
				for _, at := range s.begun {
					if at.Sub(s.begin) > lastCrash+freedAfter {
						begun++
					}
				}
				assert.Check(t, 2*begun >= sent, "%d of %d requests that came later than the bound began", begun, sent)
			})
		}
	}
}
