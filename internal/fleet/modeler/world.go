package modeler

import (
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// World holds the tables of the control state. Only the control goroutine uses it.
type World struct {
	// Self is this node.
	Self Node
	// Coordinator decides about places. It is empty while this node hears no other one and is not registered.
	Coordinator NodeID
	// CoordinatorSince is when Coordinator last changed.
	CoordinatorSince time.Time
	// Doubted is set while the coordinator left a question unanswered; places are decided here until it is heard again.
	Doubted bool

	Configuration Configuration
	// Out holds the data centres that get no work, by the offset of the record.
	Out *tabler.Table[DataCentreID, int64]

	Endpoints *tabler.Table[EndpointID, Endpoint]
	// EndpointOffsets holds the newest offset of each endpoint's record, also of removed ones, so that an older record never wins.
	EndpointOffsets *tabler.Table[EndpointID, int64]
	Health          *tabler.Table[EndpointID, Health]
	Nodes           *tabler.Table[NodeID, Node]

	// Assignments holds what runs, as far as this node knows: its own requests, and on the coordinator those of all nodes.
	Assignments *tabler.Table[RequestID, Assignment]
	// ByEndpoint and ByNode are indexes of Assignments. An assignment belongs to all engines of its plan until it has started, then to
	// those that hold a part of it.
	ByEndpoint *tabler.Group[EndpointID, RequestID]
	ByNode     *tabler.Group[NodeID, RequestID]
	Waiting    *tabler.Table[RequestID, Waiting]
	Forwarded  *tabler.Table[RequestID, Forwarded]
	// Loads is the coordinator's last digest; LoadsAt is when it came.
	Loads   map[EndpointID]LoadSummary
	LoadsAt time.Time
	// Busy is until when the reading work given to an engine lasts.
	Busy    *tabler.Table[EndpointID, time.Time]
	Strikes *tabler.Table[Fingerprint, Strikes]

	// Ends says up to where each topic is known, and FailedAt when a call last failed.
	Ends     [3]int64
	FailedAt [3]time.Time
	// ConfirmedAt is when what this node knows of Operators and Endpoints was last current, whoever has read it.
	ConfirmedAt [2]time.Time
	// Known is what this node can tell others of Operators and Endpoints.
	Known [2]Known
	// Elects is set if this node is one of those of lowest rank, which greet all others.
	Elects bool
	// ReadsForAll is set while this node reads the store for all.
	ReadsForAll bool
}

// NewWorld returns empty tables.
func NewWorld(self Node) *World {
	return &World{
		Self:            self,
		Out:             tabler.NewTable[DataCentreID, int64](),
		Endpoints:       tabler.NewTable[EndpointID, Endpoint](),
		EndpointOffsets: tabler.NewTable[EndpointID, int64](),
		Health:          tabler.NewTable[EndpointID, Health](),
		Nodes:           tabler.NewTable[NodeID, Node](),
		Assignments:     tabler.NewTable[RequestID, Assignment](),
		ByEndpoint:      tabler.NewGroup[EndpointID, RequestID](),
		ByNode:          tabler.NewGroup[NodeID, RequestID](),
		Waiting:         tabler.NewTable[RequestID, Waiting](),
		Forwarded:       tabler.NewTable[RequestID, Forwarded](),
		Busy:            tabler.NewTable[EndpointID, time.Time](),
		Strikes:         tabler.NewTable[Fingerprint, Strikes](),
	}
}

// Coordinates tells whether this node decides about places for all.
func (w *World) Coordinates() bool { return w.Coordinator == w.Self.ID }

// Assign inserts an assignment and its index entries.
func (w *World) Assign(a Assignment) {
	if old, ok := w.Assignments.Get(a.Request.ID); ok {
		for _, e := range old.Plan.Engines() {
			w.ByEndpoint.Remove(e.ID, a.Request.ID)
		}
		w.ByNode.Remove(old.Request.Node, a.Request.ID)
	}
	w.Assignments.Put(a.Request.ID, a)
	w.ByNode.Add(a.Request.Node, a.Request.ID)
	w.ByEndpoint.Add(a.Plan.Endpoint.ID, a.Request.ID)
	for _, h := range a.Plan.Helpers {
		if a.Started.IsZero() || a.Plan.HeldAt(h.ID) > 0 {
			w.ByEndpoint.Add(h.ID, a.Request.ID)
		}
	}
}

// Unassign removes an assignment and its index entries.
func (w *World) Unassign(id RequestID) {
	a, ok := w.Assignments.Get(id)
	if !ok {
		return
	}
	w.Assignments.Delete(id)
	w.ByNode.Remove(a.Request.Node, id)
	for _, e := range a.Plan.Engines() {
		w.ByEndpoint.Remove(e.ID, id)
		if a.Started.IsZero() {
			w.release(e.ID, a.Plan.Part)
		}
	}
}

// release takes reading work off an engine that will not be done.
func (w *World) release(id EndpointID, part time.Duration) {
	busy, ok := w.Busy.Get(id)
	if !ok {
		return
	}
	if !w.Reads(id) {
		w.Busy.Delete(id)
		return
	}
	w.Busy.Put(id, busy.Add(-part))
}

// Reads tells whether an engine processes a prompt, or a part of one.
func (w *World) Reads(id EndpointID) bool {
	for _, key := range w.ByEndpoint.Keys(id) {
		if a, _ := w.Assignments.Get(key); a.Started.IsZero() {
			return true
		}
	}
	return false
}

// Message returns a message of this node.
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

// WakeAt asks for a tick at that time at the latest.
func (t *Tick) WakeAt(at time.Time) {
	if t.next.IsZero() || at.Before(t.next) {
		t.next = at
	}
}

// Next is the earliest time asked for, or zero.
func (t *Tick) Next() time.Time { return t.next }

// System is one step of a tick.
type System interface {
	Run(tick *Tick, world *World)
}
