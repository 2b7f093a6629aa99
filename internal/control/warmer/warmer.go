// Package warmer manages endpoints: which node holds each of them, their readiness phase, and which attempts get a permit. The
// holder of an endpoint grants all its permits, so that a cold endpoint never gets more requests than its cold limit.
package warmer

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
	"damaskpick.example/damaskpick/internal/control/tabler"
)

const (
	// holdAppendInterval is the minimum time between two claims or releases of the same endpoint by a node.
	holdAppendInterval = 2 * time.Second
	// permitMargin is how long after the request's deadline a permit expires. The permit of an adopted attempt, whose deadline is not
	// known, expires this long after the adoption.
	permitMargin = 2 * time.Second
	// cancelInterval is the time between two cancellations of the same attempt.
	cancelInterval = time.Second
	// releaseRetention is how long a release is stored, so that a late PermitAsk for its attempt is refused. Batches are not
	// delivered later than this.
	releaseRetention = time.Minute
)

// Options configure a System.
type Options struct {
	// RenewInterval is the time between renewals of a hold. It must be less than half the log's retention. Zero disables renewal.
	RenewInterval time.Duration
	// RequestTimeout bounds every attempt. Engines end an attempt on their own after it.
	RequestTimeout time.Duration
}

// System claims endpoints and grants permits for those that it holds.
type System struct {
	options Options
	// holds is the holder of each endpoint after the records read so far. It may contain endpoints that are not in the settings.
	holds map[modeler.EndpointID]hold
	// goneNodes is the set of nodes that left or were reclaimed, after the records read so far; goneInLogOrder lists them in log
	// order.
	goneNodes      map[modeler.NodeID]bool
	goneInLogOrder []goneNode
	// caughtUp is set once the control stream was read to its end. No endpoint is claimed before.
	caughtUp bool
	// holdAppendedAt is when this node last sent a claim or a release of an endpoint to the log.
	holdAppendedAt map[modeler.EndpointID]time.Time
	renewAt        time.Time
	// attemptsKnown lists held endpoints whose running attempts are known from a report taken after the hold began.
	attemptsKnown map[modeler.EndpointID]bool
	// releasedAt is when attempts were released. It includes those without a permit, so that a late PermitAsk does not leave a permit
	// that is never released.
	releasedAt map[modeler.AttemptID]time.Time
	// grantedCount is the number of permits that this node granted.
	grantedCount uint64
	// coldSeq is the value of grantedCount when the endpoint was last found cold. Completions of permits with a Seq up to it do not
	// count toward warming.
	coldSeq map[modeler.EndpointID]uint64
	expiry  *tabler.Timeline[modeler.AttemptID]
	// cancellations lists attempts to cancel until the endpoint's report no longer shows them.
	cancellations *tabler.Timeline[modeler.AttemptID]
	// reportRequests lists held engines whose report is requested when the hold begins.
	reportRequests *tabler.Timeline[modeler.EndpointID]
}

// hold is the holder of an endpoint after the records read so far. node is empty when no node holds the endpoint.
type hold struct {
	node modeler.NodeID
	term modeler.Term
	// since is the time from which the holder may grant permits, by this node's clock.
	since time.Time
}

// New returns the system.
func New(options Options) *System {
	return &System{
		options:        options,
		holds:          map[modeler.EndpointID]hold{},
		goneNodes:      map[modeler.NodeID]bool{},
		holdAppendedAt: map[modeler.EndpointID]time.Time{},
		attemptsKnown:  map[modeler.EndpointID]bool{},
		releasedAt:     map[modeler.AttemptID]time.Time{},
		coldSeq:        map[modeler.EndpointID]uint64{},
		expiry:         tabler.NewTimeline[modeler.AttemptID](),
		cancellations:  tabler.NewTimeline[modeler.AttemptID](),
		reportRequests: tabler.NewTimeline[modeler.EndpointID](),
	}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		s.handleEvent(tick, world, event)
	}
	s.claimHolds(tick, world)
	s.renewHolds(tick, world)
	s.releaseHolds(tick, world)
	s.requestDueReports(tick, world)
	s.expirePermits(tick, world)
	s.sendCancellations(tick, world)
}

func (s *System) handleEvent(tick *modeler.Tick, world *modeler.World, event modeler.Event) {
	switch e := event.(type) {
	case modeler.EndpointsListed:
		s.updateEndpoints(world, e.Endpoints)
	case modeler.RecordApplied:
		s.applyRecord(tick, world, e)
	case modeler.RecordsRead:
		s.caughtUp = s.caughtUp || e.Stream == modeler.StreamControl && e.AtEnd
	case modeler.EndpointReported:
		s.applyReport(tick, world, e)
	case modeler.EndpointUnreachable:
		s.markLost(world, e.Endpoint)
	case modeler.PeerReceived:
		s.handleMessages(tick, world, e.From, e.Messages)
	case modeler.PeerAnswered:
		s.handleMessages(tick, world, e.From, e.Messages)
	}
}

// updateEndpoints adds and updates the listed endpoints and marks the others as leaving. Their other state, such as the phase and the
// load, stays.
func (s *System) updateEndpoints(world *modeler.World, endpoints []modeler.Endpoint) {
	listed := map[modeler.EndpointID]bool{}
	for _, e := range endpoints {
		listed[e.ID] = true
		if known, ok := world.Endpoints.Get(e.ID); ok {
			if known.Leaving != e.Leaving || known.Address != e.Address {
				known.Address = e.Address
				world.Endpoints.Put(e.ID, known.WithLeaving(e.Leaving))
			}
			continue
		}
		h := s.holds[e.ID]
		e = e.WithOut(world.Rules.IsOut(e)).WithHolder(h.node, h.term, h.since)
		world.Endpoints.Put(e.ID, e)
	}
	for id, e := range world.Endpoints.All() {
		if !listed[id] && !e.Leaving {
			world.Endpoints.Put(id, e.WithLeaving(true))
		}
	}
}

// handleMessages handles the messages of one batch.
func (s *System) handleMessages(tick *modeler.Tick, world *modeler.World, from modeler.Sender, messages []modeler.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case modeler.Digest:
			s.applyDigests(tick, world, from, m.Endpoints)
		case modeler.PermitAsk:
			s.send(tick, from, s.Ask(tick, world, from.ID, m))
		case modeler.PermitConfirm:
			s.Confirm(tick, world, m)
		case modeler.PermitRelease:
			s.Release(tick, world, m)
			s.send(tick, from, modeler.PermitReleased{Attempt: m.Attempt})
		}
	}
}

func (s *System) send(tick *modeler.Tick, to modeler.Sender, message modeler.Message) {
	tick.Emit(modeler.SendPeer{To: to.ID, Address: to.Address, Messages: []modeler.Message{message}})
}

// applyDigests updates endpoints that another node holds from its digests. Digests older than the known load are ignored.
func (s *System) applyDigests(tick *modeler.Tick, world *modeler.World, from modeler.Sender, digests []modeler.EndpointDigest) {
	for _, d := range digests {
		e, ok := world.Endpoints.Get(d.ID)
		if !ok || e.Holder == world.Self.ID || d.Holder != from.ID || d.Term < e.Term {
			continue
		}
		taken := tick.Now.Add(-d.Age)
		if taken.Before(e.UpdatedAt) {
			continue
		}
		e.BootID, e.Phase = d.BootID, d.Phase
		world.Endpoints.Put(d.ID, e.WithHolder(d.Holder, d.Term, e.HeldSince).WithLoad(d.Load, taken).WithSwept(d.SweptTo))
	}
}

// Digests returns the digests of the endpoints that this node holds, to be sent to other nodes.
func Digests(world *modeler.World) []modeler.EndpointDigest {
	var digests []modeler.EndpointDigest
	for id, e := range world.Endpoints.All() {
		if e.Holder != world.Self.ID {
			continue
		}
		digests = append(digests, modeler.EndpointDigest{
			ID: id, Holder: e.Holder, Term: e.Term, Phase: e.Phase, BootID: e.BootID, Load: e.EndpointLoad,
			SweptTo: e.SweptTo,
		})
	}
	return digests
}

// checkLimits returns zero and true if an attempt may run on an endpoint now, and otherwise why not.
func checkLimits(weights modeler.Weights, e modeler.Endpoint, ask modeler.PermitAsk) (modeler.PermitReason, bool) {
	switch {
	case !e.InService():
		return modeler.NotInService, false
	case e.Phase == modeler.Cold && e.Running >= e.ColdLimit:
		return modeler.ColdFull, false
	case e.Unconfirmed >= e.ColdLimit:
		return modeler.Unconfirmed, false
	case e.Kind == modeler.Service:
		return 0, true
	case outdated(e, ask):
		return modeler.Outdated, false
	case e.Reserved+ask.Tokens > e.Capacity, e.Running >= weights.MaxRunning:
		return modeler.NoMemory, false
	case ask.Class >= modeler.Long && !router.LongFits(weights, e, ask.Tokens):
		return modeler.LongFull, false
	}
	return 0, true
}

// outdated reports whether the asker chose the endpoint by an outdated load: its long prompt would slow more requests than it knew
// of, or its shorter prompt would be slowed by a long one that it did not know of.
func outdated(e modeler.Endpoint, ask modeler.PermitAsk) bool {
	switch {
	case ask.Seen.Any:
		return false
	case ask.Class >= modeler.Long:
		return e.Running > ask.Seen.Running
	default:
		return e.LongPrefill() && !ask.Seen.LongPrefill
	}
}
