package verifier

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/proof/prover"
)

// plannedStop guards against requests that fail because a host stops as planned. Two hosts stop one after the other under load, with
// no other faults than delays and duplicated messages. Callers stop using a host when its stop begins. No attempt may be cut and no
// request refused or late while other hosts serve.
func plannedStop(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 4 + int(seed%5), engines: 4})
	s.fabric.faultless = true
	s.clock.after(8*time.Second, func() { s.fabric.faultless = false })
	for _, e := range s.engines {
		e.onCancel = func(r *engineRun) { s.tracef("%s cancels %s", e.id, r.attempt) }
	}
	for i := range 2 {
		at := s.millis(10_000+i*15_000, 16_000+i*15_000)
		s.scheduleHostFault(at, func(h *host) { h.stop() })
	}
	s.scheduleCalls(6*time.Second, 45*time.Second, 90*time.Millisecond,
		func() int { return 20 + s.planRand.IntN(400) }, func() int { return 20_000 })
	s.clock.runUntil(70 * time.Second)
	for _, c := range s.calls {
		switch {
		case c.ended != complete:
			s.violate("%s at %s ended %q %s", c.request.ID, c.host.id, c.ended, c.code)
		case c.brokenAttempts > 0:
			s.violate("%s at %s was cut %d times", c.request.ID, c.host.id, c.brokenAttempts)
		}
	}
	for _, h := range s.alive() {
		if !h.serving {
			s.violate("%s did not end its stop", h.id)
		}
	}
	return s.verdict()
}

// stop begins a planned stop. The naive version ends its process at once.
func (h *host) stop() {
	h.site.tracef("stop %s", h.id)
	h.serving = false
	if h.naive != nil {
		h.kill()
		return
	}
	h.post(modeler.StopRequested{})
}
