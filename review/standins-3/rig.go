// Command standins-3 runs the cases 11 to 15 of the review: each starts nodes of the project as separate processes and plays the platform around them.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is a small deployment on loopback addresses.
type rig struct {
	ctx     context.Context
	dir     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	nodes  []*node
	store  *platformtest.Store
	// storeAddress is the address of the store.
	storeAddress string
	closers      []func()
}

// node is one process of the project.
type node struct {
	name, callers, ready, addresses string
	settings                        string
	cmd                             *exec.Cmd
	done                            chan struct{}
}

// newRig opens the record of a case and starts the store.
func newRig(ctx context.Context, record string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{
		ctx: ctx, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file), file: file, store: platformtest.NewStore(),
	}
	if r.storeAddress, err = r.serve("127.0.0.1:0", r.store); err != nil {
		return nil, err
	}
	return r, nil
}

// serve starts an HTTP server that ends with the rig.
func (r *rig) serve(address string, handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(r.ctx, "tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	r.closers = append(r.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// log writes a line with the time since the start of the case to the record.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// freePorts returns ports that are free at the moment.
func freePorts(ctx context.Context, count int) ([]int, error) {
	ports := make([]int, 0, count)
	for range count {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startNode writes the settings of a node as deploy/settings.jsonc fills them in, and starts it.
func (r *rig) startNode(name, zone string) error {
	ports, err := freePorts(r.ctx, 4)
	if err != nil {
		return err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	n := &node{name: name, callers: at(0), ready: at(1), addresses: at(2), settings: filepath.Join(r.dir, name+".jsonc")}
	settings, err := json.Marshal(map[string]any{
		"Node":   map[string]any{"Name": name, "IP": "127.0.0.1", "DataCentre": zone, "Region": "region"},
		"Listen": map[string]any{"Callers": at(0), "Ready": at(1), "Addresses": at(2), "PeerPorts": []int{ports[3], ports[3]}},
		"Store":  map[string]any{"Address": r.storeAddress},
		"Limits": map[string]any{"MemoryMB": 284, "Descriptors": 4100, "CPUShare": 0.4, "CPUCores": 1},
		"Bounds": map[string]any{
			"GraceSeconds": 8, "RetryBudgetRatio": 0.2, "RetryBudgetSlack": 104, "BudgetWindowSeconds": 10, "RetryLending": 0.25,
			"ColdFactor": 1.5, "ColdSlack": 5,
		},
		"Addresses": map[string]any{"KeepSeconds": 1, "LongestKeep": 3},
		"Placement": map[string]any{"SurveyEngines": true, "RecoverEndpoints": true, "KeepRoom": true, "LearnCosts": true},
		"Log":       map[string]any{"Level": "info"},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, settings, 0o600); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	return r.run(n)
}

// run starts the process of a node with the command of the deploy file.
func (r *rig) run(n *node) error {
	out, err := os.OpenFile(filepath.Join(r.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.CommandContext(r.ctx, "target/damaskpick", "fleet", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		r.log("process %s ended: %v", n.name, err)
		_ = out.Close()
		close(done)
	}(n.cmd, n.done)
	r.log("process %s started, pid %d", n.name, n.cmd.Process.Pid)
	return nil
}

// awaitReady waits until all nodes say that they are ready.
func (r *rig) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range r.nodes {
		for {
			got := send(r.ctx, n.ready, "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", time.Second)
			if got.err == nil && got.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and writes the record.
func (r *rig) close() {
	for _, n := range r.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	for _, c := range r.closers {
		c()
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		for _, n := range r.nodes {
			if data, err := os.ReadFile(filepath.Join(r.dir, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(dir, n.name+".log"), data, 0o600)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.dir)
}

// answer is what a client got on its socket.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if there was no complete answer.
	err error
}

// exchange sends raw bytes on a connection and reads one answer.
func exchange(conn net.Conn, reader *bufio.Reader, request string, limit time.Duration) answer {
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	method, _, _ := strings.Cut(request, " ")
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// send sends a raw request on a new connection.
func send(ctx context.Context, address, request string, limit time.Duration) answer {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return exchange(conn, bufio.NewReader(conn), request, limit)
}
