package main

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFit guards against values that are assigned to the wrong series, size or unit, and against wrong fits. The capacity page uses them.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name, input string
		want        []line
	}{
		{"line with two units", `pkg: a/b/lender
BenchmarkTick/nodes=9/members=10-10  5 120 ns/op 30.5 B/op
BenchmarkTick/nodes=9/members=20-10  5 140 ns/op 30.5 B/op
BenchmarkTick/nodes=9/members=40-10  5 180 ns/op 30.5 B/op
`, []line{
			{key{"lender.Tick/nodes=9", "members", "ns/op"}, 100, 2, 40, 180, 3},
			{key{"lender.Tick/nodes=9", "members", "B/op"}, 30.5, 0, 40, 30.5, 3},
		}},
		{"the fastest of two runs", "pkg: a/b\nBenchmarkX/n=1 5 8 ns/op\nBenchmarkX/n=1 5 7 ns/op\n", []line{{key{"b.X", "n", "ns/op"}, 7, 0, 1, 7, 1}}},
		{"two sizes are no series", "pkg: a/b\nBenchmarkX/n=1 5 8 ns/op\nBenchmarkX/n=2 5 7 ns/op\n", nil},
		{"no size", "pkg: a/b\nBenchmarkX-10 5 8 ns/op\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			results, err := readResults(strings.NewReader(c.input))
			assert.NilError(t, err)
			lines := fitAll(results)
			assert.Equal(t, len(lines), len(c.want))
			for i := range lines {
				// Floating-point sums of squares are not exact.
				lines[i].intercept, lines[i].slope = math.Round(lines[i].intercept*1e6)/1e6, math.Round(lines[i].slope*1e6)/1e6
				assert.Equal(t, lines[i], c.want[i])
			}
		})
	}
	_, err := readResults(strings.NewReader("--- FAIL: BenchmarkX\n"))
	assert.ErrorContains(t, err, "failed")
}
