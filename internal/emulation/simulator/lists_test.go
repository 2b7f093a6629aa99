package simulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInstancesLag guards against an instance list that shows a change before the lag has passed, or does not show it afterwards.
func TestInstancesLag(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old, recent := []Instance{{Name: "old"}}, []Instance{{Name: "new"}}
	cases := []struct {
		name   string
		lag    time.Duration
		faults InstancesFaults
		after  time.Duration
		want   string
	}{
		{name: "no lag", after: 0, want: "new"},
		{name: "within lag", lag: time.Minute, after: 59 * time.Second, want: "old"},
		{name: "after lag", lag: time.Minute, after: time.Minute, want: "new"},
		{name: "lag replaced", lag: time.Minute, faults: InstancesFaults{LagMs: 1000}, after: 2 * time.Second, want: "new"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := &instancesState{lag: c.lag, versions: []version{{instances: old}}}
			reply := make(chan instancesResult, 2)
			state.tick(start, []instancesRequest{{replacement: &recent, faults: &c.faults, reply: reply}})
			state.tick(start.Add(c.after), []instancesRequest{{reply: reply}})
			<-reply
			got := <-reply
			assert.Equal(t, got.instances[0].Name, c.want)
			assert.Equal(t, got.asOf, start.Add(c.after-state.currentLag()))
		})
	}
}

// TestProtocol guards against stand-ins that deviate from the protocol in docs/design.md, section 15.
func TestProtocol(t *testing.T) {
	instances := func() (http.Handler, func()) { return NewInstances(InstancesOptions{}) }
	weights := func() (http.Handler, func()) {
		return NewWeights(WeightsOptions{Sizes: map[string]int{"ab": 5}, Rate: 0.001})
	}
	type step struct {
		method, path, body string
		status             int
		contains           string
	}
	cases := []struct {
		name  string
		build func() (http.Handler, func())
		steps []step
	}{
		{"instances set and read", instances, []step{
			{"GET", "/instances", "", 200, `"Instances":[]`},
			{"POST", "/instances", `{"Instances":[{"Name":"e1","Kind":"engine","State":"live"}]}`, 204, ""},
			{"GET", "/instances", "", 200, `"Name":"e1"`},
			{"POST", "/instances", `{"Other":1}`, 400, "unknown field"},
			{"POST", "/faults", `{"Outage":true}`, 200, `"Outage":true`},
			{"GET", "/instances", "", 503, ""},
			{"GET", "/faults", "", 200, `"Outage":true`},
		}},
		{"weights over the rate", weights, []step{
			{"GET", "/weights/other", "", 404, ""},
			{"GET", "/weights/ab", "", 200, "ababa"},
			{"GET", "/weights/ab", "", 429, ""},
			{"POST", "/faults", `{"Outage":true}`, 200, `"Outage":true`},
			{"GET", "/weights/ab", "", 503, ""},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler, cleanup := c.build()
			server := httptest.NewServer(handler)
			t.Cleanup(func() {
				server.Close()
				cleanup()
			})
			for i, s := range c.steps {
				status, body := exchange(t, server, s.method, s.path, s.body)
				assert.Equal(t, status, s.status, "step %d", i)
				assert.Assert(t, strings.Contains(body, s.contains), "step %d: %s", i, body)
			}
		})
	}
}

// exchange returns the status and the body as text.
func exchange(t *testing.T, server *httptest.Server, method, path, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}
