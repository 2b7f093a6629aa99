package lister

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/emulation/simulator"
)

// TestList guards against instances that do not exist, such as an engine from an entry of an unknown kind or state, and against
// a stand-in that ignores POST /instances or its faults.
func TestList(t *testing.T) {
	list := func(kind, state string) string {
		return `{"Instances":[{"Name":"e","Address":"a","Kind":"` + kind + `","DataCentre":"d","State":"` + state + `"}]}`
	}
	instance := func(kind modeler.EndpointKind, leaving bool) []Instance {
		return []Instance{{Name: "e", Address: "a", Kind: kind, DataCentre: "d", Leaving: leaving}}
	}
	cases := []struct {
		name, list, faults string
		want               []Instance
		error              string
	}{
		{name: "empty", want: []Instance{}},
		{name: "live engine", list: list("engine", "live"), want: instance(modeler.Engine, false)},
		{name: "leaving service", list: list("service", "leaving"), want: instance(modeler.Service, true)},
		{name: "unknown kind", list: list("printer", "live"), want: []Instance{}},
		{name: "unknown state", list: list("engine", "asleep"), want: []Instance{}},
		{name: "change within the lag", list: list("engine", "live"), faults: `{"LagMs":3600000}`, want: []Instance{}},
		{name: "outage", faults: `{"Outage":true}`, error: "status 503"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler, stop := simulator.NewInstances(simulator.InstancesOptions{Lag: time.Nanosecond})
			t.Cleanup(stop)
			for path, body := range map[string]string{"/instances": c.list, "/faults": c.faults} {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
				assert.Assert(t, body == "" || recorder.Code < 300, "%s: %d", path, recorder.Code)
			}
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			client, cleanup, err := New(Options{BaseURL: server.URL})
			assert.NilError(t, err)
			t.Cleanup(cleanup)
			got, err := client.List(context.Background())
			if c.error != "" {
				assert.ErrorContains(t, err, c.error)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, c.want)
		})
	}
}
