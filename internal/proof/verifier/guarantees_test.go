package verifier

import (
	"testing"

	"damaskpick.example/damaskpick/internal/proof/prover"
)

// TestGuarantees guards against a violation of a guarantee under faults, and against a proof that cannot fail: the naive version must
// violate each guarantee under some of the same seeds. The proofs of NotRun and AtMostOnce are in the tests of the deduplicator, that
// of WholeAnswer is in the tests of the assembler.
func TestGuarantees(t *testing.T) {
	prover.Prove(t, []prover.Proof{
		{Guarantee: "Finish", Run: finish},
		{Guarantee: "Memory", Run: memory},
		{Guarantee: "ColdStart", Run: coldStart},
		{Guarantee: "DataCentreOut", Run: dataCentreOut},
		{Guarantee: "EndpointLeaving", Run: endpointLeaving},
		{Guarantee: "PlannedStop", Run: plannedStop},
		{Guarantee: "Rules", Run: rulesInEffect},
		{Guarantee: "Shares", Run: shares},
		{Guarantee: "Poison", Run: poison},
	})
}

// shares runs a plan of the comparison of versions (see TestVersions). It guards against members that use more than their caps.
func shares(seed uint64, plain bool) prover.Verdict {
	v := escrow
	if plain {
		v = naive
	}
	c := run(planGenerator.Example(int(seed)), v)
	verdict := prover.Verdict{Trace: c.trace[max(0, len(c.trace)-40):]}
	if c.overshoots > 0 {
		verdict.Violations = append(verdict.Violations, "a member used more than its cap")
	}
	if mismatch := c.checkBalances(); v == escrow && mismatch != "" {
		verdict.Violations = append(verdict.Violations, mismatch)
	}
	return verdict
}
