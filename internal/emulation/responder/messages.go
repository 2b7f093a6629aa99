package responder

import (
	"net/http"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

// admission is the reply to submit.
type admission struct {
	// status is an HTTP status: 200 when the request was accepted, 0 when the engine crashed.
	status      int
	message     string
	bootID      string
	cold        bool
	fault       streamFault
	headerDelay time.Duration
}

// submit requests the execution of a request whose effects are sent to box.
type submit struct {
	request      batcher.Submit
	model        string
	fencingToken uint64
	box          *mailbox
	reply        chan<- admission
}

func (m submit) apply(o *owner, now time.Time) {
	if !o.acceptsToken(m.fencingToken) {
		m.reply <- admission{status: http.StatusConflict, message: "old fencing token"}
		return
	}
	if !slices.Contains(o.models, m.model) {
		m.reply <- admission{status: http.StatusNotFound, message: "unknown model " + m.model}
		return
	}
	_, exists := o.mailboxes[m.request.Attempt]
	if !exists {
		o.mailboxes[m.request.Attempt] = m.box
	}
	bootID := o.bootID
	for _, effect := range o.tick(now, m.request) {
		switch effect := effect.(type) {
		case batcher.Accepted:
			admitted := admission{status: http.StatusOK, bootID: bootID, cold: effect.Cold, headerDelay: o.faults.headerDelay}
			o.faults, admitted.fault = o.faults.withFaultConsumed()
			o.history = o.history.withStart(startRecord{
				Attempt: m.request.Attempt, Node: m.request.Node, BootID: bootID, Cold: effect.Cold, At: now,
			})
			m.reply <- admitted
		case batcher.Refused:
			if !exists {
				delete(o.mailboxes, m.request.Attempt)
			}
			m.reply <- refusals[effect.Reason]
		case batcher.Crashed:
			select {
			case m.reply <- admission{}:
			default: // accepted before the crash
			}
		}
	}
}

var refusals = map[batcher.Reason]admission{
	batcher.Full:      {status: http.StatusServiceUnavailable, message: "no memory for the request now"},
	batcher.TooLong:   {status: http.StatusRequestEntityTooLarge, message: "the request exceeds the memory of the engine"},
	batcher.Duplicate: {status: http.StatusConflict, message: "the attempt runs already"},
	batcher.Invalid:   {status: http.StatusBadRequest, message: "empty prompt or max_tokens below 1"},
}

// acceptsToken reports whether a fencing token is accepted, and records it if it is the highest so far. Zero means that none was sent.
func (o *owner) acceptsToken(fencingToken uint64) bool {
	if o.options.FencesOrders && fencingToken != 0 && fencingToken < o.maxFencingToken {
		return false
	}
	o.maxFencingToken = max(o.maxFencingToken, fencingToken)
	return true
}

// cancel cancels an attempt. The reply reports whether it was running.
type cancel struct {
	attempt string
	reply   chan<- bool
}

func (m cancel) apply(o *owner, now time.Time) {
	found := false
	for _, effect := range o.tick(now, batcher.Cancel{Attempt: m.attempt}) {
		if cancelled, ok := effect.(batcher.Cancelled); ok && cancelled.Attempt == m.attempt {
			found = true
		}
	}
	m.reply <- found
}

// stateReport is the state that an engine reports, with the configured lag, delay and gaps applied.
type stateReport struct {
	bootID    string
	sequences []batcher.Sequence
	load      sample
	events    []batcher.CacheEvent
	first     int64
	next      int64
}

// stateQuery requests the state, with the cache events from sequence number from on.
type stateQuery struct {
	from  int64
	reply chan<- stateReport
}

func (m stateQuery) apply(o *owner, now time.Time) {
	v := stateReport{bootID: o.bootID, sequences: o.core.Sequences(), load: o.asOf(now, o.faults.loadLag)}
	if o.faults.loadLag == 0 {
		v.load = o.currentSample(now)
	}
	if o.frozen != nil {
		v.load = *o.frozen
	}
	v.events, v.first, v.next = o.core.CacheEvents(m.from)
	if delay := o.faults.cacheDelay; delay > 0 {
		v.next = min(v.next, o.asOf(now, delay).nextSeq)
	}
	gap := o.faults.cacheGap
	v.events = slices.DeleteFunc(v.events, func(e batcher.CacheEvent) bool {
		return e.Seq >= v.next || (gap > 0 && e.Seq%gap == 0)
	})
	m.reply <- v
}

// setFaults applies faults. The connection that carries the request, conn, is exempt from them.
type setFaults struct {
	faults EngineFaults
	conn   *connection
	reply  chan<- struct{}
}

func (m setFaults) apply(o *owner, now time.Time) {
	o.faults = o.faults.withFaults(m.faults)
	if stopped := m.faults.LoadStopped; stopped != nil {
		o.frozen = nil
		if *stopped {
			last := o.asOf(now, o.faults.loadLag)
			o.frozen = &last
		}
	}
	if m.faults.Slow != nil {
		o.tick(now, batcher.Slow{Factor: *m.faults.Slow})
	}
	if m.faults.Cold {
		o.tick(now, batcher.StartCold{})
	}
	if m.faults.Silent {
		o.server.conns.silenceAll(m.conn)
	}
	if m.faults.Crash {
		o.crash(now, batcher.Crashed{Cause: "fault"}, m.conn, m.faults.DownMs.duration())
	}
	m.reply <- struct{}{}
}

// order changes the models that the engine serves.
type order struct {
	kind, model  string
	fencingToken uint64
	reply        chan<- orderResult
}

type orderResult struct {
	accepted        bool
	kindKnown       bool
	maxFencingToken uint64
	models          []string
}

func (m order) apply(o *owner, now time.Time) {
	result := orderResult{accepted: o.acceptsToken(m.fencingToken), kindKnown: true}
	if result.accepted {
		switch m.kind {
		case "LoadModel", "LoadAdapter", "LoadVersion":
			if !slices.Contains(o.models, m.model) {
				o.models = append(slices.Clone(o.models), m.model)
				o.tick(now, batcher.StartCold{})
			}
		case "UnloadModel":
			o.models = slices.DeleteFunc(slices.Clone(o.models), func(name string) bool { return name == m.model })
		case "ChangeRole":
		default:
			result.kindKnown = false
		}
	}
	result.maxFencingToken, result.models = o.maxFencingToken, o.models
	m.reply <- result
}

// transfer creates, drops, reads or imports an export; event is nil for a read. The reply is the export, also when it was just dropped, or
// nil when it existed neither before nor after.
type transfer struct {
	event batcher.Event
	id    string
	reply chan<- *batcher.Export
}

func (m transfer) apply(o *owner, now time.Time) {
	before, existed := o.core.Export(m.id)
	if m.event != nil {
		o.tick(now, m.event)
	}
	after, exists := o.core.Export(m.id)
	switch {
	case exists:
		m.reply <- &after
	case existed:
		m.reply <- &before
	default:
		m.reply <- nil
	}
}
