package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/proof/prover"
)

// coldStart guards against too many requests on a cold engine: it must never run more requests that began in its current cold start
// than its cold limit. The fake engines check this themselves. They ignore fencing tokens and turn cold without notice; hosts,
// holders among them, are killed, paused and cut off.
func coldStart(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%7), engines: 3, loss: float64(seed%4) * 0.05})
	for range 4 + s.planRand.IntN(8) {
		at, span, e := s.millis(5_000, 40_000), s.millis(200, 12_000), s.engines[s.planRand.IntN(len(s.engines))]
		switch s.planRand.IntN(8) {
		case 0, 1, 2:
			s.clock.after(at, func() { e.turnCold(span) })
		case 3:
			s.clock.after(at, func() { e.restart(span/6, span) })
		case 4:
			s.scheduleHostFault(at, func(h *host) { h.restart(span / 3) })
		case 5:
			s.scheduleHostFault(at, func(h *host) { h.pause(span) })
		case 6:
			s.scheduleHostFault(at, func(h *host) { s.disconnect(h, span) })
		case 7:
			if s.planRand.IntN(2) == 0 {
				s.clock.after(at, func() { s.outage(span) })
			} else {
				s.clock.after(at, func() { s.partition(span) })
			}
		}
	}
	s.scheduleCalls(3*time.Second, 45*time.Second, 60*time.Millisecond,
		func() int { return 20 + s.planRand.IntN(300) }, func() int { return 4_000 + s.planRand.IntN(8_000) })
	s.clock.runUntil(47 * time.Second)
	s.endFaults()
	s.clock.runUntil(50 * time.Second)
	s.expectServed(naive)
	return s.verdict()
}

// expectServed guards against a proof that passes because the product serves nothing: it must serve at least a tenth of the calls.
// Runs with killed hosts are exempt, since endpoints of a killed host may stay without a holder for a long time if another host is
// silent at the same time (design page, section 8.1).
func (s *site) expectServed(naive bool) {
	served := 0
	for _, c := range s.calls {
		if c.ended == complete {
			served++
		}
	}
	s.tracef("served %d of %d", served, len(s.calls))
	if !naive && s.startCount == s.options.hosts && served*10 < len(s.calls) {
		s.violate("only %d of %d requests were served", served, len(s.calls))
	}
}
