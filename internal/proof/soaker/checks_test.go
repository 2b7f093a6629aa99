package soaker

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// checkRuns compares the answers that callers got with the requests that endpoints ran, and returns these by the id of the request.
func checkRuns(t *testing.T, d *deployment, attempts []attempt) map[string][]platformtest.Run {
	t.Helper()
	runs := map[string][]platformtest.Run{}
	for _, e := range d.endpoints {
		for _, r := range e.Runs() {
			runs[r.Request] = append(runs[r.Request], r)
			assert.Check(t, r.Credential == "" && r.Member == platformtest.Member, "run of %s has member %q", r.Request, r.Member)
			assert.Check(t, r.Body == platformtest.Payload(r.Request), "run of %s has body %q", r.Request, r.Body)
		}
	}
	for _, a := range attempts {
		ran := len(runs[a.id])
		nonIdempotent := strings.HasPrefix(a.path, "/book/")
		assert.Check(t, !nonIdempotent || ran <= 1, "%s ran %d times", a.id, ran)
		assert.Check(t, !nonIdempotent || a.code != 503 && a.code != 429 || ran == 0, "%s was refused and ran", a.id)
		assert.Check(t, ran <= 2, "%s ran %d times, 2 allowed", a.id, ran)
		if a.code == 200 && a.complete {
			assert.Check(t, hasExpectedBody(a), "%s got a wrong answer: %q", a.id, a.body)
		}
	}
	return runs
}

// checkAttempts checks the runs, the share of requests that were served after the recovery, and the data centres that were out.
func checkAttempts(t *testing.T, d *deployment, inj *injector, attempts []attempt, recoveredAt time.Time) {
	t.Helper()
	runs := checkRuns(t, d, attempts)
	served, afterRecovery, unanswered := 0, 0, 0
	for _, a := range attempts {
		if a.sent.After(recoveredAt) {
			afterRecovery++
			if isUnanswered(a, runs[a.id]) {
				unanswered++
				t.Logf("%s %s to node %d ran, and its connection ended after %v without a complete answer", a.id, a.path, a.node, a.ended.Sub(a.sent))
			}
			if a.code == 200 && a.complete {
				served++
			}
		}
	}
	assert.Check(t, afterRecovery > 0 && float64(served) >= minServedRatio*float64(afterRecovery),
		"%d of %d requests after the recovery were served", served, afterRecovery)
	assert.Check(t, unanswered <= maxUnanswered, "%d requests after the recovery ran and got no complete answer", unanswered)
	inj.checkOutPeriods(t, d)
}

// isUnanswered reports whether an endpoint got a request and the connection ended without a complete answer, although neither the endpoint nor
// the timeout of the request had ended it.
func isUnanswered(a attempt, runs []platformtest.Run) bool {
	if a.complete || len(runs) == 0 || a.ended.Sub(a.sent) >= platformtest.Timeout {
		return false
	}
	return !slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.BrokeOff })
}

// hasExpectedBody reports whether an answer has exactly the body that its request must get.
func hasExpectedBody(a attempt) bool {
	if !strings.HasPrefix(a.path, "/stream/") {
		return strings.HasSuffix(a.body, " answers "+a.id)
	}
	var want strings.Builder
	for n := range events(a.path) {
		want.WriteString(platformtest.Event(n + 1))
	}
	return a.body == want.String()
}

// defaultEvents is the number of events of a stream that does not state its own.
const defaultEvents = 20

// events returns the number of events of the stream at a path.
func events(path string) int {
	_, own, found := strings.Cut(path, "?"+platformtest.EventsParameter+"=")
	if n, err := strconv.Atoi(own); found && err == nil {
		return n
	}
	return defaultEvents
}

// checkOutPeriods checks that no request started in a data centre between outOfServiceLimit after it was taken out and its return. It checks
// nothing in periods that are shorter than outOfServiceLimit.
func (inj *injector) checkOutPeriods(t *testing.T, d *deployment) {
	t.Helper()
	for _, period := range inj.outPeriods {
		if period.until.IsZero() {
			period.until = time.Now()
		}
		for _, e := range d.endpoints {
			if e.DataCentre != period.dataCentre {
				continue
			}
			for _, r := range e.Runs() {
				assert.Check(t, r.StartedAt.Before(period.from.Add(outOfServiceLimit)) || r.StartedAt.After(period.until), "%s ran in %s %v after it was taken out",
					r.Request, period.dataCentre, r.StartedAt.Sub(period.from))
			}
		}
	}
}

// TestIsUnanswered guards against a check that passes over an answer that a node cut, or counts one that the endpoint or the timeout ended.
func TestIsUnanswered(t *testing.T) {
	sent := time.Unix(1_000, 0)
	cut := attempt{sent: sent, ended: sent.Add(time.Second)}
	answered, late := cut, cut
	answered.complete = true
	late.ended = sent.Add(platformtest.Timeout)
	tests := []struct {
		name    string
		attempt attempt
		runs    []platformtest.Run
		want    bool
	}{
		{"cut while it ran", cut, []platformtest.Run{{}}, true},
		{"closed before it ran", cut, nil, false},
		{"complete answer", answered, []platformtest.Run{{}}, false},
		{"timeout reached", late, []platformtest.Run{{}}, false},
		{"endpoint broke off", cut, []platformtest.Run{{BrokeOff: true}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, isUnanswered(tt.attempt, tt.runs), tt.want) })
	}
}
