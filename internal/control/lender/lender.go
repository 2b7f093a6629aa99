// Package lender manages the shares of members: the balance that this node holds of each member's cap, and how balances are minted,
// borrowed, lent, reclaimed and handed over to other nodes. The balances of all nodes never add up to more than the minted total. See
// docs/design/shares.md.
package lender

import (
	"maps"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/tabler"
)

const (
	// appendTimeout is how long to wait for a Minted record to be read back before it is appended again.
	appendTimeout = 2 * time.Second
	// resendAfter is the time from the first sending of a transfer to the second. It doubles with each further sending.
	resendAfter = 500 * time.Millisecond
	// maxResendShift limits the doubling of resendAfter to 8 s, so that a silent node causes little traffic.
	maxResendShift = 4
	// askTimeout is how long to wait for the answer to a BorrowAsk.
	askTimeout = time.Second
	// maxPendingAsks is the maximum number of unanswered BorrowAsks per member.
	maxPendingAsks = 2
	// minBackoff and maxBackoff bound the delay of the next BorrowAsk after a refusal.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// idleAfter is how long a free balance stays unchanged before it is moved to the member's preferred keepers, the two nodes that
	// keep its idle balances.
	idleAfter = 5 * time.Second
	// recheckAfter is the minimum time after which a preferred keeper checks whether it still is one. The maximum is twice that.
	recheckAfter = time.Minute
	// cancelPollInterval is how often the lender checks whether the requests of reclaimed nodes are cancelled.
	cancelPollInterval = 250 * time.Millisecond
	// takeoverRetention is how long after a reclaim the reclaimed nodes may still have requests. It is far longer than the deadline
	// of any request.
	takeoverRetention = 24 * time.Hour
)

// Options configure a System.
type Options struct {
	// RequestsCancelled reports whether no endpoint runs a request of a reclaimed node any more. If it is nil, this is assumed.
	RequestsCancelled func(modeler.NodeID) bool
	// MayHandOver reports whether a leaving node has stopped serving callers. If it is nil, this is assumed. A node that has handed
	// over its balances must not start new work, so an earlier handover would refuse callers that still use its address.
	MayHandOver func() bool
}

// System manages the balances of this node. It is the only consumer of World.Members.Changed.
type System struct {
	opts       Options
	accounts   *accounts
	ledgers    map[modeler.NodeID]*peerLedger
	borrowings map[modeler.MemberID]*borrowing
	// settlements holds the balances that this node took over but must not use yet.
	settlements []settlement
	// takeovers holds, for each live node, the nodes that it reclaimed, directly or through a node that it took over. If the live
	// node is reclaimed as well, the requests of all of them must be cancelled, because it may not have cancelled them.
	takeovers map[modeler.NodeID][]takeover
	// idle holds when the free balance of a member is moved to its preferred keepers.
	idle *tabler.Timeline[modeler.MemberID]
	// retry holds when to send the next BorrowAsk or DebtAsk for a member.
	retry *tabler.Timeline[modeler.MemberID]
	// resend holds when to send an unacknowledged transfer again.
	resend *tabler.Timeline[modeler.TransferID]
	// lendingPeers are the active live nodes other than this one that this node has not promised not to vouch for, as of
	// lendingPeersAt. Balances are moved to them and borrowed from them.
	lendingPeers   []modeler.NodeID
	lendingPeersAt time.Time
	mint           mint
	// leaving is set by the first tick in which World.Leaving is set and the node may hand over.
	leaving bool
	// drained is set once a leaving node has handed over its balances. It is never unset, and a drained node accepts no transfers.
	drained bool
}

// New returns a System with the defaults filled in for unset options.
func New(opts Options) *System {
	if opts.RequestsCancelled == nil {
		opts.RequestsCancelled = func(modeler.NodeID) bool { return true }
	}
	if opts.MayHandOver == nil {
		opts.MayHandOver = func() bool { return true }
	}
	return &System{
		opts:       opts,
		accounts:   newAccounts(),
		ledgers:    map[modeler.NodeID]*peerLedger{},
		borrowings: map[modeler.MemberID]*borrowing{},
		takeovers:  map[modeler.NodeID][]takeover{},
		idle:       tabler.NewTimeline[modeler.MemberID](),
		retry:      tabler.NewTimeline[modeler.MemberID](),
		resend:     tabler.NewTimeline[modeler.TransferID](),
	}
}

// Charge uses amount tokens of a member's free balance on this node. It returns false and changes nothing if the member is frozen
// or its free balance is too small.
func Charge(world *modeler.World, id modeler.MemberID, amount modeler.Tokens) bool {
	member, _ := world.Members.Get(id)
	member, ok := member.WithCharge(amount)
	if ok {
		world.Members.Put(id, member)
	}
	return ok
}

// Refund frees amount tokens that were charged.
func Refund(world *modeler.World, id modeler.MemberID, amount modeler.Tokens) {
	if member, ok := world.Members.Get(id); ok {
		world.Members.Put(id, member.WithRefund(amount))
	}
}

// SetWanted sets the total cost of a member's queued requests that could not be charged. The lender borrows it in its next run, so
// the caller must make sure that a tick follows.
func SetWanted(world *modeler.World, id modeler.MemberID, amount modeler.Tokens) {
	member, _ := world.Members.Get(id)
	if member.Wanted != amount {
		member.ID = id
		world.Members.Put(id, member.WithWanted(amount))
	}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.RecordApplied:
			s.applyRecord(tick.Now, world, e)
		case modeler.PeerReceived:
			s.receive(tick, world, e.From, e.Messages)
		case modeler.PeerAnswered:
			s.receive(tick, world, e.From, e.Messages)
		}
	}
	s.refreshPeers(tick.Now, world)
	s.settle(tick, world)
	s.startLeaving(tick, world)
	for _, id := range world.Members.Changed() {
		s.updateMember(tick, world, id)
	}
	for _, id := range s.retry.Due(tick.Now) {
		s.updateMember(tick, world, id)
	}
	for _, id := range s.idle.Due(tick.Now) {
		s.moveIdle(tick, world, id)
	}
	for _, id := range s.resend.Due(tick.Now) {
		s.resendTransfer(tick, world, id)
	}
	s.mintRules(tick, world)
	s.checkDrained(world)
	s.scheduleWake(tick)
}

// updateMember tries to unfreeze a member that changed or whose retry is due. If the member is not frozen, it borrows the wanted
// balance or schedules the move of the free balance, which a leaving node moves at once.
func (s *System) updateMember(tick *modeler.Tick, world *modeler.World, id modeler.MemberID) {
	member, ok := world.Members.Get(id)
	if !ok {
		return
	}
	if member.Frozen {
		member = s.tryUnfreeze(tick, world, member)
	}
	switch {
	case member.Frozen:
		return
	case member.Wanted > 0:
		s.idle.Clear(id)
		s.borrow(tick, world, member)
		return
	case s.borrowings[id] != nil:
		delete(s.borrowings, id)
		s.retry.Clear(id)
	}
	switch {
	case member.Free() == 0:
		s.idle.Clear(id)
	case s.leaving:
		s.moveIdle(tick, world, id)
	default:
		s.idle.Set(id, tick.Now.Add(idleAfter))
	}
}

// memberOrNew returns a member from the Members table, or one with only its ID set if the table has none.
func memberOrNew(world *modeler.World, id modeler.MemberID) modeler.Member {
	member, _ := world.Members.Get(id)
	member.ID = id
	return member
}

// refreshPeers updates lendingPeers once per gossip interval.
func (s *System) refreshPeers(now time.Time, world *modeler.World) {
	if !s.lendingPeersAt.IsZero() && now.Before(s.lendingPeersAt.Add(modeler.GossipInterval)) {
		return
	}
	s.lendingPeersAt = now
	s.lendingPeers = s.lendingPeers[:0:0]
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && node.Live() && node.Phase == modeler.NodeActive && node.PromisedTo == "" {
			s.lendingPeers = append(s.lendingPeers, id)
		}
	}
}

// scheduleWake requests a tick at the earliest deadline of each timeline.
func (s *System) scheduleWake(tick *modeler.Tick) {
	for _, next := range []func() (time.Time, bool){s.idle.Next, s.retry.Next, s.resend.Next} {
		if at, ok := next(); ok {
			tick.WakeAt(at)
		}
	}
}

// Minted returns the newest rule version whose cap changes this node has applied.
func (s *System) Minted() modeler.Version { return s.accounts.version }

// Settled reports whether this node may use all balances that it took over.
func (s *System) Settled() bool { return len(s.settlements) == 0 }

// Close implements detector.Ledger.
func (s *System) Close(node modeler.NodeID) []modeler.Flow {
	l := s.ledger(node)
	l.closed = true
	flows := make([]modeler.Flow, 0, len(l.net))
	for _, id := range slices.Sorted(maps.Keys(l.net)) {
		flows = append(flows, modeler.Flow{Member: id, Sent: max(l.net[id], 0), Received: max(-l.net[id], 0)})
	}
	return flows
}

// Drained implements detector.Ledger.
func (s *System) Drained() bool { return s.drained }

// NetFlows implements detector.Ledger.
func (s *System) NetFlows() []modeler.Balance {
	var balances []modeler.Balance
	for _, peer := range slices.Sorted(maps.Keys(s.ledgers)) {
		net := s.ledgers[peer].net
		for _, id := range slices.Sorted(maps.Keys(net)) {
			balances = append(balances, modeler.Balance{Peer: peer, Member: id, Amount: net[id]})
		}
	}
	return balances
}
