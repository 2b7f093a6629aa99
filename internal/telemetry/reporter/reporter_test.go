package reporter

import (
	"bytes"
	"encoding/json"
	"image/png"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

// fakeSource holds counts that a test changes.
type fakeSource struct{ list []KeyCount }

func (f *fakeSource) Counts() []KeyCount { return f.list }

// add counts events of the only member.
func (f *fakeSource) add(good, total uint64) {
	if len(f.list) == 0 {
		f.list = []KeyCount{{Key: Key{Member: "m", Class: "Short", Objective: "Answer"}, Target: 0.9}}
	}
	f.list[0].Good += good
	f.list[0].Total += total
}

// TestReport guards against windows that miss events, include expired ones, or count events before a member's first sample twice.
func TestReport(t *testing.T) {
	type burst struct {
		at          time.Duration
		good, total uint64
	}
	for _, c := range []struct {
		name   string
		bursts []burst
		at     time.Duration
		// Expected events and burn rates of the windows of 5 minutes, 1 hour, 6 hours and 3 days.
		totals  [4]uint64
		burns   [4]float64
		covered [4]time.Duration
	}{
		{name: "just started", bursts: []burst{{time.Minute, 8, 10}}, at: 2 * time.Minute,
			totals: [4]uint64{10, 10, 10, 10}, burns: [4]float64{2, 2, 2, 2},
			covered: [4]time.Duration{2 * time.Minute, 2 * time.Minute, 2 * time.Minute, 2 * time.Minute}},
		{name: "ages out window by window", bursts: []burst{{time.Minute, 0, 100}, {8 * time.Hour, 10, 10}}, at: 8*time.Hour + time.Minute,
			totals: [4]uint64{10, 10, 10, 110}, burns: [4]float64{0, 0, 0, 100. / 110 / (1 - 0.9)},
			covered: [4]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 8*time.Hour + time.Minute}},
		{name: "days later", bursts: []burst{{time.Minute, 0, 100}, {90 * time.Hour, 9, 10}, {100 * time.Hour, 10, 10}}, at: 100*time.Hour + 30*time.Minute,
			totals: [4]uint64{0, 10, 10, 20}, burns: [4]float64{0, 0, 0, 0.5},
			covered: [4]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}},
	} {
		t.Run(c.name, func(t *testing.T) {
			source, start := &fakeSource{}, time.Now()
			r := New(source, start)
			for now, next := time.Duration(0), 0; now <= c.at; now += Windows[0] / samplesPerWindow {
				for next < len(c.bursts) && c.bursts[next].at <= now {
					source.add(c.bursts[next].good, c.bursts[next].total)
					next++
				}
				r.Sample(start.Add(now))
			}
			report := r.Report(start.Add(c.at))
			assert.Equal(t, len(report.Rows), 1)
			for i, window := range report.Rows[0].Windows {
				assert.Equal(t, window.Total, c.totals[i], "window %d", i)
				assert.Assert(t, window.BurnRate-c.burns[i] < 1e-9 && c.burns[i]-window.BurnRate < 1e-9, "window %d: %v", i, window.BurnRate)
				assert.Equal(t, window.Covered.Std(), c.covered[i], "window %d", i)
			}
		})
	}
}

func exampleReport() Report {
	row := func(objective string, good uint64) Row {
		return Row{Member: "m", Class: "Short", Objective: objective, Target: 0.95, Windows: []Window{
			Window{Length: loader.Duration(5 * time.Minute), Covered: loader.Duration(time.Minute)}.WithCount(Count{good, 100}, 0.95),
			Window{Length: loader.Duration(72 * time.Hour), Covered: loader.Duration(time.Minute)}.WithCount(Count{}, 0.95),
		}}
	}
	return Report{At: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), Rows: []Row{row("Answer", 100), row("FirstToken", 90)}}
}

// TestFormats guards against a changed wire form, a table with values in wrong columns, and charts that cannot be decoded.
func TestFormats(t *testing.T) {
	report := exampleReport()
	for _, c := range []struct {
		name  string
		write func(io.Writer) error
		check func(*testing.T, []byte)
	}{
		{"wire", func(w io.Writer) error { return json.NewEncoder(w).Encode(report) },
			func(t *testing.T, body []byte) {
				assert.Assert(t, strings.HasPrefix(string(body), `{"At":"2026-12-04T08:00:00Z","Rows":[{"Member":"m","Class":"Short","Objective":"Answer",`+
					`"Target":0.95,"Windows":[{"Length":"5m0s","Covered":"1m0s","Good":100,"Total":100,"BurnRate":0,"BudgetLeft":1},`), "%s", body)
				back, err := Decode(bytes.NewReader(body))
				assert.NilError(t, err)
				assert.DeepEqual(t, back, report)
			}},
		{"table", func(w io.Writer) error { return WriteTable(w, report) },
			func(t *testing.T, body []byte) {
				fields := strings.Fields(strings.Split(string(body), "\n")[3])
				assert.DeepEqual(t, fields, []string{"m", "Short", "FirstToken", "95.00%", "5m", "1m0s", "90", "100", "-100.0%", "2.00"})
			}},
		{"svg", func(w io.Writer) error { return WriteChart(w, report, "svg") },
			func(t *testing.T, body []byte) { assert.Assert(t, bytes.Contains(body, []byte("FirstToken"))) }},
		{"png", func(w io.Writer) error { return WriteChart(w, report, "png") },
			func(t *testing.T, body []byte) {
				_, err := png.Decode(bytes.NewReader(body))
				assert.NilError(t, err)
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.NilError(t, c.write(&out))
			c.check(t, out.Bytes())
		})
	}
	assert.ErrorContains(t, WriteChart(io.Discard, report, "gif"), "neither")
	assert.ErrorContains(t, WriteChart(io.Discard, Report{}, "svg"), "no events")
}

// TestMerge guards against a merged report that adds rates instead of events.
func TestMerge(t *testing.T) {
	a, b := exampleReport(), exampleReport()
	b.Rows = b.Rows[1:]
	merged := Merge(a, b)
	assert.Equal(t, len(merged.Rows), 2)
	assert.DeepEqual(t, merged.Rows[0], a.Rows[0])
	got := merged.Rows[1].Windows[0]
	assert.Equal(t, got, Window{
		Length: got.Length, Covered: got.Covered, Good: 180, Total: 200, BurnRate: a.Rows[1].Windows[0].BurnRate, BudgetLeft: a.Rows[1].Windows[0].BudgetLeft,
	})
}

// TestFetch guards against a response that cannot be decoded, a failed node that hides the reports of the others, and an invalid report that
// is accepted.
func TestFetch(t *testing.T) {
	source := &fakeSource{}
	source.add(1, 1)
	server := httptest.NewServer(New(source, time.Now()))
	t.Cleanup(server.Close)
	report, err := Fetch(t.Context(), server.Client(), []string{server.URL, server.URL + "/", "http://127.0.0.1:1"}, "token")
	assert.ErrorContains(t, err, "127.0.0.1:1")
	assert.Equal(t, report.Rows[0].Windows[0].Total, uint64(2))
	for _, text := range []string{"", "[]", `{"Rows":[{"Target":1}]}`, strings.Repeat(" ", maxReportBytes+1)} {
		_, err := Decode(strings.NewReader(text))
		assert.ErrorContains(t, err, "read report", "%.20q", text)
	}
}
