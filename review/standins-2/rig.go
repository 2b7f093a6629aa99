package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// Results of a case, the exit codes of its script.
const (
	held       = 0
	broken     = 1
	impossible = 2
)

// cleanups are run before the process exits.
var cleanups []func()

func exit(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	note("the case could not run: "+format, args...)
	exit(impossible)
}

var (
	record  *os.File
	started = time.Now()
	noteMu  sync.Mutex
)

// note writes a line to the record of the case.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	if record != nil {
		_, _ = fmt.Fprintln(record, line)
	}
}

// node is a process of the system.
type node struct {
	name                               string
	callers, ready, addresses, metrics string
	settings                           string
	cores                              int
	command                            *exec.Cmd
	exited                             chan struct{}
}

// machine is a kind of machine of a site file.
type machine struct {
	memoryMB, descriptors int
	share                 float64
	// cores is the number of cores that the process uses; zero means all of this machine.
	cores int
}

var (
	// usual is a machine of maglens-fleet, and small the usual one of qarasu-replay-grown.
	usual = machine{memoryMB: 284, descriptors: 4100, share: 0.4}
	small = machine{memoryMB: 136, descriptors: 2870, share: 0.134}
	// single is the same with the one core that its processor list shows.
	single = machine{memoryMB: 136, descriptors: 2870, share: 0.134, cores: 1}
)

// rig is a small deployment: the store, engines, and nodes as processes.
type rig struct {
	folder  string
	store   *platformtest.Store
	address string
	nodes   []*node

	mu      sync.Mutex
	engines []*engine
	all     []*engine
}

func newRig() *rig {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(folder) })
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	r := &rig{folder: folder, store: platformtest.NewStore(), address: listener.Addr().String()}
	server := &http.Server{Handler: r.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return r
}

// add starts an engine. cold is its cold start.
func (r *rig) add(id, service, zone string, cold time.Duration) {
	e := newEngine(id, service, zone)
	r.mu.Lock()
	r.engines, r.all = append(r.engines, e), append(r.all, e)
	r.mu.Unlock()
	e.register(r.store, cold)
}

// runs returns what all engines have run.
func (r *rig) runs() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, e := range r.all {
		e.mu.Lock()
		list = append(list, e.runs...)
		e.mu.Unlock()
	}
	return list
}

func freeAddress() string {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func portOf(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}

// start starts a node with the settings of deploy/settings.jsonc, filled in as on the machine.
func (r *rig) start(name, zone string, m machine) *node {
	n := &node{name: name, callers: freeAddress(), ready: freeAddress(), addresses: freeAddress(), metrics: freeAddress(), cores: m.cores}
	n.settings = filepath.Join(r.folder, name+".jsonc")
	data, err := json.Marshal(loader.Settings{
		Node: loader.Node{Name: name, IP: "127.0.0.1", DataCentre: zone, Region: "southeast"},
		Listen: loader.Listen{
			Callers: n.callers, Ready: n.ready, Addresses: n.addresses, PeerPorts: []int{portOf(freeAddress()), 65535}, MetricsPort: portOf(n.metrics),
		},
		Store:  loader.Store{Address: r.address},
		Limits: loader.Limits{MemoryMB: m.memoryMB, Descriptors: m.descriptors, CPUShare: m.share, CPUCores: 1},
		Bounds: loader.Bounds{
			GraceSeconds: 8, RetryBudgetRatio: 0.2, RetryBudgetSlack: 104, BudgetWindowSeconds: 10, RetryLending: 0.25, ColdFactor: 1.5, ColdSlack: 5,
		},
		Addresses: loader.Addresses{KeepSeconds: 1, LongestKeep: 3},
		Placement: loader.Placement{SurveyEngines: true, RecoverEndpoints: true, KeepRoom: true, LearnCosts: true},
		Log:       loader.Log{Level: "info"},
	})
	if err == nil {
		err = os.WriteFile(n.settings, data, 0o600)
	}
	if err != nil {
		fail("%v", err)
	}
	r.nodes = append(r.nodes, n)
	r.spawn(n)
	return n
}

func (r *rig) spawn(n *node) {
	log, err := os.OpenFile(filepath.Join(r.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = log.Close() }()
	n.command = exec.CommandContext(context.Background(), "target/damaskpick", "fleet", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	if n.cores > 0 {
		n.command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(n.cores))
	}
	if err := n.command.Start(); err != nil {
		fail("%v", err)
	}
	n.exited = make(chan struct{})
	command, exited := n.command, n.exited
	go func() { _ = command.Wait(); close(exited) }()
	cleanups = append(cleanups, func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-exited
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if data, err := os.ReadFile(log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
			}
		}
	})
}

// alive reports whether the process of the node runs.
func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// anonymousBytes returns the memory of the process without the pages of its file, in bytes.
func (n *node) anonymousBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// descriptors returns how many descriptors the process of the node has open.
func (n *node) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// isReady asks the node on a new or kept connection of the client whether it is ready.
func isReady(client *http.Client, n *node) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	return response.StatusCode == http.StatusOK, response.Body.Close()
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady() {
	until := time.Now().Add(15 * time.Second)
	for _, n := range r.nodes {
		for {
			if ok, err := isReady(http.DefaultClient, n); ok && err == nil {
				break
			}
			if time.Now().After(until) {
				fail("node %s did not become ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// configure writes the configuration with the given routes into the store.
func (r *rig) configure(routes []map[string]any) {
	value, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{
			{
				"name": modelService, "healthCheck": "/health", "maxConnections": 304, "coldStartS": 3.0, "coldPerS": 26.0,
				"engine": map[string]any{
					"slots": modelSlots, "kvCapacityTokens": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
					"read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "hopMs": 0.1,
				},
			},
			{"name": plainService, "healthCheck": "/health", "maxConnections": 110, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": member, "apiKeys": []string{credential}, "priority": 1}},
	})
	if err != nil {
		fail("%v", err)
	}
	r.store.Put(platform.TopicOperators, "config", value)
}

// streamRoute and callRoute return routes as in the configuration of maglens-fleet.
func streamRoute(prefix string) map[string]any {
	return map[string]any{
		"name": "stream" + prefix, "host": host, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1,
		"service": modelService, "maxAttempts": 2, "streamResume": true, "gapTargetMs": 250,
	}
}

// longRoute returns the route of the longest prompts.
func longRoute(prefix string) map[string]any {
	route := streamRoute(prefix)
	route["timeoutMs"], route["targetLatencyMs"], route["gapTargetMs"] = 15000, 3000, 1000
	return route
}

func callRoute(prefix, kind string) map[string]any {
	attempts := 1
	if kind == "safe" {
		attempts = 2
	}
	return map[string]any{
		"name": kind + prefix, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
		"service": plainService, "maxAttempts": attempts,
	}
}
