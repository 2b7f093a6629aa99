package verifier

import (
	"time"

	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	memberCount = 3
	fleetTokens = modeler.Tokens(3_000)
	faultSpan   = 45 * time.Second
	// recoverySpan follows the faults; stranded capacity is measured at its end.
	recoverySpan = 30 * time.Second
)

// faultKind is a kind of fault.
type faultKind string

const (
	pause faultKind = "pause"
	kill  faultKind = "kill"
	join  faultKind = "join"
	leave faultKind = "leave"
	// partition splits the nodes into two sides, of which one does not reach the log.
	partition faultKind = "partition"
	// isolate cuts one node off from all others, except that it still gets their messages after a long delay. Either the answers
	// of the log reach it late, or it does not reach the log until some time after it reaches the others again.
	isolate faultKind = "isolate"
	// isolatePair cuts two nodes off from all others but not from each other. They lose the log at once or later.
	isolatePair faultKind = "pair"
	logOutage   faultKind = "logOutage"
	changeRules faultKind = "rules"
	declareDead faultKind = "declare"
)

// weightedKinds lists each kind as many times as its relative frequency.
var weightedKinds = []faultKind{
	pause, pause, kill, join, join, leave, partition, partition, isolate, isolate, isolate, isolatePair, isolatePair, logOutage, changeRules, changeRules, declareDead,
}

// fault is a planned fault. Node, modulo the number of nodes alive at that time, selects the node.
type fault struct {
	Kind     faultKind
	At, Span time.Duration
	Node     int
	// Percent is the share of each member after a change of the rules. For faults that cut nodes off it decides whether they also
	// lose the log at once.
	Percent int
}

// plan describes one run. All versions run the same plans.
type plan struct {
	Seed      uint64
	Nodes     int
	Faults    []fault
	Loss      float64
	MaxHold   time.Duration
	Tolerance time.Duration
}

func millis(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
}

var faultGenerator = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind:    rapid.SampledFrom(weightedKinds).Draw(t, "kind"),
		At:      millis(3_000, int(faultSpan.Milliseconds())).Draw(t, "at"),
		Span:    millis(200, 20_000).Draw(t, "span"),
		Node:    rapid.IntRange(0, 8).Draw(t, "node"),
		Percent: rapid.SampledFrom([]int{5, 20, 33, 60}).Draw(t, "percent"),
	}
})

var planGenerator = rapid.Custom(func(t *rapid.T) plan {
	return plan{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Nodes:     rapid.IntRange(3, 9).Draw(t, "nodes"),
		Faults:    rapid.SliceOfN(faultGenerator, 2, 14).Draw(t, "faults"),
		Loss:      rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		MaxHold:   millis(200, 15_000).Draw(t, "hold"),
		Tolerance: millis(3_000, 12_000).Draw(t, "tolerance"),
	}
})
