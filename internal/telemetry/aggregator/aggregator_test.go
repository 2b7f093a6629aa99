package aggregator_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/telemetry/aggregator"
)

const log = `b time=2026-01-01T00:00:03.000Z level=info message=RequestEnded Request=r3 Status=Interrupted Prompt=200000 First=4000 Late=true
a time=2026-01-01T00:00:00.500Z level=info message=RequestEnded Request=r1 Status=Delivered Prompt=0 First=12.5 Late=false
a time=2026-01-01T00:00:01.200Z level=info message=RequestEnded Request=r2 Status=Delivered Prompt=900 First=100 Late=false
a time=2026-01-01T00:00:01.300Z level=info message=RequestEnded Request=r4 Status=Refused Prompt=50000 First=0 Late=false Reason=Overloaded
a time=2026-01-01T00:00:01.400Z level=info message=AttemptRepeated Request=r5
a time=2026-01-01T00:00:01.500Z level=warn message=LinesDropped Count=17
a time=2026-01-01T00:00:02.000Z level=info message=StoreLost Topic=Endpoints Reason="no answer"
a time=2026-01-01T00:00:02.100Z level=info message=RequestEnded Request=r6 Status=TimedOut Prompt=7 First=0 Late=false
no time
`

// TestRead guards against an event that is counted in the wrong step or column, and against missing rows for steps without events.
func TestRead(t *testing.T) {
	day, err := aggregator.Read(strings.NewReader(log), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(day.Rows), 4)
	tests := []struct {
		measure string
		want    []float64
	}{
		{"DELIVERED", []float64{1, 1, 0, 0}}, {"LATE", []float64{0, 0, 0, 1}}, {"REFUSED", []float64{0, 1, 0, 0}}, {"UNKNOWN", []float64{0, 0, 1, 0}},
		{"BROKEN", []float64{0, 0, 0, 1}}, {"LEFT", []float64{0, 0, 0, 0}}, {"SERVICE P95", []float64{12.5, 0, 0, 0}},
		{"SHORT P95", []float64{0, 100, 0, 0}}, {"MEDIUM P95", []float64{0, 0, 0, 0}}, {"LONG P95", []float64{0, 0, 0, 4000}},
		{"REPEATS", []float64{0, 1, 0, 0}}, {"STORE LOST", []float64{0, 0, 1, 0}}, {"DROPPED", []float64{0, 17, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.measure, func(t *testing.T) {
			for i, m := range aggregator.Measures {
				if m.Name != tt.measure {
					continue
				}
				for row, want := range tt.want {
					assert.Equal(t, day.Rows[row][i], want, "row %d", row)
				}
				return
			}
			t.Fatal("unknown measure")
		})
	}
}

// TestReadEmpty guards against a chart of logs that contain no requests.
func TestReadEmpty(t *testing.T) {
	_, err := aggregator.Read(strings.NewReader("time=2026-01-01T00:00:00.000Z message=NodeStarted\n"), 0)
	assert.ErrorIs(t, err, aggregator.ErrNoRequests)
}

// TestSteps guards against a table whose number of rows grows with the length of the day.
func TestSteps(t *testing.T) {
	tests := []struct {
		length, step, want time.Duration
	}{
		{30 * time.Second, 0, time.Second}, {24 * time.Hour, 0, 24 * time.Minute}, {24 * time.Hour, time.Millisecond, 24 * time.Minute},
		{time.Hour, 10 * time.Minute, 10 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.length.String(), func(t *testing.T) {
			start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			var text strings.Builder
			for _, at := range []time.Time{start, start.Add(tt.length)} {
				fmt.Fprintf(&text, "time=%s message=RequestEnded Status=Delivered\n", at.Format(time.RFC3339Nano))
			}
			day, err := aggregator.Read(strings.NewReader(text.String()), tt.step)
			assert.NilError(t, err)
			assert.Equal(t, day.Step, tt.want)
		})
	}
}

// TestWrite guards against a table or chart that lacks a step.
func TestWrite(t *testing.T) {
	day, err := aggregator.Read(strings.NewReader(log), time.Second)
	assert.NilError(t, err)
	var table bytes.Buffer
	assert.NilError(t, aggregator.WriteTable(&table, day))
	lines := strings.Split(strings.TrimSpace(table.String()), "\n")
	assert.Equal(t, len(lines), 5)
	assert.Assert(t, strings.Contains(lines[4], "00:00:03") && strings.Contains(lines[4], "4000"), "%s", lines[4])
	for _, format := range []string{"svg", "png"} {
		var chart bytes.Buffer
		assert.NilError(t, aggregator.WriteChart(&chart, day, format))
		assert.Assert(t, chart.Len() > 1000)
	}
}
