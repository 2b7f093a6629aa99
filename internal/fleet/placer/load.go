package placer

import (
	"math"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/tabler"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Load is the load of one endpoint as far as this node knows it. Its times are absolute, so that it stays valid until an assignment of the
// endpoint changes.
type Load struct {
	// Running is the number of requests that occupy a slot.
	Running int
	Memory  modeler.Tokens
	// BusyUntil is when the prefill work that is assigned to the engine ends. It may be in the past.
	BusyUntil time.Time
	// Pass is the time of one engine pass without prefill, or zero if no request decodes.
	Pass time.Duration
	// LatePrefill is set if the engine processes a long prompt that is expected to be late, or a part of one.
	LatePrefill bool
	// decoding has one row per gap target. It must not be modified.
	decoding []decodingRequests
	// prefilling must not be modified.
	prefilling []prefillingRequest
	// calls are the calls of a plain service whose time was predicted. It must not be modified.
	calls []runningCall
	// toldWork is the work that the coordinator's digest names, as of toldAt; zero on the coordinator itself.
	toldWork time.Duration
	toldAt   time.Time
}

// runningCall is a call that was placed on an endpoint of a plain service.
type runningCall struct {
	placed    time.Time
	predicted time.Duration
}

// outlivedFraction is the part of its age that a call is expected to go on for if it has outlived its prediction: the longer it has run, the longer it is
// likely to run on.
const outlivedFraction = 0.5

// left returns for how long the call is expected to occupy its slot.
func (c runningCall) left(now time.Time) time.Duration {
	age := now.Sub(c.placed)
	return max(c.predicted-age, scale(age, outlivedFraction))
}

// Work returns the time for which the calls at an endpoint of a plain service are expected to occupy slots from now on. What a digest has named ends at
// the rate of one second a second for each running call, at least of one.
func (l Load) Work(now time.Time) time.Duration {
	var own time.Duration
	for _, call := range l.calls {
		own += call.left(now)
	}
	told := l.toldWork - scale(now.Sub(l.toldAt), float64(max(l.Running, 1)))
	return max(own, told)
}

// Backlog returns the remaining prefill time.
func (l Load) Backlog(now time.Time) time.Duration { return max(0, l.BusyUntil.Sub(now)) }

// Idle reports whether the endpoint has no work.
func (l Load) Idle(now time.Time) bool { return l.Running == 0 && l.Backlog(now) == 0 }

const (
	// An engine counts as slow if a first event is late by overdueFactor times its expected time and at least by overdueMargin. With a factor of
	// 1, engines that were only loaded counted as slow.
	overdueFactor = 2
	overdueMargin = 80 * time.Millisecond
	// reportAge is the time since a node's last message up to which a missing report from it means that the first event is missing: a
	// heartbeat and its delay.
	reportAge = 300 * time.Millisecond
)

// paceOf returns the factor by which an engine takes longer than expected: the one that its first events have shown, or a larger one if a first
// event is overdue. If several engines read a prompt, each of them gets an equal share of the delay.
func paceOf(world *modeler.World, load Load, health modeler.Health, now time.Time) float64 {
	pace := health.Pace(now)
	for _, waiting := range load.prefilling {
		overdue := now.Sub(waiting.first)
		if overdue < max(overdueMargin, overdueFactor*waiting.expected) || waiting.expected <= 0 {
			continue
		}
		if node, ok := world.Nodes.Get(waiting.node); waiting.node != world.Self.ID && (!ok || now.Sub(node.LastSeenAt) > reportAge) {
			continue
		}
		pace = max(pace, math.Pow(1+float64(overdue)/float64(waiting.expected), 1/float64(waiting.engines)))
	}
	return pace
}

// decodingRequests are the requests with the same gap target whose output is being generated.
type decodingRequests struct {
	gap time.Duration
	// weight is the sum of the weights of the requests.
	weight float64
}

// withDecoding returns the load with one more request whose output is being generated.
func (l Load) withDecoding(gap time.Duration, weight float64) Load {
	l.decoding = slices.Clone(l.decoding)
	for i, d := range l.decoding {
		if d.gap == gap {
			l.decoding[i].weight += weight
			return l
		}
	}
	l.decoding = append(l.decoding, decodingRequests{gap: gap, weight: weight})
	return l
}

// prefillingRequest is a request that waits for its first event.
type prefillingRequest struct {
	// first is when the first event is expected; due is when that event is late.
	first, due time.Time
	weight     float64
	// node is the node that reports the first event. expected is the time to the first event that was expected when the request was placed
	// on the given number of engines.
	node     modeler.NodeID
	expected time.Duration
	engines  int
}

// requestWeight estimates the value of a request, which grows with the length of its prompt.
func requestWeight(request modeler.Request) float64 {
	const tokensPerUnit = 9000
	return (1 + float64(request.Prompt)/tokensPerUnit) * max(request.WeightFactor, 1)
}

// loadTable keeps the loads of endpoints between ticks and computes a load again only after an assignment of the endpoint has changed.
type loadTable struct {
	rows *tabler.Table[modeler.EndpointID, Load]
	// configuration is the offset of the configuration whose engine profiles were used.
	configuration modeler.Position
}

func newLoadTable() *loadTable {
	return &loadTable{rows: tabler.NewTable[modeler.EndpointID, Load]()}
}

// refresh deletes the rows that changes in world have made invalid. It is called before the first get of a tick and after each change of an
// assignment.
func (t *loadTable) refresh(world *modeler.World) {
	if t.configuration != world.Configuration.Offset {
		t.rows, t.configuration = tabler.NewTable[modeler.EndpointID, Load](), world.Configuration.Offset
	}
	world.TakeChangedEndpoints(func(id modeler.EndpointID) { t.rows.Delete(id) })
}

// get returns the load of an endpoint. The load of a node that does not coordinate includes the coordinator's last digest.
func (t *loadTable) get(world *modeler.World, endpoint modeler.EndpointID, profile modeler.EngineProfile, now time.Time) Load {
	load, ok := t.rows.Get(endpoint)
	if !ok {
		load = loadOf(world, endpoint, profile)
		t.rows.Put(endpoint, load)
	}
	if !world.Coordinates() {
		load = load.withDigest(world, endpoint, profile, now)
	}
	return load
}

// loadOf sums up the assignments of an endpoint. A node that does not coordinate knows only its own assignments.
func loadOf(world *modeler.World, endpoint modeler.EndpointID, profile modeler.EngineProfile) Load {
	var load Load
	load.BusyUntil, _ = world.PrefillEnd.Get(endpoint)
	for _, id := range world.ByEndpoint.Keys(endpoint) {
		a, _ := world.Assignments.Get(id)
		weight := requestWeight(a.Request)
		if a.FirstEventAt.IsZero() {
			load.LatePrefill = load.LatePrefill || a.Plan.Late && a.Plan.PartPrefill >= minLongPrefill
			first := a.Placed.Add(a.Plan.TimeToFirstEvent)
			if a.Plan.Endpoint.ID == endpoint && load.BusyUntil.After(first) {
				// Parts of other prompts, even if they arrive later, are processed before this prompt.
				first = load.BusyUntil
			}
			load.prefilling = append(load.prefilling, prefillingRequest{
				first: first, due: a.Request.Due, weight: weight, node: a.Request.Node, expected: a.Plan.TimeToFirstEvent,
				engines: 1 + len(a.Plan.Helpers),
			})
		}
		decodes := !a.FirstEventAt.IsZero() && profile.PrefillRate > 0
		if a.Plan.Endpoint.ID != endpoint {
			reserved := a.Plan.ReservedOn(endpoint)
			load.Memory += reserved
			if decodes && reserved > 0 {
				load = load.withDecoding(a.Request.Gap, weight)
				load.Pass += profile.SequencePassTime(reserved)
			}
			continue
		}
		load.Running++
		if a.Predicted > 0 {
			load.calls = append(load.calls, runningCall{placed: a.Placed, predicted: a.Predicted})
		}
		load.Memory += a.Request.MaxMemory() - a.Plan.ReservedOnHelpers()
		if decodes {
			load = load.withDecoding(a.Request.Gap, weight)
			load.Pass += profile.SequencePassTime(a.Request.Prompt - a.Plan.ReservedOnHelpers())
		}
	}
	unplaced, _ := world.UnplacedWork.Get(endpoint)
	load.Running += unplaced.Requests
	load.Memory += unplaced.Memory
	if len(load.decoding) > 0 || unplaced.Requests > 0 && profile.PrefillRate > 0 {
		load.Pass += profile.BasePassTime()
	}
	return load
}

// maxDigestAge is the age up to which the coordinator's digest is used. Most requests take less time, so an older digest does not show the
// current load.
const maxDigestAge = 3 * time.Second

// withDigest returns the load with the coordinator's last digest as a lower bound, and with a decoding request that has the digest's smallest
// gap target.
func (l Load) withDigest(world *modeler.World, endpoint modeler.EndpointID, profile modeler.EngineProfile, now time.Time) Load {
	summary, ok := world.Loads[endpoint]
	if !ok || now.Sub(world.LoadsAt) > maxDigestAge {
		return l
	}
	l.Running = max(l.Running, summary.Running)
	l.Memory = max(l.Memory, summary.Memory)
	if busyUntil := world.LoadsAt.Add(summary.Backlog); busyUntil.After(l.BusyUntil) {
		l.BusyUntil = busyUntil
	}
	l.toldWork, l.toldAt = summary.Work, world.LoadsAt
	if summary.Gap > 0 {
		if len(l.decoding) == 0 {
			l.Pass += profile.BasePassTime()
		}
		l = l.withDecoding(summary.Gap, 1)
	}
	return l
}

// LoadSummaries returns the loads of all endpoints that are not idle, for the coordinator's digest.
func LoadSummaries(now time.Time, world *modeler.World) map[modeler.EndpointID]modeler.LoadSummary {
	loads := make(map[modeler.EndpointID]modeler.LoadSummary, world.Endpoints.Len())
	for id, endpoint := range world.Endpoints.All() {
		service, _ := world.Configuration.Service(endpoint.Service)
		load := loadOf(world, id, service.Engine)
		if load.Idle(now) {
			continue
		}
		summary := modeler.LoadSummary{Running: load.Running, Memory: load.Memory, Backlog: load.Backlog(now), Work: load.Work(now)}
		for _, d := range load.decoding {
			if summary.Gap == 0 || d.gap < summary.Gap {
				summary.Gap = d.gap
			}
		}
		loads[id] = summary
	}
	return loads
}
