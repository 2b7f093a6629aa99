package reporter

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

// Windows are the lengths of the periods that a report covers, each ending at the report. Short windows show a fast burn, long ones a slow
// burn.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// samplesPerWindow is the number of samples that are kept for each window. A sample takes 16 bytes for each key, so that 1,000 keys
// need 0.8 MB for all windows.
const samplesPerWindow = 12

// Source provides the current counts. Implementations must be safe for concurrent use.
type Source interface{ Counts() []KeyCount }

// Reporter keeps samples of the counters of a source. It is safe for concurrent use.
type Reporter struct {
	source  Source
	started time.Time

	mu        sync.Mutex
	histories []history
	// columns maps each key to its index in the counts of samples. Keys are only added.
	columns map[Key]int
}

// history holds the samples of one window at equal intervals.
type history struct {
	length time.Duration
	// samples is sorted by time and holds at most samplesPerWindow+1 samples.
	samples []sample
}

// sample holds the counts at one time of all keys that existed then.
type sample struct {
	at     time.Time
	counts []Count
}

// count returns the count in a column, or zero if its key had no events yet.
func (s sample) count(column int) Count {
	if column < len(s.counts) {
		return s.counts[column]
	}
	return Count{}
}

// New returns a Reporter of a source whose counters started at zero at the given time.
func New(source Source, started time.Time) *Reporter {
	r := &Reporter{source: source, started: started, columns: map[Key]int{}}
	for _, length := range Windows {
		r.histories = append(r.histories, history{length: length, samples: []sample{{at: started}}})
	}
	return r
}

// Run takes samples until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(Windows[0] / samplesPerWindow)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.Sample(now)
		}
	}
}

// Sample stores the counters for the windows whose next sample is due.
func (r *Reporter) Sample(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts []Count
	for i := range r.histories {
		h := &r.histories[i]
		if now.Sub(h.samples[len(h.samples)-1].at) < h.length/samplesPerWindow {
			continue
		}
		if counts == nil {
			counts = r.countsByColumn(r.source.Counts())
		}
		h.samples = append(h.samples, sample{at: now, counts: counts})
		if len(h.samples) > samplesPerWindow+1 {
			h.samples = append([]sample(nil), h.samples[1:]...)
		}
	}
}

// countsByColumn returns counts in the order of columns, and adds columns for new keys.
func (r *Reporter) countsByColumn(list []KeyCount) []Count {
	for _, c := range list {
		r.column(c.Key)
	}
	counts := make([]Count, len(r.columns))
	for _, c := range list {
		counts[r.columns[c.Key]] = c.Count
	}
	return counts
}

func (r *Reporter) column(key Key) int {
	column, ok := r.columns[key]
	if !ok {
		column = len(r.columns)
		r.columns[key] = column
	}
	return column
}

// Report returns the report at a time. Objectives without events are left out.
func (r *Reporter) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{At: now, Rows: []Row{}}
	for _, current := range r.source.Counts() {
		if current.Total == 0 {
			continue
		}
		row := Row{
			Member: current.Member, Class: current.Class, Objective: current.Objective, Target: current.Target,
			Windows: make([]Window, 0, len(r.histories)),
		}
		for _, h := range r.histories {
			covered := min(h.length, now.Sub(r.started))
			window := Window{Length: loader.Duration(h.length), Covered: loader.Duration(covered)}
			before := h.baseline(now).count(r.column(current.Key))
			row.Windows = append(row.Windows, window.WithCount(current.since(before), current.Target))
		}
		report.Rows = append(report.Rows, row)
	}
	sortRows(report.Rows)
	return report
}

// baseline returns the newest sample from before the window, or the oldest one if there is none.
func (h *history) baseline(now time.Time) sample {
	baseline := h.samples[0]
	for _, s := range h.samples[1:] {
		if now.Sub(s.at) < h.length {
			break
		}
		baseline = s
	}
	return baseline
}

// ServeHTTP serves the wire form of the current report.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(r.Report(time.Now()))
	if err != nil {
		http.Error(w, "report not encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator disconnected.
	_, _ = w.Write(body)
}
