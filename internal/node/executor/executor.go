// Package executor performs the effects of control ticks: it sends messages to nodes, appends records to the log, cancels attempts at
// engines and requests reports from endpoints.
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
	// appendTimeout bounds one append. The record may still be stored after the timeout.
	appendTimeout = 2 * time.Second
	// cancelTimeout bounds one cancellation. A failed one needs no retry here, because the warmer repeats cancellations.
	cancelTimeout = 2 * time.Second
	// reportTimeout bounds one report. A failed report needs no retry here, because the observer requests reports periodically.
	reportTimeout = 2 * time.Second
	// maxConcurrent is the maximum number of concurrent appends, cancellations and reports. Further ones wait.
	maxConcurrent = 64
)

// Sender sends messages to nodes without blocking. It is not modeler.Sender, which identifies the sender of a batch.
type Sender interface {
	Send(to modeler.NodeID, address string, messages []modeler.Message)
}

// Appender appends records to the log.
type Appender interface {
	Append(ctx context.Context, stream modeler.Stream, record any) (int64, error)
}

// Canceller cancels attempts at engines.
type Canceller interface {
	Cancel(ctx context.Context, address string, attempt modeler.AttemptID, term modeler.Term) error
}

// ReportFetcher requests an endpoint's report of the attempts that it runs.
type ReportFetcher interface {
	Report(ctx context.Context, endpoint modeler.Endpoint) (modeler.EndpointReported, error)
}

// Options configures an Executor.
type Options struct {
	Sender    Sender
	Appender  Appender
	Canceller Canceller
	Reporter  ReportFetcher
	// OnCancelFailed is called when a cancellation has failed. It may be nil.
	OnCancelFailed func(modeler.CancelAttempt, error)
}

// Executor implements runner.Executor.
type Executor struct {
	options Options
	// post receives the result events.
	post  func(modeler.Event)
	ctx   context.Context
	slots *semaphore.Weighted
	// running counts the goroutines that carry out effects or wait for a slot.
	running sync.WaitGroup
}

// New returns an executor, and a function that cancels the running effects and waits until they have ended.
func New(options Options) (*Executor, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{options: options, ctx: ctx, slots: semaphore.NewWeighted(maxConcurrent)}
	return e, func() {
		cancel()
		e.running.Wait()
	}
}

// Connect sets the function that receives the result events. It must be called before Execute.
func (e *Executor) Connect(post func(modeler.Event)) { e.post = post }

// recipient identifies the node that a batch of messages is sent to. The ID is empty if only the address is known.
type recipient struct {
	node    modeler.NodeID
	address string
}

// Execute implements runner.Executor. It does not block: messages to the same recipient are sent as one batch, and every other effect
// runs in its own goroutine.
func (e *Executor) Execute(effects []modeler.Effect) {
	batches := map[recipient]*modeler.SendPeer{}
	for _, effect := range effects {
		switch f := effect.(type) {
		case modeler.SendPeer:
			to := recipient{node: f.To, address: f.Address}
			if b, ok := batches[to]; ok {
				b.Messages = append(b.Messages, f.Messages...)
				continue
			}
			batches[to] = &f
		case modeler.AppendRecord:
			e.start(func() { e.append(f) })
		case modeler.CancelAttempt:
			e.start(func() { e.cancel(f) })
		case modeler.RequestReport:
			e.start(func() { e.requestReport(f) })
		}
	}
	for _, b := range batches {
		e.options.Sender.Send(b.To, b.Address, b.Messages)
	}
}

// start calls run in a goroutine as soon as fewer than maxConcurrent others run. It does not call run if the executor is stopped
// first.
func (e *Executor) start(run func()) {
	e.running.Go(func() {
		if e.slots.Acquire(e.ctx, 1) != nil {
			return
		}
		defer e.slots.Release(1)
		run()
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

func (e *Executor) requestReport(f modeler.RequestReport) {
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := e.options.Reporter.Report(ctx, f.Endpoint)
	if err != nil {
		return
	}
	report.Endpoint, report.TakenAt = f.Endpoint.ID, askedAt
	e.post(report)
}
