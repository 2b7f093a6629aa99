// Package assembler builds a node from its settings and runs it until it has stopped.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/telemetry/logger"
)

// Exit codes of the serve command, which Run returns.
const (
	Stopped      = 0
	Failed       = 1
	StopTimedOut = 3
)

// errReclaimed ends an incarnation that other nodes have reclaimed. Run then starts a new one.
var errReclaimed = errors.New("node was reclaimed by other nodes")

// errStopTimedOut ends a graceful stop that takes longer than Timeouts.Stop.
var errStopTimedOut = errors.New("graceful stop exceeded its deadline")

// Run runs a node until ctx ends and the graceful stop has finished, and returns an exit code. If other nodes reclaim the node while it
// is paused or disconnected, Run starts it again as a new incarnation.
func Run(ctx context.Context, settings loader.Settings) int {
	log, err := logger.New(os.Stderr, settings.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "damaskpick:", err)
		return Failed
	}
	for {
		err := runNode(ctx, settings, log)
		switch {
		case errors.Is(err, errReclaimed) && ctx.Err() == nil:
			log.Warn().Err(err).Msg("restarting node as a new incarnation")
		case err == nil:
			log.Info().Msg("node stopped")
			return Stopped
		case errors.Is(err, errStopTimedOut):
			log.Error().Err(err).Msg("node stopped before all work had ended")
			return StopTimedOut
		default:
			log.Error().Err(err).Msg("node failed")
			return Failed
		}
	}
}

// gossipSpreadTime is how long other nodes may still return the address of a stopping node to callers. They are informed by gossip,
// which reaches every node within the fence timeout. Without this delay, callers that got the address from another node would find
// the port closed.
const gossipSpreadTime = modeler.FenceTimeout

// answerTime is the time between the latest deadline of a request and the end of Timeouts.Stop, in which its answer is written and its
// connection ends.
const answerTime = time.Second

// runNode runs one incarnation.
func runNode(ctx context.Context, settings loader.Settings, log zerolog.Logger) error {
	n, cleanup, err := newNode(settings, log)
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info().Str("node", string(n.self.ID)).Str("callers", n.callers.Address()).Str("peers", n.peers.Address()).Msg("node started")
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return n.loop.Run(runCtx) })
	group.Go(func() error { return n.follower.Run(runCtx) })
	group.Go(func() error { return n.observer.Run(runCtx) })
	group.Go(func() error {
		n.reporter.Run(runCtx)
		return nil
	})
	err = n.waitAndStop(ctx, settings.Timeouts)
	cancel()
	if failure := group.Wait(); failure != nil && !errors.Is(failure, context.Canceled) {
		err = errors.Join(err, failure)
	}
	return err
}

// waitAndStop waits until ctx ends, stops gracefully and returns nil once the node's departure was read back from the log or the node
// was reclaimed. It returns errReclaimed or the error of a failed server if either comes before the end of ctx, and errStopTimedOut if
// the stop takes longer than timeouts.Stop.
func (n *node) waitAndStop(ctx context.Context, timeouts loader.Timeouts) error {
	select {
	case <-ctx.Done():
	case <-n.lifecycle.reclaimed:
		return errReclaimed
	case err := <-n.callers.Failed():
		return err
	case err := <-n.peers.Failed():
		return err
	}
	deadline, cancel := context.WithTimeout(context.Background(), timeouts.Stop.Std())
	defer cancel()
	n.log.Info().Dur("deadline", timeouts.Stop.Std()).Msg("starting graceful stop")
	if end, ok := deadline.Deadline(); ok {
		n.forwarder.EndBy(end.Add(-answerTime))
	}
	n.requestStop()
	if !waitFor(deadline, time.After(timeouts.AddressLifetime.Std()+gossipSpreadTime)) {
		return errStopTimedOut
	}
	if err := n.callers.Stop(deadline); err != nil {
		return fmt.Errorf("%w: %w", errStopTimedOut, err)
	}
	n.forwarder.Wait()
	n.lifecycle.callersDone.Store(true)
	n.requestStop()
	select {
	case <-n.lifecycle.departed:
		return nil
	case <-n.lifecycle.reclaimed:
		return nil
	case <-deadline.Done():
		return errStopTimedOut
	}
}

// waitFor waits for an event or the end of ctx and reports whether the event came first.
func waitFor[T any](ctx context.Context, event <-chan T) bool {
	select {
	case <-event:
		return true
	case <-ctx.Done():
		return false
	}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }
