package listener_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/listener"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/observer"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// refusingControl is a control that refuses every request.
type refusingControl struct{ snapshot *modeler.Snapshot }

func (c refusingControl) Place(context.Context, modeler.Request) (modeler.Decision, error) {
	return modeler.Decision{Refused: true, Reason: modeler.ReasonOverloaded, RetryAfter: 1500 * time.Millisecond}, nil
}
func (refusingControl) Post(modeler.Event)            {}
func (c refusingControl) Snapshot() *modeler.Snapshot { return c.snapshot }

func testConfiguration(t *testing.T) modeler.Configuration {
	t.Helper()
	event, err := platform.OperatorRecord(modeler.Record{Key: "config", Value: platformtest.Configuration(3)})
	assert.NilError(t, err)
	return event.(modeler.ConfigurationChanged).Configuration
}

func newCallers(t *testing.T, snapshot *modeler.Snapshot) *listener.CallerHandler {
	t.Helper()
	control := refusingControl{snapshot}
	pool, closePool := dialer.NewPool(1)
	t.Cleanup(closePool)
	return &listener.CallerHandler{
		Decoder: platform.Traffic{}, Snapshot: control.Snapshot,
		Forwarder: &forwarder.Forwarder{
			Control: control, Protocol: platform.Traffic{}, Pool: pool,
			Budget: limiter.NewBudget(limiter.Options{Window: time.Second}, time.Now),
		},
		Observer: observer.New(observer.Options{
			Events: zerolog.Nop(), Requests: zerolog.Nop(), Snapshot: control.Snapshot,
			Dialed: func() int64 { return 0 }, PeerFailures: func() int64 { return 0 },
		}),
	}
}

// TestCallers guards against rejecting or refusing a request with a status, Retry-After or Connection header that misleads the caller.
func TestCallers(t *testing.T) {
	loaded := testConfiguration(t)
	tests := []struct {
		name, host, path, key string
		configuration         modeler.Configuration
		body                  io.Reader
		leaving               bool
		code                  int
		retryAfter, closed    string
	}{
		{name: "no configuration yet", host: platformtest.Host, path: "/stock/1", code: 503, retryAfter: "0.500"},
		{name: "no route", host: platformtest.Host, path: "/other/1", configuration: loaded, code: 404},
		{name: "unknown host", host: "other.example", path: "/stock/1", configuration: loaded, code: 404},
		{name: "no credential", host: platformtest.Host, path: "/stock/1", configuration: loaded, code: 401},
		{name: "wrong credential", host: platformtest.Host, path: "/stock/1", key: "x", configuration: loaded, code: 401},
		{name: "anonymous route", host: platformtest.Host, path: "/open/1", configuration: loaded, code: 503, retryAfter: "1.500"},
		{
			name: "refused", host: platformtest.Host, path: "/stock/1", key: platformtest.Credential, configuration: loaded, code: 503,
			retryAfter: "1.500",
		},
		{
			name: "host with port and capitals", host: "DESK.example:8080", path: "/stock/1", key: platformtest.Credential, configuration: loaded,
			code: 503, retryAfter: "1.500",
		},
		{
			name: "header over the limit", host: platformtest.Host, path: "/stock/" + strings.Repeat("x", 16384), key: platformtest.Credential,
			configuration: loaded, code: 431,
		},
		{
			name: "body over the limit", host: platformtest.Host, path: "/stock/1", key: platformtest.Credential, configuration: loaded,
			body: strings.NewReader(strings.Repeat("x", 65537)), code: 413, closed: "close",
		},
		{
			name: "leaving node closes the connection", host: platformtest.Host, path: "/stock/1", key: platformtest.Credential,
			configuration: loaded, leaving: true, code: 503, retryAfter: "1.500", closed: "close",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			snapshot := &modeler.Snapshot{Configuration: tt.configuration, Self: modeler.Node{Leaving: tt.leaving}}
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, tt.path, tt.body)
			r.Host = tt.host
			r.Header = platformtest.CallerHeader("r1", tt.key)
			w := httptest.NewRecorder()
			newCallers(t, snapshot).ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.code)
			assert.Equal(t, w.Header().Get("Retry-After"), tt.retryAfter)
			assert.Equal(t, w.Header().Get("Connection"), tt.closed)
		})
	}
}

// TestReady guards against sending callers to a node that cannot serve them.
func TestReady(t *testing.T) {
	loaded := testConfiguration(t)
	tests := []struct {
		name     string
		snapshot modeler.Snapshot
		want     int
	}{
		{"ready", modeler.Snapshot{Configuration: loaded}, 200},
		{"no configuration", modeler.Snapshot{}, 503},
		{"leaving", modeler.Snapshot{Configuration: loaded, Self: modeler.Node{Leaving: true}}, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			listener.Ready{Snapshot: func() *modeler.Snapshot { return &tt.snapshot }}.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			assert.Equal(t, w.Code, tt.want)
		})
	}
}

// TestAddresses guards against sending callers to another region, or to a single node whose failure leaves them without an address.
func TestAddresses(t *testing.T) {
	loaded := testConfiguration(t)
	node := func(address, dc, region string) modeler.Node {
		return modeler.Node{CallerAddress: address, DataCentre: modeler.DataCentreID(dc), Region: region}
	}
	all := []modeler.Node{node("a1", "a", "r"), node("a2", "a", "r"), node("b1", "b", "r"), node("z1", "z", "s")}
	tests := []struct {
		name, query   string
		alive         []modeler.Node
		configuration modeler.Configuration
		code          int
		want          []string
	}{
		{"own data centre", "region=r&zone=a", all, loaded, 200, []string{"a1", "a2"}},
		{"single node in the data centre", "region=r&zone=b", all, loaded, 200, []string{"a1", "a2", "b1"}},
		{"other region", "region=s&zone=y", all, loaded, 200, []string{"z1"}},
		{"unknown region", "region=q&zone=q", all, loaded, 200, []string{"a1", "a2", "b1", "z1"}},
		{"no nodes", "region=r&zone=a", nil, loaded, 503, nil},
		{"no configuration", "region=r&zone=a", all, modeler.Configuration{}, 503, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			snapshot := &modeler.Snapshot{Configuration: tt.configuration, Alive: tt.alive}
			handler := listener.Addresses{
				Snapshot: func() *modeler.Snapshot { return snapshot }, Decode: platform.AddressQuery, Write: platform.WriteAddresses, TTL: time.Second,
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/?"+tt.query, nil))
			assert.Equal(t, w.Code, tt.code)
			for _, address := range tt.want {
				assert.Assert(t, strings.Contains(w.Body.String(), `"`+address+`"`), "%s lacks %s", w.Body, address)
			}
			assert.Equal(t, strings.Count(w.Body.String(), `1"`)+strings.Count(w.Body.String(), `2"`), len(tt.want))
		})
	}
}
