package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

const (
	againEngines = 12
	againSlots   = 16
	// stall is stall_ms of the site: the time after which work that depends on an engine that is silent is given up.
	stall = 1500 * time.Millisecond
	// In each againRound, darkEngines are silent for darkTime.
	againRounds = 14
	againRound  = 6 * time.Second
	darkEngines = 2
	darkTime    = 4500 * time.Millisecond
	// spoilers engines may send spoilShare of their answers a second time.
	spoilers   = 7
	spoilShare = 0.03
	// againReadPerS is how many tokens of a prompt an engine reads in a second.
	againReadPerS = 154000
	longPrompt    = 150000
	shortPrompt   = 2000
	longInterval  = 200 * time.Millisecond
	shortInterval = 25 * time.Millisecond
	longPrefix    = "/file/"
	shortPrefix   = "/ask/"
	againPause    = 50 * time.Millisecond
	longEvents    = 20
	shortEvents   = 6
)

// againEngine is a model engine that reads prompts together with others.
type againEngine struct {
	rig     *rig
	fleet   *againFleet
	id      string
	address string

	mu sync.Mutex
	// dark is closed when the engine is back, and nil while it is sound.
	dark  chan struct{}
	conns map[net.Conn]bool
	// active is the number of requests in slots. answers counts the answers, and spoiled those that were sent a second time.
	active, answers, spoiled int
	spoils                   bool
}

// againRun is a request with whose first event an engine has begun.
type againRun struct {
	request, engine string
	at              time.Time
}

// againFleet is the engines of the case and what they have run.
type againFleet struct {
	mu      sync.Mutex
	engines map[string]*againEngine
	runs    []againRun
	// refusals counts the answers of engines that name another engine, and repeated those of them that were sent again.
	refusals, repeated int
}

func (f *againFleet) at(address string) *againEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

func startAgainEngine(r *rig, f *againFleet, id string) (*againEngine, error) {
	listener, err := new(net.ListenConfig).Listen(r.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &againEngine{rig: r, fleet: f, id: id, address: listener.Addr().String(), conns: map[net.Conn]bool{}}
	f.mu.Lock()
	f.engines[e.address] = e
	f.mu.Unlock()
	r.closers = append(r.closers, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	e.register()
	return e, nil
}

func (e *againEngine) register() {
	value, err := json.Marshal(map[string]any{
		"service": resumedService, "address": e.address, "zone": "zone-a", "version": "v1", "slots": againSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err) // cannot happen: the value holds only strings and numbers
	}
	e.rig.store.Put("keyed.servers", e.id, value)
}

// goDark makes the engine silent for a time, as if its host had no power. It comes back as a new process, without its connections.
func (e *againEngine) goDark(lasts time.Duration) {
	back := make(chan struct{})
	e.mu.Lock()
	e.dark = back
	e.mu.Unlock()
	e.rig.log("engine %s is dark", e.id)
	expires := time.AfterFunc(entryLifetime, func() { e.rig.store.Put("keyed.servers", e.id, nil) })
	time.Sleep(lasts)
	expires.Stop()
	e.mu.Lock()
	e.dark = nil
	for conn := range e.conns {
		_ = conn.Close()
	}
	clear(e.conns)
	e.mu.Unlock()
	close(back)
	e.rig.log("engine %s is back", e.id)
	e.register()
}

// isDark reports whether the engine is dark, and returns the channel that tells when it is back.
func (e *againEngine) isDark() (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dark, e.dark != nil
}

// setSpoiling lets the engine spoil answers.
func (e *againEngine) setSpoiling() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoils = true
}

// spoil counts an answer, and reports whether it is sent a second time.
func (e *againEngine) spoil(refusal bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if !e.spoils || !refusal || float64(e.spoiled+1) > spoilShare*float64(e.answers) {
		return false
	}
	e.spoiled++
	return true
}

// serve serves the requests of a connection one after the other. second is a second copy of the last answer, which is sent when the next answer is expected.
func (e *againEngine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var second string
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if back, dark := e.isDark(); dark {
			<-back
			return
		}
		if second != "" {
			if _, err := io.WriteString(conn, second); err != nil {
				return
			}
			e.rig.log("engine %s sends its last answer again where that to %s is due", e.id, r.Header.Get("Request-Id"))
			second = ""
		}
		answer, refusal, err := e.answer(conn, r)
		if err != nil {
			return
		}
		if answer == "" {
			e.spoil(false)
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if e.spoil(refusal) {
			second = answer
			e.fleet.mu.Lock()
			e.fleet.repeated++
			e.fleet.mu.Unlock()
		}
	}
}

// answer returns the answer to a request, or "" if it has sent a stream. refusal is set if the answer names another engine.
func (e *againEngine) answer(conn net.Conn, r *http.Request) (answer string, refusal bool, err error) {
	id := r.Header.Get("Request-Id")
	whole := func(status int, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, fields, len(body), body)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		return whole(http.StatusMisdirectedRequest, "At-Server: "+e.id+"\r\n", ""), false, nil
	}
	switch r.URL.Path {
	case "/api/report":
		return whole(http.StatusOK, "Content-Type: application/json\r\n", `{"stage":"hybrid","models":[],"busy":false,"sequence":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":405000,"handles":0,"tickets":[]}`), false, nil
	case "/api/order":
		return whole(http.StatusOK, "Content-Type: application/json\r\n", `{"free":405000}`), false, nil
	case "/health":
		return whole(http.StatusOK, "Instance-Id: "+e.id+"\r\n", ""), false, nil
	}
	e.mu.Lock()
	full := e.active >= againSlots
	if !full {
		e.active++
		defer func() {
			e.mu.Lock()
			e.active--
			e.mu.Unlock()
		}()
	}
	e.mu.Unlock()
	notExecuted := func(by string) string {
		return whole(http.StatusServiceUnavailable, "Not-Executed: 1\r\nAt-Server: "+by+"\r\n", "")
	}
	if full {
		return notExecuted(e.id), false, nil
	}
	var helpers []*againEngine
	for entry := range strings.SplitSeq(r.Header.Get("Helpers"), ",") {
		address, _, _ := strings.Cut(entry, "/")
		if helper := e.fleet.at(address); helper != nil {
			helpers = append(helpers, helper)
		}
	}
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ := strconv.Atoi(tokens)
	time.Sleep(time.Duration(float64(prompt) / againReadPerS / float64(1+len(helpers)) * float64(time.Second)))
	for _, helper := range helpers {
		if _, dark := helper.isDark(); dark {
			time.Sleep(stall)
			e.fleet.mu.Lock()
			e.fleet.refusals++
			e.fleet.mu.Unlock()
			e.rig.log("engine %s refuses %s for want of %s", e.id, id, helper.id)
			return notExecuted(helper.id), true, nil
		}
	}
	return "", false, e.stream(conn, r, id)
}

// stream sends the events of a run.
func (e *againEngine) stream(conn net.Conn, r *http.Request, id string) error {
	e.fleet.mu.Lock()
	e.fleet.runs = append(e.fleet.runs, againRun{request: id, engine: e.id, at: time.Now()})
	e.fleet.mu.Unlock()
	events := shortEvents
	if strings.HasPrefix(r.URL.Path, longPrefix) {
		events = longEvents
		e.rig.log("engine %s runs %s", e.id, id)
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id); err != nil {
		return err
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		if back, dark := e.isDark(); dark {
			<-back
			return io.ErrClosedPipe
		}
		event := platformtest.Event(n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(againPause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// againConfiguration has a route for long prompts that may run once, and one for short prompts that may be resumed.
func againConfiguration() []byte {
	route := func(name, prefix string, target int, resumes bool) map[string]any {
		return map[string]any{
			"name": name, "host": resumedHost, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 15000, "targetLatencyMs": target, "gapTargetMs": 1000,
			"priority": 1, "service": resumedService, "maxAttempts": 2, "streamResume": resumes, "sessionAffinity": true,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes":  []map[string]any{route("file", longPrefix, 3000, false), route("ask", shortPrefix, 300, true)},
		"services": []map[string]any{{
			"name": resumedService, "healthCheck": "/health", "maxConnections": 304, "coldStartS": 3.0, "coldPerS": 26.0,
			"engine": map[string]any{
				"slots": againSlots, "kvCapacityTokens": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
				"read_per_s": againReadPerS, "pairs_per_m": 0.0, "chunk": 2048, "hopMs": 0.1,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // cannot happen: the value holds only strings, numbers and booleans
	}
	return value
}

// again sends long prompts that several engines read together and that may run once, among many short ones. Engines fall silent, so that others refuse
// prompts for want of them, and some of these refusals are sent a second time, late.
func again(r *rig) (int, error) {
	fleet := &againFleet{engines: map[string]*againEngine{}}
	var list []*againEngine
	for i := range againEngines {
		e, err := startAgainEngine(r, fleet, fmt.Sprintf("i-%d", i))
		if err != nil {
			return exitNotRun, err
		}
		list = append(list, e)
	}
	r.store.Put("keyed.op", "config", againConfiguration())
	for i := range 3 {
		if err := r.startNode(fmt.Sprintf("front-%d", i), "zone-a"); err != nil {
			return exitNotRun, err
		}
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(againRounds * againRound)
	if r.trouble {
		go spoilAndDarken(list)
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			callers.Go(func() { askAgain(r, shortPrefix, fmt.Sprintf("b%015x", i), i, shortPrompt) })
			time.Sleep(shortInterval)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		callers.Go(func() {
			id := fmt.Sprintf("a%015x", i)
			got := askAgain(r, longPrefix, id, i, longPrompt)
			r.log("client of %s got %d, end: %s", id, got.status, endOf(got))
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = got.status
		})
		time.Sleep(longInterval)
	}
	callers.Wait()
	return judgeAgain(r, fleet, statuses), nil
}

// spoilAndDarken plays the disruptions: other engines are dark in each round.
func spoilAndDarken(list []*againEngine) {
	for _, e := range list[:spoilers] {
		e.setSpoiling()
	}
	for round := range againRounds {
		begin := time.Now()
		var dark sync.WaitGroup
		for i := range darkEngines {
			dark.Go(func() { list[(darkEngines*round+i)%len(list)].goDark(darkTime) })
		}
		dark.Wait()
		time.Sleep(time.Until(begin.Add(againRound)))
	}
}

func askAgain(r *rig, prefix, id string, i, prompt int) answer {
	n := r.nodes[i%len(r.nodes)]
	return send(r.ctx, n.callers, fmt.Sprintf(
		"POST %s%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 15000\r\nModel: m\r\nToken-Usage: %d,600\r\nPrompt-Prefix: aa:40,%s:%d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		prefix, i, resumedHost, id, prompt, id, prompt-40,
	), 16*time.Second)
}

// judgeAgain applies the rules TWICE and REFUSED to the prompts that may run once.
func judgeAgain(r *rig, fleet *againFleet, statuses map[string]int) int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	runs := map[string][]string{}
	for _, run := range fleet.runs {
		runs[run.request] = append(runs[run.request], run.engine)
	}
	twice, refused, served := 0, 0, 0
	for id, status := range statuses {
		if status == http.StatusOK {
			served++
		}
		if len(runs[id]) > 1 {
			twice++
			r.log("TWICE broken: %s was run by %s; its client got %d", id, strings.Join(runs[id], " and "), status)
		}
		if len(runs[id]) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			r.log("REFUSED broken: %s was run by %s; its client got %d", id, strings.Join(runs[id], " and "), status)
		}
	}
	r.log("%d refusals of engines for want of another one, %d of them were sent a second time", fleet.refusals, fleet.repeated)
	r.log("%d of %d long prompts were served, %d ran twice, %d were refused and ran", served, len(statuses), twice, refused)
	switch {
	case twice > 0 || refused > 0:
		return exitBroken
	case served == 0:
		return exitNotRun
	default:
		return exitHeld
	}
}
