package verifier

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/admitter"
	"damaskpick.example/damaskpick/internal/control/applier"
	"damaskpick.example/damaskpick/internal/control/detector"
	"damaskpick.example/damaskpick/internal/control/lender"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
	"damaskpick.example/damaskpick/internal/control/warmer"
)

var hostWeights = modeler.Weights{
	LongPart: 0.5, PrefillRate: 8_000, FirstTokenTimeout: 5 * time.Second, PrefixBonus: 0.5, WarmCompletions: 2, MaxRunning: 16, RetryPart: 0.1,
}

// renewInterval is short, so that renewals happen within a run.
const renewInterval = 15 * time.Second

// requestTimeout is at least as long as the timeout of any call.
const requestTimeout = 30 * time.Second

// host simulates one process, which has its own clock. It runs the systems of the product or, in a naive site, none of them.
type host struct {
	site      *site
	id        modeler.NodeID
	world     *modeler.World
	systems   []modeler.System
	detector  *detector.System
	applier   *applier.System
	rand      *rand.Rand
	clockRate float64
	inbox     []modeler.Event
	dead      bool
	paused    bool
	// deferred holds the work of traffic goroutines that runs once the host is resumed.
	deferred      []func()
	wakeAt        time.Duration
	readOffsets   map[modeler.Stream]int64
	missedReports map[modeler.EndpointID]int
	calls         map[modeler.RequestID]*call
	naive         *naiveBalancer
	// impairedUntil is the end of the last pause or disconnection that kept the host from the log and its peers.
	impairedUntil time.Duration
	startedAt     time.Duration
	// serving is unset once a stop began; callers then use other hosts.
	serving bool
}

// start starts a new incarnation of the host called name. The naive version reads its configuration only at this time.
func (s *site) start(name string, dc modeler.DataCentreID) {
	s.startCount++
	id := modeler.NodeID(fmt.Sprintf("%s/%d", name, s.startCount))
	h := &host{
		site: s, id: id, rand: rand.New(rand.NewPCG(s.seed, uint64(1000+s.startCount))), serving: true, startedAt: s.clock.now,
		readOffsets: map[modeler.Stream]int64{}, missedReports: map[modeler.EndpointID]int{}, calls: map[modeler.RequestID]*call{},
	}
	h.clockRate = 0.95 + 0.1*h.rand.Float64()
	h.world = modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: id, Address: name, DataCentre: dc}, Weights: hostWeights})
	s.hosts = append(s.hosts, h)
	s.tracef("start %s in %s", id, dc)
	if s.naive {
		h.naive = newNaiveBalancer(s)
		return
	}
	h.buildSystems()
	h.pollInstances()
	h.pollLog(modeler.StreamControl)
	h.pollLog(modeler.StreamRules)
	h.pollReports()
}

// buildSystems builds the systems as internal/node/assembler does.
func (h *host) buildSystems() {
	permits := warmer.New(warmer.Options{RequestTimeout: requestTimeout})
	callersDone := func() bool { return !h.serving && len(h.calls) == 0 }
	shares := lender.New(lender.Options{
		MayHandOver:       callersDone,
		RequestsCancelled: func(node modeler.NodeID) bool { return permits.RequestsCancelled(h.now(), h.world, node) },
	})
	seeds := make([]string, 0, h.site.options.hosts)
	for i := range h.site.options.hosts {
		seeds = append(seeds, fmt.Sprintf("h%d", i))
	}
	h.detector = detector.New(detector.Options{
		Ledger: shares, Seeds: seeds, MayDepart: func() bool {
			return callersDone() && h.world.Requests.Len() == 0 && !warmer.HoldsAny(h.world)
		},
		CompleteDigest: func(digest *modeler.Digest) {
			digest.Endpoints = warmer.Digests(h.world)
			digest.Quarantined = admitter.Quarantines(h.now(), h.world)
		},
	})
	published := 0
	h.applier = applier.New(applier.Options{RenewInterval: renewInterval, NewPublishID: func() string {
		published++
		return fmt.Sprintf("%s-%d", h.id, published)
	}})
	attempts := 0
	admit := admitter.New(hostWeights, permits, func(r modeler.Request) modeler.AttemptID {
		attempts++
		return admitter.NewAttemptID(r.ID, fmt.Sprintf("%s-%d", h.id, attempts))
	}, func(cache *admitter.PrefixCache, _ func(modeler.EndpointID) uint64) router.LengthAware {
		return router.LengthAware{Weights: hostWeights, DataCentre: h.world.Self.DataCentre, CachedOn: cache.Get}
	})
	h.systems = []modeler.System{h.detector, h.applier, shares, permits, admit}
}

// now returns the time of the host's own clock, which runs up to 5 % fast or slow.
func (h *host) now() time.Time {
	return epoch.Add(time.Duration(float64(h.site.clock.now)*h.clockRate) + time.Hour)
}

// pollLog reads a stream, 50 to 250 ms after each answer again, until the host is dead.
func (h *host) pollLog(stream modeler.Stream) {
	if h.dead {
		return
	}
	asked, from := h.now(), max(h.readOffsets[stream], h.site.trimmedTo[stream])
	skipped := from > h.readOffsets[stream]
	h.site.logs[stream].read(h.id, from, func(records []modeler.Record, failed bool) {
		if !failed && !h.site.fabric.noLog[h.id] {
			h.readOffsets[stream] = max(h.readOffsets[stream], from+int64(len(records)))
			h.post(modeler.RecordsRead{Stream: stream, Records: records, AskedAt: asked, AtEnd: true, Skipped: skipped})
		}
		h.site.clock.after(time.Duration(50+h.rand.IntN(200))*time.Millisecond, func() { h.pollLog(stream) })
	})
}

// pollInstances reads the instance list every second until the host is dead.
func (h *host) pollInstances() {
	if h.dead {
		return
	}
	var endpoints []modeler.Endpoint
	for _, e := range h.site.engines {
		endpoints = append(endpoints, e.endpoint())
	}
	h.site.clock.after(time.Duration(1+h.rand.IntN(20))*time.Millisecond, func() { h.post(modeler.EndpointsListed{Endpoints: endpoints}) })
	h.site.clock.after(time.Second, h.pollInstances)
}

// pollReports requests the reports of the engines that this host holds every second until the host is dead.
func (h *host) pollReports() {
	if h.dead {
		return
	}
	for id, e := range h.world.Endpoints.All() {
		if e.Holder == h.id {
			h.requestReport(id)
		}
	}
	h.site.clock.after(time.Second, h.pollReports)
}

func (h *host) requestReport(id modeler.EndpointID) {
	e, asked := h.site.engine(id), h.now()
	h.site.clock.after(h.hopDelay(), func() {
		report, up := e.report(), e.up
		report.TakenAt = asked
		h.site.clock.after(h.hopDelay(), func() {
			if up {
				h.missedReports[id] = 0
				h.post(report)
			} else if h.missedReports[id]++; h.missedReports[id] >= 2 {
				h.post(modeler.EndpointUnreachable{Endpoint: id})
			}
		})
	})
}

// hopDelay draws the network delay between a host and an engine, at most 500 ms.
func (h *host) hopDelay() time.Duration {
	d := time.Duration(1+h.rand.IntN(10)) * time.Millisecond
	if !h.site.fabric.faultless && h.rand.IntN(20) == 0 {
		d += time.Duration(h.rand.IntN(490)) * time.Millisecond
	}
	return d
}

// post queues events for the host and runs a tick, unless the host is paused. Without events it only runs the tick.
func (h *host) post(events ...modeler.Event) {
	if h.dead || h.naive != nil {
		return
	}
	h.inbox = append(h.inbox, events...)
	if !h.paused {
		h.tick()
	}
}

func (h *host) tick() {
	tick := &modeler.Tick{Now: h.now(), Events: h.inbox, Rand: h.rand}
	h.inbox = nil
	for _, system := range h.systems {
		system.Run(tick, h.world)
	}
	for _, effect := range tick.Effects() {
		h.execute(effect)
	}
	if h.site.afterTick != nil {
		h.site.afterTick(h)
	}
	if h.detector.Evicted() || h.detector.Departed() {
		h.end()
		return
	}
	h.scheduleTick(tick.Next())
}

// end ends the process. If it was reclaimed, its next incarnation starts at once.
func (h *host) end() {
	h.site.tracef("%s ends, condemned %v", h.id, h.detector.Evicted())
	h.kill()
	if h.detector.Evicted() {
		h.site.start(h.id.Name(), h.world.Self.DataCentre)
	}
}

// kill ends the process, which breaks the connections of its callers.
func (h *host) kill() {
	h.dead = true
	for _, c := range h.calls {
		c.end(lostNode)
	}
}

func (h *host) scheduleTick(next time.Time) {
	if next.IsZero() {
		return
	}
	at := h.site.clock.now + max(time.Millisecond, time.Duration(float64(next.Sub(h.now()))/h.clockRate)+time.Microsecond)
	if h.wakeAt > h.site.clock.now && h.wakeAt <= at {
		return
	}
	h.wakeAt = at
	h.site.clock.after(at-h.site.clock.now, func() {
		if h.wakeAt == at {
			h.post()
		}
	})
}

func (h *host) execute(effect modeler.Effect) {
	switch e := effect.(type) {
	case modeler.SendPeer:
		to := h.site.findHost(e.To, e.Address)
		if to == nil || to == h {
			return
		}
		h.site.fabric.send(h.id, to.id, func() { to.post(modeler.PeerReceived{From: h.world.Self.Sender, Messages: e.Messages}) })
	case modeler.AppendRecord:
		if !h.site.fabric.noLog[h.id] {
			h.site.logs[e.Stream].append(e.Record, func(failed bool) {
				h.post(modeler.AppendEnded{Stream: e.Stream, Record: e.Record, Failed: failed})
			})
		}
	case modeler.CancelAttempt:
		h.cancel(e.Endpoint, e.Attempt)
	case modeler.RequestReport:
		h.requestReport(e.Endpoint.ID)
	case modeler.Reply:
		h.decisionReceived(e)
	}
}

func (h *host) pause(span time.Duration) {
	h.site.tracef("pause %s for %v", h.id, span)
	h.paused = true
	h.impair(span)
	h.site.clock.after(span, h.resume)
}

func (h *host) impair(span time.Duration) {
	h.impairedUntil = max(h.impairedUntil, h.site.clock.now+span)
}

func (h *host) resume() {
	if !h.paused || h.dead {
		return
	}
	h.paused = false
	stalled := h.deferred
	h.deferred = nil
	h.post()
	for _, work := range stalled {
		h.runTraffic(work)
	}
}

// runTraffic runs work of a traffic goroutine, or defers it until the host is resumed. A dead host drops it.
func (h *host) runTraffic(work func()) {
	switch {
	case h.dead:
	case h.paused:
		h.deferred = append(h.deferred, work)
	default:
		work()
	}
}

// restart kills the host and starts its next incarnation after a delay.
func (h *host) restart(after time.Duration) {
	h.site.tracef("kill %s", h.id)
	h.kill()
	h.site.clock.after(after, func() { h.site.start(h.id.Name(), h.world.Self.DataCentre) })
}
