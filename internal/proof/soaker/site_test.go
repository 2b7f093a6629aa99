package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "damaskpick-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "damaskpick")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Dir = filepath.Join("..", "..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// instance is one entry node: its settings stay, its process comes and goes.
type instance struct {
	settings string
	callers  string
	ready    string
	// front and store are its links to callers and to the store.
	front, store *proxy
	log          string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// site is a deployment with a link for each pair that faults may part.
type site struct {
	store     *platformtest.Store
	endpoints []*platformtest.Endpoint
	links     []*proxy
	instances []*instance
	// leaving holds when the entry of an endpoint said that it leaves, and out when a data centre was taken out.
	version int
}

func newSite(t *testing.T, nodes int) *site {
	t.Helper()
	s := &site{store: platformtest.NewStore(), version: 1}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() { _ = server.Config.Close() })
	s.store.Put(platform.TopicOperators, "config", platformtest.Configuration(s.version))
	for i := range 6 {
		e := &platformtest.Endpoint{
			ID: fmt.Sprintf("endpoint-%d", i), Service: platformtest.EngineService, DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: 8, Events: 20,
			Pause: 15 * time.Millisecond, Work: 10 * time.Millisecond,
		}
		if i >= 3 {
			e.Service = platformtest.PlainService
		}
		t.Cleanup(e.Start())
		link := newProxy(t, e.Address)
		s.endpoints, s.links = append(s.endpoints, e), append(s.links, link)
		s.store.Put(platform.TopicEndpoints, e.ID, e.Entry(link.address(), "ready"))
	}
	folder := t.TempDir()
	for i := range nodes {
		s.instances = append(s.instances, s.newInstance(t, folder, i, server.Listener.Addr().String()))
	}
	for _, in := range s.instances {
		in.start(t)
	}
	return s
}

func (s *site) newInstance(t *testing.T, folder string, i int, store string) *instance {
	t.Helper()
	name := fmt.Sprintf("node-%d", i)
	in := &instance{callers: free(t), ready: free(t), settings: filepath.Join(folder, name+".jsonc"), log: filepath.Join(folder, name+".log")}
	in.store = newProxy(t, func() string { return store })
	in.front = newProxy(t, func() string { return in.callers })
	settings := loader.Settings{
		Node:   loader.Node{Name: name, IP: "127.0.0.1", DataCentre: fmt.Sprintf("dc-%d", i%3), Region: "r"},
		Listen: loader.Listen{Callers: in.callers, Ready: in.ready, Addresses: free(t), PeerPorts: []int{port(t), 65535}},
		Store:  loader.Store{Address: in.store.address()}, Limits: loader.Limits{MemoryMB: 200},
		Bounds: loader.Bounds{
			GraceSeconds: 4, RetryBudgetRatio: 0.2, RetryBudgetSlack: 100, BudgetWindowSeconds: 10, ColdFactor: 1.5, ColdSlack: 5,
		},
		Addresses: loader.Addresses{KeepSeconds: 0.3, LongestKeep: 2}, Log: loader.Log{Level: "info"},
	}
	data, err := json.Marshal(settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(in.settings, data, 0o600))
	return in
}

// nextPort is the next port to try. Ports below those that the kernel gives out are not taken by other connections between two starts of a
// process.
var nextPort atomic.Int64

const (
	firstPort = 12_000
	ports     = 18_000
)

func free(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", port(t))
}

// port returns a port that is free for TCP and UDP.
func port(t *testing.T) int {
	t.Helper()
	for range ports {
		number := firstPort + int(nextPort.Add(1)%ports)
		address := fmt.Sprintf("127.0.0.1:%d", number)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		conn, err := net.ListenPacket("udp4", address)
		assert.NilError(t, l.Close())
		if err == nil {
			assert.NilError(t, conn.Close())
			return number
		}
	}
	t.Fatal("no port is free")
	return 0
}

// start starts the process unless it runs. The test ends it by its id.
func (in *instance) start(t *testing.T) {
	t.Helper()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		return
	}
	out, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	process := exec.Command(binary, "fleet", "--settings", in.settings)
	process.Stdout, process.Stderr = out, out
	assert.NilError(t, process.Start())
	exited := make(chan struct{})
	in.process, in.exited = process, exited
	go func() {
		_ = process.Wait()
		_ = out.Close()
		in.mu.Lock()
		in.process = nil
		in.mu.Unlock()
		close(exited)
	}()
	t.Cleanup(func() { in.end() })
}

// signal sends a signal to the process, if it runs.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		_ = in.process.Process.Signal(s)
	}
}

// end kills the process and waits for it.
func (in *instance) end() {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-exited
}

// stop asks the process to stop. The returned function waits until that process has ended, and tells whether it did within the bound;
// another step may have started a new one since.
func (in *instance) stop() func(bound time.Duration) bool {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	return func(bound time.Duration) bool {
		select {
		case <-exited:
			return true
		case <-time.After(bound):
			return false
		}
	}
}

func (in *instance) isReady() bool {
	response, err := http.Get("http://" + in.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// attempt is a request of a caller and what came of it.
type attempt struct {
	id, path string
	node     int
	sent     time.Time
	code     int
	body     string
	// whole is set if the answer ended as a complete one.
	whole bool
	ended time.Time
}

// callers sends requests over kept connections until it is stopped, and records all of them.
type callers struct {
	site    *site
	client  *http.Client
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	record  []attempt
}

func startCallers(s *site, count int, seed uint64) *callers {
	c := &callers{site: s, stop: make(chan struct{}), client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	for i := range count {
		c.running.Go(func() { c.run(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return c
}

func (c *callers) run(caller int, random *rand.Rand) {
	paths := []string{"/stream/1", "/stock/1", "/book/1", "/book/2"}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(5+random.IntN(40)) * time.Millisecond):
		}
		a := c.call(random.IntN(len(c.site.instances)), paths[random.IntN(len(paths))], fmt.Sprintf("r-%d-%d", caller, n))
		c.mu.Lock()
		c.record = append(c.record, a)
		c.mu.Unlock()
	}
}

func (c *callers) call(node int, path, id string) attempt {
	a := attempt{id: id, path: path, node: node, sent: time.Now()}
	// The request has no GetBody, so that net/http does not repeat it on its own.
	request, err := platformtest.NewRequest(context.Background(), "http://"+c.site.instances[node].front.address()+path, id)
	if err != nil {
		return a
	}
	response, err := c.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.code, a.body, a.whole = response.StatusCode, string(body), err == nil
		_ = response.Body.Close()
	}
	a.ended = time.Now()
	return a
}

// finish stops the callers and returns all attempts.
func (c *callers) finish() []attempt {
	close(c.stop)
	c.running.Wait()
	return c.record
}
