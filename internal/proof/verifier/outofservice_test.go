package verifier

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/proof/prover"
)

const (
	// outOfServiceBound is how long new runs may still begin on an engine after it went out of service. It is the target of the
	// design page for DataCentreOut and EndpointLeaving.
	outOfServiceBound = 3 * time.Second
	// fenceBound is how long a host may go on after a pause or a disconnection ends: its fence timeout on the slowest clock.
	fenceBound = 2_700 * time.Millisecond
)

// watchOutOfService reports a violation for each run that begins on an engine more than outOfServiceBound after it went out of
// service. since returns that time and whether the engine is out of service.
func (s *site) watchOutOfService(e *engine, since func() (time.Duration, bool)) {
	e.onStart = func(r *engineRun) {
		from, out := since()
		if !out || s.clock.now <= from+outOfServiceBound {
			return
		}
		if r.host.impairedUntil > from && s.clock.now <= max(from, r.host.impairedUntil)+fenceBound {
			return
		}
		s.violate("%s begins %s of %s %v after it went out of service", e.id, r.attempt, r.host.id, s.clock.now-from)
	}
}

// scheduleFaults schedules count faults of hosts and of their access to the log at random times between from and to, in
// milliseconds. Faults of the access to the log alone spare the first live host, so that at least one host reaches the log.
func (s *site) scheduleFaults(from, to, count int) {
	for range count {
		at, span := s.millis(from, to), s.millis(200, 10_000)
		switch s.planRand.IntN(5) {
		case 0, 1:
			s.scheduleHostFault(at, func(h *host) {
				s.tracef("log unreachable for %s", h.id)
				s.fabric.noLog[h.id] = h != s.alive()[0]
				s.clock.after(span, func() { delete(s.fabric.noLog, h.id) })
			})
		case 2:
			s.scheduleHostFault(at, func(h *host) { h.restart(span / 4) })
		case 3:
			s.scheduleHostFault(at, func(h *host) { s.disconnect(h, span) })
		case 4:
			s.scheduleHostFault(at, func(h *host) { h.pause(span) })
		}
	}
}

// runUnderLoad schedules calls, runs the site to its end (the last 3 s without faults) and returns the verdict.
func (s *site) runUnderLoad() prover.Verdict {
	s.scheduleCalls(2*time.Second, 43*time.Second, 60*time.Millisecond,
		func() int { return 20 + s.planRand.IntN(300) }, func() int { return 4_000 + s.planRand.IntN(8_000) })
	s.clock.runUntil(47 * time.Second)
	s.endFaults()
	s.clock.runUntil(50 * time.Second)
	s.expectServed(s.naive)
	return s.verdict()
}

// dataCentreOut guards against work for a data centre that is out of service. It takes a data centre out of service and back while
// hosts restart, pause and lose the log. Its engines must get no new work from 3 s after the rule was committed, and the rule must not
// cancel runs in flight. The engines come back cold.
func dataCentreOut(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%5), engines: 4, loss: float64(seed%4) * 0.05})
	out, back := s.millis(12_000, 20_000), s.millis(26_000, 34_000)
	for _, e := range s.engines {
		if e.dataCentre != "west" {
			continue
		}
		s.watchOutOfService(e, func() (time.Duration, bool) { return out, s.clock.now >= out && s.clock.now < back })
		e.onCancel = func(r *engineRun) {
			if r.call.ended == "" && !r.host.dead && r.startedAt < out && s.clock.now >= out && s.clock.now < r.call.deadline && s.startCount == s.options.hosts {
				s.violate("%s cancels %s, which was in flight", e.id, r.attempt)
			}
		}
	}
	s.clock.after(out, func() {
		s.publish("datacentre west out # ops\n")
		for _, e := range s.engines {
			e.outOfService = e.dataCentre == "west"
		}
	})
	s.clock.after(back, func() {
		s.publish("")
		for _, e := range s.engines {
			if e.outOfService {
				e.outOfService = false
				e.turnCold(5 * time.Second)
			}
		}
	})
	s.scheduleFaults(8_000, 34_000, 2+s.planRand.IntN(5))
	return s.runUnderLoad()
}

// endpointLeaving guards against work for an engine that is leaving. It lists three engines as leaving, each at a random time, under
// the same faults as dataCentreOut. They must get no new work from 3 s later on.
func endpointLeaving(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%5), engines: 4, loss: float64(seed%4) * 0.05})
	for _, e := range slices.Clone(s.engines[:3]) {
		from := s.millis(10_000, 30_000)
		s.watchOutOfService(e, func() (time.Duration, bool) { return from, s.clock.now >= from })
		s.clock.after(from, func() {
			s.tracef("%s is leaving", e.id)
			e.leaving = true
		})
	}
	s.scheduleFaults(8_000, 34_000, 2+s.planRand.IntN(5))
	return s.runUnderLoad()
}
