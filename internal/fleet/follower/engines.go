package follower

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxReports is the number of engines that are asked at a time, and reportTimeout bounds one question. Engines answer within a round trip.
	maxReports    = 32
	reportTimeout = 400 * time.Millisecond
)

// Reporter asks an engine what it works on: the requests that run or wait there, and the memory that they use.
type Reporter interface {
	Report(ctx context.Context, engine modeler.Endpoint) (requests int, memory modeler.Tokens, err error)
}

// Engines asks engines what they work on and posts EngineReported for each answer.
type Engines struct {
	reporter Reporter
	post     func(modeler.Event)
	asked    chan []modeler.Endpoint
}

// NewEngines returns Engines. Run must be called for answers.
func NewEngines(reporter Reporter, post func(modeler.Event)) *Engines {
	return &Engines{reporter: reporter, post: post, asked: make(chan []modeler.Endpoint, 1)}
}

// Ask queues a question to engines. It does not block: while the last questions have not ended, it is dropped, and the system asks again.
func (e *Engines) Ask(effect modeler.AskEngines) {
	select {
	case e.asked <- effect.Engines:
	default:
	}
}

// Run asks engines until ctx ends.
func (e *Engines) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case engines := <-e.asked:
			e.ask(ctx, engines)
		}
	}
}

func (e *Engines) ask(ctx context.Context, engines []modeler.Endpoint) {
	var group errgroup.Group
	group.SetLimit(maxReports)
	for _, engine := range engines {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			// An engine that does not answer is treated as if it had no other work.
			if requests, memory, err := e.reporter.Report(ctx, engine); err == nil {
				e.post(modeler.EngineReported{Engine: engine, Requests: requests, Memory: memory})
			}
			return nil
		})
	}
	_ = group.Wait()
}
