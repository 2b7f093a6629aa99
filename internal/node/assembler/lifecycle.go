package assembler

import (
	"sync/atomic"

	"damaskpick.example/damaskpick/internal/control/detector"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/warmer"
)

// lifecycle is the last system of a tick. It signals that the node has departed or was reclaimed, and provides the conditions for its
// departure to other systems.
type lifecycle struct {
	detector *detector.System
	// pending returns the number of outcome and abort records that have not been read back.
	pending func() int
	// callersDone is set once the last caller's request has ended.
	callersDone atomic.Bool
	// departed is closed when the node's departure was read back, reclaimed when other nodes have reclaimed the node.
	departed  chan struct{}
	reclaimed chan struct{}
	world     *modeler.World
}

func newLifecycle(world *modeler.World) *lifecycle {
	return &lifecycle{world: world, departed: make(chan struct{}), reclaimed: make(chan struct{})}
}

// Run implements modeler.System.
func (l *lifecycle) Run(*modeler.Tick, *modeler.World) {
	closeOnce(l.departed, l.detector.Departed())
	closeOnce(l.reclaimed, l.detector.Evicted())
}

// mayDepart reports whether this node serves no more callers, has no requests, holds no endpoints and has no pending records. It may
// still have share balances to hand over.
func (l *lifecycle) mayDepart() bool {
	return l.callersDone.Load() && l.world.Requests.Len() == 0 && !warmer.HoldsAny(l.world) && l.pending() == 0
}

// closeOnce closes a channel if condition is true and the channel is not closed yet. Only the control goroutine may call it.
func closeOnce(channel chan struct{}, condition bool) {
	if !condition {
		return
	}
	select {
	case <-channel:
	default:
		close(channel)
	}
}
