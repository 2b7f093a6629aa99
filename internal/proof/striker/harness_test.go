package striker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/operator/presenter"
	operator "damaskpick.example/damaskpick/internal/operator/requester"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// harness holds the running deployment of a scenario and the measurements taken on it.
type harness struct {
	testing.TB
	ctx    context.Context
	fleet  *launcher.Fleet
	client *http.Client
	// operators maps the name of each node to its operator client.
	operators map[string]*operator.Requester
	notes     []string
}

// smallLayout returns a deployment in three data centres that is small enough to run beside other work on the machine.
func smallLayout() launcher.Layout {
	l := launcher.DefaultLayout()
	l.Nodes, l.Engines = 6, 6
	l.EngineFlags = []string{"--cold-for", "2s", "--cold-requests", "2", "--time-scale", "0.2"}
	l.Policy.WarmCompletions = 2
	l.Timeouts.Request = loader.Duration(30 * time.Second)
	l.Timeouts.AddressLifetime = loader.Duration(time.Second)
	l.Timeouts.Stop = loader.Duration(45 * time.Second)
	return l
}

func newHarness(ctx context.Context, t *testing.T, c scenario) *harness {
	t.Helper()
	layout := smallLayout()
	if c.layout != nil {
		c.layout(&layout)
	}
	folder, err := os.MkdirTemp("", "damaskpick-"+c.name+"-")
	assert.NilError(t, err)
	fleet, cleanup, err := launcher.Start(ctx, layout, binaries, folder)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs are in %s", folder)
			return
		}
		_ = os.RemoveAll(folder)
	})
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	h := &harness{TB: t, ctx: ctx, fleet: fleet, client: &http.Client{Transport: transport}, operators: map[string]*operator.Requester{}}
	for _, n := range fleet.Nodes {
		h.operators[n.Name], err = operator.New(operator.Options{URL: n.URL(), Credential: launcher.OperatorToken, Timeout: 5 * time.Second})
		assert.NilError(t, err)
	}
	h.warmEngines()
	return h
}

// note adds a measurement to the scenario's summary line.
func (h *harness) note(format string, args ...any) {
	h.notes = append(h.notes, fmt.Sprintf(format, args...))
}

func (h *harness) summary() string { return strings.Join(h.notes, ", ") }

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

// pause waits for d while the load goes on. It ends early with the scenario's context.
func (h *harness) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.ctx.Done():
	}
}

// pollInterval is also the accuracy of the times that waitUntil measures.
const pollInterval = 50 * time.Millisecond

// waitUntil repeats check until it returns nil and returns how long that took. It fails the scenario after the timeout.
func (h *harness) waitUntil(timeout time.Duration, condition string, check func() error) time.Duration {
	h.Helper()
	begin := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(begin)
		}
		if time.Since(begin) > timeout || h.ctx.Err() != nil {
			h.Fatalf("%s: timeout after %s: %v", condition, timeout, err)
		}
		h.pause(pollInterval)
	}
}

// getJSON decodes the JSON response of a stand-in into value.
func (h *harness) getJSON(url string, value any) error {
	// A stand-in with the fault Silent leaves the pooled connections of this test open without a response.
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(value)
}

func (h *harness) status(n *launcher.Process) (presenter.Status, error) {
	return h.operators[n.Name].Status(h.ctx)
}

// holder returns the node that holds an endpoint according to the first node.
func (h *harness) holder(endpoint string) *launcher.Process {
	h.Helper()
	status, err := h.status(h.fleet.Nodes[0])
	assert.NilError(h, err)
	for _, e := range status.Endpoints {
		name, _, _ := strings.Cut(e.Holder, "/")
		for _, n := range h.fleet.Nodes {
			if e.ID == endpoint && n.Name == name {
				return n
			}
		}
	}
	h.Fatalf("%s has no holder", endpoint)
	return nil
}

// waitReady waits until a node is ready to serve and returns how long that took.
func (h *harness) waitReady(n *launcher.Process) time.Duration {
	h.Helper()
	return h.waitUntil(10*time.Second, n.Name+" is ready", func() error {
		response, err := h.client.Get(n.URL() + "/readyz")
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	})
}
