// Package reporter computes burn reports for service-level objectives: for each member and length class, how much of the error budget was
// used up in windows of different lengths.
package reporter

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// Key identifies one objective of a member.
type Key struct {
	Member modeler.MemberID
	// Class is the name of a length class, or "Service".
	Class string
	// Objective is "FirstToken" or "Answer".
	Objective string
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Member, other.Member), cmp.Compare(k.Class, other.Class), cmp.Compare(k.Objective, other.Objective))
}

// Count is a pair of counters that never decrease. Good is at most Total.
type Count struct{ Good, Total uint64 }

// since returns the events that were counted after the count before.
func (c Count) since(before Count) Count {
	return Count{Good: c.Good - min(before.Good, c.Good), Total: c.Total - min(before.Total, c.Total)}
}

// KeyCount is the current count of the objective of a key.
type KeyCount struct {
	Key
	Count
	// Target is the fraction of events that must be good, above 0 and below 1.
	Target float64
}

// Report is the burn report of one node, or of several after Merge. Its JSON encoding is the wire form.
type Report struct {
	// At is the time of the report.
	At time.Time
	// Rows are sorted by member, class and objective.
	Rows []Row
}

// Row is one objective of a member.
type Row struct {
	Member    modeler.MemberID
	Class     string
	Objective string
	Target    float64
	// Windows are in the order of Windows.
	Windows []Window
}

// Window holds the events of an objective in a period that ends at the report.
type Window struct {
	Length loader.Duration
	// Covered is the time that the node has been running, at most Length. The oldest sample may be older by a twelfth of Length.
	Covered loader.Duration
	Good    uint64
	Total   uint64
	// BurnRate is the fraction of bad events divided by the allowed fraction: 1 uses up the budget exactly.
	BurnRate float64
	// BudgetLeft is the fraction of the window's budget that is left. It is negative when more than the budget was used.
	BudgetLeft float64
}

// WithCount returns a copy with the events replaced and the rates computed for target.
func (w Window) WithCount(count Count, target float64) Window {
	w.Good, w.Total = count.Good, count.Total
	w.BurnRate, w.BudgetLeft = 0, 1
	if count.Total > 0 {
		w.BurnRate = float64(count.Total-count.Good) / float64(count.Total) / (1 - target)
		w.BudgetLeft = 1 - w.BurnRate
	}
	return w
}

// Merge adds up the events in the reports of several nodes. Covered is the longest of them and At the newest.
func Merge(reports ...Report) Report {
	var merged Report
	rows := map[Key]Row{}
	for _, report := range reports {
		if report.At.After(merged.At) {
			merged.At = report.At
		}
		for _, row := range report.Rows {
			key := Key{row.Member, row.Class, row.Objective}
			sum, ok := rows[key]
			if !ok {
				rows[key] = row
				continue
			}
			rows[key] = sum.withAdded(row)
		}
	}
	for _, row := range rows {
		merged.Rows = append(merged.Rows, row)
	}
	sortRows(merged.Rows)
	return merged
}

// withAdded returns a copy with the events of another node's row added. Windows that only one of them has are left out.
func (r Row) withAdded(other Row) Row {
	windows := make([]Window, 0, len(r.Windows))
	for _, w := range r.Windows {
		i := slices.IndexFunc(other.Windows, func(o Window) bool { return o.Length == w.Length })
		if i < 0 {
			continue
		}
		o := other.Windows[i]
		w.Covered = max(w.Covered, o.Covered)
		windows = append(windows, w.WithCount(Count{Good: w.Good + o.Good, Total: w.Total + o.Total}, r.Target))
	}
	r.Windows = windows
	return r
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return Key{a.Member, a.Class, a.Objective}.compare(Key{b.Member, b.Class, b.Objective})
	})
}

// maxReportBytes bounds a report that is decoded. The collector's 512 members, with 9 objectives each and 4 windows of about 130 bytes for
// each objective, fit.
const maxReportBytes = 8 << 20

// Decode reads the wire form of a report.
func Decode(r io.Reader) (Report, error) {
	limited := &io.LimitedReader{R: r, N: maxReportBytes}
	var report Report
	err := json.NewDecoder(limited).Decode(&report)
	if limited.N <= 0 {
		err = errors.New("size limit exceeded")
	}
	if err != nil {
		return Report{}, fmt.Errorf("read report: %w", err)
	}
	for i, row := range report.Rows {
		if row.Target <= 0 || row.Target >= 1 {
			return Report{}, fmt.Errorf("read report: row %d: target %v is not between 0 and 1", i, row.Target)
		}
	}
	return report, nil
}
