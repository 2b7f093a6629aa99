package loadtester

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// class describes the requests of one kind, as the operators' pages do.
type class struct {
	name   string
	prompt modeler.Tokens
	// rate is the mean number of requests per second.
	rate float64
	// target is the time to the first event, and gap the longest pause between events, of a request that is on time.
	target, gap, deadline time.Duration
	// events is the number of events of an answer.
	events int
	// worth is the value of an answer on time, lateWorth of a late one.
	worth, lateWorth float64
	// spread is the standard deviation of the logarithm of the prompts' lengths.
	spread float64
}

// site describes a deployment.
type site struct {
	name                  string
	nodes, engines, slots int
	stride                int
	classes               []class
}

var (
	// rota has the figures of degrau-rota, and large those of szelfogo-router-large.
	rota = site{name: "rota", nodes: 8, engines: 23, slots: 16, stride: 34, classes: []class{
		{"quote", 5_000, 46, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 38, 1.3, 0.33, 0.3},
		{"schedule", 45_000, 2.57, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 23, 3.9, 0.97, 0.3},
		{"review", 182_000, 1.19, 3 * time.Second, time.Second, 15 * time.Second, 19, 24, 6.1, 0.5},
	}}
	large = site{name: "large", nodes: 20, engines: 135, slots: 10, stride: 53, classes: []class{
		{"quote", 5_000, 184, 400 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, 26, 1.3, 0.34, 0.3},
		{"summary", 45_000, 15, 1500 * time.Millisecond, 800 * time.Millisecond, 10 * time.Second, 16, 2.9, 0.72, 0.3},
		{"history", 260_000, 3.76, 4 * time.Second, 1200 * time.Millisecond, 15 * time.Second, 13, 30, 7.6, 0.5},
	}}
)

// arrival is one request of a caller.
type arrival struct {
	at     time.Duration
	class  class
	prompt modeler.Tokens
	events int
}

// size is the factor by which the length of the prompt multiplies the worth of an answer.
func (a arrival) size() float64 {
	const fixed, largest = 0.3, 4
	return min(fixed+(1-fixed)*float64(a.prompt)/float64(a.class.prompt), largest)
}

// outcome is what a caller got.
type outcome struct {
	arrival arrival
	// first is the time from the arrival to the first event; zero if there was none.
	first time.Duration
	// served is set if the answer was complete, and onTime if it also met its targets.
	served, onTime bool
}

// fleet is a deployment in simulated time.
type fleet struct {
	site    site
	seed    uint64
	clock   *clock
	service modeler.Service
	engines []*engine
	byID    map[modeler.EndpointID]*engine
	nodes   map[modeler.NodeID]*node
	random  *rand.Rand
	// sheds counts the attempts that an engine refused because it had no free slot, refusals those that the nodes refused.
	sheds, refusals, attempts int
	outcomes                  []*outcome
	// delay returns the delay of a message between two nodes, or between a node and an endpoint. lost and doubled are the shares of the messages between
	// nodes that are lost, and that come again some time later.
	delay         func() time.Duration
	lost, doubled float64
	// learnsCosts is set if the nodes learn the costs of requests.
	learnsCosts bool
	// onEffect, if set, is called for the effects that are neither messages nor decisions.
	onEffect func(n *node, effect modeler.Effect)
}

const dataCentres = 3

func (f *fleet) dataCentre(i int) modeler.DataCentreID {
	return modeler.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres))
}

// newFleet returns a fleet whose engines have the given paces: the factor by which the work of an engine takes longer at a time.
func newFleet(s site, seed uint64, pace func(engine int, at time.Duration) float64) *fleet {
	begin := time.Unix(1_000_000, 0)
	f := &fleet{
		site: s, seed: seed, clock: &clock{now: begin}, byID: map[modeler.EndpointID]*engine{}, nodes: map[modeler.NodeID]*node{},
		random: rand.New(rand.NewPCG(seed, 1<<32)), delay: func() time.Duration { return linkDelay },
		service: modeler.Service{ID: "engines", ConnectionLimit: 300, Engine: modeler.EngineProfile{
			Capacity: 405_000, Stride: s.stride, Step: 1310 * time.Microsecond, PerSequence: 917 * time.Nanosecond,
			PerThousandContext: 2130 * time.Nanosecond, PrefillRate: 154_000, PerMillionPairs: 162 * time.Microsecond, Chunk: 2048,
		}},
	}
	for i := range s.engines {
		e := &engine{
			clock: f.clock, profile: f.service.Engine,
			endpoint: modeler.Endpoint{
				ID: modeler.EndpointID(fmt.Sprintf("engine-%03d", i)), Service: "engines", Address: "x", DataCentre: f.dataCentre(i), Slots: s.slots,
			},
			pace: func(now time.Time) float64 { return pace(i, now.Sub(begin)) },
		}
		f.engines = append(f.engines, e)
		f.byID[e.endpoint.ID] = e
	}
	for i := range s.nodes {
		f.nodes[nodeID(i)] = newNode(f, i, s.nodes)
	}
	for i := range s.nodes {
		f.nodes[nodeID(i)].wake(begin)
	}
	return f
}

// play sends the arrivals and returns what the callers got.
func (f *fleet) play(arrivals []arrival) []*outcome {
	const drainTime = 20 * time.Second
	begin := f.clock.now
	end := begin
	for i, a := range arrivals {
		c := &caller{fleet: f, number: i, arrived: begin.Add(a.at), outcome: &outcome{arrival: a}}
		f.outcomes = append(f.outcomes, c.outcome)
		end = begin.Add(a.at)
		f.clock.at(c.arrived, c.send)
	}
	f.clock.runUntil(end.Add(drainTime))
	return f.outcomes
}

// kill stops a node at a time. Its callers' requests fail.
func (f *fleet) kill(id modeler.NodeID, at time.Duration) {
	f.clock.after(at, func() { f.nodes[id].dead = true })
}

// send delivers a message between nodes after its delay.
func (f *fleet) send(to *node, message modeler.Message) {
	deliver := func() { to.post(modeler.PeerReceived{Message: message}) }
	if f.lost > 0 && f.random.Float64() < f.lost {
		return
	}
	f.clock.after(f.delay(), deliver)
	if f.doubled > 0 && f.random.Float64() < f.doubled {
		f.clock.after(time.Duration(f.random.Float64()*float64(2*time.Second)), deliver)
	}
}

// liveNode returns a random node that is not dead.
func (f *fleet) liveNode() *node {
	for {
		if n := f.nodes[nodeID(f.random.IntN(len(f.nodes)))]; !n.dead {
			return n
		}
	}
}
