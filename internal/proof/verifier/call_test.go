package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// outcome is how a call ended.
type outcome string

const (
	complete outcome = "complete"
	refused  outcome = "refused"
	overdue  outcome = "overdue"
	// lostNode means that the host that the caller was connected to ended.
	lostNode outcome = "lostNode"
)

// call is one request of a caller together with its traffic goroutine, which behaves like internal/traffic/forwarder.
type call struct {
	site    *site
	request modeler.Request
	timeout time.Duration
	// fatal calls crash the engine that runs them.
	fatal bool
	host  *host
	// awaitingDecision is set between a RequestArrived or RetryRequested event and its decision.
	awaitingDecision bool
	grant            modeler.Grant
	delivered        modeler.Tokens
	// brokenAttempts counts attempts that did not end with a whole answer.
	brokenAttempts int
	deadline       time.Duration
	ended          outcome
	endedAt        time.Duration
	code           modeler.Code
}

// submit submits a call to the host.
func (h *host) submit(c *call) {
	c.host, c.awaitingDecision = h, true
	c.request.ArrivedAt, c.request.Deadline = h.now(), h.now().Add(c.timeout)
	c.deadline = h.site.clock.now + time.Duration(float64(c.timeout)/h.clockRate)
	h.calls[c.request.ID] = c
	if h.naive != nil {
		h.runTraffic(func() { h.naive.place(h, c) })
		return
	}
	h.post(modeler.RequestArrived{Request: c.request})
	h.site.clock.after(c.deadline-h.site.clock.now, func() { h.runTraffic(func() { c.expire() }) })
}

// expire ends a running call at its deadline. A call that awaits a decision is left to the admitter, which refuses it.
func (c *call) expire() {
	if c.ended != "" || c.awaitingDecision {
		return
	}
	c.host.cancel(c.grant.Endpoint, c.grant.Attempt)
	c.end(overdue)
	c.host.post(modeler.RequestEnded{Request: c.request.ID})
}

func (c *call) end(result outcome) {
	if c.ended == "" {
		c.ended, c.endedAt = result, c.site.clock.now
		delete(c.host.calls, c.request.ID)
	}
}

// decisionReceived handles the decision of the admitter.
func (h *host) decisionReceived(reply modeler.Reply) {
	c, ok := h.calls[reply.Request]
	if !ok || !c.awaitingDecision {
		h.site.violate("%s got a decision that nobody awaits: %+v", reply.Request, reply.Decision)
		return
	}
	c.awaitingDecision = false
	if refusal := reply.Decision.Refusal; refusal != nil {
		c.code = refusal.Code
		c.end(refused)
		return
	}
	c.grant = *reply.Decision.Grant
	h.runTraffic(func() { h.dispatch(c, c.grant) })
}

// dispatch sends an attempt to its engine. If the permit is FenceTimeout old or older, it requests another one instead.
func (h *host) dispatch(c *call, grant modeler.Grant) {
	if h.naive == nil && h.now().Sub(grant.PermitAt) >= modeler.FenceTimeout {
		c.retry(false)
		return
	}
	e := h.site.engine(grant.Endpoint)
	h.site.clock.after(h.hopDelay(), func() { e.begin(h, c, grant.Attempt) })
}

// retry requests another attempt or, past the deadline, ends the call.
func (c *call) retry(died bool) {
	c.brokenAttempts++
	if c.host.naive != nil {
		c.delivered = 0
		c.host.naive.place(c.host, c)
		return
	}
	if c.site.clock.now >= c.deadline {
		c.end(overdue)
		c.host.post(modeler.RequestEnded{Request: c.request.ID})
		return
	}
	c.awaitingDecision = true
	c.host.post(modeler.RetryRequested{Request: c.request.ID, Delivered: c.delivered, Died: died})
}

// current reports whether the call waits for the answer of attempt.
func (c *call) current(attempt modeler.AttemptID) bool {
	return c.ended == "" && !c.awaitingDecision && c.grant.Attempt == attempt
}

// cancel sends a cancellation, which may be lost, to an engine.
func (h *host) cancel(id modeler.EndpointID, attempt modeler.AttemptID) {
	e := h.site.engine(id)
	if !h.site.fabric.faultless && h.rand.IntN(4) == 0 {
		return
	}
	h.site.clock.after(h.hopDelay(), func() { e.cancel(attempt) })
}

// naiveBalancer is the naive version: round robin with local limits, retries on every error, configuration read only at start.
type naiveBalancer struct {
	next         int
	engines      []*engine
	running      map[*engine]int
	cold         map[*engine]bool
	sends        int
	rulesVersion modeler.Version
}

func newNaiveBalancer(s *site) *naiveBalancer {
	p := &naiveBalancer{running: map[*engine]int{}, cold: map[*engine]bool{}, rulesVersion: s.version()}
	for _, e := range s.engines {
		if !e.outOfService && !e.leaving {
			p.engines = append(p.engines, e)
		}
	}
	return p
}

// place sends a call to the next engine with a free local slot. If there is none, it tries again after 50 ms.
func (p *naiveBalancer) place(h *host, c *call) {
	for range p.engines {
		e := p.engines[p.next%len(p.engines)]
		p.next++
		limit := hostWeights.MaxRunning
		if p.cold[e] {
			limit = coldLimit
		}
		if p.running[e] >= limit {
			continue
		}
		p.running[e]++
		p.sends++
		c.awaitingDecision = false
		c.grant = modeler.Grant{Endpoint: e.id, Attempt: modeler.AttemptID(string(c.request.ID) + "#" + string(h.id) + string(rune('a'+p.sends%26)) + time.Duration(p.sends).String())}
		h.dispatch(c, c.grant)
		return
	}
	h.site.clock.after(50*time.Millisecond, func() { h.runTraffic(func() { p.place(h, c) }) })
}
