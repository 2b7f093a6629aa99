package responder

import (
	"time"

	"github.com/google/uuid"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// callFault is the fault injected into one call.
type callFault uint8

const (
	noCallFault callFault = iota
	crashMidCall
	callWrongID
	callTruncated
)

// serviceOwner holds the state of a service stand-in. Only its goroutine accesses the fields from bootID on.
type serviceOwner struct {
	options ServiceOptions
	server  *server
	inbox   chan serviceMessage
	stop    chan struct{}
	done    chan struct{}

	bootID        string
	delay         time.Duration
	faults        ServiceFaults
	running       int
	coldCallsLeft int
	// attempts and bodies count executions over all boots, because tests check the total.
	attempts *tabler.Table[string, int]
	bodies   *tabler.Table[string, int]
}

// serviceMessage is a request that the goroutine that owns the service applies.
type serviceMessage interface{ apply(o *serviceOwner) }

func newServiceOwner(options ServiceOptions) *serviceOwner {
	o := &serviceOwner{
		options:  options,
		inbox:    make(chan serviceMessage, 64),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		delay:    options.Delay,
		attempts: tabler.NewTable[string, int](),
		bodies:   tabler.NewTable[string, int](),
	}
	o.boot()
	return o
}

// post sends a message to the owner's goroutine. It reports false when the stand-in stops.
func (o *serviceOwner) post(m serviceMessage) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.stop:
		return false
	}
}

func (o *serviceOwner) run() {
	defer close(o.done)
	for {
		select {
		case <-o.stop:
			return
		case m := <-o.inbox:
			m.apply(o)
		}
	}
}

func (o *serviceOwner) boot() {
	o.bootID = uuid.NewString()
	o.running = 0
	o.coldCallsLeft = o.options.ColdRequests
}

func (o *serviceOwner) crash(except *connection, down time.Duration) {
	o.server.crash(except, down)
	o.boot()
}

// startCall starts a call and counts its execution. A call over the limit of a cold start is not counted and crashes the service.
type startCall struct {
	attempt, body string
	reply         chan startCallResult
}

type startCallResult struct {
	bootID string
	cold   bool
	delay  time.Duration
	fault  callFault
	// count is the number of executions of this body so far.
	count int
}

func (m startCall) replyChannel() chan startCallResult { return m.reply }

func (m startCall) apply(o *serviceOwner) {
	started := startCallResult{bootID: o.bootID, cold: o.coldCallsLeft > 0, delay: o.delay, fault: o.nextFault()}
	o.running++
	overloaded := started.cold && o.running > o.options.ColdLimit
	if overloaded {
		started.fault = crashMidCall
	} else {
		started.count = increment(o.bodies, m.body)
		increment(o.attempts, m.attempt)
	}
	if started.fault == crashMidCall {
		o.crash(nil, o.options.DownTime)
	}
	m.reply <- started
}

func increment(counts *tabler.Table[string, int], key string) int {
	count, _ := counts.Get(key)
	counts.Put(key, count+1)
	counts.Changed() // clears the list of changed keys, which nothing reads, to bound its size
	return count + 1
}

// nextFault returns the fault of the next call and decrements its count.
func (o *serviceOwner) nextFault() callFault {
	switch {
	case o.faults.DieMidCall > 0:
		o.faults.DieMidCall--
		return crashMidCall
	case o.faults.Crossed > 0:
		o.faults.Crossed--
		return callWrongID
	case o.faults.CutShort > 0:
		o.faults.CutShort--
		return callTruncated
	default:
		return noCallFault
	}
}

// endCall ends a call that started in the boot bootID.
type endCall struct{ bootID string }

func (m endCall) apply(o *serviceOwner) {
	if m.bootID != o.bootID {
		return
	}
	o.running = max(o.running-1, 0) // a requested cold start resets the count while calls are running
	o.coldCallsLeft = max(o.coldCallsLeft-1, 0)
}

// readRuns requests the counts of executions.
type readRuns struct{ reply chan runsBody }

func (m readRuns) replyChannel() chan runsBody { return m.reply }

func (m readRuns) apply(o *serviceOwner) {
	body := runsBody{BootID: o.bootID, Attempts: map[string]int{}, Bodies: map[string]int{}}
	for key, count := range o.attempts.All() {
		body.Attempts[key] = count
	}
	for key, count := range o.bodies.All() {
		body.Bodies[key] = count
	}
	m.reply <- body
}

// setServiceFaults applies faults. The connection that carries the request, conn, is exempt from them.
type setServiceFaults struct {
	faults ServiceFaults
	conn   *connection
	reply  chan struct{}
}

func (m setServiceFaults) replyChannel() chan struct{} { return m.reply }

func (m setServiceFaults) apply(o *serviceOwner) {
	o.faults.DieMidCall += m.faults.DieMidCall
	o.faults.Crossed += m.faults.Crossed
	o.faults.CutShort += m.faults.CutShort
	setIfPresent(&o.delay, m.faults.DelayMs)
	if m.faults.Cold {
		o.running, o.coldCallsLeft = 0, o.options.ColdRequests
	}
	if m.faults.Silent {
		o.server.conns.silenceAll(m.conn)
	}
	if m.faults.Crash {
		o.crash(m.conn, m.faults.DownMs.duration())
	}
	m.reply <- struct{}{}
}
