// Package learner learns what requests cost from how their attempts end: the time for which a call occupies a slot of a plain service, and the tokens
// of an engine's answer. It also learns which endpoints of a plain service take longer than the others.
package learner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// paceWeight is the weight of the newest call in the pace of an endpoint, and maxPace bounds a pace in both directions.
	paceWeight = 0.15
	maxPace    = 8
	// A plain service is uneven from unevenRatio between the predicted times of its kinds of calls on, until they differ by less than evenRatio. A kind
	// counts after minKindWeight calls.
	unevenRatio   = 6
	evenRatio     = 3
	minKindWeight = 1.5
	// minHeavyCall is the predicted time in milliseconds from which on a kind of call counts as heavy. The choice of the endpoint matters less for
	// shorter ones than the round trip to the node that places them.
	minHeavyCall = 150
	// checkInterval is the time between two looks at all kinds of calls.
	checkInterval = time.Second
	// maxSummaries bounds the routes that a digest tells of.
	maxSummaries = 16
)

// System maintains World.CallTimes, World.AnswerLengths, World.CallPaces and World.UnevenServices. It does nothing unless it is enabled.
type System struct {
	enabled   bool
	nextCheck time.Time
}

// New returns a System.
func New(enabled bool) *System { return &System{enabled: enabled} }

// Run implements modeler.System. It runs before the assignments of ended attempts are removed.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	if !s.enabled {
		return
	}
	if world.CallTimes == nil {
		world.CallTimes, world.AnswerLengths = modeler.NewCostEstimator(), modeler.NewCostEstimator()
	}
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.AttemptEnded:
			learn(tick.Now, world, e.ID, e.Outcome, e.Succeeded, e.Tokens)
		case modeler.PeerReceived:
			switch body := e.Message.Body.(type) {
			case modeler.Ended:
				learn(tick.Now, world, body.ID, body.Outcome, body.Succeeded, body.Tokens)
			case modeler.Digest:
				if e.Message.From == world.Coordinator {
					learnSummaries(tick.Now, world, body.Costs)
				}
			}
		}
	}
	if !tick.Now.Before(s.nextCheck) {
		s.nextCheck = tick.Now.Add(checkInterval)
		checkUneven(tick, world)
	}
}

// checkUneven updates World.UnevenServices. Where calls cost about the same, each node spreads its own well enough; where they do not, only a node that
// knows all of them can tell what each endpoint still has to do.
func checkUneven(tick *modeler.Tick, world *modeler.World) {
	if world.UnevenServices == nil {
		world.UnevenServices = map[modeler.ServiceID]bool{}
	}
	for _, service := range world.Configuration.Services() {
		if service.IsEngine() {
			continue
		}
		lowest, highest := world.CallTimes.Range(modeler.CostGroup(service.ID), minKindWeight, tick.Now)
		was := world.UnevenServices[service.ID]
		uneven := highest >= minHeavyCall && (highest > unevenRatio*lowest || was && highest > evenRatio*lowest)
		if uneven == was {
			continue
		}
		world.UnevenServices[service.ID] = uneven
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventServiceUneven, Fields: []modeler.LogField{
			{Key: "Service", Value: string(service.ID)}, {Key: "Uneven", Value: uneven}, {Key: "LowestMs", Value: lowest}, {Key: "HighestMs", Value: highest},
		}})
	}
}

// learn records what an attempt has shown. A refusal or a failure to connect shows nothing, and an answer of an endpoint that is no whole success does
// not show that the request is cheap; what broke off, timed out or was given up has cost at least what it had until then.
func learn(now time.Time, world *modeler.World, id modeler.RequestID, outcome modeler.Outcome, succeeded bool, tokens modeler.Tokens) {
	a, ok := world.Assignments.Get(id)
	if !ok {
		return
	}
	bound := estimator.Exact
	if !succeeded {
		bound = estimator.AtLeast
	}
	switch outcome {
	case modeler.Answered:
		if !succeeded {
			return
		}
	case modeler.Abandoned, modeler.Broken, modeler.Silent:
	case modeler.Failed, modeler.Shed, modeler.Misdirected, modeler.Unreachable, modeler.Garbled:
		return
	}
	service, ok := world.Configuration.Service(a.Request.Service)
	if !ok {
		return
	}
	if service.IsEngine() {
		if tokens > 0 {
			world.AnswerLengths.Learn(a.Request.Cost, estimator.Observation{At: now, Value: float64(tokens), Bound: bound})
		}
		return
	}
	if a.Request.Node != world.Self.ID && !a.Granted {
		// Of the calls that other nodes place, this one knows only those that take long.
		return
	}
	took := now.Sub(a.Placed)
	switch {
	case bound == estimator.Exact && a.Alone:
		learnPace(world, a, took)
	case bound == estimator.Exact:
		bound = estimator.AtMost
	case !a.Alone:
		// It is not known whether it has run at all.
		return
	}
	pace := relativePace(world, a.Plan.Endpoint)
	world.CallTimes.Learn(a.Request.Cost, estimator.Observation{At: now, Value: float64(took) / pace / float64(time.Millisecond), Bound: bound})
}

// learnPace updates the pace of an endpoint after a call that was predicted.
func learnPace(world *modeler.World, a modeler.Assignment, took time.Duration) {
	if a.Predicted <= 0 || took <= 0 {
		return
	}
	known, ok := world.CallPaces.Get(a.Plan.Endpoint.ID)
	if !ok {
		known = 1
	}
	sample := min(max(float64(took)/float64(a.Predicted), 1/float64(maxPace)), maxPace)
	world.CallPaces.Put(a.Plan.Endpoint.ID, math.Exp(math.Log(known)*(1-paceWeight)+math.Log(sample)*paceWeight))
}

// relativePace returns the pace of an endpoint in relation to those of its service: a kind of request that turns costly raises all of them, a slow
// endpoint its own.
func relativePace(world *modeler.World, endpoint modeler.Endpoint) float64 {
	own, ok := world.CallPaces.Get(endpoint.ID)
	if !ok {
		return 1
	}
	sum, count := 0.0, 0
	for id, pace := range world.CallPaces.All() {
		other, known := world.Endpoints.Get(id)
		if !known {
			world.CallPaces.Delete(id)
			continue
		}
		if other.Service == endpoint.Service {
			sum += math.Log(pace)
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return own / math.Exp(sum/float64(count))
}

// Pace returns the factor by which an endpoint of a plain service takes longer than the others for the same requests.
func Pace(world *modeler.World, endpoint modeler.Endpoint) float64 {
	if world.CallTimes == nil {
		return 1
	}
	return relativePace(world, endpoint)
}

// learnSummaries takes over what the coordinator has learned, so that a node that replaces it does not begin with nothing.
func learnSummaries(now time.Time, world *modeler.World, list []modeler.CostSummary) {
	for _, c := range list {
		costs := world.CallTimes
		if service, ok := serviceOf(world, c.Group); ok && service.IsEngine() {
			costs = world.AnswerLengths
		}
		costs.LearnGroup(c.Group, c.Subgroup, c.Value, c.Weight, now)
	}
}

func serviceOf(world *modeler.World, group uint64) (modeler.Service, bool) {
	for _, service := range world.Configuration.Services() {
		if modeler.CostGroup(service.ID) == group {
			return service, true
		}
	}
	return modeler.Service{}, false
}

// Summaries returns what a node has learned of the routes, for its digest: the ones that rest on most observations.
func Summaries(now time.Time, world *modeler.World) []modeler.CostSummary {
	if world.CallTimes == nil {
		return nil
	}
	var list []modeler.CostSummary
	for _, service := range world.Configuration.Services() {
		costs := world.CallTimes
		if service.IsEngine() {
			costs = world.AnswerLengths
		}
		group := modeler.CostGroup(service.ID)
		for subgroup, known := range costs.Subgroups(group, now) {
			list = append(list, modeler.CostSummary{Group: group, Subgroup: subgroup, Value: known.Value, Weight: known.Weight})
		}
	}
	slices.SortFunc(list, func(a, b modeler.CostSummary) int {
		return cmp.Or(-cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.Subgroup, b.Subgroup))
	})
	return list[:min(len(list), maxSummaries)]
}
