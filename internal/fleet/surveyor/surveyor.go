// Package surveyor asks engines what they work on when the node that places requests cannot know it: after all nodes were gone, nobody is left who knows
// what was placed, and engines go on with the requests of processes that have lost power until they notice.
package surveyor

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// surveyTime is the time after the start of the process in which it surveys. Engines cut off answers that stay unread for some seconds.
	surveyTime = 8 * time.Second
	// repeatInterval is the time between two questions to an engine that has unplaced work.
	repeatInterval = 500 * time.Millisecond
	// lapseTime is the time after which what an engine has said is dropped unless it says it again: two questions that got no answer.
	lapseTime = 3 * repeatInterval
	// reportLag is the age of what engines report. Requests that were placed since are not in it.
	reportLag = 200 * time.Millisecond
)

// System maintains World.UnplacedWork. It does nothing unless it is enabled.
type System struct {
	enabled bool
	// startedAt is the time of the first tick. surveyed is set once all engines were asked.
	startedAt time.Time
	surveyed  bool
	// nextRepeat is when engines with unplaced work are asked again; zero if there are none.
	nextRepeat time.Time
}

// New returns a System.
func New(enabled bool) *System { return &System{enabled: enabled} }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	if !s.enabled {
		return
	}
	if s.startedAt.IsZero() {
		s.startedAt = tick.Now
	}
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.EngineReported:
			s.handleReported(tick, world, e)
		case modeler.PeerReceived:
			switch body := e.Message.Body.(type) {
			case modeler.Ask:
				s.survey(tick, world)
			case modeler.Digest:
				s.surveyed = s.surveyed || world.Covers(body.Loads)
			}
		case modeler.PlacementRequested:
			if !othersLive(tick.Now, world) {
				s.survey(tick, world)
			}
		}
	}
	s.repeat(tick, world)
	s.lapse(tick.Now, world)
}

// survey asks all engines, once in the life of the process: when the first request is to be placed by this node, unless another node has told what
// runs. That other nodes ask this one shows that they regard it as the coordinator; a process that has just started regards itself as it.
func (s *System) survey(tick *modeler.Tick, world *modeler.World) {
	if s.surveyed || !world.Coordinates() || world.Endpoints.Len() == 0 || !world.Configuration.Loaded() {
		return
	}
	s.surveyed = true
	if tick.Now.Sub(s.startedAt) > surveyTime {
		return
	}
	var engines []modeler.Endpoint
	for _, endpoint := range world.Endpoints.All() {
		if service, ok := world.Configuration.Service(endpoint.Service); ok && service.IsEngine() && world.State(endpoint, tick.Now) != modeler.StateOut {
			engines = append(engines, endpoint)
		}
	}
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventEnginesSurveyed, Fields: []modeler.LogField{{Key: "Engines", Value: len(engines)}}})
	tick.Emit(modeler.AskEngines{Engines: engines})
}

// othersLive reports whether another node is known to be live.
func othersLive(now time.Time, world *modeler.World) bool {
	for _, node := range world.Nodes.All() {
		if elector.Live(node, now) {
			return true
		}
	}
	return false
}

// handleReported records the part of an engine's work that this fleet has not placed.
func (s *System) handleReported(tick *modeler.Tick, world *modeler.World, e modeler.EngineReported) {
	endpoint, ok := world.Endpoints.Get(e.Engine.ID)
	if !ok || endpoint.StartUnixMilli != e.Engine.StartUnixMilli {
		return
	}
	work := modeler.UnplacedWork{Requests: e.Requests, Memory: e.Memory, SeenAt: tick.Now}
	for _, id := range world.ByEndpoint.Keys(endpoint.ID) {
		a, _ := world.Assignments.Get(id)
		if a.Plan.Endpoint.ID == endpoint.ID && tick.Now.Sub(a.Placed) >= reportLag {
			work.Requests--
			work.Memory = max(work.Memory-a.Request.MaxMemory(), 0)
		}
	}
	known, had := world.UnplacedWork.Get(endpoint.ID)
	world.PutUnplacedWork(endpoint.ID, work)
	if work.Requests > 0 {
		s.nextRepeat = tick.Now.Add(repeatInterval)
	}
	if work.Requests > 0 != had || had && work.Requests != known.Requests {
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventUnplacedWork, Fields: []modeler.LogField{
			{Key: "Endpoint", Value: string(endpoint.ID)}, {Key: "Requests", Value: max(work.Requests, 0)}, {Key: "Memory", Value: work.Memory},
		}})
	}
}

// repeat asks the engines with unplaced work again.
func (s *System) repeat(tick *modeler.Tick, world *modeler.World) {
	if s.nextRepeat.IsZero() {
		return
	}
	if tick.Now.Before(s.nextRepeat) {
		tick.WakeAt(s.nextRepeat)
		return
	}
	s.nextRepeat = time.Time{}
	var engines []modeler.Endpoint
	for id := range world.UnplacedWork.All() {
		if endpoint, ok := world.Endpoints.Get(id); ok {
			engines = append(engines, endpoint)
		}
	}
	if len(engines) > 0 && world.Coordinates() {
		s.nextRepeat = tick.Now.Add(repeatInterval)
		tick.Emit(modeler.AskEngines{Engines: engines})
	}
}

// lapse drops what engines have not said again.
func (s *System) lapse(now time.Time, world *modeler.World) {
	for id, work := range world.UnplacedWork.All() {
		if _, ok := world.Endpoints.Get(id); !ok || now.Sub(work.SeenAt) > lapseTime {
			world.PutUnplacedWork(id, modeler.UnplacedWork{})
		}
	}
}
