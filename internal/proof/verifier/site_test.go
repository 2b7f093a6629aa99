package verifier

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/proof/prover"
)

const (
	modelName  = "m"
	soleMember = modeler.MemberID("acme")
	// coldLimit is the maximum number of concurrent runs of a fake engine that began in its current cold start.
	coldLimit = 2
)

// rulesHeader gives the only member of a site the whole fleet.
const rulesHeader = "fleet tokens=1000000 # ops\nshare acme percent=100 # ops\n"

// siteOptions configures a site.
type siteOptions struct {
	hosts, engines int
	loss           float64
	// stuck makes engines keep a run whose connection broke until the run is cancelled.
	stuck bool
}

// site simulates one run of a proof: hosts with the real systems or the naive ones, fake engines, the streams of the log and a network
// with faults. Hosts and engines alternate between two data centres.
type site struct {
	options siteOptions
	naive   bool
	seed    uint64
	clock   *clock
	fabric  *fabric
	// planRand draws faults and load, so that the naive version and the product get the same.
	planRand   *rand.Rand
	logs       map[modeler.Stream]*fakeLog
	trimmedTo  map[modeler.Stream]int64
	hosts      []*host
	startCount int
	engines    []*engine
	calls      []*call
	// rulesVersions holds the versions that took effect, in log order. availableSince is when each of them was committed, or later
	// the last time that checkRules found no host to spread it.
	rulesVersions  []modeler.Version
	availableSince map[modeler.Version]time.Duration
	// committedAt is when each record of the rules stream was committed, by offset.
	committedAt map[int64]time.Duration
	trace       []string
	violations  []string
	// afterTick, if set, is called after each tick of a host.
	afterTick func(*host)
}

func newSite(seed uint64, naive bool, options siteOptions) *site {
	clk := newClock()
	fab := &fabric{clock: clk, rand: rand.New(rand.NewPCG(seed, 11)), loss: options.loss}
	fab.side, fab.noLog = map[modeler.NodeID]int{}, map[modeler.NodeID]bool{}
	fab.slowLog, fab.delayed = map[modeler.NodeID]bool{}, map[modeler.NodeID]bool{}
	s := &site{
		options: options, naive: naive, seed: seed, clock: clk, fabric: fab, planRand: rand.New(rand.NewPCG(seed, 12)),
		logs: map[modeler.Stream]*fakeLog{}, trimmedTo: map[modeler.Stream]int64{},
		availableSince: map[modeler.Version]time.Duration{}, committedAt: map[int64]time.Duration{},
	}
	s.logs[modeler.StreamControl] = &fakeLog{fabric: fab, onCommit: func(modeler.Record) {}}
	s.logs[modeler.StreamRules] = &fakeLog{fabric: fab, onCommit: s.rulesCommitted}
	s.publish("")
	for i := range options.engines {
		s.engines = append(s.engines, newEngine(s, i))
	}
	for i := range options.hosts {
		s.start(fmt.Sprintf("h%d", i), dataCentreOf(i))
	}
	return s
}

func dataCentreOf(i int) modeler.DataCentreID { return []modeler.DataCentreID{"east", "west"}[i%2] }

// rulesCommitted tracks the rules stream independently of the product.
func (s *site) rulesCommitted(record modeler.Record) {
	s.committedAt[record.Offset] = s.clock.now
	p, ok := record.Value.(modeler.RulesPublished)
	if !ok || p.Renews != 0 || p.Base != s.version() {
		return
	}
	s.rulesVersions = append(s.rulesVersions, modeler.Version(record.Offset))
	s.availableSince[s.version()] = s.clock.now
	s.tracef("rules %d: %q", record.Offset, p.Text[min(len(p.Text), len(rulesHeader)):])
}

// version returns the rules version in effect, or 0 before the first one.
func (s *site) version() modeler.Version {
	if len(s.rulesVersions) == 0 {
		return 0
	}
	return s.rulesVersions[len(s.rulesVersions)-1]
}

// publish commits a rule file that consists of rulesHeader and lines.
func (s *site) publish(lines string) {
	s.logs[modeler.StreamRules].commit(modeler.RulesPublished{
		PublishID: fmt.Sprintf("p%v", s.clock.now), Base: s.version(), Author: "ops", Text: rulesHeader + lines,
	})
}

func (s *site) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8v ", s.clock.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (s *site) violate(format string, args ...any) {
	s.tracef("VIOLATION "+format, args...)
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *site) verdict() prover.Verdict {
	return prover.Verdict{Violations: s.violations, Trace: s.trace[max(0, len(s.trace)-40):]}
}

func (s *site) alive() []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.dead })
}

// findHost returns the host with the given ID or, if id is empty, the live host whose name is address.
func (s *site) findHost(id modeler.NodeID, address string) *host {
	for _, h := range s.hosts {
		if h.id == id || (id == "" && h.id.Name() == address && !h.dead) {
			return h
		}
	}
	return nil
}

func (s *site) engine(id modeler.EndpointID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// endFaults ends all faults of the network and the log and resumes paused hosts.
func (s *site) endFaults() {
	s.tracef("all faults end")
	s.fabric.faultless = true
	s.fabric.heal()
	clear(s.fabric.noLog)
	for _, l := range s.logs {
		l.downUntil = 0
	}
	for _, h := range s.hosts {
		h.resume()
	}
}

// outage makes all streams of the log unavailable for span.
func (s *site) outage(span time.Duration) {
	s.tracef("log down for %v", span)
	for _, l := range s.logs {
		l.downUntil = max(l.downUntil, s.clock.now+span)
	}
}

// disconnect cuts a host off from all other hosts and from the log for span.
func (s *site) disconnect(h *host, span time.Duration) {
	s.tracef("disconnect %s for %v", h.id, span)
	s.fabric.side[h.id], s.fabric.noLog[h.id] = 1+len(s.trace), true
	h.impair(span)
	s.clock.after(span, func() { delete(s.fabric.side, h.id); delete(s.fabric.noLog, h.id) })
}

// partition splits the hosts into two sides for span. The second side does not reach the log.
func (s *site) partition(span time.Duration) {
	s.tracef("partition for %v", span)
	for i, h := range s.alive() {
		s.fabric.side[h.id], s.fabric.noLog[h.id] = i%2, i%2 == 1
		h.impair(span)
	}
	s.clock.after(span, func() { clear(s.fabric.side); clear(s.fabric.noLog) })
}

func (s *site) millis(low, high int) time.Duration {
	return time.Duration(low+s.planRand.IntN(high-low)) * time.Millisecond
}

// drawHost draws a number now and returns a function that maps it to one of the hosts alive when the function is called, or nil.
// So the draws do not depend on which hosts are alive.
func (s *site) drawHost() func() *host {
	n := s.planRand.IntN(1 << 20)
	return func() *host {
		alive := s.alive()
		if len(alive) == 0 {
			return nil
		}
		return alive[n%len(alive)]
	}
}

// scheduleHostFault schedules a fault of a random host that is alive at that time.
func (s *site) scheduleHostFault(at time.Duration, fault func(*host)) {
	host := s.drawHost()
	s.clock.after(at, func() {
		if h := host(); h != nil {
			fault(h)
		}
	})
}

// scheduleCalls schedules calls at random hosts, with a mean gap between them. The functions draw the output in tokens and the
// timeout in milliseconds of each call.
func (s *site) scheduleCalls(from, to, gap time.Duration, output, timeout func() int) {
	for at := from; at < to; at += time.Duration(float64(gap) * (0.5 + s.planRand.Float64())) {
		id := modeler.RequestID(fmt.Sprintf("r%d", len(s.calls)))
		c := &call{site: s, request: modeler.Request{
			ID: id, Member: soleMember, Target: modelName, Prompt: 100, MaxOutput: modeler.Tokens(output()), Fingerprint: uint64(len(s.calls) + 1),
		}, timeout: time.Duration(timeout()) * time.Millisecond}
		s.calls = append(s.calls, c)
		host := s.drawHost()
		s.clock.after(at, func() {
			if h := host(); h != nil {
				h.submitToServing(c)
			}
		})
	}
}

// submitToServing submits a call to this host or, if it is stopping, to one that is not.
func (h *host) submitToServing(c *call) {
	for _, other := range h.site.alive() {
		if !h.serving && other.serving {
			h = other
		}
	}
	h.submit(c)
}
