package poller

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// lagReportDelay is how long a node may lack operators' records before its log says so. Nodes that the store serves need less.
const lagReportDelay = time.Second

// lag follows how long this node has lacked operators' records that other nodes have read.
type lag struct {
	// since is when the node was found to lack records, or zero if it lacks none.
	since time.Time
	// failures counts the failed reads since then, and reason is that of the last one.
	failures int
	reason   string
	// reported is set once the log has a line about this lag, and reportedFailures is the number of failures that it names.
	reported         bool
	reportedFailures int
}

// fail counts a failed read.
func (l *lag) fail(reason string) {
	if !l.since.IsZero() {
		l.failures, l.reason = l.failures+1, reason
	}
}

// report writes a log line when the lag has lasted for lagReportDelay, after each further failed read, and when it ends.
func (l *lag) report(tick *modeler.Tick, next, target modeler.Position) {
	switch {
	case target <= next:
		if l.reported {
			tick.Emit(modeler.LogEvent{Name: modeler.LogEventOperatorsCaughtUp, Fields: []modeler.LogField{
				{Key: "Next", Value: next}, {Key: "After", Value: tick.Now.Sub(l.since)}, {Key: "Failures", Value: l.failures},
			}})
		}
		*l = lag{}
	case l.since.IsZero():
		l.since = tick.Now
		tick.WakeAt(tick.Now.Add(lagReportDelay))
	case tick.Now.Sub(l.since) >= lagReportDelay && (!l.reported || l.failures > l.reportedFailures):
		l.reported, l.reportedFailures = true, l.failures
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventOperatorsBehind, Fields: []modeler.LogField{
			{Key: "Next", Value: next}, {Key: "Target", Value: target}, {Key: "For", Value: tick.Now.Sub(l.since)},
			{Key: "Failures", Value: l.failures}, {Key: "Reason", Value: l.reason},
		}})
	}
}
