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

// requestTimeout is at least the time that any call may take.
const requestTimeout = 30 * time.Second

// host is one process with its own clock. It runs the systems of the product or, in a naive site, none of them.
type host struct {
	s        *site
	id       modeler.NodeID
	world    *modeler.World
	systems  []modeler.System
	detector *detector.System
	rules    *applier.System
	rand     *rand.Rand
	rate     float64
	inbox    []modeler.Event
	dead     bool
	paused   bool
	// stalled holds what traffic does once the host is resumed.
	stalled []func()
	wakeAt  time.Duration
	read    map[modeler.Stream]int64
	misses  map[modeler.EndpointID]int
	calls   map[modeler.RequestID]*call
	naive   *plain
	// hamperedTo is until when a pause or a cut kept it from the log and its peers.
	hamperedTo time.Duration
	bornAt     time.Duration
	// serving is unset once a stop began; callers then ask others.
	serving bool
}

// start starts a new incarnation of a name. The naive version reads its configuration now and never again.
func (s *site) start(name string, dc modeler.DataCentreID) {
	s.born++
	id := modeler.NodeID(fmt.Sprintf("%s/%d", name, s.born))
	h := &host{
		s: s, id: id, rand: rand.New(rand.NewPCG(s.seed, uint64(1000+s.born))), serving: true, bornAt: s.clock.now,
		read: map[modeler.Stream]int64{}, misses: map[modeler.EndpointID]int{}, calls: map[modeler.RequestID]*call{},
	}
	h.rate = 0.95 + 0.1*h.rand.Float64()
	h.world = modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: id, Address: name, DataCentre: dc}, Weights: hostWeights})
	s.hosts = append(s.hosts, h)
	s.note("start %s in %s", id, dc)
	if s.naive {
		h.naive = newPlain(s)
		return
	}
	h.wire()
	h.list()
	h.poll(modeler.StreamControl)
	h.poll(modeler.StreamRules)
	h.observe()
}

// wire builds the systems as internal/node/assembler does.
func (h *host) wire() {
	permits := warmer.New(warmer.Options{RequestTimeout: requestTimeout})
	callersDone := func() bool { return !h.serving && len(h.calls) == 0 }
	shares := lender.New(lender.Options{
		MayHandOver: callersDone,
		Cancelled:   func(node modeler.NodeID) bool { return permits.Swept(h.now(), h.world, node) },
	})
	seeds := make([]string, 0, h.s.options.hosts)
	for i := range h.s.options.hosts {
		seeds = append(seeds, fmt.Sprintf("h%d", i))
	}
	h.detector = detector.New(detector.Options{
		Ledger: shares, Seeds: seeds, MayDepart: func() bool {
			return callersDone() && h.world.Requests.Len() == 0 && !warmer.HoldsAny(h.world)
		},
		Fill: func(digest *modeler.Digest) {
			digest.Endpoints = warmer.Digests(h.world)
			digest.Quarantined = admitter.Quarantines(h.now(), h.world)
		},
	})
	published := 0
	h.rules = applier.New(applier.Options{RenewInterval: renewInterval, NewPublishID: func() string {
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
	h.systems = []modeler.System{h.detector, h.rules, shares, permits, admit}
}

// now is the host's own clock, which runs up to five percent fast or slow.
func (h *host) now() time.Time {
	return epoch.Add(time.Duration(float64(h.s.clock.now)*h.rate) + time.Hour)
}

// poll reads a stream for ever.
func (h *host) poll(stream modeler.Stream) {
	if h.dead {
		return
	}
	asked, from := h.now(), max(h.read[stream], h.s.first[stream])
	skipped := from > h.read[stream]
	h.s.logs[stream].read(h.id, from, func(records []modeler.Record, failed bool) {
		if !failed && !h.s.fabric.noLog[h.id] {
			h.read[stream] = max(h.read[stream], from+int64(len(records)))
			h.post(modeler.RecordsRead{Stream: stream, Records: records, AskedAt: asked, AtEnd: true, Skipped: skipped})
		}
		h.s.clock.after(time.Duration(50+h.rand.IntN(200))*time.Millisecond, func() { h.poll(stream) })
	})
}

// list reads the instance list for ever.
func (h *host) list() {
	if h.dead {
		return
	}
	var endpoints []modeler.Endpoint
	for _, e := range h.s.engines {
		endpoints = append(endpoints, e.row())
	}
	h.s.clock.after(time.Duration(1+h.rand.IntN(20))*time.Millisecond, func() { h.post(modeler.EndpointsListed{Endpoints: endpoints}) })
	h.s.clock.after(time.Second, h.list)
}

// observe asks the engines that this host holds for their reports, for ever.
func (h *host) observe() {
	if h.dead {
		return
	}
	for id, e := range h.world.Endpoints.All() {
		if e.Holder == h.id {
			h.report(id)
		}
	}
	h.s.clock.after(time.Second, h.observe)
}

func (h *host) report(id modeler.EndpointID) {
	e, asked := h.s.engine(id), h.now()
	h.s.clock.after(h.hop(), func() {
		report, up := e.report(), e.up
		report.TakenAt = asked
		h.s.clock.after(h.hop(), func() {
			if up {
				h.misses[id] = 0
				h.post(report)
			} else if h.misses[id]++; h.misses[id] >= 2 {
				h.post(modeler.EndpointUnreachable{Endpoint: id})
			}
		})
	})
}

// hop is the delay between a host and an engine, at most half a second.
func (h *host) hop() time.Duration {
	d := time.Duration(1+h.rand.IntN(10)) * time.Millisecond
	if !h.s.fabric.calm && h.rand.IntN(20) == 0 {
		d += time.Duration(h.rand.IntN(490)) * time.Millisecond
	}
	return d
}

// post gives events to the host, which handles them at once unless it is paused.
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
		h.carry(effect)
	}
	if h.s.watch != nil {
		h.s.watch(h)
	}
	if h.detector.Evicted() || h.detector.Departed() {
		h.end()
		return
	}
	h.wake(tick.Next())
}

// end ends the process; one that was reclaimed starts again at once.
func (h *host) end() {
	h.s.note("%s ends, condemned %v", h.id, h.detector.Evicted())
	h.kill()
	if h.detector.Evicted() {
		h.s.start(h.id.Name(), h.world.Self.DataCentre)
	}
}

// kill ends the process. Its callers' streams break.
func (h *host) kill() {
	h.dead = true
	for _, c := range h.calls {
		c.end(lostNode)
	}
}

func (h *host) wake(next time.Time) {
	if next.IsZero() {
		return
	}
	at := h.s.clock.now + max(time.Millisecond, time.Duration(float64(next.Sub(h.now()))/h.rate)+time.Microsecond)
	if h.wakeAt > h.s.clock.now && h.wakeAt <= at {
		return
	}
	h.wakeAt = at
	h.s.clock.after(at-h.s.clock.now, func() {
		if h.wakeAt == at {
			h.post()
		}
	})
}

func (h *host) carry(effect modeler.Effect) {
	switch e := effect.(type) {
	case modeler.SendPeer:
		to := h.s.find(e.To, e.Address)
		if to == nil || to == h {
			return
		}
		h.s.fabric.carry(h.id, to.id, func() { to.post(modeler.PeerReceived{From: h.world.Self.Sender, Messages: e.Messages}) })
	case modeler.AppendRecord:
		if !h.s.fabric.noLog[h.id] {
			h.s.logs[e.Stream].append(e.Record, func(failed bool) {
				h.post(modeler.AppendEnded{Stream: e.Stream, Record: e.Record, Failed: failed})
			})
		}
	case modeler.CancelAttempt:
		h.cancel(e.Endpoint, e.Attempt)
	case modeler.ReportEndpoint:
		h.report(e.Endpoint.ID)
	case modeler.Reply:
		h.decided(e)
	}
}

func (h *host) pause(span time.Duration) {
	h.s.note("pause %s for %v", h.id, span)
	h.paused = true
	h.hampered(span)
	h.s.clock.after(span, h.resume)
}

func (h *host) hampered(span time.Duration) { h.hamperedTo = max(h.hamperedTo, h.s.clock.now+span) }

func (h *host) resume() {
	if !h.paused || h.dead {
		return
	}
	h.paused = false
	stalled := h.stalled
	h.stalled = nil
	h.post()
	for _, work := range stalled {
		h.traffic(work)
	}
}

// traffic runs work of a traffic goroutine, once the host is not paused.
func (h *host) traffic(work func()) {
	switch {
	case h.dead:
	case h.paused:
		h.stalled = append(h.stalled, work)
	default:
		work()
	}
}

// restart kills the host and starts its next incarnation after a while.
func (h *host) restart(after time.Duration) {
	h.s.note("kill %s", h.id)
	h.kill()
	h.s.clock.after(after, func() { h.s.start(h.id.Name(), h.world.Self.DataCentre) })
}
