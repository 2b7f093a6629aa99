package assembler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/assembler"
	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// testSite is a deployment with a store and endpoints, in which nodes can be started.
type testSite struct {
	store     *platformtest.Store
	address   string
	endpoints []*platformtest.Endpoint
}

func newSite(t *testing.T) *testSite {
	t.Helper()
	return newSiteWith(t, []*platformtest.Endpoint{
		{ID: "engine-1", Service: platformtest.EngineService, DataCentre: "dc-a", Slots: 4, Events: 8, Pause: 5 * time.Millisecond},
		{ID: "engine-2", Service: platformtest.EngineService, DataCentre: "dc-b", Slots: 4, Events: 8, Pause: 5 * time.Millisecond},
		{ID: "plain-1", Service: platformtest.PlainService, DataCentre: "dc-a", Slots: 4, Work: 5 * time.Millisecond},
		{ID: "plain-2", Service: platformtest.PlainService, DataCentre: "dc-b", Slots: 4, Work: 5 * time.Millisecond},
	})
}

func newSiteWith(t testing.TB, endpoints []*platformtest.Endpoint) *testSite {
	t.Helper()
	s := &testSite{store: platformtest.NewStore()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	s.address = server.Listener.Addr().String()
	s.store.Put(platform.TopicOperators, "config", platformtest.Configuration(1))
	for _, e := range endpoints {
		t.Cleanup(e.Start())
		s.endpoints = append(s.endpoints, e)
		s.store.Put(platform.TopicEndpoints, e.ID, e.Entry(e.Address(), "ready"))
	}
	return s
}

// node is a running node.
type node struct {
	settings loader.Settings
	stop     func() error
}

// loopbacks counts the addresses that newLoopback has returned.
var loopbacks atomic.Uint32

// newLoopback returns a loopback address that nothing else in this process uses. On a shared address, a port that was free when it was chosen may
// be taken before the node listens on it.
func newLoopback() string {
	n := loopbacks.Add(1)
	return fmt.Sprintf("127.1.%d.%d", n/250, n%250+1)
}

func (s *testSite) start(t testing.TB, name, dc string) *node {
	t.Helper()
	return s.startWith(t, name, dc, func(*loader.Settings) {})
}

// startWith starts a node whose settings change has changed.
func (s *testSite) startWith(t testing.TB, name, dc string, change func(*loader.Settings)) *node {
	t.Helper()
	ip := newLoopback()
	settings := loader.Settings{
		Node:   loader.Node{Name: name, IP: ip, DataCentre: dc, Region: "r"},
		Listen: loader.Listen{Callers: freeTCPAddress(t, ip), Ready: freeTCPAddress(t, ip), Addresses: freeTCPAddress(t, ip), PeerPorts: []int{freeUDPPort(t, ip), 65535}},
		Store:  loader.Store{Address: s.address}, Limits: loader.Limits{MemoryMB: 1000},
		Bounds: loader.Bounds{
			GraceSeconds: 3, RetryBudgetRatio: 0.2, RetryBudgetSlack: 100, BudgetWindowSeconds: 10, ColdFactor: 1.5, ColdSlack: 5,
		},
		Addresses: loader.Addresses{KeepSeconds: 0.2, LongestKeep: 2}, Log: loader.Log{Level: "info"},
	}
	change(&settings)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- assembler.Run(ctx, settings, assembler.Process{Out: io.Discard, SettingsChanged: make(chan os.Signal), Check: func() error { return nil }})
	}()
	n := &node{settings: settings, stop: sync.OnceValue(func() error {
		cancel()
		return <-ended
	})}
	t.Cleanup(func() { assert.NilError(t, n.stop()) })
	waitFor(t, func() bool { return n.get("http://"+settings.Listen.Ready+platform.ReadyPath) == http.StatusOK })
	return n
}

func freeTCPAddress(t testing.TB, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func freeUDPPort(t testing.TB, ip string) int {
	t.Helper()
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().(*net.UDPAddr).Port
}

func (n *node) get(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// answer is the answer that a caller received.
type answer struct {
	code int
	body string
	err  error
}

func (n *node) call(path, id string) answer {
	request, err := platformtest.NewRequest(context.Background(), "http://"+n.settings.Listen.Callers+path, id)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{code: response.StatusCode, body: string(body), err: err}
}

func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatal("condition was not met within 10 s")
		}
	}
}

func allEvents() string {
	var b strings.Builder
	for n := range 8 {
		b.WriteString(platformtest.Event(n + 1))
	}
	return b.String()
}

// TestNodesServe guards against components that do not work together. Two nodes, one of which places requests for both, serve streams and calls,
// and every request must run exactly once.
func TestNodesServe(t *testing.T) {
	s := newSite(t)
	nodes := []*node{s.start(t, "n1", "dc-a"), s.start(t, "n2", "dc-b")}
	paths := []struct{ path, want string }{{"/stream/1", allEvents()}, {"/stock/1", "answers"}, {"/book/1", "answers"}}
	for i, n := range nodes {
		for _, p := range paths {
			id := fmt.Sprintf("r%d%s", i, strings.ReplaceAll(p.path, "/", "-"))
			waitFor(t, func() bool { return n.call(p.path, id).code == http.StatusOK })
			got := n.call(p.path, id+"-again")
			assert.NilError(t, got.err)
			assert.Equal(t, got.code, http.StatusOK)
			assert.Assert(t, strings.Contains(got.body, p.want), "%s", got.body)
		}
	}
	runs := map[string]int{}
	for _, e := range s.endpoints {
		for _, run := range e.Runs() {
			runs[run.Request]++
			assert.Equal(t, run.Member, platformtest.Member)
		}
	}
	for id, n := range runs {
		assert.Equal(t, n, 1, "%s", id)
	}
	waitFor(t, func() bool {
		got := strings.Fields(addresses(t, nodes[0]))
		slices.Sort(got)
		want := []string{nodes[0].settings.Listen.Callers, nodes[1].settings.Listen.Callers}
		slices.Sort(want)
		return slices.Equal(got, want)
	})
}

func addresses(t *testing.T, n *node) string {
	t.Helper()
	response, err := http.Get("http://" + n.settings.Listen.Addresses + platform.AddressesPath + "?name=x&region=r&zone=dc-a")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, response.Body.Close()) }()
	var message struct {
		Addresses []string `json:"addresses"`
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&message))
	return strings.Join(message.Addresses, " ")
}

// TestOperators guards against a node that misses operators' changes: a data centre out of service, also after the topic was compacted, and a
// new configuration.
func TestOperators(t *testing.T) {
	s := newSite(t)
	n := s.start(t, "n1", "dc-a")
	waitFor(t, func() bool { return n.call("/stream/1", "first").code == http.StatusOK })
	s.store.Put(platform.TopicOperators, "evacuate/dc-a", []byte("{}"))
	s.store.Compact(platform.TopicOperators)
	waitFor(t, func() bool {
		before := len(s.endpoints[1].Runs())
		return n.call("/stream/1", "probe").code == http.StatusOK && len(s.endpoints[1].Runs()) > before
	})
	used := len(s.endpoints[0].Runs())
	for i := range 10 {
		assert.Equal(t, n.call("/stream/1", fmt.Sprint("evacuated-", i)).code, http.StatusOK)
	}
	assert.Equal(t, len(s.endpoints[0].Runs()), used, "the data centre is out of service")

	configuration := strings.ReplaceAll(string(platformtest.Configuration(2)), platformtest.Credential, "another-secret")
	s.store.Put(platform.TopicOperators, "config", []byte(configuration))
	waitFor(t, func() bool { return n.call("/stock/1", "revoked").code == http.StatusUnauthorized })
}

// TestStop guards against a shutdown that cuts off a running request or refuses callers that still use the node's address.
func TestStop(t *testing.T) {
	s := newSite(t)
	s.endpoints[0].Pause, s.endpoints[1].Pause = 150*time.Millisecond, 150*time.Millisecond
	n := s.start(t, "n1", "dc-a")
	waitFor(t, func() bool { return n.call("/stock/1", "first").code == http.StatusOK })
	running := make(chan answer, 1)
	go func() { running <- n.call("/stream/1", "running") }()
	waitFor(t, func() bool { return len(s.endpoints[0].Runs())+len(s.endpoints[1].Runs()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- n.stop() }()
	waitFor(t, func() bool {
		return n.get("http://"+n.settings.Listen.Ready+platform.ReadyPath) == http.StatusServiceUnavailable
	})
	assert.Equal(t, n.call("/stock/1", "during shutdown").code, http.StatusOK)
	got := <-running
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, allEvents())
	assert.NilError(t, <-stopped)
	assert.Assert(t, n.call("/stock/1", "after shutdown").err != nil)
}

// TestStopAnswers guards against a node that closes the connections of requests without an answer when its grace period ends.
func TestStopAnswers(t *testing.T) {
	tests := []struct {
		path string
		want int
	}{
		{"/book/1", http.StatusBadGateway},
		{"/stock/1", http.StatusBadGateway},
		{"/stream/1", http.StatusBadGateway},
	}
	s := newSite(t)
	s.store.Put(platform.TopicOperators, "config", platformtest.ConfigurationWith(2, 10*time.Second, 0))
	n := s.start(t, "n1", "dc-a")
	waitFor(t, func() bool { return n.call("/stock/1", "first").code == http.StatusOK })
	for _, e := range s.endpoints {
		e.SetFault(platformtest.EndpointFault{Silent: true})
	}
	answers := make([]answer, len(tests))
	var calls sync.WaitGroup
	for i, tt := range tests {
		calls.Go(func() { answers[i] = n.call(tt.path, fmt.Sprint("silent-", i)) })
	}
	waitFor(t, func() bool {
		ran := map[string]bool{}
		for _, e := range s.endpoints {
			for _, r := range e.Runs() {
				ran[r.Request] = true
			}
		}
		return len(ran) == len(tests)+1
	})
	assert.NilError(t, n.stop())
	calls.Wait()
	for i, tt := range tests {
		assert.NilError(t, answers[i].err, tt.path)
		assert.Equal(t, answers[i].code, tt.want, tt.path)
	}
}

// TestStoreUnavailable guards against a node that stops serving while the store is unavailable, or misses changes afterwards.
func TestStoreUnavailable(t *testing.T) {
	tests := []struct {
		name  string
		fault platformtest.StoreFault
	}{
		{"busy", platformtest.StoreFault{Status: http.StatusServiceUnavailable}},
		{"silent", platformtest.StoreFault{Silent: true}},
		{"answers lost", platformtest.StoreFault{DropResponses: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			n := s.start(t, "n1", "dc-a")
			waitFor(t, func() bool { return n.call("/stream/1", "first").code == http.StatusOK })
			s.store.SetFault(tt.fault)
			before := s.store.Calls()
			waitFor(t, func() bool { return s.store.Calls() > before })
			for i := range 5 {
				assert.Equal(t, n.call("/book/1", fmt.Sprint(i)).code, http.StatusOK)
				assert.Equal(t, n.call("/stream/1", fmt.Sprint("s", i)).code, http.StatusOK)
			}
			s.store.SetFault(platformtest.StoreFault{})
			s.store.Put(platform.TopicOperators, "config", []byte(strings.ReplaceAll(string(platformtest.Configuration(2)), "/book/", "/later/")))
			waitFor(t, func() bool { return n.call("/later/1", "after").code == http.StatusOK })
		})
	}
}

// TestRestoredStore guards against a node that never applies a configuration again after the store has come back from a copy, falls back to an older one, or
// misses that a data centre is taken back.
func TestRestoredStore(t *testing.T) {
	with := func(version int, path string) []byte {
		return []byte(strings.ReplaceAll(string(platformtest.Configuration(version)), "/book/", path))
	}
	tests := []struct {
		name string
		// returns is the number of times that the store comes back.
		returns int
		compact bool
	}{
		{"once", 1, false}, {"twice", 2, false}, {"and drops its history", 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			copied := s.store.Copy()
			a, b := s.start(t, "n1", "dc-a"), s.start(t, "n2", "dc-b")
			all := func(path string, code int) func() bool {
				return func() bool { return a.call(path, "a").code == code && b.call(path, "b").code == code }
			}
			for version := range 4 {
				s.store.Put(platform.TopicOperators, "config", with(version+2, fmt.Sprintf("/added-%d/", version+2)))
			}
			s.store.Put(platform.TopicOperators, "evacuate/dc-a", []byte("{}"))
			waitFor(t, all("/added-5/1", http.StatusOK))
			for range tt.returns {
				s.store.Restore(copied)
			}
			s.store.Put(platform.TopicOperators, "evacuate/dc-a", []byte("{}"))
			s.store.Put(platform.TopicOperators, "config", with(5, "/added-5/"))
			if tt.compact {
				s.store.Compact(platform.TopicOperators)
			}
			assert.Equal(t, a.call("/added-5/1", "a").code, http.StatusOK)
			s.store.Put(platform.TopicOperators, "config", with(6, "/added-6/"))
			s.store.Put(platform.TopicOperators, "evacuate/dc-a", nil)
			waitFor(t, all("/added-6/1", http.StatusOK))
			waitFor(t, func() bool {
				before := len(s.endpoints[2].Runs())
				return a.call("/added-6/1", "a").code == http.StatusOK && len(s.endpoints[2].Runs()) > before
			})
		})
	}
}

// TestNodeStartsAfterReturn guards against a node that starts after the store has come back from a copy without any registration, and then does not find the
// others: it would take the copy's configuration for the newest one.
func TestNodeStartsAfterReturn(t *testing.T) {
	s := newSite(t)
	copied := s.store.Copy()
	a := s.start(t, "n1", "dc-a")
	s.store.Put(platform.TopicOperators, "config", []byte(strings.ReplaceAll(string(platformtest.Configuration(2)), "/book/", "/added/")))
	waitFor(t, func() bool { return a.call("/added/1", "a").code == http.StatusOK })
	s.store.Restore(copied)
	waitFor(t, func() bool { return s.store.Keys(platform.TopicNodes) == 1 })
	b := s.start(t, "n2", "dc-b")
	waitFor(t, func() bool { return b.call("/added/1", "b").code == http.StatusOK })
}

// TestOddEntries guards against an entry of another writer among those of the endpoints that ends the nodes that read it, or keeps them from following later
// changes.
func TestOddEntries(t *testing.T) {
	tests := platformtest.OddEntries()
	s := newSite(t)
	s.store.Put(platform.TopicEndpoints, "odd-at-start", tests[0].Value)
	nodes := []*node{s.start(t, "n1", "dc-a"), s.start(t, "n2", "dc-b")}
	for i, tt := range tests {
		t.Run(tt.Name, func(t *testing.T) {
			s.store.Put(platform.TopicEndpoints, "odd", tt.Value)
			later := &platformtest.Endpoint{ID: fmt.Sprint("later-", i), Service: platformtest.PlainService, DataCentre: "dc-b", Slots: 4}
			t.Cleanup(later.Start())
			s.store.Put(platform.TopicEndpoints, later.ID, later.Entry(later.Address(), "ready"))
			number := 0
			waitFor(t, func() bool {
				number++
				for n, from := range nodes {
					got := from.call("/book/1", fmt.Sprintf("odd-%d-%d-%d", i, number, n))
					assert.NilError(t, got.err)
					assert.Equal(t, got.code, http.StatusOK)
				}
				return len(later.Runs()) > 0
			})
			s.store.Put(platform.TopicEndpoints, later.ID, nil)
			waitFor(t, func() bool {
				before := len(later.Runs())
				for range 8 {
					number++
					for n, from := range nodes {
						_ = from.call("/book/1", fmt.Sprintf("odd-%d-%d-%d", i, number, n))
					}
				}
				return len(later.Runs()) == before
			})
		})
	}
}
