package parser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/telemetry/parser"
)

// TestParse guards against fields that are lost after a quoted value or a node name, and against text without a
// valid time that is accepted as a line.
func TestParse(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC)
	tests := []struct {
		name, text string
		ok         bool
		source     string
		message    string
		fields     map[string]string
	}{
		{"plain", "time=2026-01-02T03:04:05.006Z level=info message=Placed Request=r Prompt=7", true, "", "Placed", map[string]string{"Request": "r", "Prompt": "7"}},
		{
			"node name before the time", " 1.2 node-a time=2026-01-02T03:04:05.006Z level=warn message=StoreLost Reason=\"no answer: \\\"x=1\\\"\" Offset=9", true,
			"1.2 node-a", "StoreLost", map[string]string{"Reason": `no answer: "x=1"`, "Offset": "9"},
		},
		{"empty value", `time=2026-01-02T03:04:05.006Z message=M Helpers="" Last=`, true, "", "M", map[string]string{"Helpers": "", "Last": ""}},
		{"truncated in a quoted value", `time=2026-01-02T03:04:05.006Z message=M Reason="no`, true, "", "M", map[string]string{"Reason": `"no`}},
		{"no time", "level=info message=M", false, "", "", nil},
		{"invalid time", "time=yesterday message=M", false, "", "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			line, ok := parser.Parse(tt.text)
			assert.Equal(t, ok, tt.ok)
			if !ok {
				return
			}
			assert.Equal(t, line.Source, tt.source)
			assert.Equal(t, line.Message, tt.message)
			assert.Assert(t, line.At.Equal(at))
			for key, want := range tt.fields {
				assert.Equal(t, line.Get(key), want, key)
			}
		})
	}
}

// TestNumber guards against text that is parsed as a number.
func TestNumber(t *testing.T) {
	line, _ := parser.Parse("time=2026-01-02T03:04:05.006Z First=12.5 Code=200 Status=Refused")
	assert.DeepEqual(t, []float64{line.Number("First"), line.Number("Code"), line.Number("Status"), line.Number("Other")}, []float64{12.5, 200, 0, 0})
}
