package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/proof/prover"
)

// finishMargin is the longest time after the deadline that the end of a request may take to reach the caller's goroutine.
const finishMargin = 10 * time.Millisecond

// finish guards against requests that never end, end late or leave entries in the tables. It sends three times the load that the
// engines can serve, loses messages and kills holders. Every request that a live host accepted must get one decision for each
// arrival or retry and must end by its deadline, and nothing of it may stay in the tables.
func finish(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%4), engines: 2, loss: float64(seed%4) * 0.07})
	s.scheduleFaults(6_000, 22_000, 1+s.planRand.IntN(3))
	if s.planRand.IntN(2) == 0 {
		at, span := s.millis(5_000, 20_000), s.millis(200, 6_000)
		s.clock.after(at, func() { s.engines[0].restart(span/4, span) })
	}
	// Two engines serve about 32 runs of 2.5 s at a time, 13 a second.
	s.scheduleCalls(2*time.Second, 25*time.Second, 25*time.Millisecond,
		func() int { return 100 + s.planRand.IntN(300) }, func() int { return 3_000 + s.planRand.IntN(6_000) })
	s.clock.runUntil(28 * time.Second)
	s.endFaults()
	s.clock.runUntil(45 * time.Second)
	for _, c := range s.calls {
		impaired := c.host != nil && (c.host.dead || c.host.impairedUntil > c.deadline-c.timeout-time.Second)
		switch {
		case c.host == nil || impaired:
		case c.ended == "":
			s.violate("%s at %s never ended", c.request.ID, c.host.id)
		case c.endedAt > c.deadline+finishMargin:
			s.violate("%s at %s ended %v after its deadline: %s %s", c.request.ID, c.host.id, c.endedAt-c.deadline, c.ended, c.code)
		}
	}
	if naive {
		return s.verdict()
	}
	for _, h := range s.alive() {
		if n := h.world.Requests.Len(); n > 0 {
			s.violate("%s keeps %d requests", h.id, n)
		}
		if m, _ := h.world.Members.Get(soleMember); m.Used != 0 {
			s.violate("%s keeps a charge of %d", h.id, m.Used)
		}
	}
	s.expectServed(naive)
	return s.verdict()
}
