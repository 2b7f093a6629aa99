package verifier

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// tokenRate is the output of each run on a fake engine in tokens per second.
	tokenRate      = 100
	engineCapacity = modeler.Tokens(100_000)
)

// engineRun is one attempt on a fake engine.
type engineRun struct {
	attempt   modeler.AttemptID
	call      *call
	host      *host
	startedAt time.Duration
	output    modeler.Tokens
	// cold is set if the run began in the current cold start.
	cold bool
}

// engine is a fake engine. It ignores fencing tokens and accepts every run.
type engine struct {
	site       *site
	id         modeler.EndpointID
	dataCentre modeler.DataCentreID
	boot       int
	up         bool
	warmAt     time.Duration
	runs       map[modeler.AttemptID]*engineRun
	leaving    bool
	// outOfService is set by the proofs while a rule takes the engine out of service.
	outOfService bool
	crashes      int
	// onStart, if set, is called for each run that begins.
	onStart func(*engineRun)
	// onCancel, if set, is called for each run that a cancellation ends.
	onCancel func(*engineRun)
}

func newEngine(s *site, i int) *engine {
	return &engine{
		site: s, id: modeler.EndpointID(fmt.Sprintf("e%d", i)), dataCentre: dataCentreOf(i), up: true, boot: 1,
		warmAt: time.Duration(i) * time.Second, runs: map[modeler.AttemptID]*engineRun{},
	}
}

func (e *engine) endpoint() modeler.Endpoint {
	return modeler.Endpoint{
		ID: e.id, Address: string(e.id), DataCentre: e.dataCentre, Models: []string{modelName}, Capacity: engineCapacity, ColdLimit: coldLimit, Leaving: e.leaving,
	}
}

func (e *engine) bootID() string { return fmt.Sprintf("%s-boot%d", e.id, e.boot) }
func (e *engine) cold() bool     { return e.site.clock.now < e.warmAt }

// begin starts an attempt. Any host may start one, whether it holds the engine or not.
func (e *engine) begin(h *host, c *call, attempt modeler.AttemptID) {
	if !e.up {
		e.site.clock.after(h.hopDelay(), func() { h.runTraffic(func() { h.streamBroken(c, attempt, true) }) })
		return
	}
	r := &engineRun{attempt: attempt, call: c, host: h, startedAt: e.site.clock.now, output: c.request.MaxOutput - c.delivered, cold: e.cold()}
	e.runs[attempt] = r
	if e.onStart != nil {
		e.onStart(r)
	}
	boot, cold := e.boot, e.cold()
	if n := e.coldRuns(); cold && n > coldLimit {
		e.site.violate("%s runs %d requests that began in its cold start, the last from %s", e.id, n, h.id)
	}
	if c.fatal {
		e.site.clock.after(50*time.Millisecond, func() { e.crash(r) })
	}
	e.site.clock.after(h.hopDelay(), func() {
		h.runTraffic(func() { h.headerReceived(c, e, attempt, fmt.Sprintf("%s-boot%d", e.id, boot), cold) })
	})
	e.site.clock.after(time.Duration(r.output)*time.Second/tokenRate, func() { e.finish(r) })
}

func (e *engine) coldRuns() int {
	count := 0
	for _, r := range e.runs {
		if r.cold {
			count++
		}
	}
	return count
}

// finish ends a run that produced its whole output. A stuck engine keeps the run if its host is dead or no longer waits for it.
func (e *engine) finish(r *engineRun) {
	if e.runs[r.attempt] != r || (e.site.options.stuck && (r.host.dead || !r.call.current(r.attempt))) {
		return
	}
	delete(e.runs, r.attempt)
	e.site.clock.after(r.host.hopDelay(), func() { r.host.runTraffic(func() { r.host.endMarkerReceived(r.call, e, r.attempt) }) })
}

// breakStream tells the host of a run, with a network delay, that the run's stream broke.
func (e *engine) breakStream(r *engineRun, died bool) {
	delivered := min(r.output, modeler.Tokens((e.site.clock.now-r.startedAt)*tokenRate/time.Second))
	e.site.clock.after(r.host.hopDelay(), func() {
		r.host.runTraffic(func() {
			if r.call.current(r.attempt) {
				r.call.delivered += delivered
			}
			r.host.streamBroken(r.call, r.attempt, died)
		})
	})
}

func (e *engine) cancel(attempt modeler.AttemptID) {
	r, ok := e.runs[attempt]
	if !ok || !e.up {
		return
	}
	delete(e.runs, attempt)
	if e.onCancel != nil {
		e.onCancel(r)
	}
	e.breakStream(r, false)
}

func (e *engine) crash(r *engineRun) {
	if e.runs[r.attempt] == r {
		e.site.tracef("%s is killed by %s", e.id, r.attempt)
		e.crashes++
		e.restart(2*time.Second, 3*time.Second)
	}
}

// restart stops the engine, which breaks all its runs, and starts it again after a delay. It is then cold for span.
func (e *engine) restart(after, span time.Duration) {
	e.site.tracef("%s fails with %d runs", e.id, len(e.runs))
	e.up = false
	for _, attempt := range slices.Sorted(maps.Keys(e.runs)) {
		e.breakStream(e.runs[attempt], true)
	}
	clear(e.runs)
	e.site.clock.after(after, func() {
		e.up = true
		e.boot++
		e.warmAt = e.site.clock.now + span
	})
}

// turnCold makes the engine cold for span without a new boot ID. Current runs do not count towards its cold limit.
func (e *engine) turnCold(span time.Duration) {
	e.site.tracef("%s turns cold for %v", e.id, span)
	for _, r := range e.runs {
		r.cold = false
	}
	e.warmAt = max(e.warmAt, e.site.clock.now+span)
}

func (e *engine) report() modeler.EndpointReported {
	report := modeler.EndpointReported{Endpoint: e.id, BootID: e.bootID()}
	for _, attempt := range slices.Sorted(maps.Keys(e.runs)) {
		r := e.runs[attempt]
		report.Attempts = append(report.Attempts, modeler.RunningAttempt{Attempt: attempt, Node: r.host.id, Tokens: r.call.request.Cost()})
	}
	return report
}

// headerReceived handles the response header of an engine.
func (h *host) headerReceived(c *call, e *engine, attempt modeler.AttemptID, boot string, cold bool) {
	if !c.current(attempt) {
		return
	}
	if h.naive != nil {
		h.naive.cold[e] = cold
		return
	}
	h.post(modeler.AttemptConfirmed{Attempt: attempt, BootID: boot, Cold: cold})
	h.post(modeler.FirstTokenSeen{Attempt: attempt})
}

// endMarkerReceived handles the end marker of a stream.
func (h *host) endMarkerReceived(c *call, e *engine, attempt modeler.AttemptID) {
	if !c.current(attempt) {
		return
	}
	if h.naive != nil {
		h.naive.running[e]--
	}
	c.end(complete)
	h.post(modeler.RequestEnded{Request: c.request.ID, Completed: true})
}

// streamBroken handles a stream that ended without its end marker. It cancels the attempt once, as the forwarder does.
func (h *host) streamBroken(c *call, attempt modeler.AttemptID, died bool) {
	if !c.current(attempt) {
		return
	}
	if h.naive != nil {
		h.naive.running[h.site.engine(c.grant.Endpoint)]--
	} else {
		h.cancel(c.grant.Endpoint, attempt)
	}
	c.retry(died)
}
