// Package throttler keeps what endpoints say in their responses about the requests that they take: a limit for all nodes together, a pause for one
// node, or that they are shutting down.
package throttler

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// sweepInterval is the time between two removals of the terms of endpoints that have ended.
	sweepInterval = time.Second
	// reportInterval is the time after which terms that have not changed are reported again, since a report may be lost and the node that places
	// requests may have been replaced.
	reportInterval = time.Second
)

// System maintains World.Terms.
type System struct {
	nextSweep time.Time
	// reportedAt holds when the terms of each endpoint were last reported to the node that places requests.
	reportedAt map[modeler.EndpointID]time.Time
}

// New returns a System.
func New() *System { return &System{reportedAt: map[modeler.EndpointID]time.Time{}} }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.EndpointResponded:
			s.handleResponded(tick, world, e)
		case modeler.PeerReceived:
			switch body := e.Message.Body.(type) {
			case modeler.TermsReport:
				merge(tick, world, body.Terms)
			case modeler.Beat:
				merge(tick, world, body.Terms)
			case modeler.Digest:
				merge(tick, world, body.Terms)
			}
		}
	}
	s.sweep(tick, world)
}

// handleResponded updates the terms of an endpoint after a response to this node.
func (s *System) handleResponded(tick *modeler.Tick, world *modeler.World, e modeler.EndpointResponded) {
	endpoint, ok := world.Endpoints.Get(e.Endpoint.ID)
	if !ok || endpoint.StartUnixMilli != e.Endpoint.StartUnixMilli {
		// The response is from a process that has ended.
		return
	}
	before := world.TermsOf(endpoint)
	after := before
	if e.Notice.Limited || e.SentAt.After(before.LimitAt) {
		// A response without a limit to an earlier request may have been made before the limit was named.
		after = after.WithLimit(e.Notice.Limited, e.Notice.Limit, tick.Now)
	}
	if e.Notice.Leaving {
		after = after.WithLeaving()
	}
	if e.Notice.Pause > 0 {
		after = after.WithPause(tick.Now.Add(e.Notice.Pause))
	}
	world.Terms.Put(endpoint.ID, after)
	if before.Differs(after) || e.Notice.Pause > 0 {
		logTerms(tick, endpoint.ID, after, e.Notice.Pause)
	}
	s.report(tick, world, endpoint.ID, before, after)
}

// report tells the node that places requests what an endpoint has said to this node, if it is new or was not reported lately.
func (s *System) report(tick *modeler.Tick, world *modeler.World, id modeler.EndpointID, before, after modeler.EndpointTerms) {
	placing, ok := elector.PlacingNode(world, tick.Now)
	if !ok || !before.Differs(after) && tick.Now.Sub(s.reportedAt[id]) < reportInterval {
		return
	}
	s.reportedAt[id] = tick.Now
	report := modeler.TermsReport{Terms: []modeler.ReportedTerms{after.Report(id, tick.Now)}}
	tick.Emit(modeler.Send{To: placing, Message: world.Message(report)})
}

// merge updates the terms of endpoints from another node's report.
func merge(tick *modeler.Tick, world *modeler.World, list []modeler.ReportedTerms) {
	for _, report := range list {
		endpoint, ok := world.Endpoints.Get(report.Endpoint)
		if !ok || endpoint.StartUnixMilli != report.StartUnixMilli {
			continue
		}
		before := world.TermsOf(endpoint)
		after := before.WithReport(report, tick.Now)
		world.Terms.Put(endpoint.ID, after)
		if before.Differs(after) {
			logTerms(tick, endpoint.ID, after, 0)
		}
	}
}

func logTerms(tick *modeler.Tick, id modeler.EndpointID, terms modeler.EndpointTerms, pause time.Duration) {
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventEndpointTerms, Fields: []modeler.LogField{
		{Key: "Endpoint", Value: string(id)}, {Key: "Limited", Value: terms.Limited}, {Key: "Limit", Value: terms.Limit},
		{Key: "Leaving", Value: terms.Leaving}, {Key: "Pause", Value: pause},
	}})
}

// sweep removes the terms of endpoints whose process has ended.
func (s *System) sweep(tick *modeler.Tick, world *modeler.World) {
	if tick.Now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = tick.Now.Add(sweepInterval)
	for id, terms := range world.Terms.All() {
		if endpoint, ok := world.Endpoints.Get(id); !ok || endpoint.StartUnixMilli != terms.StartUnixMilli {
			world.Terms.Delete(id)
			delete(s.reportedAt, id)
		}
	}
}
