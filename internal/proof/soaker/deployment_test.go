package soaker

import (
	"cmp"
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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// binary is the path of the program under test, which is built once.
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

// instance is an entry node. It keeps its settings and addresses when its process is restarted.
type instance struct {
	settingsPath string
	// descriptors is the most descriptors that the process may have open; zero means no limit of the test.
	descriptors   int
	callerAddress string
	readyAddress  string
	// callerLink is the link from callers to the node, storeLink the link from the node to the store.
	callerLink, storeLink *proxy
	logPath               string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// exitCode is the exit code of the last process that has exited; -1 if a signal ended it.
	exitCode int
}

// memoryLimit is the memory limit in the settings of the nodes, in bytes.
const memoryLimit = 200_000_000

// graceSeconds is the grace period in the settings of the nodes.
const graceSeconds = 4

// options are the figures of a deployment that differ between tests.
type options struct {
	nodes int
	// slots is the number of requests that an endpoint runs at once, and work the time that it takes for a call that is not a stream.
	slots int
	work  time.Duration
	// callTimeout is the timeout of the routes that are not streams.
	callTimeout time.Duration
	// memory is the memory limit in the settings of the nodes in bytes; zero means memoryLimit. descriptors is the most descriptors that a process may
	// have open; zero means no limit of the test. bodyBytes is the operators' limit of bodies; zero means that of platformtest.Configuration.
	memory, descriptors int
	bodyBytes           int
}

// withScale returns the options with a multiple of the nodes and slots.
func (o options) withScale(factor int) options {
	o.nodes *= factor
	o.slots *= factor
	return o
}

// deployment is a set of nodes with a store and endpoints. Each connection between them that faults can break runs through a proxy.
type deployment struct {
	store         *platformtest.Store
	endpoints     []*platformtest.Endpoint
	endpointLinks []*proxy
	instances     []*instance
	options       options
	// version is the version of the newest configuration in the store.
	version int
}

func newDeployment(t *testing.T, o options) *deployment {
	t.Helper()
	d := &deployment{store: platformtest.NewStore(), options: o}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() { _ = server.Config.Close() })
	d.configure()
	for i := range 6 {
		e := &platformtest.Endpoint{
			ID: fmt.Sprintf("endpoint-%d", i), Service: platformtest.EngineService, DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: o.slots,
			Events: defaultEvents, Pause: 15 * time.Millisecond, Work: o.work,
		}
		if i >= 3 {
			e.Service = platformtest.PlainService
		}
		t.Cleanup(e.Start())
		link := newProxy(t, e.Address)
		d.endpoints, d.endpointLinks = append(d.endpoints, e), append(d.endpointLinks, link)
		d.store.Put(platform.TopicEndpoints, e.ID, e.Entry(link.address(), "ready"))
	}
	folder := t.TempDir()
	for i := range o.nodes {
		d.instances = append(d.instances, d.newInstance(t, folder, i, server.Listener.Addr().String()))
	}
	for _, in := range d.instances {
		in.start(t)
	}
	return d
}

// configure puts the next version of the configuration into the store.
func (d *deployment) configure() {
	d.version++
	d.store.Put(platform.TopicOperators, "config", platformtest.ConfigurationWith(d.version, d.options.callTimeout, d.options.bodyBytes))
}

func (d *deployment) newInstance(t *testing.T, folder string, i int, store string) *instance {
	t.Helper()
	name := fmt.Sprintf("node-%d", i)
	in := &instance{
		callerAddress: freeAddress(t), readyAddress: freeAddress(t), descriptors: d.options.descriptors,
		settingsPath: filepath.Join(folder, name+".jsonc"), logPath: filepath.Join(folder, name+".log"),
	}
	in.storeLink = newProxy(t, func() string { return store })
	in.callerLink = newProxy(t, func() string { return in.callerAddress })
	settings := loader.Settings{
		Node:   loader.Node{Name: name, IP: "127.0.0.1", DataCentre: fmt.Sprintf("dc-%d", i%3), Region: "r"},
		Listen: loader.Listen{Callers: in.callerAddress, Ready: in.readyAddress, Addresses: freeAddress(t), PeerPorts: []int{freePort(t), 65535}},
		Store:  loader.Store{Address: in.storeLink.address()}, Limits: loader.Limits{MemoryMB: cmp.Or(d.options.memory, memoryLimit) / 1e6},
		Bounds: loader.Bounds{
			GraceSeconds: graceSeconds, RetryBudgetRatio: 0.2, RetryBudgetSlack: 100, BudgetWindowSeconds: 10, ColdFactor: 1.5, ColdSlack: 5,
		},
		Addresses: loader.Addresses{KeepSeconds: 0.3, LongestKeep: 2}, Log: loader.Log{Level: "info"},
	}
	data, err := json.Marshal(settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(in.settingsPath, data, 0o600))
	return in
}

// nextPort counts the ports that were tried. They are below the kernel's ephemeral range, so that no other connection takes the port of a
// process between two starts. Each test process begins at a port of its own: another soak on the machine would take the port of a node that is
// stopped, and its callers would then reach this deployment.
var nextPort atomic.Int64

const (
	firstPort = 12_000
	portCount = 18_000
	// portsPerProcess is the distance between the first ports of two test processes with consecutive ids.
	portsPerProcess = 1_009
)

func init() { nextPort.Store(int64(os.Getpid()) * portsPerProcess % portCount) }

func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", freePort(t))
}

// freePort returns a port that is free for TCP and UDP.
func freePort(t *testing.T) int {
	t.Helper()
	for range portCount {
		number := firstPort + int(nextPort.Add(1)%portCount)
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

// start starts the process unless it is running. The test's cleanup kills it by its process ID.
func (in *instance) start(t *testing.T) {
	t.Helper()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		return
	}
	out, err := os.OpenFile(in.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	process := exec.Command(binary, "fleet", "--settings", in.settingsPath)
	if in.descriptors > 0 {
		process = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" fleet --settings "$3"`, "sh", strconv.Itoa(in.descriptors), binary, in.settingsPath)
	}
	process.Stdout, process.Stderr = out, out
	assert.NilError(t, process.Start())
	exited := make(chan struct{})
	in.process, in.exited = process, exited
	go func() {
		_ = process.Wait()
		_ = out.Close()
		in.mu.Lock()
		in.process, in.exitCode = nil, process.ProcessState.ExitCode()
		in.mu.Unlock()
		close(exited)
	}()
	t.Cleanup(func() { in.end() })
}

// signal sends a signal to the process if it is running.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		_ = in.process.Process.Signal(s)
	}
}

// end kills the process and waits until it has exited.
func (in *instance) end() {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-exited
}

// stop sends SIGTERM to the process. The returned function waits until that process has exited and reports whether it did so within the
// timeout. Another fault may have started a new process in the meantime.
func (in *instance) stop() func(timeout time.Duration) bool {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	return func(timeout time.Duration) bool {
		select {
		case <-exited:
			return true
		case <-time.After(timeout):
			return false
		}
	}
}

func (in *instance) lastExitCode() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.exitCode
}

// leaveDuration returns the time from SIGTERM to the end of the last process that has exited, by the events in its log. The times at which the
// test sends the signal and notices the exit are later on a busy machine.
func (in *instance) leaveDuration() (time.Duration, error) {
	data, err := os.ReadFile(in.logPath)
	if err != nil {
		return 0, err
	}
	began, err := lastEvent(string(data), modeler.LogEventNodeLeaving)
	if err != nil {
		return 0, err
	}
	ended, err := lastEvent(string(data), modeler.LogEventNodeStopped)
	return ended.Sub(began), err
}

// lastEvent returns the time of the last event of a name in a log.
func lastEvent(log string, name modeler.LogEventName) (time.Time, error) {
	before, _, found := cutLast(log, " level=info message="+string(name)+" ")
	if !found {
		return time.Time{}, fmt.Errorf("the log has no event %s", name)
	}
	_, value, _ := cutLast(before, "time=")
	return time.Parse(time.RFC3339Nano, value)
}

func cutLast(s, separator string) (before, after string, found bool) {
	if i := strings.LastIndex(s, separator); i >= 0 {
		return s[:i], s[i+len(separator):], true
	}
	return s, "", false
}

func (in *instance) isReady() bool {
	response, err := http.Get("http://" + in.readyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// attempt is a request of a caller and its result.
type attempt struct {
	id, path string
	node     int
	sent     time.Time
	// written is when the last byte of the request was sent; zero if it was not, or if the caller does not record it.
	written time.Time
	code    int
	body    string
	// complete is set if the answer has a valid head and was read to its end, which it states, without an error.
	complete bool
	ended    time.Time
}

// callers sends requests over reused connections until it is stopped, and records all of them.
type callers struct {
	deployment *deployment
	client     *http.Client
	stop       chan struct{}
	running    sync.WaitGroup
	mu         sync.Mutex
	attempts   []attempt
}

func startCallers(d *deployment, count int, seed uint64) *callers {
	c := &callers{
		deployment: d, stop: make(chan struct{}),
		client: &http.Client{Timeout: 6 * time.Second, Transport: checker.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8})},
	}
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
		a := c.call(random.IntN(len(c.deployment.instances)), paths[random.IntN(len(paths))], fmt.Sprintf("r-%d-%d", caller, n))
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
	}
}

func (c *callers) call(node int, path, id string) attempt {
	a := attempt{id: id, path: path, node: node, sent: time.Now()}
	// The request has no GetBody, so net/http does not resend it.
	request, err := platformtest.NewRequest(context.Background(), "http://"+c.deployment.instances[node].callerLink.address()+path, id)
	if err != nil {
		return a
	}
	response, err := c.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
		a.code, a.body, a.complete = response.StatusCode, string(body), err == nil && framed
		_ = response.Body.Close()
	}
	a.ended = time.Now()
	return a
}

// finish stops the callers and returns all attempts.
func (c *callers) finish() []attempt {
	close(c.stop)
	c.running.Wait()
	return c.attempts
}
