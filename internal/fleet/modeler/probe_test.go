package modeler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProbeReports guards against nodes that count the probes of a quarantine differently after they have learned of them in another order, late or twice.
func TestProbeReports(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const s = time.Second
	tests := []struct {
		name    string
		reports []ProbeReport
		want    Probe
	}{
		{"none", []ProbeReport{{}}, Probe{}},
		{
			"the result after the placement", []ProbeReport{{1, 1, "a", ProbePlaced, 2 * s}, {1, 1, "a", ProbeBroke, s}},
			Probe{1, 1, "a", ProbeBroke, now.Add(-2 * s)},
		},
		{
			"the placement after the result", []ProbeReport{{1, 1, "a", ProbeBroke, 2 * s}, {1, 1, "a", ProbePlaced, 0}},
			Probe{1, 1, "a", ProbeBroke, now.Add(-2 * s)},
		},
		{
			"twice, the second time late", []ProbeReport{{1, 1, "a", ProbeBroke, 2 * s}, {1, 1, "a", ProbeBroke, 0}},
			Probe{1, 1, "a", ProbeBroke, now.Add(-2 * s)},
		},
		{"a later probe", []ProbeReport{{1, 1, "a", ProbeBroke, 9 * s}, {1, 2, "b", ProbePlaced, s}}, Probe{1, 2, "b", ProbePlaced, now.Add(-s)}},
		{"an earlier probe", []ProbeReport{{1, 2, "b", ProbePlaced, s}, {1, 1, "a", ProbeBroke, 0}}, Probe{1, 2, "b", ProbePlaced, now.Add(-s)}},
		{"a later quarantine", []ProbeReport{{1, 5, "a", ProbeBroke, 9 * s}, {2, 1, "b", ProbePlaced, s}}, Probe{2, 1, "b", ProbePlaced, now.Add(-s)}},
		{"an earlier quarantine", []ProbeReport{{2, 1, "b", ProbePlaced, s}, {1, 5, "a", ProbeBroke, 0}}, Probe{2, 1, "b", ProbePlaced, now.Add(-s)}},
		{
			"two coordinators", []ProbeReport{{1, 1, "a", ProbePlaced, 2 * s}, {1, 1, "b", ProbeBroke, 3 * s}},
			Probe{1, 2, "b", ProbeBroke, now.Add(-2 * s)},
		},
		{
			"two coordinators, each twice",
			[]ProbeReport{{1, 1, "b", ProbeBroke, 3 * s}, {1, 1, "a", ProbePlaced, 2 * s}, {1, 1, "b", ProbeBroke, s}, {1, 1, "a", ProbePlaced, s}},
			Probe{1, 2, "b", ProbeBroke, now.Add(-2 * s)},
		},
		{
			"two coordinators of which another node has learned too",
			[]ProbeReport{{1, 1, "a", ProbePlaced, 2 * s}, {1, 1, "b", ProbeBroke, 3 * s}, {1, 2, "b", ProbeBroke, s}},
			Probe{1, 2, "b", ProbeBroke, now.Add(-2 * s)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var probe Probe
			for _, report := range tt.reports {
				probe = probe.WithReport(report, now)
			}
			assert.DeepEqual(t, probe, tt.want)
		})
	}
}

// TestProbeWait guards against probes that follow each other so fast that more engines crash than the users allow, and against a sound part that waits long
// for its second probe.
func TestProbeWait(t *testing.T) {
	tests := []struct {
		name   string
		number int
		state  ProbeState
		want   time.Duration
	}{
		{"the first has shown nothing", 1, ProbeInconclusive, 5 * time.Second},
		{"the third has shown nothing", 3, ProbeInconclusive, 5 * time.Second},
		{"nobody knows how the first ended", 1, ProbePlaced, 5 * time.Second},
		{"nobody knows how the second ended", 2, ProbePlaced, 30 * time.Second},
		{"nobody knows how the third ended", 3, ProbePlaced, time.Minute},
		{"the first broke", 1, ProbeBroke, 30 * time.Second},
		{"the second broke", 2, ProbeBroke, time.Minute},
		{"the fifth broke", 5, ProbeBroke, 8 * time.Minute},
		{"a number that no node counts", 1 << 40, ProbeBroke, 8 * time.Minute},
		{"a number below the first", -1 << 40, ProbeBroke, 30 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Probe{Quarantine: 1, Number: tt.number, State: tt.state}.wait(), tt.want)
		})
	}
}
