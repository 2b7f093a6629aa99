// Package placer decides on which endpoints requests run. One node, the coordinator, places the requests of all nodes for model engines: it
// knows exactly what runs where, whereas load that engines report would lag behind. A node that gets no response from the coordinator places
// its requests for engines locally. Each node places its requests for plain services itself, unless an endpoint of the service names a limit for all nodes
// together, or the request is suspected to end endpoints.
package placer

import (
	"math"
	"slices"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/lender"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// retryInterval is the longest time between two attempts to place a waiting request.
	retryInterval = 15 * time.Millisecond
	// maxEngines bounds the engines that process one prompt. Engines accept 16 helpers, but each part costs one pass.
	maxEngines = 12
	// beatGrace is the age from which an assignment that is missing from its node's heartbeat is removed: two heartbeats and a delay.
	beatGrace = 600 * time.Millisecond
	// deadlineGrace is the time after its deadline at which an assignment whose end was not reported is removed.
	deadlineGrace = 2 * time.Second
)

// Options configures a System.
type Options struct {
	// ColdFactor and ColdSlack bound the requests per second to a cold endpoint over all nodes: rate times ColdFactor plus ColdSlack.
	ColdFactor, ColdSlack float64
	// MaxNodes is the smallest number of nodes among which the cold limit is divided. If more nodes are known, or MaxNodes is zero, the limit
	// is divided among the known nodes.
	MaxNodes int
	// Lending defines the retries that are lent to other nodes.
	Lending lender.Options
	// KeepsRoom makes long prompts leave room for short work, and requests wait here rather than at engines.
	KeepsRoom bool
}

// System places requests.
type System struct {
	options Options
	cold    coldLimiter
	limits  endpointLimiter
	onTime  onTimeRates
	loads   *loadTable
	queue   *queue
	lender  *lender.Lender
	// coordinator is the coordinator of the last tick. nextForwarded is when the next forwarded request is due to be asked for again.
	coordinator              modeler.NodeID
	nextForwarded, nextSweep time.Time
	// candidateList is the array that candidates reuses.
	candidateList []Candidate
	// decisions counts the calls of decide, which bound the cost of a tick.
	decisions int
	// settlesAt is the end of the time in which long prompts wait after the first request; zero before it.
	settlesAt time.Time
	// startedAt is the time of the first tick.
	startedAt time.Time
}

// New returns the system.
func New(options Options) *System {
	return &System{
		options: options, cold: newColdLimiter(), limits: newEndpointLimiter(), onTime: newOnTimeRates(), loads: newLoadTable(), queue: newQueue(),
		lender: lender.New(options.Lending),
	}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	if s.startedAt.IsZero() {
		s.startedAt = tick.Now
	}
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.PlacementRequested:
			s.handlePlacementRequested(tick, world, e.Request)
		case modeler.ExplainRequested:
			tick.Emit(modeler.Explained{ID: e.ID, Explanation: s.explain(tick, world, e.Request)})
		case modeler.PlacementCancelled:
			s.handlePlacementCancelled(tick, world, e.ID)
		case modeler.AttemptStarted:
			s.handleStarted(tick, world, e.ID)
			s.sendToPlacing(tick, world, modeler.Started(e))
		case modeler.PeerReceived:
			s.handleMessage(tick, world, e.Message)
		}
	}
	s.refuseUnfinishable(tick, world)
	s.retryForwarded(tick, world)
	s.placeWaiting(tick, world)
	s.sweep(tick, world)
}

func (s *System) handlePlacementRequested(tick *modeler.Tick, world *modeler.World, request modeler.Request) {
	if !canFinish(tick.Now, world, request) {
		s.refuseLeaving(tick, world, modeler.Waiting{Request: request, Since: tick.Now})
		return
	}
	request, ready := s.withoutPaused(tick, world, request)
	if !ready {
		return
	}
	service, known := world.Configuration.Service(request.Service)
	placing, ok := elector.PlacingNode(world, tick.Now)
	if !ok || !known || !service.IsEngine() && !world.ServiceLimited(service.ID) && !runsAlone(tick.Now, world, request) && !request.Borrows && !world.UnevenServices[service.ID] {
		s.lendOrRefuse(tick, world, modeler.Waiting{Request: request, Since: tick.Now})
		return
	}
	s.forward(tick, world, request, placing)
}

// lendOrRefuse queues a request for placement by this node. If it has to borrow a retry, it is refused unless this node lends it one.
func (s *System) lendOrRefuse(tick *modeler.Tick, world *modeler.World, entry modeler.Waiting) {
	if request := entry.Request; request.Borrows {
		lent := s.lender.Lend(tick.Now, request.Service)
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventRetryBorrowed, Request: request.ID, Fields: []modeler.LogField{
			{Key: "Service", Value: string(request.Service)}, {Key: "Lent", Value: lent},
		}})
		if !lent {
			s.sendDecision(tick, world, entry, refusal(modeler.ReasonBudget, retryAfter(tick.Now, request)))
			return
		}
	}
	s.wait(world, entry)
}

// wait queues a request for placement by this node.
func (s *System) wait(world *modeler.World, entry modeler.Waiting) {
	s.settle(entry.Since, world)
	world.Waiting.Put(entry.Request.ID, entry)
	s.queue.add(newQueueKey(world, entry.Request))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *System) handlePlacementCancelled(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	if entry, ok := world.Waiting.Get(id); ok {
		endUnplacedProbe(world, entry.Request)
		world.Waiting.Delete(id)
	}
	if entry, ok := world.Forwarded.Get(id); ok {
		world.Forwarded.Delete(id)
		if to, ok := world.Nodes.Get(entry.To); ok {
			s.send(tick, world, to, modeler.Ended{ID: id, Outcome: modeler.Abandoned})
		}
	}
}

func (s *System) handleStarted(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	a, ok := world.Assignments.Get(id)
	if !ok || !a.FirstEventAt.IsZero() {
		return
	}
	world.Assign(a.WithFirstEvent(tick.Now))
	for _, engine := range a.Plan.Engines() {
		if !world.HasPrefill(engine.ID) {
			world.PrefillEnd.Delete(engine.ID)
		}
	}
}

func (s *System) handleMessage(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.Ask:
		s.handleAsk(tick, world, message.From, body.Request)
	case modeler.Queued:
		if entry, ok := world.Forwarded.Get(body.ID); ok {
			world.Forwarded.Put(body.ID, entry.WithQueued(tick.Now))
		}
	case modeler.Granted:
		s.handleGranted(tick, world, message.From, body)
	case modeler.Started:
		s.handleStarted(tick, world, body.ID)
	case modeler.Ended:
		if entry, ok := world.Waiting.Get(body.ID); ok && entry.Request.Node == message.From {
			endUnplacedProbe(world, entry.Request)
			world.Waiting.Delete(body.ID)
		}
	case modeler.Beat:
		s.synchronize(tick, world, message.From, body)
	}
}

func (s *System) handleAsk(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, request modeler.Request) {
	peer, ok := world.Nodes.Get(from)
	if !ok {
		return
	}
	if a, ok := world.Assignments.Get(request.ID); ok {
		s.send(tick, world, peer, modeler.Granted{ID: request.ID, Decision: modeler.Decision{Plan: a.Plan}})
		return
	}
	if _, ok := world.Waiting.Get(request.ID); !ok {
		s.lendOrRefuse(tick, world, modeler.Waiting{Request: request, Since: tick.Now})
		return
	}
	s.send(tick, world, peer, modeler.Queued{ID: request.ID})
}

func (s *System) handleGranted(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, body modeler.Granted) {
	entry, ok := world.Forwarded.Get(body.ID)
	if !ok {
		// The request was placed locally or cancelled in the meantime. Release the coordinator's assignment unless it is in use.
		if a, ok := world.Assignments.Get(body.ID); !body.Decision.Refused && (!ok || a.Plan.Endpoint.ID != body.Decision.Plan.Endpoint.ID) {
			s.releaseGrant(tick, world, from, body)
		}
		return
	}
	world.Forwarded.Delete(body.ID)
	decision := body.Decision
	if !decision.Refused {
		plan, ok := s.resolve(tick.Now, world, decision.Plan)
		if !ok || world.TermsOf(plan.Endpoint).Paused(tick.Now) {
			s.releaseGrant(tick, world, from, body)
			s.placeElsewhere(tick, world, entry.Request, decision.Plan)
			return
		}
		if !endsInTime(tick.Now, world, entry.Request, plan.TimeToFirstEvent) {
			s.releaseGrant(tick, world, from, body)
			s.refuseLeaving(tick, world, modeler.Waiting{Request: entry.Request, Since: entry.Request.Arrived})
			return
		}
		decision.Plan = plan
		s.assign(tick, world, entry.Request, plan)
	}
	tick.Emit(modeler.Reply{ID: body.ID, Decision: decision})
}

// placeElsewhere finds another placement for a request whose granted plan may not be used. If the terms of an engine of the plan forbid it, they may be on
// their way to the node that places requests, which is asked again. Otherwise the two nodes have read the store up to different offsets.
func (s *System) placeElsewhere(tick *modeler.Tick, world *modeler.World, request modeler.Request, plan modeler.Plan) {
	tried := len(request.Tried)
	for _, engine := range plan.Engines() {
		endpoint, known := world.Endpoints.Get(engine.ID)
		forbidden := world.TermsOf(endpoint).Leaving || engine.ID == plan.Endpoint.ID && world.TermsOf(endpoint).Paused(tick.Now)
		if known && forbidden && !contains(request.Tried, engine.ID) {
			request = request.WithTried(engine.ID)
		}
	}
	if placing, ok := elector.PlacingNode(world, tick.Now); ok && len(request.Tried) > tried {
		s.forward(tick, world, request, placing)
		return
	}
	s.wait(world, modeler.Waiting{Request: request, Since: tick.Now, Local: true})
}

// releaseGrant tells the node that made a placement that it is not used.
func (s *System) releaseGrant(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, grant modeler.Granted) {
	if peer, ok := world.Nodes.Get(from); ok {
		s.send(tick, world, peer, modeler.Ended{ID: grant.ID, Endpoint: grant.Decision.Plan.Endpoint.ID, Outcome: modeler.Abandoned})
	}
}

// resolve replaces the endpoint IDs in a plan from another node by this node's table entries. It returns false if an endpoint is unknown or
// must not get requests.
func (s *System) resolve(now time.Time, world *modeler.World, plan modeler.Plan) (modeler.Plan, bool) {
	engines := plan.Engines()
	for i, engine := range engines {
		endpoint, ok := world.Endpoints.Get(engine.ID)
		if !ok || !s.acceptsRequests(now, world, endpoint) {
			return plan, false
		}
		engines[i] = endpoint
	}
	plan.Endpoint, plan.Helpers = engines[0], engines[1:]
	return plan, true
}

// synchronize updates the assignments of a node from the list in its heartbeat. It corrects differences that come from lost messages, restarts
// and changes of the coordinator.
func (s *System) synchronize(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, beat modeler.Beat) {
	if from == world.Self.ID {
		return
	}
	reported := make(map[modeler.RequestID]bool, len(beat.Running))
	for _, a := range beat.Running {
		reported[a.Request.ID] = true
		known, ok := world.Assignments.Get(a.Request.ID)
		switch {
		case !ok:
			world.Assign(s.withPrediction(tick.Now, world, a))
		case !a.FirstEventAt.IsZero() && known.FirstEventAt.IsZero():
			s.handleStarted(tick, world, a.Request.ID)
		}
	}
	for _, id := range slices.Clone(world.ByNode.Keys(from)) {
		if a, _ := world.Assignments.Get(id); !reported[id] && beat.Part.Contains(id) && tick.Now.Sub(a.Placed) > beatGrace {
			world.Unassign(id)
		}
	}
}

const (
	// typicalPasses is the number of passes of a loaded engine between placement and the first event, in addition to the prefill: the rest of
	// the current pass and the pass of the request itself.
	typicalPasses = 2
	// estimateMargin covers the error of the estimate and a loaded engine. While requests queue, each is placed as late as it may be, so that with
	// a margin of 60 ms a third of the short ones missed their target by a little.
	estimateMargin = 140 * time.Millisecond
)

// typicalTimeToFirstEvent returns the time to the first event of a request on an engine with typical load; zero for plain services.
func typicalTimeToFirstEvent(world *modeler.World, request modeler.Request) time.Duration {
	service, ok := world.Configuration.Service(request.Service)
	if !ok || !service.IsEngine() {
		return 0
	}
	prefill := service.Engine.PrefillTime(request.Prompt)
	if prefill > minLongPrefill {
		prefill /= spreadEngineCount
	}
	return prefill + typicalPasses*service.Engine.BasePassTime() + estimateMargin
}

func (s *System) sendDecision(tick *modeler.Tick, world *modeler.World, entry modeler.Waiting, decision modeler.Decision) {
	request := entry.Request
	if !decision.Refused && !endsInTime(tick.Now, world, request, decision.Plan.TimeToFirstEvent) {
		decision = leavingRefusal(tick.Now, world)
	}
	s.onTime.record(request, !decision.Refused && !decision.Plan.Late)
	if !decision.Refused {
		s.assign(tick, world, request, decision.Plan)
	}
	tick.Emit(decisionLogEvent(tick.Now, world, entry, decision))
	if request.Node == world.Self.ID {
		tick.Emit(modeler.Reply{ID: request.ID, Decision: decision})
		return
	}
	if peer, ok := world.Nodes.Get(request.Node); ok {
		s.send(tick, world, peer, modeler.Granted{ID: request.ID, Decision: decision})
	}
}

// joinIDs returns the IDs of the endpoints, separated by commas, for the log.
func joinIDs(endpoints []modeler.Endpoint) string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, string(e.ID))
	}
	return strings.Join(ids, ",")
}

func decisionLogEvent(now time.Time, world *modeler.World, entry modeler.Waiting, decision modeler.Decision) modeler.LogEvent {
	request := entry.Request
	if decision.Refused {
		return modeler.LogEvent{Name: modeler.LogEventPlaceRefused, Request: request.ID, Fields: []modeler.LogField{
			{Key: "Reason", Value: string(decision.Reason)}, {Key: "Waited", Value: now.Sub(entry.Since)}, {Key: "Prompt", Value: request.Prompt},
			{Key: "Waiting", Value: world.Waiting.Len()}, {Key: "EndpointsAge", Value: now.Sub(world.ConfirmedAt[modeler.Endpoints])},
		}}
	}
	return modeler.LogEvent{Name: modeler.LogEventPlaced, Request: request.ID, Fields: []modeler.LogField{
		{Key: "Endpoint", Value: string(decision.Plan.Endpoint.ID)}, {Key: "Helpers", Value: joinIDs(decision.Plan.Helpers)},
		{Key: "Expected", Value: decision.Plan.TimeToFirstEvent}, {Key: "Waited", Value: now.Sub(entry.Since)}, {Key: "Left", Value: request.Due.Sub(now)},
		{Key: "Prompt", Value: request.Prompt}, {Key: "Coordinates", Value: world.Coordinates()},
		{Key: "SharedParts", Value: modeler.JoinFingerprints(request.SharedParts)},
	}}
}

// withPrediction returns the assignment with the time that it is expected to take if it is a call to a plain service.
func (s *System) withPrediction(now time.Time, world *modeler.World, a modeler.Assignment) modeler.Assignment {
	if a.Plan.PartPrefill <= 0 && world.CallTimes != nil {
		a.Predicted = world.PredictedCall(a.Request, now)
		load := loadOf(world, a.Plan.Endpoint.ID, modeler.EngineProfile{})
		if !world.Coordinates() {
			load = load.withDigest(world, a.Plan.Endpoint.ID, modeler.EngineProfile{}, now)
		}
		a.Alone = load.Running == 0 && load.Work(now) <= 0
	}
	return a
}

func (s *System) assign(tick *modeler.Tick, world *modeler.World, request modeler.Request, plan modeler.Plan) {
	world.Assign(s.withPrediction(tick.Now, world, modeler.Assignment{
		Request: request, Plan: plan, Placed: tick.Now, Granted: request.Node != world.Self.ID,
	}))
	recordTrial(tick.Now, world, request)
	if plan.PartPrefill <= 0 {
		return
	}
	for _, engine := range plan.Engines() {
		from := tick.Now
		if busy, ok := world.PrefillEnd.Get(engine.ID); ok && busy.After(from) {
			from = busy
		}
		world.PrefillEnd.Put(engine.ID, from.Add(plan.PartPrefill))
	}
}

// sendToPlacing sends a message to the node that places this node's requests.
func (s *System) sendToPlacing(tick *modeler.Tick, world *modeler.World, body modeler.MessageBody) {
	if placing, ok := elector.PlacingNode(world, tick.Now); ok {
		s.send(tick, world, placing, body)
	}
}

func (s *System) send(tick *modeler.Tick, world *modeler.World, to modeler.Node, body modeler.MessageBody) {
	tick.Emit(modeler.Send{To: to, Message: world.Message(body)})
}

// sweep runs once a second. It removes the assignments of failed nodes, and the assignments and waiting requests of other nodes that have
// passed their deadline.
func (s *System) sweep(tick *modeler.Tick, world *modeler.World) {
	if tick.Now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = tick.Now.Add(time.Second)
	s.limits.forget(world)
	s.lender.Forget(func(id modeler.ServiceID) bool {
		_, known := world.Configuration.Service(id)
		return known
	})
	for id, a := range world.Assignments.All() {
		node, ok := world.Nodes.Get(a.Request.Node)
		ofOtherNode := a.Request.Node != world.Self.ID
		if ofOtherNode && (!ok || !elector.Live(node, tick.Now) || tick.Now.After(a.Request.Deadline.Add(deadlineGrace))) {
			world.Unassign(id)
		}
	}
	for id, entry := range world.Waiting.All() {
		if entry.Request.Node != world.Self.ID && tick.Now.After(entry.Request.Deadline) {
			endUnplacedProbe(world, entry.Request)
			world.Waiting.Delete(id)
		}
	}
}

// nodeShare returns the share of a fleet-wide limit that this node may use. A coordinator gets a fixed fraction, and a second fraction is
// divided among the known nodes, or MaxNodes if that is more, so that the sum stays within the limit even while two nodes act as coordinator.
func (s *System) nodeShare(world *modeler.World, limit float64) float64 {
	const coordinatorFraction = 0.35
	if world.Coordinates() && world.Nodes.Len() > 0 {
		return math.Floor(limit * coordinatorFraction)
	}
	const othersFraction = 0.3
	return math.Floor(limit * othersFraction / float64(max(s.options.MaxNodes, world.Nodes.Len()+1, 1)))
}
