// Package detector maintains the set of nodes: it registers this node in the log, tracks liveness by gossip, postpones the fence of
// this node, that is World.FenceUntil, the time until which it may start new work, and reclaims silent nodes. See
// docs/design/shares.md.
package detector

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// appendTimeout is how long the detector waits to read a record back from the log before it appends the record again.
	appendTimeout = 2 * time.Second
	// probeTimeout is how long a silent node has to answer a probe, which is a VouchAsk, before this node promises not to vouch for
	// it any more.
	probeTimeout = time.Second
	// fanout is the number of peers that each gossip round is sent to.
	fanout = 3
	// maxDigestNodes is the maximum number of nodes in one digest. 16 entries of about 30 bytes keep gossip within 9 KB/s.
	maxDigestNodes = 16
	// unregisteredTimeout is how long a node that never registered may be silent before it is removed from the Nodes table.
	unregisteredTimeout = time.Minute
	// DefaultOutageTolerance is how long nodes continue to start new work while the log is unavailable.
	DefaultOutageTolerance = 6 * time.Hour
)

// Ledger records the balances that this node exchanged with its peers.
type Ledger interface {
	// Close permanently ends the exchange with a node and returns what was exchanged. Later calls return the same value.
	Close(node modeler.NodeID) []modeler.Flow
	// Drained reports whether this node holds no balance and accepts none any more.
	Drained() bool
	// NetFlows returns, for each peer and member, the amount that this node sent to the peer minus the amount received from it.
	NetFlows() []modeler.Balance
}

// Options configure a System.
type Options struct {
	// CompleteDigest adds the fields that other systems own to a digest. It may be nil.
	CompleteDigest func(*modeler.Digest)
	// Ledger is the ledger of this node.
	Ledger Ledger
	// MayDepart reports whether all other systems have handed over their work. If it is nil, only the ledger is checked.
	MayDepart func() bool
	// Seeds are the peer addresses from the settings. They are contacted while no peer is known.
	Seeds []string
	// OutageTolerance is how long this node starts new work while the log is unavailable. It must be the same on all nodes.
	// Zero means DefaultOutageTolerance.
	OutageTolerance time.Duration
}

// System maintains the set of nodes.
type System struct {
	opts Options
	// offset is the offset of the last control record applied.
	offset int64
	// trimmed is set if the stream no longer had its first records when this node started to read it.
	trimmed bool
	// registered is set once this node's registration was read back from the log.
	registered bool
	// evicted is set once this node was reclaimed, a peer reported a promise not to vouch for it, or it missed control records.
	// It is never unset.
	evicted bool
	// departing is set when this node's departure is appended for the first time. World.Leaving is set earlier, when the graceful
	// stop begins.
	departing bool
	// departed is set once this node's departure was read back from the log.
	departed bool

	// appendAt is the earliest time of the next append of this node's registration or departure.
	appendAt time.Time
	// gossipAt is the time of the next gossip round.
	gossipAt time.Time
	// beat counts the gossip rounds of this node.
	beat uint64
	// nonce is the nonce of the last VouchAsk sent.
	nonce uint64
	// asks maps the nonce of each outstanding VouchAsk to the time at which it was sent.
	asks map[uint64]time.Time
	// probes holds the time at which a VouchAsk was last sent to each node as a probe.
	probes map[modeler.NodeID]time.Time
	// promises holds, for each node to reclaim, the flows that came with the promise of each peer.
	promises map[modeler.NodeID]map[modeler.NodeID][]modeler.Flow
	// reclaimAt is the earliest time of the next append of a reclaim record, by the first node of the record.
	reclaimAt map[modeler.NodeID]time.Time
	// usableAt is the time from which each node may use the balances that it took over from other nodes.
	usableAt map[modeler.NodeID]time.Time
	// silentSince holds the time of the last liveness signal of each silent node. See modeler.Node.LastSeenAt.
	silentSince map[modeler.NodeID]time.Time
	// nodeCount is the number of nodes that are not gone, as of the last gossip round.
	nodeCount int
	// checkReclaim is set when the last missing promise may have arrived, so that reclaim runs without waiting for the next round.
	checkReclaim bool
}

// New returns a System with the defaults filled in for unset options. opts.Ledger must not be nil.
func New(opts Options) *System {
	if opts.CompleteDigest == nil {
		opts.CompleteDigest = func(*modeler.Digest) {}
	}
	if opts.OutageTolerance == 0 {
		opts.OutageTolerance = DefaultOutageTolerance
	}
	if opts.MayDepart == nil {
		opts.MayDepart = func() bool { return true }
	}
	return &System{
		opts:        opts,
		asks:        map[uint64]time.Time{},
		probes:      map[modeler.NodeID]time.Time{},
		promises:    map[modeler.NodeID]map[modeler.NodeID][]modeler.Flow{},
		reclaimAt:   map[modeler.NodeID]time.Time{},
		usableAt:    map[modeler.NodeID]time.Time{},
		silentSince: map[modeler.NodeID]time.Time{},
	}
}

// Evicted reports whether this incarnation must stop because it was reclaimed, a peer promised not to vouch for it, or it missed
// control records. It never starts new work again.
func (s *System) Evicted() bool { return s.evicted }

// Departed reports whether this node's departure was read back from the log.
func (s *System) Departed() bool { return s.departed }

// Registered reports whether this node's registration was read back from the log.
func (s *System) Registered() bool { return s.registered }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.RecordsRead:
			if e.Stream == modeler.StreamControl {
				s.applyRecords(tick, world, e)
			}
		case modeler.AppendEnded:
			s.handleAppendEnded(tick, e)
		case modeler.PeerReceived:
			s.receive(tick, world, e.From, e.Messages)
		case modeler.PeerAnswered:
			s.receive(tick, world, e.From, e.Messages)
		case modeler.StopRequested:
			world.Leaving = true
		}
	}
	if s.evicted || s.departed {
		world.FenceUntil = time.Time{}
		return
	}
	s.register(tick, world)
	due := !tick.Now.Before(s.gossipAt)
	if due {
		s.gossipAt = tick.Now.Add(modeler.GossipInterval)
		s.markSilent(tick, world)
		s.gossip(tick, world)
		s.depart(tick, world)
	}
	if due || s.checkReclaim {
		s.checkReclaim = false
		s.reclaim(tick, world)
	}
	tick.WakeAt(s.gossipAt)
}

// register appends this node's registration, again after each timeout, until it is read back.
func (s *System) register(tick *modeler.Tick, world *modeler.World) {
	if s.registered || tick.Now.Before(s.appendAt) {
		return
	}
	s.appendRecord(tick, modeler.NodeRegistered{Node: world.Self.Sender})
}

// depart appends the departure of a leaving node, again after each timeout, until it is read back. It starts once the ledger is
// drained and the other systems have handed over.
func (s *System) depart(tick *modeler.Tick, world *modeler.World) {
	if !world.Leaving || !s.registered || tick.Now.Before(s.appendAt) || !s.opts.MayDepart() || !s.opts.Ledger.Drained() {
		return
	}
	s.departing = true
	world.FenceUntil = time.Time{}
	record := modeler.NodeDeparted{Node: world.Self.ID, Balances: s.opts.Ledger.NetFlows()}
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && node.Live() && (record.Heir == "" || node.Phase == modeler.NodeActive) {
			record.Heir = id
			if node.Phase == modeler.NodeActive {
				break
			}
		}
	}
	s.appendRecord(tick, record)
}

func (s *System) appendRecord(tick *modeler.Tick, record any) {
	s.appendAt = tick.Now.Add(appendTimeout)
	tick.WakeAt(s.appendAt)
	tick.Emit(modeler.AppendRecord{Stream: modeler.StreamControl, Record: record})
}

// handleAppendEnded shortens the wait after a failed append. The record may still have been stored, so only reading it back
// shows whether it was.
func (s *System) handleAppendEnded(tick *modeler.Tick, e modeler.AppendEnded) {
	if !e.Failed {
		return
	}
	switch record := e.Record.(type) {
	case modeler.NodeRegistered, modeler.NodeDeparted:
		s.appendAt = tick.Now.Add(modeler.GossipInterval)
	case modeler.NodeReclaim:
		s.reclaimAt[record.Node] = tick.Now.Add(modeler.GossipInterval)
	}
}

// livePeers returns the live nodes other than this one, sorted by ID.
func livePeers(world *modeler.World) []modeler.NodeID {
	var nodes []modeler.NodeID
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && node.Live() {
			nodes = append(nodes, id)
		}
	}
	return nodes
}

// dropNodes removes the state of nodes that are gone.
func (s *System) dropNodes(nodes []modeler.NodeID) {
	for _, n := range nodes {
		delete(s.probes, n)
		delete(s.promises, n)
		delete(s.reclaimAt, n)
		delete(s.silentSince, n)
	}
}
