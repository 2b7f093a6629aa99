package deduplicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	retention = 10 * time.Minute
	// epoch is the period in which submissions share the same keys.
	epoch = 2 * time.Minute
)

// step is one step of a history. The meaning of n depends on the kind.
type step struct {
	kind    string
	node, n int
}

// process simulates one node. Granted calls wait in grants until a "send" step runs them.
type process struct {
	id     modeler.NodeID
	system modeler.System
	world  *modeler.World
	skew   time.Duration
	cursor int64
	inbox  []modeler.Event
	paused bool
	grants []modeler.Call
	next   time.Time
}

// pendingAppend is an append that has not ended, or whose record is stored only later.
type pendingAppend struct {
	owner  *process
	record any
}

// history plays steps on three processes, one ordered log and one endpoint, and collects violations of the guarantees.
type history struct {
	build   func() modeler.System
	now     time.Time
	logDown bool
	log     []modeler.Record
	// firstOffset is the offset of the first record that the log has not dropped.
	firstOffset int64
	processes   []*process
	// unfinished appends have not ended. delayed appends have ended with a failure, but their record is stored later.
	unfinished []pendingAppend
	delayed    []pendingAppend
	calls      map[modeler.AttemptID]modeler.Call
	replies    map[modeler.AttemptID]modeler.CallDecision
	ran        map[modeler.AttemptID]bool
	outcomes   map[string]modeler.CallOutcome
	starts     int
	violations []string
}

func newHistory(build func() modeler.System) *history {
	h := &history{
		build: build, now: noon, firstOffset: 1, processes: make([]*process, 3),
		calls: map[modeler.AttemptID]modeler.Call{}, replies: map[modeler.AttemptID]modeler.CallDecision{},
		ran: map[modeler.AttemptID]bool{}, outcomes: map[string]modeler.CallOutcome{},
	}
	for i := range h.processes {
		h.restart(i)
	}
	return h
}

// restart replaces a process by a new one without state. The clocks of processes differ by less than the clock margin.
func (h *history) restart(i int) {
	h.starts++
	p := &process{id: modeler.NodeID(fmt.Sprintf("n%d/%d", i, h.starts)), system: h.build(), cursor: 1, skew: time.Duration(i-1) * 25 * time.Second}
	p.world = modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: p.id}})
	p.world.FenceUntil = noon.AddDate(1, 0, 0)
	h.processes[i] = p
}

func (h *history) play(s step) {
	p := h.processes[s.node%len(h.processes)]
	switch s.kind {
	case "submit":
		h.submit(p, s.n)
	case "finish append":
		for range min(len(h.unfinished), s.n%4+1) {
			s.n /= 4
			h.finishAppend(s.n)
		}
	case "store delayed":
		h.storeDelayed(min(len(h.delayed), 1))
	case "read":
		h.read(p, s.n%32+1)
	case "send":
		h.send(p, s.n)
	case "advance":
		milliseconds := []int{1, 1, 1, 10, 10, 10, 10, 100, 100, 300, 300, 1000, 3000, 3000, 40_000, 240_000}
		h.advance(time.Duration(milliseconds[s.n%len(milliseconds)]) * time.Millisecond)
	case "pause":
		p.paused = s.n%8 == 0
		h.post(p)
	case "kill":
		h.restart(s.node % len(h.processes))
	case "down":
		h.logDown = s.n%6 == 0
	case "trim":
		h.firstOffset += int64(len(h.log)-int(h.firstOffset)+1) / 2 * int64(s.n%4/3)
	}
}

// submit submits a call with one of three keys of the current or an earlier epoch, sometimes with another body.
func (h *history) submit(p *process, n int) {
	ages := []time.Duration{0, 0, 0, 0, 0, 0, 1, 2, 4, 6}
	keyTime := h.now.Truncate(epoch).Add(-epoch * ages[n/24%len(ages)])
	attempt := modeler.AttemptID(fmt.Sprintf("a%d", len(h.calls)))
	c := modeler.Call{
		Member: "m", Key: fmt.Sprintf("%s-%d", keyTime.Format("15:04"), n%3), KeyTime: keyTime, BodyHash: uint64(n / 3 % 8 / 7),
		Attempt: attempt, Node: p.id, Deadline: h.now.Add(p.skew + time.Duration(n%4+1)*2*time.Second),
	}
	h.calls[attempt] = c
	h.post(p, modeler.CallArrived{Call: c})
}

// finishAppend ends one append. The record is stored and acknowledged, stored without an acknowledgement, stored later, lost, or
// refused by the log.
func (h *history) finishAppend(n int) {
	i := n / 16 % len(h.unfinished)
	a := h.unfinished[i]
	h.unfinished = append(h.unfinished[:i:i], h.unfinished[i+1:]...)
	ended := modeler.AppendEnded{Stream: modeler.StreamCalls, Record: a.record, Failed: true}
	result := n % 16
	switch {
	case h.logDown && result < 12 || result == 15:
		ended.NotAppended = true
	case result < 12:
		h.store(a.record)
		ended.Failed = result >= 10
	case result < 14:
		h.delayed = append(h.delayed, a)
	}
	h.post(a.owner, ended)
}

// store appends a record to the log, whose clock is 15 s behind.
func (h *history) store(record any) {
	h.log = append(h.log, modeler.Record{Offset: int64(len(h.log)) + 1, Time: h.now.Add(-15 * time.Second), Value: record})
}

// storeDelayed stores the records of the first count delayed appends.
func (h *history) storeDelayed(count int) {
	for _, a := range h.delayed[:count] {
		h.store(a.record)
	}
	h.delayed = h.delayed[count:]
}

// read lets a process read up to limit records from its cursor on.
func (h *history) read(p *process, limit int) {
	if h.logDown {
		h.post(p, modeler.LogFailed{Stream: modeler.StreamCalls})
		return
	}
	for h.firstOffset <= int64(len(h.log)) && h.now.Sub(h.log[h.firstOffset-1].Time) > retention {
		h.firstOffset++
	}
	from := max(p.cursor, h.firstOffset)
	page := h.log[from-1 : min(int(from)-1+limit, len(h.log))]
	read := modeler.RecordsRead{Stream: modeler.StreamCalls, Records: page, AskedAt: h.now, Skipped: h.firstOffset > p.cursor}
	p.cursor = from + int64(len(page))
	read.AtEnd = p.cursor > int64(len(h.log))
	h.post(p, read)
}

// send runs the oldest granted call of a process. The call succeeds, its response is lost, or it fails before the first byte is sent.
func (h *history) send(p *process, n int) {
	if p.paused || len(p.grants) == 0 {
		return
	}
	c := p.grants[0]
	p.grants = p.grants[1:]
	if n%4 == 3 {
		h.post(p, modeler.CallEnded{Call: c})
		return
	}
	refusal := h.replies[c.Attempt].Refusal
	h.check(refusal == nil || refusal.Run != modeler.NotRun, c, "ran after NotRun")
	_, hadRun := h.outcomes[c.Key]
	h.check(!hadRun, c, "ran although the key had run")
	outcome := modeler.CallOutcome{Ran: true, Known: n%4 != 2, Status: len(h.ran), Body: make([]byte, n%3*(MaxBodyBytes-1))}
	h.ran[c.Attempt], h.outcomes[c.Key] = true, outcome
	h.post(p, modeler.CallEnded{Call: c, Outcome: outcome})
}

func (h *history) advance(d time.Duration) {
	h.now = h.now.Add(d)
	for _, p := range h.processes {
		if !p.next.IsZero() && !p.next.After(h.now.Add(p.skew)) {
			h.post(p)
		}
	}
}

// post queues events for a process and runs a tick unless the process is paused.
func (h *history) post(p *process, events ...modeler.Event) {
	p.inbox = append(p.inbox, events...)
	if p.paused {
		return
	}
	tick := &modeler.Tick{Now: h.now.Add(p.skew), Events: p.inbox, Rand: rand.New(rand.NewPCG(1, uint64(h.starts)))}
	p.inbox = nil
	p.system.Run(tick, p.world)
	p.next = tick.Next()
	for _, effect := range tick.Effects() {
		switch e := effect.(type) {
		case modeler.AppendRecord:
			h.unfinished = append(h.unfinished, pendingAppend{owner: p, record: e.Record})
		case modeler.ReplyCall:
			h.reply(p, e)
		}
	}
}

// check adds a violation by call c unless ok.
func (h *history) check(ok bool, c modeler.Call, violation string) {
	if !ok {
		h.violations = append(h.violations, string(c.Attempt)+" of key "+c.Key+" "+violation)
	}
}

// reply records a decision, checks it against the calls that ran, and queues a granted call.
func (h *history) reply(p *process, e modeler.ReplyCall) {
	c := h.calls[e.Attempt]
	_, replied := h.replies[e.Attempt]
	h.check(!replied, c, "was answered twice")
	h.replies[e.Attempt] = e.Decision
	if e.Decision.Run {
		p.grants = append(p.grants, c)
	}
	refusal, outcome := e.Decision.Refusal, e.Decision.Outcome
	h.check(refusal == nil || refusal.Run != modeler.NotRun || !h.ran[e.Attempt], c, "was answered NotRun after it ran")
	ran := h.outcomes[c.Key]
	h.check(outcome == nil || ran.Known && outcome.Status == ran.Status, c, "was answered with the outcome of another call")
}

// stabilize ends all faults and advances the time until all pending appends and calls have ended.
func (h *history) stabilize() {
	h.logDown = false
	until := h.now.Add(100 * time.Second)
	for _, p := range h.processes {
		p.paused = false
		h.post(p)
	}
	h.storeDelayed(len(h.delayed))
	for ; h.now.Before(until); h.advance(time.Second) {
		for len(h.unfinished) > 0 {
			h.finishAppend(0)
		}
		for _, p := range h.processes {
			h.read(p, len(h.log))
			h.send(p, 0)
		}
	}
}
