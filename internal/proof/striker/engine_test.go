package striker

import (
	"fmt"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/bench/launcher"
)

// startedRequest and engineBoot are entries of the history that a stand-in engine reports.
type startedRequest struct {
	Attempt string
	Node    string
	Cold    bool
	At      time.Time
}

type engineBoot struct {
	BootID string
	Cause  string
	At     time.Time
}

type engineHistory struct {
	Starts []startedRequest
	Boots  []engineBoot
}

// history returns the requests that an engine started and its boots. It waits up to 5 s for an engine that is down after a crash.
func (h *harness) history(engine *launcher.Process) (result engineHistory) {
	h.Helper()
	h.waitUntil(5*time.Second, "history of "+engine.Name, func() error { return h.getJSON(engine.URL()+"/history", &result) })
	return result
}

// crashCauses returns the cause of each crash of any engine, prefixed with the engine's name.
func (h *harness) crashCauses() (causes []string) {
	h.Helper()
	for _, e := range h.fleet.Engines {
		for _, boot := range h.history(e).Boots[1:] {
			causes = append(causes, e.Name+": "+boot.Cause)
		}
	}
	return causes
}

type runningRequests struct {
	BootID   string
	Requests []struct {
		Attempt string
		Node    string
		Tokens  int64
	}
}

func (h *harness) running(engine *launcher.Process) (r runningRequests, err error) {
	return r, h.getJSON(engine.URL()+"/requests", &r)
}

// checkIdle returns an error if an engine runs a request.
func (h *harness) checkIdle() error {
	for _, e := range h.fleet.Engines {
		running, err := h.running(e)
		if err != nil {
			return err
		}
		if len(running.Requests) > 0 {
			return fmt.Errorf("%s runs %v", e.Name, running.Requests)
		}
	}
	return nil
}

// settleTimeout is longer than a reclaim, which ends the work of a dead node.
const settleTimeout = 10 * time.Second

// checkSettled checks what must hold after every scenario: engine memory is free and no engine got more work than it sustains.
func (h *harness) checkSettled(crashesExpected bool) {
	h.Helper()
	h.note("engines idle after %s", round(h.waitUntil(settleTimeout, "engines are idle", h.checkIdle)))
	for _, crash := range h.crashCauses() {
		assert.Assert(h, crashesExpected && !strings.Contains(crash, "cold"), "%s", crash)
	}
}

// warmRequests concurrent requests reach every engine. Nodes prefer warm engines, so fewer would leave some cold.
const warmRequests = 36

// warmEngines sends short prompts until the first node reports every engine as warm.
func (h *harness) warmEngines() {
	h.Helper()
	h.waitUntil(20*time.Second, "all engines are warm", func() error {
		done := make(chan answer, warmRequests)
		for i := range warmRequests {
			go func() { done <- h.sendPrompt(h.fleet.Nodes[i%len(h.fleet.Nodes)], prompt("warm", i, 4000), 20) }()
		}
		for range warmRequests {
			<-done
		}
		status, err := h.status(h.fleet.Nodes[0])
		if err != nil {
			return err
		}
		for _, e := range status.Endpoints {
			if e.Kind == "Engine" && e.Phase != "Warm" {
				return fmt.Errorf("%s is %s", e.ID, e.Phase)
			}
		}
		return nil
	})
}
