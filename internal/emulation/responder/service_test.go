package responder

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestService guards against executions that are not counted, in particular one whose response is lost, and against faults that have no
// effect.
func TestService(t *testing.T) {
	cases := []struct {
		name, faults string
		// calls are the outcomes of two calls with the same body; runs is the execution count of that body afterwards, or -1 if it can't be read.
		calls []string
		runs  int
	}{
		{"none", `{}`, []string{"ok", "ok"}, 2},
		{"dies mid-call", `{"DieMidCall":1}`, []string{"broken", "ok"}, 2},
		{"crash", `{"Crash":true}`, []string{"ok", "ok"}, 2},
		{"down", `{"Crash":true,"DownMs":60000}`, []string{"broken", "broken"}, -1},
		{"crossed", `{"Crossed":1}`, []string{"crossed", "ok"}, 2},
		{"cut short", `{"CutShort":1}`, []string{"cut", "ok"}, 2},
		{"delay", `{"DelayMs":5}`, []string{"ok", "ok"}, 2},
		{"turn cold", `{"Cold":true}`, []string{"ok", "ok"}, 2},
	}
	for _, c := range cases {
		s, stop, err := NewService(ServiceOptions{Address: "127.0.0.1:0", ColdRequests: 5, ColdLimit: 1})
		assert.NilError(t, err)
		url := "http://" + s.Address()
		doRequest(t, "POST", url+"/faults", c.faults)
		calls := make([]string, 0, 2)
		for _, attempt := range []string{"a", "b"} {
			calls = append(calls, outcome(send(t, "POST", url+"/book", "body", "X-Request-Id", attempt))) //nolint:bodyclose // outcome closes it
		}
		assert.DeepEqual(t, calls, c.calls)
		if c.runs >= 0 {
			var runs runsBody
			getJSON(t, url+"/runs", &runs)
			assert.Equal(t, len(runs.Attempts), 2)
			for _, count := range runs.Bodies {
				assert.Equal(t, count, c.runs)
			}
		}
		stop()
	}
}

func outcome(response *http.Response, err error) string {
	if err != nil {
		return "broken"
	}
	defer closeBody(response)
	if response.Header.Get("X-Request-Id") != response.Request.Header.Get("X-Request-Id") {
		return "crossed"
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return "cut"
	}
	return "ok"
}

// TestColdService guards against a cold service that survives more calls than its limit, and against counting the call that crashed it.
func TestColdService(t *testing.T) {
	s, stop, err := NewService(ServiceOptions{Address: "127.0.0.1:0", Delay: time.Minute, ColdRequests: 5, ColdLimit: 1})
	assert.NilError(t, err)
	defer stop()
	url := "http://" + s.Address()
	outcomes := make(chan string, 2)
	for _, attempt := range []string{"a", "b"} {
		go func() { outcomes <- outcome(send(t, "POST", url+"/book", attempt, "X-Request-Id", attempt)) }() //nolint:bodyclose // outcome closes it
	}
	assert.Equal(t, <-outcomes+<-outcomes, "brokenbroken")
	var runs runsBody
	getJSON(t, url+"/runs", &runs)
	assert.Equal(t, len(runs.Attempts), 1)
}
