package verifier

import (
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/proof/prover"
)

// rulesBound is the longest time until a committed version is in effect on every reachable host, the target of the design page.
const rulesBound = 5 * time.Second

// rulesInEffect guards against hosts that keep outdated rules or return to older ones. Operators publish concurrently, with lost
// acknowledgements and late commits, while hosts restart and the log fails and drops old records. Every host that is neither paused
// nor cut off must have a version in effect 5 s after its commit, and no host may return to an older version.
func rulesInEffect(seed uint64, naive bool) prover.Verdict {
	s := newSite(seed, naive, siteOptions{hosts: 3 + int(seed%7), engines: 2, loss: float64(seed%4) * 0.05})
	newest := map[string]modeler.Version{}
	s.afterTick = func(h *host) {
		name, v := h.id.Name(), h.world.Rules.Version
		if h.applier.Ready() && v < newest[name] {
			s.violate("%s went back from version %d to %d", h.id, newest[name], v)
		}
		newest[name] = max(newest[name], v)
	}
	for i := range 4 + s.planRand.IntN(6) {
		at, authors := s.millis(5_000, 55_000), 1+s.planRand.IntN(3)
		s.clock.after(at, func() { s.publishConcurrently(i, authors) })
	}
	for range 3 + s.planRand.IntN(5) {
		at, span := s.millis(5_000, 50_000), s.millis(200, 12_000)
		if s.planRand.IntN(3) == 0 {
			s.clock.after(at, func() { s.outage(span) })
		}
	}
	s.scheduleFaults(5_000, 50_000, 2+s.planRand.IntN(5))
	// The log retains records for 40 s; hosts renew them after 15 s.
	for at := 41 * time.Second; at < 80*time.Second; at += time.Second {
		s.clock.after(at, func() { s.trim(40 * time.Second) })
	}
	for at := 10 * time.Second; at < 80*time.Second; at += 500 * time.Millisecond {
		s.clock.after(at, s.checkRules)
	}
	s.clock.runUntil(60 * time.Second)
	s.endFaults()
	s.clock.runUntil(80 * time.Second)
	return s.verdict()
}

// publishConcurrently lets several operators publish with the same base version at the same time.
func (s *site) publishConcurrently(round, authors int) {
	base := s.version()
	for i := range authors {
		s.logs[modeler.StreamRules].append(modeler.RulesPublished{
			PublishID: fmt.Sprintf("o%d-%d", round, i), Base: base, Author: "ops", Text: rulesHeader + fmt.Sprintf("endpoint x%d-%d out # ops\n", round, i),
		}, func(bool) {})
	}
}

// trim drops records of the rules stream older than age.
func (s *site) trim(age time.Duration) {
	l := s.logs[modeler.StreamRules]
	for int(s.trimmedTo[modeler.StreamRules]) < len(l.records) && s.committedAt[s.trimmedTo[modeler.StreamRules]+1] < s.clock.now-age {
		s.trimmedTo[modeler.StreamRules]++
	}
}

// checkRules checks that each reachable host has in effect the newest version that was available for longer than rulesBound. The
// time does not count while no reachable host has the version or can read it.
func (s *site) checkRules() {
	var due modeler.Version
	for _, v := range s.rulesVersions {
		if !s.versionAvailable(v) {
			s.availableSince[v] = s.clock.now
		}
		if s.availableSince[v] < s.clock.now-rulesBound {
			due = v
		}
	}
	for _, h := range s.alive() {
		if h.paused || s.clock.now < max(h.impairedUntil, h.startedAt)+rulesBound {
			continue
		}
		have := h.world.Rules.Version
		if s.naive {
			have = h.naive.rulesVersion
		}
		if have < due {
			s.violate("%s has version %d in effect, %v after %d landed", h.id, have, s.clock.now-s.availableSince[due], due)
		}
	}
}

// versionAvailable reports whether any host that is neither paused nor cut off has the version or can read it from the log.
func (s *site) versionAvailable(v modeler.Version) bool {
	for _, h := range s.alive() {
		readable := !s.logs[modeler.StreamRules].down() && !s.fabric.noLog[h.id]
		if s.clock.now >= h.impairedUntil && (readable || h.world.Rules.Version >= v) {
			return true
		}
	}
	return false
}
