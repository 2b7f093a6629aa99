package deduplicator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// naive is a simple system for comparison: it retries a failed append and knows only the calls of its own node.
type naive struct {
	outcomes map[string]*modeler.CallOutcome
	failures map[modeler.AttemptID]int
}

func newNaive() modeler.System {
	return &naive{outcomes: map[string]*modeler.CallOutcome{}, failures: map[modeler.AttemptID]int{}}
}

func (n *naive) Run(tick *modeler.Tick, _ *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.CallArrived:
			if outcome, ok := n.outcomes[e.Call.Key]; ok {
				tick.Emit(modeler.ReplyCall{Attempt: e.Call.Attempt, Decision: modeler.CallDecision{Outcome: outcome}})
				continue
			}
			tick.Emit(modeler.AppendRecord{Stream: modeler.StreamCalls, Record: modeler.CallIntent(e)})
		case modeler.CallEnded:
			if e.Outcome.Known {
				n.outcomes[e.Call.Key] = &e.Outcome
			}
		case modeler.AppendEnded:
			c := e.Record.(modeler.CallIntent).Call
			if n.failures[c.Attempt]++; e.Failed && n.failures[c.Attempt] < 3 {
				tick.Emit(modeler.AppendRecord{Stream: modeler.StreamCalls, Record: e.Record})
				continue
			}
			tick.Emit(modeler.ReplyCall{Attempt: c.Attempt, Decision: modeler.CallDecision{Run: !e.Failed}})
		}
	}
}

// stepKinds is the list from which the kinds of steps are drawn. Ordinary steps occur more often than faults, so that calls
// progress far enough for a fault to affect them.
var stepKinds = slices.Concat(
	slices.Repeat([]string{"submit", "advance", "send"}, 8), slices.Repeat([]string{"finish append", "read"}, 16),
	[]string{"store delayed", "store delayed", "pause", "kill", "down", "trim"},
)

// drawSteps draws the steps of a history. Each drawn number only seeds a generator, because rapid prefers small numbers and would
// otherwise repeat a few kinds of steps.
func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "step"), 0))
		return step{kind: stepKinds[r.IntN(len(stepKinds))], node: r.IntN(3), n: r.IntN(1 << 20)}
	}), 200, 400).Draw(t, "steps")
}

// TestAtMostOnce guards against a call that runs twice across all nodes, a refusal with NotRun of an attempt that runs, a wrong
// recorded outcome, an attempt without a reply, and a record that is never read back. The naive system must violate these rules under
// the same histories, to show that they contain the faults that matter.
func TestAtMostOnce(t *testing.T) {
	naiveViolations, granted, replayed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t)
		naiveHistory := newHistory(newNaive)
		h := newHistory(func() modeler.System { return New(Options{Retention: retention}) })
		for _, s := range steps {
			naiveHistory.play(s)
			h.play(s)
		}
		naiveViolations += len(naiveHistory.violations)
		h.stabilize()
		checkReplies(t, h)
		for _, decision := range h.replies {
			switch {
			case decision.Run:
				granted++
			case decision.Outcome != nil:
				replayed++
			}
		}
		checkAcceptsNewKeys(t, h)
		assert.Equal(t, len(h.violations), 0, "%v", h.violations)
	})
	t.Logf("granted %d, answered with a recorded outcome %d, violations of the naive system %d", granted, replayed, naiveViolations)
	assert.Assert(t, naiveViolations > 0 && granted > 0 && replayed > 0)
}

// checkReplies fails the test for attempts of running nodes that received no reply and for records that were not read back.
func checkReplies(t *rapid.T, h *history) {
	for _, p := range h.processes {
		assert.Equal(t, p.system.(*System).Pending(), 0)
		for id, c := range h.calls {
			_, replied := h.replies[id]
			assert.Assert(t, replied || c.Node != p.id, "%s received no reply", id)
		}
	}
}

// checkAcceptsNewKeys fails the test for nodes that still refuse a new key after all faults have ended.
func checkAcceptsNewKeys(t *rapid.T, h *history) {
	h.advance(epoch)
	for _, p := range h.processes {
		c := modeler.Call{Member: "m", Key: string(p.id), KeyTime: h.now, Attempt: modeler.AttemptID(p.id), Node: p.id, Deadline: h.now.Add(time.Minute)}
		h.calls[c.Attempt] = c
		h.post(p, modeler.CallArrived{Call: c})
		h.stabilize()
		assert.Assert(t, h.replies[c.Attempt].Run, "a new key is refused: %+v", h.replies[c.Attempt].Refusal)
	}
}
