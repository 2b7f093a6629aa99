package soaker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// The bounds of the platform's rule on requests that get no answer around planned work.
const (
	// lossSlack is how long after its last byte a request that no endpoint got may lose its connection: it may cross the close.
	lossSlack = 200 * time.Millisecond
	// Requests that are sent within the first earlyFraction of the grace period may be cut off if their endpoint is still at work in its last
	// lateFraction.
	earlyFraction = 3.0 / 8
	lateFraction  = 1.0 / 6
)

// plannedStop is a SIGTERM to a node.
type plannedStop struct {
	node int
	at   time.Time
}

// lossJudge decides which attempts break the rule. It is for runs in which all disruption is planned.
type lossJudge struct {
	stops []plannedStop
	// grace is the grace period of the nodes, and timeout that of the requests.
	grace, timeout time.Duration
}

// loss describes how an attempt breaks the rule; it is empty if it does not. runs are the runs of the attempt.
func (j lossJudge) loss(a attempt, runs []platformtest.Run) string {
	if a.complete || a.written.IsZero() {
		return ""
	}
	open := a.ended.Sub(a.written)
	if len(runs) == 0 && open <= lossSlack || a.ended.Sub(a.sent) >= j.timeout {
		return ""
	}
	if len(runs) > 0 && slices.MaxFunc(runs, func(a, b platformtest.Run) int { return a.StartedAt.Compare(b.StartedAt) }).BrokeOff {
		return ""
	}
	if slices.ContainsFunc(j.stops, func(s plannedStop) bool { return j.excuses(s, a, runs) }) {
		return ""
	}
	return fmt.Sprintf("%s %s was sent to node %d%s, and %v later its connection ended without a complete answer; %d runs, status %d",
		a.id, a.path, a.node, j.sinceStop(a), open.Round(time.Millisecond), len(runs), a.code)
}

// excuses reports whether the grace period after a stop was too short for the attempt: it was sent early, and an endpoint was still at work on it
// at the end.
func (j lossJudge) excuses(stop plannedStop, a attempt, runs []platformtest.Run) bool {
	earlyUntil := stop.at.Add(time.Duration(earlyFraction * float64(j.grace)))
	end := stop.at.Add(j.grace)
	lateFrom := end.Add(-time.Duration(lateFraction * float64(j.grace)))
	return stop.node == a.node && !a.written.After(earlyUntil) && slices.ContainsFunc(runs, func(r platformtest.Run) bool {
		return r.StartedAt.Before(end) && (r.EndedAt.IsZero() || !r.EndedAt.Before(lateFrom))
	})
}

// sinceStop describes when an attempt was sent, relative to the last stop of its node before its end.
func (j lossJudge) sinceStop(a attempt) string {
	for _, s := range slices.Backward(j.stops) {
		if s.node == a.node && !s.at.After(a.ended) {
			return fmt.Sprintf(" %v after SIGTERM", a.written.Sub(s.at).Round(time.Millisecond))
		}
	}
	return ""
}

// TestLossJudge guards against a checker that passes over a request without an answer, or reports one that the platform's rule does not count.
func TestLossJudge(t *testing.T) {
	const grace, timeout = 8 * time.Second, 10 * time.Second
	stopped := time.Unix(1_000, 0)
	at := func(seconds float64) time.Time { return stopped.Add(time.Duration(seconds * float64(time.Second))) }
	sent := func(from, until float64) attempt {
		return attempt{id: "r", path: "/stream/1", node: 1, sent: at(from), written: at(from), ended: at(until)}
	}
	run := func(from, until float64) platformtest.Run {
		return platformtest.Run{StartedAt: at(from), EndedAt: at(until), DisconnectedAt: at(until)}
	}
	answered, unwritten, otherNode, refused, begun := sent(1, 4), sent(1, 4), sent(2, 7.75), sent(1, 4), sent(1, 4)
	answered.code, answered.complete = 200, true
	refused.code, refused.complete = 503, true
	begun.code = 200
	unwritten.written = time.Time{}
	otherNode.node = 2
	brokenOff, brokenOffFirst, active := run(1, 4), run(1, 2), run(1, 0)
	brokenOff.BrokeOff, brokenOffFirst.BrokeOff = true, true
	active.EndedAt = time.Time{}
	tests := []struct {
		name    string
		attempt attempt
		runs    []platformtest.Run
		lost    bool
	}{
		{"complete answer", answered, []platformtest.Run{run(1, 4)}, false},
		{"complete refusal", refused, nil, false},
		{"request that was not sent whole", unwritten, nil, false},
		{"request that crosses the close", sent(4, 4.2), nil, false},
		{"request that waits without a run", sent(1.7, 7.7), nil, true},
		{"request that waits a little longer than the slack", sent(4, 4.201), nil, true},
		{"request that waits without a run, sent before SIGTERM", sent(-1, 3), nil, true},
		{"request that ran and was closed at once", sent(4, 4.01), []platformtest.Run{run(4.005, 4.01)}, true},
		{"request that reaches the endpoint as the connection closes", sent(4, 4.01), []platformtest.Run{run(4.011, 4.012)}, true},
		{"answer that was cut after its head", begun, []platformtest.Run{run(1, 4)}, true},
		{"stream sent late and cut at the end of the grace period", sent(3.1, 7.75), []platformtest.Run{run(3.15, 7.76)}, true},
		{"stream sent in time and cut at the end of the grace period", sent(3, 7.75), []platformtest.Run{run(3.05, 7.76)}, false},
		{"stream sent before SIGTERM and cut at the end of the grace period", sent(-1, 7.75), []platformtest.Run{run(-0.95, 7.76)}, false},
		{"stream sent in time and cut too early", sent(2, 6.6), []platformtest.Run{run(2.05, 6.6)}, true},
		{"stream sent in time and cut in the last sixth", sent(2, 6.7), []platformtest.Run{run(2.05, 6.7)}, false},
		{"stream whose endpoint has not noticed the close", sent(1, 7.75), []platformtest.Run{active}, false},
		{"stream that was never placed again after its first run", sent(2, 7.75), []platformtest.Run{run(2.05, 6)}, true},
		{"stream sent in time after the SIGTERM of another node", otherNode, []platformtest.Run{run(2.05, 7.76)}, true},
		{"timeout reached in the queue", sent(-3, 7), nil, false},
		{"timeout reached while it ran", sent(-3, 7), []platformtest.Run{run(-2, 7)}, false},
		{"timeout not quite reached", sent(-3, 6.6), []platformtest.Run{run(-2, 6.6)}, true},
		{"endpoint broke off", sent(1, 4), []platformtest.Run{brokenOff}, false},
		{"endpoint broke off, and the next run was cut", sent(1, 4), []platformtest.Run{run(2.5, 4), brokenOffFirst}, true},
		{"cut long after the end of the grace period", sent(20, 25), []platformtest.Run{run(20.05, 25)}, true},
	}
	judge := lossJudge{stops: []plannedStop{{node: 1, at: stopped}}, grace: grace, timeout: timeout}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			loss := judge.loss(tt.attempt, tt.runs)
			assert.Equal(t, loss != "", tt.lost, loss)
		})
	}
}
