package loadtester

import (
	"fmt"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// callerDelay is the delay between a caller and a node.
	callerDelay = 3 * time.Millisecond
	// maxSends bounds the engines to which a node sends one request.
	maxSends = 4
	// maxRefusals is the number of refusals after which a caller gives up.
	maxRefusals = 2
)

// caller sends one request, again after a refusal, and records what it gets.
type caller struct {
	fleet   *fleet
	number  int
	arrived time.Time
	outcome *outcome
	// refusals counts refusals, sends the attempts on engines, and tried the engines that refused the request.
	refusals, sends int
	tried           []modeler.EndpointID
	// lastEvent is the time of the last event, and late is set after a pause that was too long.
	lastEvent time.Time
	late      bool
}

// waitLimit is how long callers wait for the next event.
func (c *caller) waitLimit() time.Duration {
	class := c.outcome.arrival.class
	return max(2*time.Second, 4*class.target, 8*class.gap)
}

func (c *caller) request(n *node) modeler.Request {
	a := c.outcome.arrival
	deadline := c.arrived.Add(min(a.class.deadline, c.waitLimit()))
	return modeler.Request{
		ID: modeler.RequestID(fmt.Sprintf("%06d/%d/%d", c.number, c.refusals, c.sends)), Node: n.world.Self.ID, Service: c.fleet.service.ID,
		Kind: modeler.Stream, Prompt: a.prompt, Output: modeler.Tokens(a.events * c.fleet.site.stride), Arrived: c.arrived,
		Due: c.arrived.Add(a.class.target), Deadline: deadline, Gap: a.class.gap, Tried: slices.Clone(c.tried), DataCentre: n.world.Self.DataCentre,
	}
}

// send sends the request to a live node.
func (c *caller) send() {
	n := c.fleet.liveNode()
	c.fleet.clock.after(callerDelay, func() { c.place(n) })
}

func (c *caller) place(n *node) {
	request := c.request(n)
	if n.dead || !c.fleet.clock.now.Before(request.Deadline) {
		return
	}
	n.place(request, func(d modeler.Decision) {
		if d.Refused {
			c.refused(d)
			return
		}
		c.fleet.clock.after(linkDelay, func() { c.start(n, request, d.Plan) })
	})
}

func (c *caller) refused(d modeler.Decision) {
	c.fleet.refusals++
	if c.refusals++; c.refusals < maxRefusals {
		c.fleet.clock.after(2*callerDelay+d.RetryAfter, c.send)
	}
}

// start sends the request to the engines of a plan.
func (c *caller) start(n *node, request modeler.Request, plan modeler.Plan) {
	f := c.fleet
	f.attempts++
	c.sends++
	r := &run{request: request, events: c.outcome.arrival.events}
	for _, e := range plan.Engines() {
		r.engines = append(r.engines, f.byID[e.ID])
	}
	post := func(event modeler.Event) { f.clock.after(linkDelay, func() { n.post(event) }) }
	r.onEvent = func(last bool) {
		if n.dead {
			r.cancel()
			return
		}
		if c.outcome.first == 0 {
			post(modeler.AttemptStarted{ID: request.ID})
		}
		c.receive(last)
		if last {
			post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Answered})
		}
	}
	if !r.engines[0].start(r) {
		f.sheds++
		c.tried = append(c.tried, plan.Endpoint.ID)
		post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Shed})
		if c.sends < maxSends {
			f.clock.after(linkDelay, func() { c.place(n) })
		}
		return
	}
	f.clock.at(request.Deadline, func() {
		if c.outcome.first == 0 && !r.ended {
			r.cancel()
			n.post(modeler.AttemptEnded{ID: request.ID, Outcome: modeler.Abandoned})
		}
	})
}

// receive records one event of an answer.
func (c *caller) receive(last bool) {
	now := c.fleet.clock.now.Add(linkDelay + callerDelay)
	class := c.outcome.arrival.class
	if c.outcome.first == 0 {
		c.outcome.first = now.Sub(c.arrived)
		c.late = c.outcome.first > class.target
	} else if now.Sub(c.lastEvent) > class.gap {
		c.late = true
	}
	c.lastEvent = now
	if last {
		c.outcome.served, c.outcome.onTime = true, !c.late
	}
}
