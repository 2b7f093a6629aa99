// Package executor carries out the effects of control ticks: messages to nodes, records for the log and cancellations at engines.
package executor

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"damaskpick.example/damaskpick/internal/backing/appender"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// appendTimeout bounds one append. A record may land after it.
	appendTimeout = 2 * time.Second
	// cancelTimeout bounds one cancellation; the control state repeats it.
	cancelTimeout = 2 * time.Second
	// reportTimeout bounds one report; the observer asks again.
	reportTimeout = 2 * time.Second
	// maxInFlight bounds appends and cancellations under way. Further ones wait.
	maxInFlight = 64
)

// Sender sends messages to nodes without blocking.
type Sender interface {
	Send(to modeler.NodeID, address string, messages []modeler.Message)
}

// Appender appends records to the log.
type Appender interface {
	Append(ctx context.Context, stream modeler.Stream, record any) (int64, error)
}

// Canceller stops attempts at engines.
type Canceller interface {
	Cancel(ctx context.Context, address string, attempt modeler.AttemptID, term modeler.Term) error
}

// Reporter asks an endpoint what it runs.
type Reporter interface {
	Report(ctx context.Context, endpoint modeler.Endpoint) (modeler.EndpointReported, error)
}

// Options configure an Executor.
type Options struct {
	Sender    Sender
	Appender  Appender
	Canceller Canceller
	Reporter  Reporter
	// OnCancelFailed is told of a cancellation that failed. It may be nil.
	OnCancelFailed func(modeler.CancelAttempt, error)
}

// Executor implements runner.Executor.
type Executor struct {
	options Options
	// post receives the results. It is set by Connect before the first effect.
	post  func(modeler.Event)
	ctx   context.Context
	slots *semaphore.Weighted
	work  sync.WaitGroup
}

// New returns an executor and the function that stops it and waits for the work under way.
func New(options Options) (*Executor, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{options: options, ctx: ctx, slots: semaphore.NewWeighted(maxInFlight)}
	return e, func() {
		cancel()
		e.work.Wait()
	}
}

// Connect sets where results go.
func (e *Executor) Connect(post func(modeler.Event)) { e.post = post }

// target is where a batch goes. Nodes that are only known by address have no id.
type target struct {
	node    modeler.NodeID
	address string
}

// Execute implements runner.Executor.
func (e *Executor) Execute(effects []modeler.Effect) {
	batches := map[target]*modeler.SendPeer{}
	for _, effect := range effects {
		switch f := effect.(type) {
		case modeler.SendPeer:
			to := target{node: f.To, address: f.Address}
			if b, ok := batches[to]; ok {
				b.Messages = append(b.Messages, f.Messages...)
				continue
			}
			batches[to] = &f
		case modeler.AppendRecord:
			e.start(func() { e.append(f) })
		case modeler.CancelAttempt:
			e.start(func() { e.cancel(f) })
		case modeler.ReportEndpoint:
			e.start(func() { e.report(f) })
		}
	}
	for _, b := range batches {
		e.options.Sender.Send(b.To, b.Address, b.Messages)
	}
}

func (e *Executor) start(work func()) {
	e.work.Go(func() {
		if e.slots.Acquire(e.ctx, 1) != nil {
			return
		}
		defer e.slots.Release(1)
		work()
	})
}

func (e *Executor) append(f modeler.AppendRecord) {
	ctx, cancel := context.WithTimeout(e.ctx, appendTimeout)
	defer cancel()
	offset, err := e.options.Appender.Append(ctx, f.Stream, f.Record)
	e.post(modeler.AppendEnded{
		Stream: f.Stream, Record: f.Record, Offset: offset, Failed: err != nil, NotAppended: appender.IsNotAppended(err),
	})
}

func (e *Executor) cancel(f modeler.CancelAttempt) {
	ctx, cancel := context.WithTimeout(e.ctx, cancelTimeout)
	defer cancel()
	err := e.options.Canceller.Cancel(ctx, f.Address, f.Attempt, f.Term)
	if err != nil && e.options.OnCancelFailed != nil {
		e.options.OnCancelFailed(f, err)
	}
}

func (e *Executor) report(f modeler.ReportEndpoint) {
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := e.options.Reporter.Report(ctx, f.Endpoint)
	if err != nil {
		return
	}
	report.Endpoint, report.TakenAt = f.Endpoint.ID, asked
	e.post(report)
}
