// Package placer decides where requests run. One node, the coordinator, places the requests for model engines of all nodes, because exact
// knowledge of what runs where is worth more than the reports of engines, which lag. A node that gets no answer places by itself.
package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// askInterval is the time between two questions about one request: ten times the round trip between data centres, which covers a
	// busy coordinator.
	askInterval = 40 * time.Millisecond
	// queuedInterval is the time between two questions about a request that waits at the coordinator.
	queuedInterval = 150 * time.Millisecond
	// askTimeout is when a silent coordinator is given up for a request: two questions and the delay of the answer.
	askTimeout = 100 * time.Millisecond
	// queuedTimeout is the same while the request waits there: three questions.
	queuedTimeout = 400 * time.Millisecond
	// retryInterval is how often waiting requests are tried again when nothing else happens.
	retryInterval = 15 * time.Millisecond
	// maxEngines bounds the engines that process one prompt: an engine takes 16 helpers, and each part costs a pass.
	maxEngines = 12
	// beatGrace is how old an assignment is before a beat that does not name it ends it: two beats.
	beatGrace = 600 * time.Millisecond
	// deadlineGrace is how long an assignment outlives its deadline when its end was not reported.
	deadlineGrace = 2 * time.Second
)

// Options configure the system.
type Options struct {
	// ColdFactor and ColdSlack bound the requests per second to a cold endpoint over all nodes: rate times ColdFactor plus ColdSlack.
	ColdFactor, ColdSlack float64
	// MaxNodes is the largest number of nodes that may exist. It bounds each node's part of the cold limit.
	MaxNodes int
}

// System places requests.
type System struct {
	options Options
	cold    coldLimiter
	balance balance
	sweepAt time.Time
}

// New returns the system.
func New(options Options) *System {
	return &System{options: options, cold: newColdLimiter(), balance: newBalance()}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.PlacementRequested:
			s.asked(tick, world, e.Request)
		case modeler.PlacementCancelled:
			s.cancelled(tick, world, e.ID)
		case modeler.AttemptStarted:
			s.started(tick, world, e.ID)
			s.tellCoordinator(tick, world, modeler.Started(e))
		case modeler.PeerReceived:
			s.receive(tick, world, e.Message)
		}
	}
	s.askAgain(tick, world)
	s.place(tick, world)
	s.sweep(tick, world)
}

func (s *System) asked(tick *modeler.Tick, world *modeler.World, request modeler.Request) {
	coordinator, ok := world.Nodes.Get(world.Coordinator)
	service, known := world.Configuration.Service(request.Service)
	if !ok || world.CoordinatorUnresponsive || !known || !service.IsEngine() {
		world.Waiting.Put(request.ID, modeler.Waiting{Request: request, Since: tick.Now})
		return
	}
	world.Forwarded.Put(request.ID, modeler.Forwarded{Request: request, AskedAt: tick.Now, AnsweredAt: tick.Now})
	s.send(tick, world, coordinator, modeler.Ask{Request: request})
}

func (s *System) cancelled(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	world.Waiting.Delete(id)
	if _, ok := world.Forwarded.Get(id); ok {
		world.Forwarded.Delete(id)
		s.tellCoordinator(tick, world, modeler.Ended{ID: id, Outcome: modeler.Abandoned})
	}
}

func (s *System) started(tick *modeler.Tick, world *modeler.World, id modeler.RequestID) {
	a, ok := world.Assignments.Get(id)
	if !ok || !a.Started.IsZero() {
		return
	}
	world.Assign(a.WithStarted(tick.Now))
	for _, engine := range a.Plan.Engines() {
		if !world.HasPrefill(engine.ID) {
			world.PrefillEnd.Delete(engine.ID)
		}
	}
}

func (s *System) receive(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.Ask:
		s.askedByPeer(tick, world, message.From, body.Request)
	case modeler.Queued:
		if row, ok := world.Forwarded.Get(body.ID); ok {
			world.Forwarded.Put(body.ID, row.WithWaiting(tick.Now))
		}
	case modeler.Granted:
		s.granted(tick, world, message.From, body)
	case modeler.Started:
		s.started(tick, world, body.ID)
	case modeler.Ended:
		if waiting, ok := world.Waiting.Get(body.ID); ok && waiting.Request.Node == message.From {
			world.Waiting.Delete(body.ID)
		}
	case modeler.Beat:
		s.synchronize(tick, world, message.From, body)
	}
}

func (s *System) askedByPeer(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, request modeler.Request) {
	peer, ok := world.Nodes.Get(from)
	if !ok {
		return
	}
	if a, ok := world.Assignments.Get(request.ID); ok {
		s.send(tick, world, peer, modeler.Granted{ID: request.ID, Decision: modeler.Decision{Plan: a.Plan}})
		return
	}
	if _, ok := world.Waiting.Get(request.ID); !ok {
		world.Waiting.Put(request.ID, modeler.Waiting{Request: request, Since: tick.Now})
		return
	}
	s.send(tick, world, peer, modeler.Queued{ID: request.ID})
}

func (s *System) granted(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, body modeler.Granted) {
	row, ok := world.Forwarded.Get(body.ID)
	if !ok {
		// The request was placed here or given up; a place that nobody uses is returned.
		if a, ok := world.Assignments.Get(body.ID); !body.Decision.Refused && (!ok || a.Plan.Endpoint.ID != body.Decision.Plan.Endpoint.ID) {
			if peer, ok := world.Nodes.Get(from); ok {
				s.send(tick, world, peer, modeler.Ended{ID: body.ID, Endpoint: body.Decision.Plan.Endpoint.ID, Outcome: modeler.Abandoned})
			}
		}
		return
	}
	world.Forwarded.Delete(body.ID)
	decision := body.Decision
	if !decision.Refused {
		plan, ok := s.resolve(tick.Now, world, decision.Plan)
		if !ok {
			// The two nodes have read the store to different points.
			world.Waiting.Put(body.ID, modeler.Waiting{Request: row.Request, Since: tick.Now})
			return
		}
		decision.Plan = plan
		s.assign(tick, world, row.Request, plan)
	}
	tick.Emit(modeler.Reply{ID: body.ID, Decision: decision})
}

// resolve completes the endpoints of a plan that came from another node. It returns false if one is unknown or out of service here.
func (s *System) resolve(now time.Time, world *modeler.World, plan modeler.Plan) (modeler.Plan, bool) {
	engines := plan.Engines()
	for i, engine := range engines {
		endpoint, ok := world.Endpoints.Get(engine.ID)
		if !ok || !s.inService(now, world, endpoint) {
			return plan, false
		}
		engines[i] = endpoint
	}
	plan.Endpoint, plan.Helpers = engines[0], engines[1:]
	return plan, true
}

// synchronize takes over what a node says that it runs. It mends what lost messages, restarts and changes of the coordinator left wrong.
func (s *System) synchronize(tick *modeler.Tick, world *modeler.World, from modeler.NodeID, beat modeler.Beat) {
	if from == world.Self.ID {
		return
	}
	named := make(map[modeler.RequestID]bool, len(beat.Running))
	for _, a := range beat.Running {
		named[a.Request.ID] = true
		known, ok := world.Assignments.Get(a.Request.ID)
		switch {
		case !ok:
			world.Assign(a)
		case !a.Started.IsZero() && known.Started.IsZero():
			s.started(tick, world, a.Request.ID)
		}
	}
	for _, id := range slices.Clone(world.ByNode.Keys(from)) {
		if a, _ := world.Assignments.Get(id); !named[id] && tick.Now.Sub(a.Placed) > beatGrace {
			world.Unassign(id)
		}
	}
}

// askAgain repeats questions, and places requests here that the coordinator is silent about.
func (s *System) askAgain(tick *modeler.Tick, world *modeler.World) {
	coordinator, ok := world.Nodes.Get(world.Coordinator)
	for id, row := range world.Forwarded.All() {
		timeout, interval := askTimeout, askInterval
		if row.Waiting {
			timeout, interval = queuedTimeout, queuedInterval
		}
		if !ok || tick.Now.Sub(row.AnsweredAt) >= timeout {
			world.Forwarded.Delete(id)
			world.Waiting.Put(id, modeler.Waiting{Request: row.Request, Since: tick.Now})
			if ok && !world.CoordinatorUnresponsive {
				world.CoordinatorUnresponsive = true
				tick.Emit(modeler.Note{Name: modeler.NoteCoordinatorDoubted, Request: id, Fields: []modeler.Field{
					{Key: "Coordinator", Value: string(world.Coordinator)}, {Key: "HeardBefore", Value: tick.Now.Sub(coordinator.LastMessageAt)},
				}})
			}
			continue
		}
		if tick.Now.Sub(row.AskedAt) >= interval {
			row = row.WithAsked(tick.Now)
			world.Forwarded.Put(id, row)
			s.send(tick, world, coordinator, modeler.Ask{Request: row.Request})
		}
		tick.WakeAt(row.AskedAt.Add(interval))
	}
}

// place tries all waiting requests, the most urgent first.
func (s *System) place(tick *modeler.Tick, world *modeler.World) {
	if world.Waiting.Len() == 0 {
		return
	}
	waiting := make([]modeler.Waiting, 0, world.Waiting.Len())
	for _, row := range world.Waiting.All() {
		waiting = append(waiting, row)
	}
	slices.SortStableFunc(waiting, func(a, b modeler.Waiting) int { return s.order(tick.Now, world, a.Request, b.Request) })
	for _, row := range waiting {
		row.Request = row.Request.WithWeightFactor(s.balance.favour(row.Request))
		decision, decided := s.decide(tick, world, row)
		if !decided {
			if row.Request.Node != world.Self.ID && row.Since.Equal(tick.Now) {
				if peer, ok := world.Nodes.Get(row.Request.Node); ok {
					s.send(tick, world, peer, modeler.Queued{ID: row.Request.ID})
				}
			}
			tick.WakeAt(tick.Now.Add(retryInterval))
			continue
		}
		world.Waiting.Delete(row.Request.ID)
		s.answer(tick, world, row, decision)
	}
}

// order sorts requests that can still be on time before those that cannot, by priority and by what is left until they are late. A place
// that a late request takes makes another one late, too.
func (s *System) order(now time.Time, world *modeler.World, a, b modeler.Request) int {
	lateA, lateB := tooLate(now, world, a), tooLate(now, world, b)
	if lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Due.Compare(b.Due))
}

const (
	// usualPasses is the number of passes of a loaded engine from placement to the first event, beside the reading itself: the rest of
	// the running one and the own one.
	usualPasses = 2
	// usualSpread covers the error of that estimate.
	usualSpread = 60 * time.Millisecond
)

// tooLate tells whether a request would be late at a usual place.
func tooLate(now time.Time, world *modeler.World, request modeler.Request) bool {
	left := request.Due.Sub(now)
	service, ok := world.Configuration.Service(request.Service)
	if !ok || !service.IsEngine() {
		return left <= 0
	}
	reading := service.Engine.PrefillTime(request.Prompt)
	if reading > longPart {
		reading /= spreadEngines
	}
	return left < reading+usualPasses*service.Engine.BasePassTime()+usualSpread
}

func (s *System) answer(tick *modeler.Tick, world *modeler.World, row modeler.Waiting, decision modeler.Decision) {
	request := row.Request
	s.balance.count(request, !decision.Refused && !decision.Plan.Late)
	if !decision.Refused {
		s.assign(tick, world, request, decision.Plan)
	}
	tick.Emit(placedNote(tick.Now, world, row, decision))
	if request.Node == world.Self.ID {
		tick.Emit(modeler.Reply{ID: request.ID, Decision: decision})
		return
	}
	if peer, ok := world.Nodes.Get(request.Node); ok {
		s.send(tick, world, peer, modeler.Granted{ID: request.ID, Decision: decision})
	}
}

// names lists endpoints for the log.
func names(endpoints []modeler.Endpoint) string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, string(e.ID))
	}
	return strings.Join(ids, ",")
}

func placedNote(now time.Time, world *modeler.World, row modeler.Waiting, decision modeler.Decision) modeler.Note {
	request := row.Request
	if decision.Refused {
		return modeler.Note{Name: modeler.NotePlaceRefused, Request: request.ID, Fields: []modeler.Field{
			{Key: "Reason", Value: string(decision.Reason)}, {Key: "Waited", Value: now.Sub(row.Since)}, {Key: "Prompt", Value: request.Prompt},
			{Key: "Waiting", Value: world.Waiting.Len()}, {Key: "EndpointsAge", Value: now.Sub(world.ConfirmedAt[modeler.Endpoints])},
		}}
	}
	return modeler.Note{Name: modeler.NotePlaced, Request: request.ID, Fields: []modeler.Field{
		{Key: "Endpoint", Value: string(decision.Plan.Endpoint.ID)}, {Key: "Helpers", Value: names(decision.Plan.Helpers)},
		{Key: "Expected", Value: decision.Plan.First}, {Key: "Waited", Value: now.Sub(row.Since)}, {Key: "Left", Value: request.Due.Sub(now)},
		{Key: "Prompt", Value: request.Prompt}, {Key: "Coordinates", Value: world.Coordinates()},
	}}
}

func (s *System) assign(tick *modeler.Tick, world *modeler.World, request modeler.Request, plan modeler.Plan) {
	world.Assign(modeler.Assignment{Request: request, Plan: plan, Placed: tick.Now})
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

func (s *System) tellCoordinator(tick *modeler.Tick, world *modeler.World, body modeler.MessageBody) {
	if coordinator, ok := world.Nodes.Get(world.Coordinator); ok {
		s.send(tick, world, coordinator, body)
	}
}

func (s *System) send(tick *modeler.Tick, world *modeler.World, to modeler.Node, body modeler.MessageBody) {
	tick.Emit(modeler.Send{To: to, Message: world.Message(body)})
}

// sweep drops what nodes that are gone left behind.
func (s *System) sweep(tick *modeler.Tick, world *modeler.World) {
	if tick.Now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = tick.Now.Add(time.Second)
	for id, a := range world.Assignments.All() {
		node, ok := world.Nodes.Get(a.Request.Node)
		foreign := a.Request.Node != world.Self.ID
		if foreign && (!ok || !elector.Live(node, tick.Now) || tick.Now.After(a.Request.Deadline.Add(deadlineGrace))) {
			world.Unassign(id)
		}
	}
	for id, row := range world.Waiting.All() {
		if row.Request.Node != world.Self.ID && tick.Now.After(row.Request.Deadline) {
			world.Waiting.Delete(id)
		}
	}
}

// share returns the part of a limit over all nodes that this node may use. The coordinator has a fixed part, and the rest is divided among
// all nodes that may exist, so that the limit holds while two nodes coordinate.
func (s *System) share(world *modeler.World, limit float64) float64 {
	const coordinatorPart = 0.35
	if world.Coordinates() && world.Nodes.Len() > 0 {
		return math.Floor(limit * coordinatorPart)
	}
	const othersPart = 0.3
	return math.Floor(limit * othersPart / float64(max(s.options.MaxNodes, world.Nodes.Len()+1, 1)))
}
