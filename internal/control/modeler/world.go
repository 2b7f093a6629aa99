package modeler

import (
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// Self is the identity and configuration of this node. It does not change while the incarnation runs.
type Self struct {
	Sender
	Weights Weights
}

// Weights are the parameters of the routing and admission policy. Each deployment has one preset.
type Weights struct {
	// LongPart is the fraction of an engine's memory that long and huge prompts may use, above 0 and at most 1.
	LongPart float64
	// PrefillRate is the expected prompt processing speed of an engine in tokens per second.
	PrefillRate float64
	// FirstTokenTimeout is how long a request may be queued before its first attempt; prompts longer than short may be queued for
	// twice their prefill time in addition. A short or medium prompt is refused if its time in the queue and the work ahead of it on
	// the chosen endpoint exceed four times this value, a longer one if the work ahead lasts beyond its deadline.
	FirstTokenTimeout time.Duration
	// PrefixBonus is the fraction of the prompt's processing time that a likely prefix cache hit saves, from 0 to 1.
	PrefixBonus float64
	// WarmCompletions is the number of completed requests after which a cold endpoint is warm.
	WarmCompletions int
	// MaxRunning is the maximum number of concurrent requests on one engine.
	MaxRunning int
	// RetryPart is the number of retries that the retry budget allows per first attempt.
	RetryPart float64
}

// World is the control state: the tables and the values that exist once. Only the control goroutine accesses it.
type World struct {
	Self      Self
	Endpoints *tabler.Table[EndpointID, Endpoint]
	Members   *tabler.Table[MemberID, Member]
	Requests  *tabler.Table[RequestID, Request]
	Permits   *tabler.Table[AttemptID, Permit]
	Nodes     *tabler.Table[NodeID, Node]
	Transfers *tabler.Table[TransferID, Transfer]
	// Quarantined maps a fingerprint to the end of its quarantine.
	Quarantined *tabler.Table[uint64, time.Time]
	Rules       Rules
	// FenceUntil is the time until which this node may start new work. From then on, the node is fenced.
	// It is the zero time once the node has been reclaimed, has departed or, on a graceful shutdown, has handed over its balances.
	FenceUntil time.Time
	// LogEndReadAt is when the last read that reached the end of the control stream was sent.
	LogEndReadAt time.Time
	// Leaving is set once a graceful shutdown was requested.
	Leaving bool
}

// NewWorld returns an empty state.
func NewWorld(self Self) *World {
	return &World{
		Self:        self,
		Endpoints:   tabler.NewTable[EndpointID, Endpoint](),
		Members:     tabler.NewTable[MemberID, Member](),
		Requests:    tabler.NewTable[RequestID, Request](),
		Permits:     tabler.NewTable[AttemptID, Permit](),
		Nodes:       tabler.NewTable[NodeID, Node](),
		Transfers:   tabler.NewTable[TransferID, Transfer](),
		Quarantined: tabler.NewTable[uint64, time.Time](),
	}
}

// Fenced reports whether FenceUntil has passed, so that the node must not start new work.
func (w *World) Fenced(now time.Time) bool { return !now.Before(w.FenceUntil) }

// Tick is the input and output of one run of all systems.
type Tick struct {
	Now    time.Time
	Events []Event
	// Rand is seeded by the caller, so that runs are reproducible.
	Rand    *rand.Rand
	effects []Effect
	// batches maps each node that Send was called for to the index of its batch in effects.
	batches map[NodeID]int
	next    time.Time
}

// Emit adds an effect.
func (t *Tick) Emit(effects ...Effect) { t.effects = append(t.effects, effects...) }

// Send adds messages to the batch for a node. One tick sends at most one batch to a node through Send.
func (t *Tick) Send(to NodeID, address string, messages ...Message) {
	if i, ok := t.batches[to]; ok {
		batch := t.effects[i].(SendPeer)
		batch.Messages = append(batch.Messages, messages...)
		t.effects[i] = batch
		return
	}
	if t.batches == nil {
		t.batches = map[NodeID]int{}
	}
	t.batches[to] = len(t.effects)
	t.effects = append(t.effects, SendPeer{To: to, Address: address, Messages: messages})
}

// Raise adds events that later systems of the same tick handle.
func (t *Tick) Raise(events ...Event) { t.Events = append(t.Events, events...) }

// WakeAt requests another tick no later than at.
func (t *Tick) WakeAt(at time.Time) {
	if t.next.IsZero() || at.Before(t.next) {
		t.next = at
	}
}

// Effects returns the effects in the order they were emitted.
func (t *Tick) Effects() []Effect { return t.effects }

// Next returns when the next tick is due if no event arrives before, or the zero time if none was requested.
func (t *Tick) Next() time.Time { return t.next }

// System is one step of a tick.
type System interface {
	Run(tick *Tick, world *World)
}

// Snapshot is the published view of the control state. It is immutable.
type Snapshot struct {
	At        time.Time
	Self      Self
	Rules     Rules
	Endpoints []Endpoint
	Members   []Member
	Nodes     []Node
	Fenced    bool
	Leaving   bool
	Queued    int
	Running   int
}
