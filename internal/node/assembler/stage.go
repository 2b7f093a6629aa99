package assembler

import (
	"sync/atomic"

	"damaskpick.example/damaskpick/internal/control/detector"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/warmer"
)

// stage is the last system of a tick. It tells the assembler how far the node's life has come.
type stage struct {
	detector *detector.System
	// pending returns the outcome records that are not read back.
	pending func() int
	// callersDone is set once the last caller's request has ended.
	callersDone atomic.Bool
	// departed and reclaimed are closed once.
	departed  chan struct{}
	reclaimed chan struct{}
	world     *modeler.World
}

func newStage(world *modeler.World) *stage {
	return &stage{world: world, departed: make(chan struct{}), reclaimed: make(chan struct{})}
}

// Run implements modeler.System.
func (s *stage) Run(*modeler.Tick, *modeler.World) {
	closeOnce(s.departed, s.detector.Departed())
	closeOnce(s.reclaimed, s.detector.Evicted())
}

// mayDepart tells whether this node has handed over everything but its share balances.
func (s *stage) mayDepart() bool {
	return s.callersDone.Load() && s.world.Requests.Len() == 0 && !warmer.HoldsAny(s.world) && s.pending() == 0
}

// closeOnce closes a channel that only the control goroutine closes.
func closeOnce(channel chan struct{}, done bool) {
	if !done {
		return
	}
	select {
	case <-channel:
	default:
		close(channel)
	}
}
