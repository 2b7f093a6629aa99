package modeler

import (
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// World holds the tables of the control state. It is used by the control goroutine only.
type World struct {
	// Self is this node.
	Self Node
	// AddressUntil is until when callers may use the address of this node, and StopAt when it cuts off the requests that are still running. Both
	// are zero unless the node is leaving.
	AddressUntil, StopAt time.Time
	// Coordinator is the node that coordinates placement. It is empty until the first election.
	Coordinator NodeID
	// CoordinatorSince is when Coordinator last changed or its process was replaced.
	CoordinatorSince time.Time
	// CoordinatorUnresponsive is set when the coordinator did not respond to an Ask in time. This node then places requests itself until it
	// receives a message from the coordinator again.
	CoordinatorUnresponsive bool

	Configuration Configuration
	// OutDataCentres holds the data centres that are out of service and the offsets of their records.
	OutDataCentres *tabler.Table[DataCentreID, Position]

	Endpoints *tabler.Table[EndpointID, Endpoint]
	// EndpointOffsets holds the highest offset of each endpoint's records, including removed endpoints, so that older records are
	// ignored.
	EndpointOffsets *tabler.Table[EndpointID, Position]
	Health          *tabler.Table[EndpointID, Health]
	Nodes           *tabler.Table[NodeID, Node]

	// Assignments holds the running requests that this node knows of: its own, and on the coordinator those of all nodes.
	Assignments *tabler.Table[RequestID, Assignment]
	// ByEndpoint and ByNode are indexes of Assignments. An assignment is listed for all engines of its plan until its first event, then
	// for the endpoint and for the helpers that hold memory for it.
	ByEndpoint *tabler.Group[EndpointID, RequestID]
	ByNode     *tabler.Group[NodeID, RequestID]
	Waiting    *tabler.Table[RequestID, Waiting]
	Forwarded  *tabler.Table[RequestID, Forwarded]
	// Loads holds the loads from the coordinator's last digest, which was received at LoadsAt.
	Loads   map[EndpointID]LoadSummary
	LoadsAt time.Time
	// PrefillEnd holds the expected end of the prefill work that is assigned to each engine.
	PrefillEnd     *tabler.Table[EndpointID, time.Time]
	BrokenAttempts *tabler.Table[Fingerprint, BrokenAttempts]
	// SuspectsDue is set if the other nodes have to be told of BrokenAttempts at once, and SuspectsSentAt is when this node, as the coordinator, last told
	// them.
	SuspectsDue    bool
	SuspectsSentAt time.Time
	// Terms holds what endpoints have said about the requests that they take. It has no row for endpoints that have said nothing.
	Terms *tabler.Table[EndpointID, EndpointTerms]
	// UnresolvedAttempts holds the attempts of the last seconds of which it is not known whether they ended their endpoints.
	UnresolvedAttempts *tabler.Table[Fingerprint, UnresolvedAttempts]
	// UnplacedWork holds the work of engines that no node has placed. It has no row for engines without any.
	UnplacedWork *tabler.Table[EndpointID, UnplacedWork]
	// CallTimes predicts the times of calls to plain services in milliseconds, and AnswerLengths the tokens of engines' answers. Both are nil unless costs
	// are learned.
	CallTimes, AnswerLengths *CostEstimator
	// UnevenServices holds the plain services whose calls cost so different amounts that one node places them for all.
	UnevenServices map[ServiceID]bool
	// CallPaces holds the factor by which each endpoint of a plain service takes longer than the others of its service for the same requests.
	CallPaces *tabler.Table[EndpointID, float64]
	// Releases counts the changes of assignments that free a slot, memory or prefill time.
	Releases uint64
	// changedEndpoints holds the endpoints whose assignments changed since the last call of TakeChangedEndpoints.
	changedEndpoints map[EndpointID]struct{}

	// NextOffsets holds the offset before which all records of each topic are known.
	NextOffsets [3]Position
	// ConfirmedAt is when this node's state of Operators and Endpoints was last confirmed as current, by its own read or another node's.
	ConfirmedAt [2]time.Time
	// ReadPositions holds this node's read positions in Operators and Endpoints, as sent to other nodes.
	ReadPositions [2]ReadPosition
	// OperatorsBehind is set if another node has read operators' records that this node lacks.
	OperatorsBehind bool
	// HeldState identifies the operators' records that this node holds, as sent to other nodes.
	HeldState StateID
	// HeldVersion is the Version of these records.
	HeldVersion int64
	// IsHub is set if this node is one of the hubs, see package elector.
	IsHub bool
	// tickedAt is when the current tick began. resumedAt is when the first tick after the last pause of this process began, and pausedAt when the
	// last one before it did; both are zero if there was none.
	tickedAt, pausedAt, resumedAt time.Time
	// processStart is the moment that ProcessTime counts from; zero before its first call.
	processStart time.Time
	// ReadsForAll is set while this node reads the store and distributes the changes to all nodes.
	ReadsForAll bool
}

// NewWorld returns a World with empty tables.
func NewWorld(self Node) *World {
	return &World{
		Self:            self,
		OutDataCentres:  tabler.NewTable[DataCentreID, Position](),
		Endpoints:       tabler.NewTable[EndpointID, Endpoint](),
		EndpointOffsets: tabler.NewTable[EndpointID, Position](),
		Health:          tabler.NewTable[EndpointID, Health](),
		Nodes:           tabler.NewTable[NodeID, Node](),
		Assignments:     tabler.NewTable[RequestID, Assignment](),
		ByEndpoint:      tabler.NewGroup[EndpointID, RequestID](),
		ByNode:          tabler.NewGroup[NodeID, RequestID](),
		Waiting:         tabler.NewTable[RequestID, Waiting](),
		Forwarded:       tabler.NewTable[RequestID, Forwarded](),
		PrefillEnd:      tabler.NewTable[EndpointID, time.Time](),
		BrokenAttempts:  tabler.NewTable[Fingerprint, BrokenAttempts](),

		Terms:              tabler.NewTable[EndpointID, EndpointTerms](),
		UnresolvedAttempts: tabler.NewTable[Fingerprint, UnresolvedAttempts](),

		UnplacedWork:     tabler.NewTable[EndpointID, UnplacedWork](),
		CallPaces:        tabler.NewTable[EndpointID, float64](),
		changedEndpoints: map[EndpointID]struct{}{},
	}
}

// minPause is the time between two ticks from which on this process counts as paused. Ticks run every 250 ms at least.
const minPause = time.Second

// BeginTick records that a tick begins. It must be called before the systems run.
func (w *World) BeginTick(now time.Time) {
	if !w.tickedAt.IsZero() && now.Sub(w.tickedAt) >= minPause {
		w.pausedAt, w.resumedAt = w.tickedAt, now
	}
	w.tickedAt = now
}

// Resumed reports whether the current tick is the first one after a pause of this process, and when the last one before the pause began.
func (w *World) Resumed() (pausedAt time.Time, ok bool) {
	return w.pausedAt, !w.resumedAt.IsZero() && w.resumedAt.Equal(w.tickedAt)
}

// ProcessTime returns a time on the clock of this process, which counts from an arbitrary moment and is never zero after it. Other nodes compare such
// times of one process with each other.
func (w *World) ProcessTime(now time.Time) time.Duration {
	if w.processStart.IsZero() {
		w.processStart = now
	}
	return now.Sub(w.processStart) + time.Microsecond
}

// staleMessageTime is the time after a pause in which this process receives the messages that have waited in its socket.
const staleMessageTime = 300 * time.Millisecond

// ReceivesStaleMessages reports whether messages that arrive now may be from before or during a pause of this process.
func (w *World) ReceivesStaleMessages(now time.Time) bool {
	return w.ResumedWithin(now, staleMessageTime)
}

// ResumedWithin reports whether a pause of this process ended less than d ago.
func (w *World) ResumedWithin(now time.Time, d time.Duration) bool {
	return !w.resumedAt.IsZero() && now.Sub(w.resumedAt) < d
}

// Coordinates reports whether this node coordinates placement for all nodes.
func (w *World) Coordinates() bool { return w.Coordinator == w.Self.ID }

// Assign inserts or replaces an assignment and its index entries.
func (w *World) Assign(a Assignment) {
	if old, ok := w.Assignments.Get(a.Request.ID); ok {
		w.Releases++
		for _, e := range old.Plan.Engines() {
			w.changedEndpoints[e.ID] = struct{}{}
			w.ByEndpoint.Remove(e.ID, a.Request.ID)
		}
		w.ByNode.Remove(old.Request.Node, a.Request.ID)
	}
	w.Assignments.Put(a.Request.ID, a)
	w.ByNode.Add(a.Request.Node, a.Request.ID)
	w.ByEndpoint.Add(a.Plan.Endpoint.ID, a.Request.ID)
	w.changedEndpoints[a.Plan.Endpoint.ID] = struct{}{}
	for _, h := range a.Plan.Helpers {
		w.changedEndpoints[h.ID] = struct{}{}
		if a.FirstEventAt.IsZero() || a.Plan.ReservedOn(h.ID) > 0 {
			w.ByEndpoint.Add(h.ID, a.Request.ID)
		}
	}
}

// Unassign removes an assignment and its index entries. If no event was received yet, its prefill time is subtracted from the PrefillEnd of
// its engines.
func (w *World) Unassign(id RequestID) {
	a, ok := w.Assignments.Get(id)
	if !ok {
		return
	}
	w.Releases++
	w.Assignments.Delete(id)
	w.ByNode.Remove(a.Request.Node, id)
	for _, e := range a.Plan.Engines() {
		w.changedEndpoints[e.ID] = struct{}{}
		w.ByEndpoint.Remove(e.ID, id)
		if a.FirstEventAt.IsZero() {
			w.releasePrefill(e.ID, a.Plan.PartPrefill)
		}
	}
}

// releasePrefill reduces the prefill work that is assigned to an engine by work that will not be done.
func (w *World) releasePrefill(id EndpointID, part time.Duration) {
	end, ok := w.PrefillEnd.Get(id)
	if !ok {
		return
	}
	if !w.HasPrefill(id) {
		w.PrefillEnd.Delete(id)
		return
	}
	w.PrefillEnd.Put(id, end.Add(-part))
}

// TakeChangedEndpoints calls visit for each endpoint whose assignments or whose PrefillEnd changed since the last call, in no particular
// order. The World supports one caller.
func (w *World) TakeChangedEndpoints(visit func(EndpointID)) {
	for id := range w.changedEndpoints {
		visit(id)
	}
	clear(w.changedEndpoints)
	for _, id := range w.PrefillEnd.Changed() {
		visit(id)
	}
}

// HasPrefill reports whether an engine is assigned a prompt, or a part of one, that has not been processed yet.
func (w *World) HasPrefill(id EndpointID) bool {
	for _, key := range w.ByEndpoint.Keys(id) {
		if a, _ := w.Assignments.Get(key); a.FirstEventAt.IsZero() {
			return true
		}
	}
	return false
}

// Message returns a message from this node.
func (w *World) Message(body MessageBody) Message {
	return Message{From: w.Self.ID, Incarnation: w.Self.Incarnation, Body: body}
}

// Tick is the input and output of one run of all systems.
type Tick struct {
	Now    time.Time
	Rand   *rand.Rand
	Events []Event

	effects []Effect
	next    time.Time
}

// Emit adds an effect.
func (t *Tick) Emit(e Effect) { t.effects = append(t.effects, e) }

// Effects returns the effects of the tick in order.
func (t *Tick) Effects() []Effect { return t.effects }

// WakeAt requests that the next tick run at the given time at the latest.
func (t *Tick) WakeAt(at time.Time) {
	if t.next.IsZero() || at.Before(t.next) {
		t.next = at
	}
}

// Next returns the earliest time passed to WakeAt, or the zero time.
func (t *Tick) Next() time.Time { return t.next }

// System is one step of a tick. It reads the events, updates the tables and emits effects.
type System interface {
	Run(tick *Tick, world *World)
}
