package loadtester

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// callKind is a kind of call to a plain service. All kinds look alike but for their keys.
type callKind struct {
	rate float64
	// work returns the time that a call takes on an endpoint of usual pace.
	work func(at time.Duration, random *rand.Rand) time.Duration
	// owners is the number of members that send it, and fresh is set if each call has a key of its own.
	owners int
	fresh  bool
}

func fixedWork(d time.Duration) func(time.Duration, *rand.Rand) time.Duration {
	return func(time.Duration, *rand.Rand) time.Duration { return d }
}

const (
	costLength = 20 * time.Second
	costNodes  = 6
	// costServers is the number of endpoints. Each accepts costSlots calls and works on one at a time, in the order of their arrival.
	costServers = 4
	costSlots   = 8
	lightWork   = 20 * time.Millisecond
	// heavyWork is 30 times as much.
	heavyWork = 600 * time.Millisecond
)

// costPatterns are loads of calls that cost very different amounts of work. gain is the largest ratio of the mean time of a call to that of the policy which
// counts running calls, over all seeds.
var costPatterns = []struct {
	name  string
	kinds []callKind
	// pace returns the factor by which an endpoint takes longer at a time; nil means one.
	pace            func(server int, at time.Duration) float64
	killCoordinator time.Duration
	gain            float64
}{
	{name: "two kinds that look alike and differ by 30 times", gain: 0.9, kinds: []callKind{
		{40, fixedWork(lightWork), 4, false}, {3, fixedWork(heavyWork), 4, false},
	}},
	{name: "a kind turns costly", gain: 1, kinds: []callKind{
		{40, fixedWork(lightWork), 4, false},
		{3, func(at time.Duration, _ *rand.Rand) time.Duration {
			if at > costLength/3 {
				return heavyWork
			}
			return lightWork
		}, 4, false},
	}},
	{name: "heavy tails", gain: 1.05, kinds: []callKind{
		{30, func(_ time.Duration, random *rand.Rand) time.Duration {
			return min(time.Duration(float64(lightWork)*math.Exp(1.6*random.NormFloat64())), 3*time.Second)
		}, 4, false},
	}},
	{name: "a flood of new keys", gain: 0.95, kinds: []callKind{
		{40, fixedWork(lightWork), 4, false}, {2.5, fixedWork(heavyWork), 4, false}, {20, fixedWork(lightWork), 1, true},
	}},
	{
		name: "an endpoint turns slow while a kind turns costly", gain: 1,
		kinds: []callKind{
			{30, fixedWork(lightWork), 4, false},
			{2, func(at time.Duration, _ *rand.Rand) time.Duration {
				if at > costLength/3 {
					return heavyWork
				}
				return lightWork
			}, 4, false},
		},
		pace: func(server int, at time.Duration) float64 {
			if server == 1 && at > costLength/3 && at < 2*costLength/3 {
				return 4
			}
			return 1
		},
	},
	{name: "the coordinator is lost", gain: 0.95, killCoordinator: costLength / 2, kinds: []callKind{
		{40, fixedWork(lightWork), 4, false}, {3, fixedWork(heavyWork), 4, false},
	}},
}

// costCall is a call with its true work.
type costCall struct {
	at   time.Duration
	key  estimator.Key
	work time.Duration
	took time.Duration
}

func costCalls(kinds []callKind, seed uint64) []*costCall {
	random := rand.New(rand.NewPCG(seed, 11))
	var calls []*costCall
	for i, kind := range kinds {
		for at := time.Duration(0); ; {
			if at += time.Duration(random.ExpFloat64() / kind.rate * float64(time.Second)); at > costLength {
				break
			}
			owner := uint64(100*i + random.IntN(kind.owners))
			key := estimator.Key{Group: modeler.CostGroup("calls"), Subgroup: 1, Special: uint64(i), Owner: owner}
			if kind.fresh {
				key.Special = random.Uint64()
			}
			calls = append(calls, &costCall{at: at, key: key, work: kind.work(at, random)})
		}
	}
	slices.SortStableFunc(calls, func(a, b *costCall) int { return int(a.at - b.at) })
	return calls
}

// queueServer works on one call at a time. freeAt is when it has done all that it was given.
type queueServer struct{ freeAt time.Time }

func (q *queueServer) add(now time.Time, work time.Duration) time.Time {
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	q.freeAt = q.freeAt.Add(work)
	return q.freeAt
}

// meanTime returns the mean time of the calls that were answered.
func meanTime(calls []*costCall) time.Duration {
	var sum time.Duration
	count := 0
	for _, c := range calls {
		if c.took > 0 {
			sum += c.took
			count++
		}
	}
	return sum / time.Duration(max(count, 1))
}

// playCosts plays a pattern on the nodes and returns the mean time of a call.
func playCosts(kinds []callKind, pace func(int, time.Duration) float64, kill time.Duration, learns bool, seed uint64) time.Duration {
	f := &fleet{
		site: site{nodes: costNodes}, seed: seed, clock: &clock{now: time.Unix(1_000_000, 0)}, nodes: map[modeler.NodeID]*node{}, learnsCosts: learns,
		random: rand.New(rand.NewPCG(seed, 1<<32)), service: modeler.Service{ID: "calls", ConnectionLimit: 300}, delay: func() time.Duration { return linkDelay },
	}
	begin := f.clock.now
	servers := map[modeler.EndpointID]*queueServer{}
	number := map[modeler.EndpointID]int{}
	for i := range costNodes {
		f.nodes[nodeID(i)] = newNode(f, i, costNodes)
	}
	for i := range costServers {
		e := modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprint("server-", i)), Service: "calls", Address: "x", DataCentre: f.dataCentre(i), Slots: costSlots}
		servers[e.ID], number[e.ID] = &queueServer{}, i
		for _, n := range f.nodes {
			n.world.Endpoints.Put(e.ID, e)
		}
	}
	for i := range costNodes {
		f.nodes[nodeID(i)].wake(begin)
	}
	if kill > 0 {
		f.kill(nodeID(0), kill)
	}
	calls := costCalls(kinds, seed)
	for i, c := range calls {
		f.clock.at(begin.Add(c.at), func() {
			n := f.liveNode()
			now := f.clock.now
			request := modeler.Request{
				ID: modeler.RequestID(fmt.Sprint(i, "/0/", n.world.Self.ID)), Node: n.world.Self.ID, Service: "calls", Kind: modeler.Safe, Arrived: now,
				Due: now.Add(time.Second), Deadline: now.Add(time.Minute), Fingerprint: modeler.Fingerprint(i + 1), Cost: c.key, DataCentre: n.world.Self.DataCentre,
			}
			n.place(request, func(d modeler.Decision) {
				if d.Refused {
					return
				}
				id := d.Plan.Endpoint.ID
				work := c.work
				if pace != nil {
					work = time.Duration(float64(work) * pace(number[id], c.at))
				}
				f.clock.at(servers[id].add(f.clock.now.Add(linkDelay), work).Add(linkDelay), func() {
					c.took = f.clock.now.Sub(now)
					n.post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Answered, Succeeded: true})
				})
			})
		})
	}
	f.clock.runUntil(begin.Add(costLength + time.Minute))
	return meanTime(calls)
}

// boundCosts returns the mean time if each call goes to the server that would end it first, with the true costs known at once.
func boundCosts(kinds []callKind, pace func(int, time.Duration) float64, seed uint64) time.Duration {
	begin := time.Unix(1_000_000, 0)
	servers := make([]queueServer, costServers)
	calls := costCalls(kinds, seed)
	for _, c := range calls {
		now := begin.Add(c.at)
		best, bestAt, work := 0, time.Time{}, time.Duration(0)
		for i := range servers {
			w := c.work
			if pace != nil {
				w = time.Duration(float64(w) * pace(i, c.at))
			}
			trial := servers[i]
			if at := trial.add(now, w); i == 0 || at.Before(bestAt) {
				best, bestAt, work = i, at, w
			}
		}
		c.took = servers[best].add(now, work).Sub(now) + 2*linkDelay
	}
	return meanTime(calls)
}

// TestCosts guards against calls that wait behind ones that cost 30 times as much while other endpoints have less to do, against predictions that make
// placement worse than counting, and against learned costs that are lost or pushed out. The bound knows all costs and all queues.
func TestCosts(t *testing.T) {
	for _, p := range costPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			var counted, learned, least time.Duration
			for seed := range uint64(4 * len(seeds)) {
				counted += playCosts(p.kinds, p.pace, p.killCoordinator, false, seed)
				learned += playCosts(p.kinds, p.pace, p.killCoordinator, true, seed)
				least += boundCosts(p.kinds, p.pace, seed)
			}
			ratio := float64(learned) / float64(counted)
			t.Logf("mean time over the bound: counting %.2f, learned %.2f; learned to counting %.3f", float64(counted)/float64(least), float64(learned)/float64(least), ratio)
			assert.Check(t, ratio <= p.gain, "%.3f of the time with counting", ratio)
		})
	}
}
