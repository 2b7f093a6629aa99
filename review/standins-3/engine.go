package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// An engine runs as a process of its own, so that a SIGKILL ends its connections as the kernel does it.
const (
	engineReadPerS = 10000
	enginePause    = 100 * time.Millisecond
	engineEvents   = 20
)

// runEngine serves as a model engine until it is killed. Its first line is its address, then comes a line for each request that it runs. With unframed
// set, its streams have neither a length nor chunks and end with their connection.
func runEngine(id string, unframed bool) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	say("%s", listener.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serveEngine(w, r, id, unframed, say)
	})}
	return server.Serve(listener)
}

func serveEngine(w http.ResponseWriter, r *http.Request, id string, unframed bool, say func(string, ...any)) {
	request := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		w.Header().Set("Request-Id", request)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/report" {
		_, _ = io.WriteString(w, `{"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":405000,"tickets":[]}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = ""
	}
	say("run %s last=%d helpers=%q", request, last, r.Header.Get("Helpers"))
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s\r\n",
		request, id, request, framing)
	if buffered.Flush() != nil {
		return
	}
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	readers := 1
	if list := r.Header.Get("Helpers"); list != "" {
		readers += strings.Count(list, ",") + 1
	}
	time.Sleep(time.Duration(float64(tokens) / engineReadPerS / float64(readers) * float64(time.Second)))
	for n := last + 1; n <= engineEvents; n++ {
		event := platformtest.Event(n)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, err := buffered.WriteString(event)
		if err != nil || buffered.Flush() != nil {
			return
		}
		say("event %s %d", request, n)
		time.Sleep(enginePause)
	}
	if !unframed {
		_, _ = buffered.WriteString("0\r\n\r\n")
		_ = buffered.Flush()
	}
	say("end %s", request)
}

// engineRun is a request that an engine ran.
type engineRun struct {
	engine, request string
	last, events    int
	ended           bool
}

// engineProcess is an engine in a process of its own.
type engineProcess struct {
	id, address string
	unframed    bool
	cmd         *exec.Cmd
	killed      bool
}

// engines are the engines of a case with what they have run.
type engines struct {
	rig *rig

	mu   sync.Mutex
	list []*engineProcess
	runs []*engineRun
	// onRun is called with each run that begins.
	onRun func(*engineProcess, *engineRun)
}

// start starts an engine, and writes its entry with each heartbeat while it lives.
func (e *engines) start(id, service string, slots int, unframed bool) error {
	framing := "chunked"
	if unframed {
		framing = "unframed"
	}
	p := &engineProcess{id: id, unframed: unframed, cmd: exec.CommandContext(e.rig.ctx, os.Args[0], "engine", id, framing)}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	e.rig.closers = append(e.rig.closers, func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("engine %s has not started", id)
	}
	p.address = lines.Text()
	e.mu.Lock()
	e.list = append(e.list, p)
	e.mu.Unlock()
	go e.follow(p, lines)
	entry := platformtest.Endpoint{ID: id, Service: service, DataCentre: "zone-a", Slots: slots}
	e.rig.store.Put("keyed.servers", id, entry.Entry(p.address, "ready"))
	return nil
}

// follow records what an engine says that it runs.
func (e *engines) follow(p *engineProcess, lines *bufio.Scanner) {
	running := map[string]*engineRun{}
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		e.mu.Lock()
		switch run := running[fields[1]]; fields[0] {
		case "run":
			run = &engineRun{engine: p.id, request: fields[1]}
			_, _ = fmt.Sscanf(fields[2], "last=%d", &run.last)
			running[fields[1]] = run
			e.runs = append(e.runs, run)
			if e.onRun != nil {
				e.onRun(p, run)
			}
			e.rig.log("engine %s runs %s from event %d, %s", p.id, run.request, run.last+1, fields[3])
		case "event":
			run.events++
		case "end":
			run.ended = true
			e.rig.log("engine %s has sent the last event of %s", p.id, run.request)
		}
		e.mu.Unlock()
	}
}

// kill ends the process of an engine. The store removes its entry after three heartbeat intervals.
func (e *engines) kill(p *engineProcess) {
	e.rig.log("SIGKILL to engine %s", p.id)
	p.killed = true
	_ = p.cmd.Process.Kill()
	time.AfterFunc(entryLifetime, func() { e.rig.store.Put("keyed.servers", p.id, nil) })
}

// entryLifetime is three heartbeat intervals.
const entryLifetime = 3600 * time.Millisecond
