package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

const (
	resumedHost    = "desk.example"
	resumedService = "desk-model"
	resumedPrompt  = 9000
	resumedStreams = 60
	// lastResumed is the last event after which a run that resumes a stream has enough events left for the case.
	lastResumed = engineEvents * 3 / 4
	// minInMiddle is the number of streams in their middle at the engine that is killed first.
	minInMiddle = 2
)

func resumedConfiguration() []byte {
	value, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "read", "host": resumedHost, "pathPrefix": "/read/", "kind": "stream", "timeoutMs": 15000, "targetLatencyMs": 3000,
			"gapTargetMs": 1000, "priority": 1, "service": resumedService, "maxAttempts": 2, "streamResume": true, "sessionAffinity": true,
		}},
		"services": []map[string]any{{
			"name": resumedService, "healthCheck": "/health", "maxConnections": 300, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{
				"slots": 3, "kvCapacityTokens": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.0, "context_per_k": 0.0,
				"read_per_s": engineReadPerS, "pairs_per_m": 0.0, "chunk": 2048, "hopMs": 0.1,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // cannot happen: the value holds only strings, numbers and booleans
	}
	return value
}

// resumed kills an engine in the middle of its streams, and then one that has begun to resume one of them and reads the prompt. It counts the streams that
// reach their callers as complete without their last events.
func resumed(r *rig) (int, error) {
	e := &engines{rig: r}
	for i := range 12 {
		if err := e.start(fmt.Sprintf("i-%d", i), resumedService, 3, i%4 != 0); err != nil {
			return exitNotRun, err
		}
	}
	r.store.Put("keyed.op", "config", resumedConfiguration())
	for i := range 3 {
		if err := r.startNode(fmt.Sprintf("front-%d", i), "zone-a"); err != nil {
			return exitNotRun, err
		}
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	var second sync.Once
	e.onRun = func(p *engineProcess, run *engineRun) {
		if !r.trouble || run.last == 0 || run.last > lastResumed || !p.unframed {
			return
		}
		second.Do(func() {
			time.AfterFunc(50*time.Millisecond, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				r.log("engine %s has begun to resume %s and sent %d events of it", p.id, run.request, run.events)
				e.kill(p)
			})
		})
	}
	answers := make([]answer, resumedStreams)
	var callers sync.WaitGroup
	killed := false
	for i := range resumedStreams {
		callers.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			n := r.nodes[i%len(r.nodes)]
			answers[i] = send(r.ctx, n.callers, fmt.Sprintf(
				"POST /read/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 15000\r\nModel: m\r\nToken-Usage: %d,700\r\nPrompt-Prefix: aa:40,%x:%d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
				i, resumedHost, id, resumedPrompt, 1000+i, resumedPrompt-40,
			), 16*time.Second)
			r.log("client of %s via %s got %d with %d events, end: %v", id, n.name, answers[i].status, countEvents(answers[i].body), endOf(answers[i]))
		})
		time.Sleep(150 * time.Millisecond)
		if r.trouble && i >= resumedStreams/4 && !killed {
			killed = e.killBusiest()
		}
	}
	callers.Wait()
	return judgeStreams(r, e, answers), nil
}

// killBusiest kills the engine with chunked streams that has the most of them in their middle, if these are minInMiddle. It reports whether it has killed one.
func (e *engines) killBusiest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *engineProcess
	most := 0
	for _, p := range e.list {
		count := 0
		for _, run := range e.runs {
			if run.engine == p.id && !run.ended && run.events > 0 && run.events < lastResumed {
				count++
			}
		}
		if !p.unframed && count > most {
			best, most = p, count
		}
	}
	if most < minInMiddle {
		return false
	}
	e.rig.log("engine %s is in the middle of %d streams", best.id, most)
	e.kill(best)
	return true
}

func countEvents(body []byte) int { return strings.Count(string(body), "id: ") }

func endOf(a answer) string {
	if a.err != nil {
		return "broken off, " + a.err.Error()
	}
	return "complete"
}

// judgeStreams applies the rule ORDER: a stream ends as complete before its last piece. Streams whose engine has ended them itself after an event do not
// count.
func judgeStreams(r *rig, e *engines, answers []answer) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	broken, complete := 0, 0
	for i, a := range answers {
		id := fmt.Sprintf("%016x", i+1)
		events := countEvents(a.body)
		if a.err != nil || a.status != http.StatusOK {
			continue
		}
		if events == engineEvents && strings.HasSuffix(string(a.body), platformtest.Event(engineEvents)) {
			complete++
			continue
		}
		var last *engineRun
		for _, run := range e.runs {
			if run.request == id {
				last = run
			}
		}
		if last == nil || last.events > 0 {
			r.log("not counted: %s ended after %d events, its last run was ended after an event", id, events)
			continue
		}
		broken++
		r.log("ORDER broken: %s ended as complete after %d of %d events; engine %s was killed before it sent event %d", id, events, engineEvents, last.engine, last.last+1)
	}
	r.log("%d of %d streams reached their callers whole, %d ended as complete before their last event", complete, len(answers), broken)
	switch {
	case broken > 0:
		return exitBroken
	case complete == 0:
		return exitNotRun
	default:
		return exitHeld
	}
}
