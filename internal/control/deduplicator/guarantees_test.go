package deduplicator

import (
	"math/rand/v2"
	"strings"
	"testing"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/proof/prover"
)

// TestGuarantees guards against a refusal with NotRun of a call that runs, and against a call that runs twice or receives the outcome
// of another one, under random histories of the kind that TestAtMostOnce uses.
func TestGuarantees(t *testing.T) {
	prover.Prove(t, []prover.Proof{
		{Guarantee: "NotRun", Run: func(seed uint64, naive bool) prover.Verdict {
			return playSeed(seed, naive, func(violation string) bool { return strings.Contains(violation, "NotRun") })
		}},
		{Guarantee: "AtMostOnce", Run: func(seed uint64, naive bool) prover.Verdict {
			return playSeed(seed, naive, func(violation string) bool {
				return strings.Contains(violation, "had run") || strings.Contains(violation, "another call")
			})
		}},
	})
}

// naiveWithNotRun is the naive system that also refuses a call whose response was lost with NotRun.
type naiveWithNotRun struct{ modeler.System }

func (n naiveWithNotRun) Run(tick *modeler.Tick, world *modeler.World) {
	n.System.Run(tick, world)
	for _, event := range tick.Events {
		if e, ok := event.(modeler.CallEnded); ok && !e.Outcome.Known {
			refusal := &modeler.Refusal{Code: modeler.CodeEndpointFailed, Run: modeler.NotRun}
			tick.Emit(modeler.ReplyCall{Attempt: e.Call.Attempt, Decision: modeler.CallDecision{Refusal: refusal}})
		}
	}
}

// playSeed plays the history of a seed and returns the violations that match the guarantee under test.
func playSeed(seed uint64, useNaive bool, matches func(string) bool) prover.Verdict {
	r := rand.New(rand.NewPCG(seed, 0))
	build := func() modeler.System { return New(Options{Retention: retention}) }
	if useNaive {
		build = func() modeler.System { return naiveWithNotRun{newNaive()} }
	}
	h := newHistory(build)
	length := 200 + r.IntN(400)
	trace := make([]string, 0, length)
	for range length {
		s := step{kind: stepKinds[r.IntN(len(stepKinds))], node: r.IntN(3), n: r.IntN(1 << 20)}
		h.play(s)
		trace = append(trace, s.kind)
	}
	if !useNaive {
		h.stabilize()
	}
	verdict := prover.Verdict{Trace: trace[len(trace)-40:]}
	for _, violation := range h.violations {
		if matches(violation) {
			verdict.Violations = append(verdict.Violations, violation)
		}
	}
	return verdict
}
