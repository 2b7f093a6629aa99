//go:build review

// Command standins plays the cases of the review that cannot be put as a day of the bench. It starts nodes with the command and the template of the
// deploy file in front of stand-ins for the platform's store, engines and clients, all on loopback addresses.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	frontPort = 8227
	readyPort = 8220
	namesPort = 8224
)

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

// rig holds the processes and stand-ins of a case, and writes its record.
type rig struct {
	trouble bool
	folder  string
	began   time.Time
	network string
	nodes   []*node
	store   *store

	mu      sync.Mutex
	record  *os.File
	closers []func()
}

// newRig returns a rig that writes record.txt into the given folder. Its nodes have the addresses NETWORK.1, NETWORK.2 and so on.
func newRig(folder string) (*rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "damaskpick-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", folder: work, began: time.Now(), record: record}
	if r.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	r.store, err = startStore(r)
	return r, err
}

// freeNetwork returns the first three numbers of loopback addresses that no other process uses.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", network, frontPort))
		if err == nil {
			return network, l.Close()
		}
	}
	return "", fmt.Errorf("%w: no free addresses", errSetup)
}

// at returns the time since the rig was made in seconds.
func (r *rig) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *rig) noteAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%s  %s\n", r.at(t), fmt.Sprintf(format, args...))
}

// verdict writes the last line of the record and returns the exit code of the case.
func (r *rig) verdict(rule string, isBroken bool, what string) int {
	word, code := "held", held
	if isBroken {
		word, code = "broken", broken
	}
	r.note("%s %s: %s", rule, word, what)
	fmt.Printf("%s %s: %s\n", rule, word, what)
	return code
}

// atEnd registers a function that close calls.
func (r *rig) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	r.mu.Lock()
	closers := r.closers
	r.mu.Unlock()
	for _, f := range closers {
		f()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("logs:", r.folder)
	}
}

// node is an entry node, a process of `damaskpick fleet`.
type node struct {
	rig        *rig
	name, zone string
	ip         string
	settings   string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// addNodes adds nodes in turn in the zones za, zb and zc, whose store is at the given address.
func (r *rig) addNodes(count int, bounds bounds) error {
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return err
	}
	for i := range count {
		n := &node{rig: r, name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", r.network, i+1)}
		n.settings = filepath.Join(r.folder, n.name+".jsonc")
		text, err := fill(string(template), n.values(bounds))
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	return nil
}

var zones = []string{"za", "zb", "zc"}

// bounds are the bounds in the settings of a node that the template of the deploy file uses.
type bounds struct {
	graceS, retryBudgetRatio, retryBudgetSlack, budgetWindowS, coldOverage, coldSlack float64
}

// defaultBounds are those of sites/szelfogo-router.toml.
var defaultBounds = bounds{graceS: 8, retryBudgetRatio: 0.2, retryBudgetSlack: 106, budgetWindowS: 10, coldOverage: 1.5, coldSlack: 5}

func (n *node) values(b bounds) map[string]string {
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	return map[string]string{
		"node": n.name, "ip": n.ip, "zone": n.zone, "region": "r",
		"listen.front": n.address(frontPort), "listen.ready": n.address(readyPort), "listen.directory": n.address(namesPort),
		"portRange": "7340,7355", "provider.address": n.rig.store.address,
		"limits.memoryMb": "284", "limits.cpuShare": "0.4", "limits.cpuCores": "1",
		"bounds.graceS": number(b.graceS), "bounds.retryBudgetRatio": number(b.retryBudgetRatio),
		"bounds.retryBudgetSlack": number(b.retryBudgetSlack), "bounds.budgetWindowS": number(b.budgetWindowS),
		"bounds.coldOverage": number(b.coldOverage), "bounds.coldSlack": number(b.coldSlack),
	}
}

var (
	section     = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)
)

// fill fills in the template of the deploy file. Each section has one value that is present.
func fill(template string, values map[string]string) (string, error) {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	var err error
	text := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		name := placeholder.FindStringSubmatch(text)[1]
		value, ok := values[name]
		if !ok {
			err = fmt.Errorf("%w: the template uses %s", errSetup, name)
		}
		return value
	})
	return text, err
}

func (n *node) address(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

// start starts the process with the command of the deploy file. Its output goes to a file in the rig's folder.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.rig.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/damaskpick", "fleet", "--settings", n.settings)
	process.Stdout, process.Stderr = log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	if err := process.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	n.process, n.exited = process, exited
	n.rig.note("%s starts", n.name)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		n.rig.note("%s has ended: %s", n.name, process.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready reports whether the node says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.address(readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startGap is the time between the starts of two nodes. All of them start within 0.3 s.
const startGap = 30 * time.Millisecond

// startAll starts all nodes and waits until they are ready.
func (r *rig) startAll() error {
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
		time.Sleep(startGap)
	}
	return r.awaitReady()
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		count := 0
		for _, n := range r.nodes {
			if n.ready() {
				count++
			}
		}
		if count == len(r.nodes) {
			r.note("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: nodes are not ready", errSetup)
}

// listen serves a handler on a free port of a loopback address. It returns the address and a function that ends the server, which the rig calls when it
// is closed.
func (r *rig) listen(handler http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	stop := func() { _ = server.Close() }
	r.atEnd(stop)
	return listener.Addr().String(), stop, nil
}

// sleep waits and returns early with an error when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
