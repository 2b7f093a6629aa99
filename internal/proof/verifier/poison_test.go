package verifier

import (
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/proof/prover"
)

// maxKills is how many engines requests of one fingerprint may crash.
const maxKills = 2

// poison guards against a request that crashes one engine after another. It sends the same request, which crashes its engine, to
// host after host, each time within 20 ms of the previous answer, under ordinary load.
func poison(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%5), engines: 5, loss: float64(seed%4) * 0.05})
	s.scheduleCalls(2*time.Second, 35*time.Second, 120*time.Millisecond,
		func() int { return 20 + s.planRand.IntN(200) }, func() int { return 4_000 + s.planRand.IntN(4_000) })
	var previous *call
	count := 0
	var send func()
	send = func() {
		alive := s.alive()
		if previous == nil || previous.ended != "" {
			count++
			previous = &call{site: s, fatal: true, timeout: 10 * time.Second, request: modeler.Request{
				ID: modeler.RequestID(fmt.Sprintf("x%d", count)), Member: soleMember, Target: modelName, Prompt: 100, MaxOutput: 100, Fingerprint: 1 << 40,
			}}
			s.calls = append(s.calls, previous)
			alive[count%len(alive)].submit(previous)
		}
		s.clock.after(20*time.Millisecond, send)
	}
	s.clock.after(10*time.Second, send)
	s.clock.runUntil(40 * time.Second)
	kills := 0
	for _, e := range s.engines {
		kills += e.crashes
	}
	if kills > maxKills {
		s.violate("%d engines were killed by %d sends", kills, count)
	}
	return s.verdict()
}
