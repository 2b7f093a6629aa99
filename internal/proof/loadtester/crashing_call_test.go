package loadtester

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// copies is the number of endpoints of the plain service, which is empty after as many crashes.
	copies = 3
	// downTime is how long an endpoint is down after a crash.
	downTime = 3 * time.Second
	// runTime is the mean time that an endpoint works on a call, or until it crashes under it.
	runTime = 60 * time.Millisecond
	// callTimeout is the time after which a caller leaves, and maxCallAttempts the attempts that a call may have.
	callTimeout     = 2 * time.Second
	maxCallAttempts = 3
	// crashingCall is the fingerprint of the call that crashes endpoints.
	crashingCall modeler.Fingerprint = 1
	// crashesUntilJudged, judgedAfter and maxLateRuns state the users' bound: later than judgedAfter after so many crashes, the call reaches endpoints at
	// most maxLateRuns times.
	crashesUntilJudged = 3
	judgedAfter        = 3 * time.Second
	maxLateRuns        = 3
	// minSoundShare is the part of the sound calls to be answered from that time on.
	minSoundShare = 0.9
)

// copyOf is an endpoint of a plain service that crashes under crashingCall.
type copyOf struct {
	endpoint modeler.Endpoint
	up       bool
	// running holds the calls that break when the endpoint crashes.
	running []*plainCall
}

// callSite is a fleet in front of a plain service.
type callSite struct {
	*fleet
	begin  time.Time
	random *rand.Rand
	copies map[modeler.EndpointID]*copyOf
	// crashes and runs are the times at which endpoints crashed and at which the crashing call reached one.
	crashes, runs []time.Time
	// sound and answered count the sound calls that were sent in the judged time, and those of them that were answered.
	sound, answered int
}

// plainCall is a call that a node sends to endpoints until one answers.
type plainCall struct {
	site        *callSite
	node        *node
	id          string
	fingerprint modeler.Fingerprint
	arrived     time.Time
	attempts    int
	tried       []modeler.EndpointID
	// attempt is the ID of the running attempt. It is empty between attempts.
	attempt modeler.RequestID
	judged  bool
}

func newCallSite(nodes int, seed uint64) *callSite {
	f := &fleet{
		site: site{nodes: nodes}, seed: seed, clock: &clock{now: time.Unix(1_000_000, 0)}, nodes: map[modeler.NodeID]*node{},
		random: rand.New(rand.NewPCG(seed, 1<<32)), service: modeler.Service{ID: "calls", ConnectionLimit: 300},
	}
	s := &callSite{fleet: f, begin: f.clock.now, random: rand.New(rand.NewPCG(seed, 3)), copies: map[modeler.EndpointID]*copyOf{}}
	// The ways of two messages differ by up to some milliseconds.
	f.delay = func() time.Duration {
		return 300*time.Microsecond + time.Duration(s.random.ExpFloat64()*float64(time.Millisecond))
	}
	for i := range nodes {
		f.nodes[nodeID(i)] = newNode(f, i, nodes)
	}
	for i := range copies {
		c := &copyOf{up: true, endpoint: modeler.Endpoint{
			ID: modeler.EndpointID(fmt.Sprintf("copy-%d", i)), Service: f.service.ID, Address: "x", DataCentre: f.dataCentre(i), Slots: 8,
		}}
		s.copies[c.endpoint.ID] = c
		for _, n := range f.nodes {
			n.world.Endpoints.Put(c.endpoint.ID, c.endpoint)
		}
	}
	for i := range nodes {
		f.nodes[nodeID(i)].wake(s.begin)
	}
	return s
}

// call sends a call to a node at a time.
func (s *callSite) call(at time.Duration, to modeler.NodeID, fingerprint modeler.Fingerprint, id string) {
	s.clock.at(s.begin.Add(at), func() {
		c := &plainCall{site: s, node: s.nodes[to], id: id, fingerprint: fingerprint, arrived: s.clock.now}
		if fingerprint != crashingCall && len(s.crashes) >= crashesUntilJudged && s.clock.now.Sub(s.crashes[crashesUntilJudged-1]) > judgedAfter && !c.node.dead {
			c.judged = true
			s.sound++
		}
		c.place()
	})
}

func (c *plainCall) place() {
	s := c.site
	if c.attempts == maxCallAttempts || c.node.dead {
		return
	}
	request := modeler.Request{
		ID: modeler.RequestID(fmt.Sprintf("%s/%d/%s", c.id, c.attempts, c.node.world.Self.ID)), Node: c.node.world.Self.ID, Service: s.service.ID,
		Kind: modeler.Safe, Arrived: c.arrived, Due: c.arrived.Add(300 * time.Millisecond), Deadline: c.arrived.Add(callTimeout),
		Fingerprint: c.fingerprint, Tried: slices.Clone(c.tried), DataCentre: c.node.world.Self.DataCentre,
	}
	c.node.place(request, func(d modeler.Decision) {
		if d.Refused {
			return
		}
		c.attempt = request.ID
		s.clock.after(s.delay(), func() { c.reach(s.copies[d.Plan.Endpoint.ID]) })
	})
}

// reach begins the run of the call on an endpoint.
func (c *plainCall) reach(at *copyOf) {
	s := c.site
	c.attempts++
	c.tried = append(c.tried, at.endpoint.ID)
	if !at.up {
		c.end(modeler.Unreachable)
		return
	}
	at.running = append(at.running, c)
	if c.fingerprint == crashingCall {
		s.runs = append(s.runs, s.clock.now)
	}
	attempt := c.attempt
	s.clock.after(time.Duration((0.5+s.random.Float64())*float64(runTime)), func() {
		if c.attempt != attempt {
			return
		}
		if c.fingerprint == crashingCall {
			s.crash(at)
			return
		}
		at.running = slices.DeleteFunc(at.running, func(other *plainCall) bool { return other == c })
		c.end(modeler.Answered)
	})
}

// crash ends an endpoint and all calls that run on it.
func (s *callSite) crash(at *copyOf) {
	running := at.running
	at.up, at.running = false, nil
	s.crashes = append(s.crashes, s.clock.now)
	for _, c := range running {
		attempt := c.attempt
		s.clock.after(s.delay(), func() {
			if c.attempt == attempt {
				c.end(modeler.Broken)
			}
		})
	}
	s.clock.after(downTime, func() { at.up = true })
}

// end reports the end of the running attempt to the node. A call that was not answered is placed again at once.
func (c *plainCall) end(outcome modeler.Outcome) {
	c.node.post(modeler.AttemptEnded{ID: c.attempt, Outcome: outcome, Succeeded: outcome == modeler.Answered})
	c.attempt = ""
	if outcome != modeler.Answered {
		c.place()
		return
	}
	if c.judged && c.site.clock.now.Sub(c.arrived) < callTimeout {
		c.site.answered++
	}
}

// lateRuns returns how often the crashing call reached endpoints later than judgedAfter after the last crash that the bound waits for.
func (s *callSite) lateRuns() int {
	late := 0
	for _, at := range s.runs {
		if len(s.crashes) >= crashesUntilJudged && at.Sub(s.crashes[crashesUntilJudged-1]) > judgedAfter {
			late++
		}
	}
	return late
}

// TestCrashingCallOfSmallService guards against a call that goes on crashing a plain service of three copies (BUDGET): its attempts count too low because
// reports of them overtake each other, or it goes to all copies at the moment of their return. It also guards against a quarantine of sound calls.
func TestCrashingCallOfSmallService(t *testing.T) {
	const nodes, length = 8, 30 * time.Second
	spread := func(s *callSite, send func(at time.Duration, to modeler.NodeID)) {
		for at := time.Second; at < length; at += time.Duration(s.random.ExpFloat64() * float64(400*time.Millisecond)) {
			send(at, nodeID(s.random.IntN(nodes)))
		}
	}
	together := func(interval time.Duration) func(s *callSite, send func(at time.Duration, to modeler.NodeID)) {
		return func(_ *callSite, send func(at time.Duration, to modeler.NodeID)) {
			for at := time.Second; at < length; at += interval {
				for i := range nodes {
					send(at, nodeID(i))
				}
			}
		}
	}
	tests := []struct {
		name string
		// arrivals sends the crashing calls.
		arrivals func(s *callSite, send func(at time.Duration, to modeler.NodeID))
		prepare  func(s *callSite)
	}{
		{"one after the other", spread, func(*callSite) {}},
		{"all nodes at once", together(4 * time.Second), func(*callSite) {}},
		{"all nodes at once, with pauses", together(13 * time.Second), func(*callSite) {}},
		{"messages are lost", spread, func(s *callSite) { s.lost = 0.1 }},
		{"messages are lost, all nodes at once", together(4 * time.Second), func(s *callSite) { s.lost = 0.1 }},
		{"messages come twice", spread, func(s *callSite) { s.doubled = 0.3 }},
		{"the coordinator dies between two crashes", spread, func(s *callSite) { s.kill(nodeID(0), 1100*time.Millisecond) }},
		{"the coordinator dies before the copies return", together(4 * time.Second), func(s *callSite) { s.kill(nodeID(0), 3500*time.Millisecond) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var broken []uint64
			most, sound, answered := 0, 0, 0
			for seed := range uint64(8 * len(seeds)) {
				s := newCallSite(nodes, seed)
				tt.prepare(s)
				number := 0
				tt.arrivals(s, func(at time.Duration, to modeler.NodeID) {
					number++
					s.call(at, to, crashingCall, fmt.Sprint("crash-", number))
				})
				for at := time.Duration(0); at < length; at += 25 * time.Millisecond {
					number++
					// Callers repeat some sound calls with the same content.
					s.call(at, nodeID(s.random.IntN(nodes)), modeler.Fingerprint(100+s.random.IntN(200)), fmt.Sprint("sound-", number))
				}
				s.clock.runUntil(s.begin.Add(length + callTimeout))
				if late := s.lateRuns(); late > maxLateRuns {
					broken = append(broken, seed)
					most = max(most, late)
				}
				sound, answered = sound+s.sound, answered+s.answered
			}
			t.Logf("%d of %d sound calls answered", answered, sound)
			assert.Check(t, len(broken) == 0, "BUDGET on %d seeds: %d late runs at most, seeds %v", len(broken), most, broken)
			assert.Check(t, float64(answered) >= minSoundShare*float64(sound))
		})
	}
}
