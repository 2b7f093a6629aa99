package collector_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/findings/collector"
)

// TestErr guards against findings that are missing, out of order, or whose column counts bytes instead of characters.
func TestErr(t *testing.T) {
	tests := []struct {
		name string
		add  func(*collector.Collector)
		want string
	}{
		{"none", func(*collector.Collector) {}, ""},
		{"sorted by position", func(c *collector.Collector) {
			c.Add(4, "B", "second")
			c.Add(0, "A", "first of %d", 2)
		}, "f:1:1: A: first of 2\nf:2:1: B: second"},
		{"columns count characters", func(c *collector.Collector) { c.Add(8, "", "after two-byte letters") }, "f:2:3: after two-byte letters"},
		{"offset past the end", func(c *collector.Collector) { c.Add(99, "", "end") }, "f:3:1: end"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := collector.New("f", []byte("abc\nőű\n"))
			tt.add(c)
			if err := c.Err(); err != nil || tt.want != "" {
				assert.Error(t, err, tt.want)
			}
		})
	}
}

// TestErrOmits guards against a report of unlimited size and an incorrect count of omitted findings.
func TestErrOmits(t *testing.T) {
	c := collector.New("", nil)
	for range collector.MaxFindings + 3 {
		c.Add(0, "", "fault")
	}
	var findings collector.FindingsError
	assert.Assert(t, errors.As(c.Err(), &findings))
	assert.Equal(t, len(findings.Findings), collector.MaxFindings)
	assert.Equal(t, findings.Omitted, 3)
}
