package listener_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
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
	"damaskpick.example/damaskpick/internal/web/accountant"
	"damaskpick.example/damaskpick/internal/web/charger"
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

func newCallers(t *testing.T, control forwarder.Control) *listener.CallerHandler {
	t.Helper()
	pool, closePool := dialer.NewPool(1)
	t.Cleanup(closePool)
	return &listener.CallerHandler{
		Decoder: platform.Traffic{}, Snapshot: control.Snapshot,
		Charger: charger.New(accountant.New(accountant.Options{Bytes: 10 << 20, Connections: 100, Now: time.Now}), 64<<10),
		Forwarder: &forwarder.Forwarder{
			Control: control, Protocol: platform.Traffic{}, Pool: pool,
			Budget: limiter.NewBudget(limiter.Options{Slack: 100, Window: time.Second}, time.Now),
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
		leaving, behind       bool
		code                  int
		retryAfter, closed    string
		// retrySpread is the range in seconds above retryAfter in which the header must be.
		retrySpread float64
	}{
		{name: "no configuration yet", host: platformtest.Host, path: "/stock/1", code: 503, retryAfter: "2.000", retrySpread: 1},
		{name: "no route", host: platformtest.Host, path: "/other/1", configuration: loaded, code: 404},
		{name: "unknown host", host: "other.example", path: "/stock/1", configuration: loaded, code: 404},
		{name: "no credential", host: platformtest.Host, path: "/stock/1", configuration: loaded, code: 401},
		{name: "wrong credential", host: platformtest.Host, path: "/stock/1", key: "x", configuration: loaded, code: 401},
		{
			name: "no route, but the configuration is old", host: platformtest.Host, path: "/other/1", configuration: loaded, behind: true, code: 503,
			retryAfter: "0.300", retrySpread: 1,
		},
		{
			name: "wrong credential, but the configuration is old", host: platformtest.Host, path: "/stock/1", key: "x", configuration: loaded, behind: true,
			code: 503, retryAfter: "0.300", retrySpread: 1,
		},
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
			snapshot := &modeler.Snapshot{Configuration: tt.configuration, OperatorsBehind: tt.behind, Self: modeler.Node{Leaving: tt.leaving}}
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, tt.path, tt.body)
			r.Host = tt.host
			r.Header = platformtest.CallerHeader("r1", tt.key)
			r.Header.Set(platformtest.TimeoutHeader, "200")
			w := httptest.NewRecorder()
			newCallers(t, refusingControl{snapshot}).ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.code)
			if tt.retrySpread == 0 {
				assert.Equal(t, w.Header().Get("Retry-After"), tt.retryAfter)
			} else {
				least, err := strconv.ParseFloat(tt.retryAfter, 64)
				assert.NilError(t, err)
				after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after >= least && after < least+tt.retrySpread, "%v", after)
			}
			assert.Equal(t, w.Header().Get("Connection"), tt.closed)
		})
	}
}

// TestAwaitConfiguration guards against refusing callers just before the node gets its configuration, and against holding them for most of their
// time or in any number.
func TestAwaitConfiguration(t *testing.T) {
	loaded := testConfiguration(t)
	tests := []struct {
		name string
		// timeout is that of the caller in milliseconds, and arrives when the configuration arrives; zero means never.
		timeout string
		arrives time.Duration
		// code is 503 with a Retry-After of the control if the request was placed, which begins with retryAfter.
		retryAfter string
		most       time.Duration
	}{
		{"arrives in time", "10000", 50 * time.Millisecond, "1.500", 2 * time.Second},
		{"arrives too late", "400", time.Hour, "2.", 2 * time.Second},
		{"never arrives", "1000", 0, "2.", 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var snapshot atomic.Pointer[modeler.Snapshot]
			snapshot.Store(&modeler.Snapshot{})
			configured := make(chan struct{})
			if tt.arrives > 0 {
				timer := time.AfterFunc(tt.arrives, func() {
					snapshot.Store(&modeler.Snapshot{Configuration: loaded})
					close(configured)
				})
				defer timer.Stop()
			}
			callers := newCallers(t, refusingControl{&modeler.Snapshot{}})
			callers.Snapshot, callers.Configured = snapshot.Load, configured
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/stock/1", nil)
			r.Host, r.Header = platformtest.Host, platformtest.CallerHeader("r1", platformtest.Credential)
			r.Header.Set(platformtest.TimeoutHeader, tt.timeout)
			w := httptest.NewRecorder()
			began := time.Now()
			callers.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Assert(t, strings.HasPrefix(w.Header().Get("Retry-After"), tt.retryAfter), "%s", w.Header().Get("Retry-After"))
			assert.Assert(t, time.Since(began) < tt.most, "held for %v", time.Since(began))
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
