package publisher

import (
	"slices"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Resolution is the result of processing records of the rules stream. It is immutable.
type Resolution struct {
	// Current is the state after the last record.
	Current State
	// Decisions holds the records that are not renewals, in log order.
	Decisions []Decision
}

// Decision is a publication and whether it took effect.
type Decision struct {
	Published modeler.RulesPublished
	Offset    int64
	Applied   bool
}

// Resolve processes all records of the stream that the log still keeps, in offset order. When the log no longer keeps the oldest
// ones, it starts from the newest base that the remaining records name and whose own record is gone. This is the version in
// effect there, because every base was once in effect, and because a file in effect is renewed before its last record is half
// as old as the retention. Current.TextKnown is false if no remaining record contains the text.
func Resolve(records []modeler.Record) Resolution {
	return resolveFrom(startOf(records), records)
}

// startOf returns the state before the first of the records; see Resolve.
func startOf(records []modeler.Record) State {
	if len(records) == 0 || records[0].Offset <= 1 {
		return State{}
	}
	first := records[0].Offset
	start := State{At: first - 1}
	for _, r := range records {
		if p, ok := r.Value.(modeler.RulesPublished); ok && int64(p.Base) < first {
			start.Version = max(start.Version, p.Base)
		}
	}
	return start
}

func resolveFrom(state State, records []modeler.Record) Resolution {
	return Resolution{Current: state}.With(records)
}

// With returns the resolution after more records.
func (r Resolution) With(records []modeler.Record) Resolution {
	r.Decisions = slices.Clip(r.Decisions)
	for _, record := range records {
		var effect Effect
		r.Current, effect = r.Current.With(record)
		published, ok := record.Value.(modeler.RulesPublished)
		if ok && published.Renews == 0 && effect != Repeated {
			r.Decisions = append(r.Decisions, Decision{Published: published, Offset: record.Offset, Applied: effect == Applied})
		}
	}
	return r
}

// DecisionFor returns the decision about a publish ID. Several records have the same publish ID when an append was repeated; it
// returns the one that took effect, if any. At most one can, because all name the same base.
func (r Resolution) DecisionFor(publishID string) (Decision, bool) {
	var last Decision
	found := false
	for _, d := range r.Decisions {
		if d.Published.PublishID == publishID {
			last, found = d, true
			if d.Applied {
				return d, true
			}
		}
	}
	return last, found
}

// WasInEffect reports whether version is in effect or was put into effect by one of the records.
func (r Resolution) WasInEffect(version modeler.Version) bool {
	return r.Current.Version == version || slices.ContainsFunc(r.Decisions, func(d Decision) bool {
		return d.Applied && (d.Offset == int64(version) || d.Published.Base == version)
	})
}
