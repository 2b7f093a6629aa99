package loadtester

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// crashingPart is the part of prompts that crashes engines, commonPart one that all prompts share.
	crashingPart, commonPart modeler.Fingerprint = 1, 2
	partEngines                                  = 12
	// Requests under which engines crash come from begin on at crashingInterval, with crashedAtOnce more at the first moment. The others come at
	// soundInterval.
	begin, crashedAtOnce = 3 * time.Second, 2
	crashingInterval     = 700 * time.Millisecond
	soundInterval        = 400 * time.Millisecond
	// answerTime is the time from the arrival of a request at an engine to its first event or to the crash.
	answerTime = 150 * time.Millisecond
	// crashesOfPart, crashesUntilJudged and maxLateRuns state the users' bounds: later than contactTime after crashesOfPart crashes under a part, or
	// crashesUntilJudged under one request, nodes that have been in touch for contactTime send at most maxLateRuns more of these to engines.
	contactTime   = 3 * time.Second
	crashesOfPart = 5
	// stopTime is how long a node goes on after it was asked to stop, and restartTime the time from its end to its start.
	stopTime, restartTime = 2 * time.Second, 500 * time.Millisecond
)

// partEngine is an engine that crashes under crashingPart.
type partEngine struct {
	endpoint modeler.Endpoint
	up       bool
	running  []*partRequest
}

// partSite is a fleet in front of engines that crash under a part of prompts.
type partSite struct {
	*fleet
	begin   time.Time
	random  *rand.Rand
	engines map[modeler.EndpointID]*partEngine
	// nextRank is the rank of the node that registers next.
	nextRank modeler.Position
	// disturbedAt is the end of the last disturbance of each node.
	disturbedAt map[modeler.NodeID]time.Time
	// stored holds the quarantines in the store.
	stored map[modeler.Fingerprint]modeler.SaveQuarantine
	// byRequest is set if one request crashes engines that comes again and again, instead of different ones with crashingPart.
	byRequest bool
	// crashes holds the times at which engines crashed under such requests, and late those that count for the users' bound.
	crashes []time.Time
	late    []time.Duration
	// refused is set once a request was refused because of a quarantine.
	refused bool
	// probes holds the times at which such requests were placed although one was refused before, and onProbe is called for each.
	probes  []time.Duration
	onProbe func()
	// begun holds the arrivals of the sound requests whose answers began and whose nodes were in touch at their arrival.
	begun []time.Time
}

func newPartSite(seed uint64) *partSite {
	f := &fleet{
		site: site{nodes: partNodes}, seed: seed, clock: &clock{now: time.Unix(1_000_000, 0)}, nodes: map[modeler.NodeID]*node{},
		random: rand.New(rand.NewPCG(seed, 1<<32)), service: modeler.Service{ID: "engines", ConnectionLimit: 300, Engine: modeler.EngineProfile{
			Capacity: 405_000, Stride: 34, Step: 1310 * time.Microsecond, PrefillRate: 154_000, Chunk: 2048,
		}},
	}
	s := &partSite{
		fleet: f, begin: f.clock.now, random: rand.New(rand.NewPCG(seed, 3)), engines: map[modeler.EndpointID]*partEngine{}, nextRank: modeler.Position(partNodes + 1),
		disturbedAt: map[modeler.NodeID]time.Time{}, stored: map[modeler.Fingerprint]modeler.SaveQuarantine{},
	}
	f.delay = func() time.Duration {
		return 300*time.Microsecond + time.Duration(s.random.ExpFloat64()*float64(time.Millisecond))
	}
	f.onEffect = s.execute
	for i := range partEngines {
		id := modeler.EndpointID(fmt.Sprintf("engine-%02d", i))
		s.engines[id] = &partEngine{up: true, endpoint: modeler.Endpoint{ID: id, Service: f.service.ID, Address: "x", DataCentre: f.dataCentre(i), Slots: 16}}
	}
	for i := range partNodes {
		f.nodes[nodeID(i)] = newNode(f, i, partNodes)
		s.addEngines(f.nodes[nodeID(i)])
	}
	for i := range partNodes {
		f.nodes[nodeID(i)].wake(s.begin)
	}
	return s
}

func (s *partSite) addEngines(n *node) {
	for id, e := range s.engines {
		n.world.Endpoints.Put(id, e.endpoint)
	}
}

// execute plays the store.
func (s *partSite) execute(n *node, effect modeler.Effect) {
	const storeDelay = 5 * time.Millisecond
	switch e := effect.(type) {
	case modeler.SaveQuarantine:
		s.clock.after(storeDelay, func() { s.stored[e.Suspect.Fingerprint] = e })
	case modeler.DeleteQuarantine:
		s.clock.after(storeDelay, func() { delete(s.stored, e.Fingerprint) })
	case modeler.FetchQuarantines:
		s.clock.after(storeDelay, func() {
			var read modeler.QuarantinesRead
			for _, saved := range s.stored {
				suspect := saved.Suspect
				suspect.Probe.Age, suspect.QuarantinedFor = 0, saved.Until.Sub(s.clock.now)
				read.Suspects = append(read.Suspects, suspect)
			}
			n.post(read)
		})
	}
}

// kill ends a node at once and starts it again later.
func (s *partSite) kill(id modeler.NodeID) {
	n := s.nodes[id]
	if n.dead {
		return
	}
	n.dead = true
	s.disturbedAt[id] = s.clock.now
	s.clock.after(restartTime, func() { s.start(id) })
}

// stop asks a node to stop, and ends it and starts it again later.
func (s *partSite) stop(id modeler.NodeID) {
	n := s.nodes[id]
	if n.dead {
		return
	}
	s.disturbedAt[id] = s.clock.now.Add(stopTime)
	n.post(modeler.LeaveRequested{AddressUntil: s.clock.now.Add(stopTime / 2), StopAt: s.clock.now.Add(stopTime)})
	s.clock.after(stopTime, func() {
		if s.nodes[id] == n {
			s.kill(id)
		}
	})
}

// start starts a new process of a node, which registers as the last one.
func (s *partSite) start(id modeler.NodeID) {
	rank := s.nextRank
	s.nextRank++
	number := slices.IndexFunc(s.nodeIDs(), func(other modeler.NodeID) bool { return other == id })
	n := newNode(s.fleet, number, len(s.nodes))
	n.world.Self.Incarnation = uint64(rank)
	n.world.Self.Rank = modeler.UnregisteredRank
	s.addEngines(n)
	s.nodes[id] = n
	s.disturbedAt[id] = s.clock.now
	for _, other := range s.nodeIDs() {
		if other == id {
			continue
		}
		known := s.nodes[other].world.Self
		n.world.Nodes.Put(other, modeler.Node{ID: other, Incarnation: known.Incarnation, Rank: known.Rank, PeerAddress: known.PeerAddress, DataCentre: known.DataCentre})
		s.nodes[other].post(modeler.NodeRegistered{Node: n.world.Self.WithRank(rank)})
	}
	n.post(modeler.SelfRegistered{Rank: rank})
}

func (s *partSite) nodeIDs() []modeler.NodeID {
	ids := make([]modeler.NodeID, 0, len(s.nodes))
	for i := range len(s.nodes) {
		ids = append(ids, nodeID(i))
	}
	return ids
}

// pause stops a node for a time, during which messages to it wait.
func (s *partSite) pause(id modeler.NodeID, d time.Duration) {
	s.nodes[id].pausedUntil = s.clock.now.Add(d)
	s.disturbedAt[id] = s.clock.now.Add(d)
}

// cut keeps a node apart from the other nodes for a time.
func (s *partSite) cut(id modeler.NodeID, d time.Duration) {
	n := s.nodes[id]
	n.cut = true
	s.disturbedAt[id] = s.clock.now.Add(d)
	s.clock.after(d, func() { n.cut = false })
}

// inTouch reports whether a node has run undisturbed for contactTime.
func (s *partSite) inTouch(n *node) bool {
	return s.clock.now.Sub(s.disturbedAt[n.world.Self.ID]) >= contactTime
}

// partRequest is a request that is sent to at most one engine.
type partRequest struct {
	site    *partSite
	node    *node
	id      modeler.RequestID
	arrived time.Time
	// crashes is set if engines crash under the request.
	crashes bool
	// inTouch is set if the node was in touch at the arrival.
	inTouch bool
	ended   bool
}

// send sends a request to a node. crashes is set if engines crash under it.
func (s *partSite) send(number int, to *node, crashes bool) {
	if to.dead {
		return
	}
	fingerprint, parts, judgedFrom := modeler.Fingerprint(1000+number), []modeler.Fingerprint{commonPart}, crashesOfPart
	switch {
	case crashes && s.byRequest:
		fingerprint, judgedFrom = crashingCall, crashesUntilJudged
	case crashes:
		parts = append(parts, crashingPart)
	}
	r := &partRequest{
		site: s, node: to, id: modeler.RequestID(fmt.Sprintf("r%d/0/%d", number, to.world.Self.Incarnation)), crashes: crashes, arrived: s.clock.now, inTouch: s.inTouch(to),
	}
	request := modeler.Request{
		ID: r.id, Node: to.world.Self.ID, Service: s.service.ID, Kind: modeler.Stream, Prompt: 5000, Output: 300, Arrived: r.arrived,
		Due: r.arrived.Add(300 * time.Millisecond), Deadline: r.arrived.Add(2 * time.Second), RunsUntil: r.arrived.Add(10 * time.Second),
		Fingerprint: fingerprint, SharedParts: parts, DataCentre: to.world.Self.DataCentre,
	}
	to.place(request, func(d modeler.Decision) {
		if d.Refused {
			s.refused = s.refused || d.Reason == modeler.ReasonQuarantined
			return
		}
		e := s.engines[d.Plan.Endpoint.ID]
		if crashes && s.refused {
			s.probes = append(s.probes, s.clock.now.Sub(s.begin))
			if s.onProbe != nil {
				s.onProbe()
			}
		}
		if crashes && s.inTouch(to) && len(s.crashes) >= judgedFrom && s.clock.now.Sub(s.crashes[judgedFrom-1]) > contactTime {
			s.late = append(s.late, s.clock.now.Sub(s.begin))
		}
		s.clock.after(s.delay(), func() { r.reach(e) })
	})
}

// reach begins the run of the request on an engine. Connections to an engine that is down are refused.
func (r *partRequest) reach(e *partEngine) {
	s := r.site
	if !e.up {
		r.end(modeler.Unreachable)
		return
	}
	e.running = append(e.running, r)
	s.clock.after(answerTime, func() {
		switch {
		case r.ended || r.node.dead:
		case r.crashes:
			s.crashes = append(s.crashes, s.clock.now)
			s.crash(e, downTime)
		default:
			if r.inTouch {
				s.begun = append(s.begun, r.arrived)
			}
			r.node.post(modeler.AttemptStarted{ID: r.id})
			s.clock.after(500*time.Millisecond, func() {
				e.running = slices.DeleteFunc(e.running, func(other *partRequest) bool { return other == r })
				r.end(modeler.Answered)
			})
		}
	})
}

// end reports the end of the request's attempt to its node.
func (r *partRequest) end(outcome modeler.Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	r.node.post(modeler.AttemptEnded{ID: r.id, Outcome: outcome, Succeeded: outcome == modeler.Answered})
}

// crash ends an engine, and all requests that run on it, for a time.
func (s *partSite) crash(e *partEngine, down time.Duration) {
	if !e.up {
		return
	}
	running := e.running
	e.up, e.running = false, nil
	for _, r := range running {
		s.clock.after(s.delay(), func() { r.end(modeler.Broken) })
	}
	s.clock.after(down, func() { e.up = true })
}

// play sends requests to all nodes in turn for a time, those under which engines crash to the nodes that target returns.
func (s *partSite) play(length time.Duration, target func(number int) *node) {
	number := 0
	for range crashedAtOnce {
		number++
		turn := number
		s.clock.at(s.begin.Add(begin), func() { s.send(2*turn, target(turn), true) })
	}
	for at := begin; at < length; at += crashingInterval {
		number++
		turn := number
		s.clock.at(s.begin.Add(at), func() { s.send(2*turn, target(turn), true) })
	}
	number = 0
	for at := time.Second; at < length; at += soundInterval {
		number++
		turn := number
		s.clock.at(s.begin.Add(at), func() { s.send(2*turn+1, s.nodes[nodeID(turn%len(s.nodes))], false) })
	}
	s.clock.runUntil(s.begin.Add(length))
}

// coordinator returns the node that most live nodes take for the coordinator.
func (s *partSite) coordinator() *node {
	votes := map[modeler.NodeID]int{}
	best := s.nodes[nodeID(0)]
	for _, id := range s.nodeIDs() {
		if n := s.nodes[id]; !n.dead {
			votes[n.world.Coordinator]++
		}
	}
	for _, id := range s.nodeIDs() {
		if votes[id] > votes[best.world.Self.ID] {
			best = s.nodes[id]
		}
	}
	return best
}
