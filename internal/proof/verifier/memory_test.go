package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/proof/prover"
)

// memory guards against runs that stay on an engine: 30 s after the last fault and the last request, the fake engines must hold none.
// They keep a run whose connection broke until it is cancelled. Messages and cancellations are lost, and hosts are killed at any step
// of a request.
func memory(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%5), engines: 3, loss: float64(seed%4) * 0.07, stuck: true})
	for i := range s.options.hosts {
		kill := s.millis(6_000+i*3_000, 9_000+i*3_000)
		if s.planRand.IntN(2) == 0 {
			s.scheduleHostFault(kill, func(h *host) { h.restart(kill / 20) })
		}
	}
	for range 1 + s.planRand.IntN(4) {
		at, span := s.millis(5_000, 24_000), s.millis(200, 6_000)
		switch s.planRand.IntN(3) {
		case 0:
			s.scheduleHostFault(at, func(h *host) { h.pause(span) })
		case 1:
			s.scheduleHostFault(at, func(h *host) { s.disconnect(h, span) })
		case 2:
			s.clock.after(at, func() { s.outage(span) })
		}
	}
	s.scheduleCalls(2*time.Second, 28*time.Second, 60*time.Millisecond,
		func() int { return 20 + s.planRand.IntN(600) }, func() int { return 1_000 + s.planRand.IntN(5_000) })
	s.clock.runUntil(30 * time.Second)
	// Two hosts that are silent at the same time are reclaimed only after an operator declares them dead.
	lines := ""
	for _, h := range s.hosts {
		if h.dead {
			lines += "node " + string(h.id) + " dead # ops\n"
		}
	}
	s.publish(lines)
	s.endFaults()
	s.clock.runUntil(60 * time.Second)
	for _, e := range s.engines {
		for attempt, r := range e.runs {
			s.violate("%s still holds %d tokens of %s, sent by %s, dead %v", e.id, r.call.request.Cost(), attempt, r.host.id, r.host.dead)
		}
	}
	return s.verdict()
}
