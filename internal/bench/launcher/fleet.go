package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/operator/presenter"
	"damaskpick.example/damaskpick/internal/operator/requester"
)

// Binaries are the paths of the built programs.
type Binaries struct {
	Node    string
	Standin string
}

// Fleet is a running deployment.
type Fleet struct {
	Log       *Process
	Instances *Process
	Engines   []*Process
	Services  []*Process
	Nodes     []*Process
	Layout    Layout
	// Folder contains the settings and log files.
	Folder string
	// version is the version of the last rule file that Publish published.
	version int64
}

// readyTimeout is the limit of each step of a start: a node being ready, rules being published, endpoints having holders.
const readyTimeout = 20 * time.Second

// Start starts a deployment, publishes its rules and waits until all nodes are ready. The returned function kills all
// processes.
func Start(ctx context.Context, layout Layout, binaries Binaries, folder string) (*Fleet, func(), error) {
	f := &Fleet{Layout: layout, Folder: folder}
	if err := f.start(ctx, binaries); err != nil {
		f.kill()
		return nil, nil, err
	}
	return f, f.kill, nil
}

func (f *Fleet) start(ctx context.Context, binaries Binaries) error {
	if err := os.MkdirAll(f.Folder, 0o750); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	if err := f.startStandins(binaries.Standin); err != nil {
		return err
	}
	if err := f.startNodes(binaries.Node); err != nil {
		return err
	}
	if err := f.Publish(ctx, f.Layout.Rules()); err != nil {
		return err
	}
	for _, n := range f.Nodes {
		if err := waitForOK(ctx, n.URL()+"/readyz", readyTimeout); err != nil {
			return fmt.Errorf("%s is not ready: %w", n.Name, err)
		}
	}
	return f.waitForHolders(ctx)
}

func (f *Fleet) startStandins(binary string) error {
	l := f.Layout
	var err error
	if f.Log, err = f.startStandin(binary, "log", 0, l.LogFlags...); err != nil {
		return err
	}
	if f.Instances, err = f.startStandin(binary, "instances", 0); err != nil {
		return err
	}
	for i := range l.Engines {
		arguments := append([]string{"--model", l.Model, "--capacity", strconv.FormatInt(int64(l.Capacity), 10)}, l.EngineFlags...)
		p, err := f.startStandin(binary, "engine", i+1, arguments...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, p)
	}
	for i := range l.Services {
		p, err := f.startStandin(binary, "service", i+1, l.ServiceFlags...)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, p)
	}
	return nil
}

// startStandin starts a stand-in of a kind. A number above 0 is part of its name; 0 is for the only stand-in of its kind.
func (f *Fleet) startStandin(binary, kind string, number int, arguments ...string) (*Process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	name := kind
	if number > 0 {
		name = kind + "-" + strconv.Itoa(number)
	}
	p := &Process{
		Name: name, Address: address, DataCentre: f.Layout.dataCentre(max(number-1, 0)),
		LogFile:   filepath.Join(f.Folder, name+".log"),
		Arguments: append([]string{binary, kind, "--listen", address}, arguments...),
	}
	return p, p.Start()
}

func (f *Fleet) startNodes(binary string) error {
	var peers []string
	for i := range f.Layout.Nodes {
		n := &Process{Name: "entry-" + strconv.Itoa(i+1), DataCentre: f.Layout.dataCentre(i)}
		var err error
		if n.Address, err = freeAddress(); err != nil {
			return err
		}
		if n.PeerAddress, err = freeAddress(); err != nil {
			return err
		}
		n.LogFile = filepath.Join(f.Folder, n.Name+".log")
		peers = append(peers, n.PeerAddress)
		f.Nodes = append(f.Nodes, n)
	}
	for _, n := range f.Nodes {
		path := filepath.Join(f.Folder, n.Name+".json")
		data, err := json.MarshalIndent(f.Layout.settings(f, n, peers), "", "  ")
		if err != nil {
			return fmt.Errorf("encode settings: %w", err)
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		n.Arguments = []string{binary, "serve", "--settings", path}
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Ports are assigned from a range below the ephemeral ports of the system, and this process assigns none twice until the range is used up.
// With ports selected by the system, two processes of one deployment were assigned the same port, because it was not reserved until the first
// process had started.
const (
	firstPort = 12_000
	portCount = 20_000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress() (string, error) {
	var last error
	for range portCount {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+int(nextPort.Add(1)%portCount))
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err == nil {
			return address, l.Close()
		}
		last = err
	}
	return "", fmt.Errorf("find a free port: %w", last)
}

// NodeURLs returns the base URLs of all nodes for callers.
func (f *Fleet) NodeURLs() []string {
	urls := make([]string, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		urls = append(urls, n.URL())
	}
	return urls
}

// kill kills all processes and waits up to 1 s for each to exit.
func (f *Fleet) kill() {
	all := append(append(append([]*Process{f.Log, f.Instances}, f.Engines...), f.Services...), f.Nodes...)
	for _, p := range all {
		if p != nil {
			p.Signal(9)
		}
	}
	for _, p := range all {
		if p != nil {
			p.kill()
		}
	}
}

// waitForOK polls url until it responds 200.
func waitForOK(ctx context.Context, url string, limit time.Duration) error {
	return poll(ctx, limit, func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
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

const pollInterval = 50 * time.Millisecond

// poll repeats check until it succeeds, and returns its last error after limit.
func poll(ctx context.Context, limit time.Duration, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := fmt.Errorf("no check ended within %s", limit)
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
		}
	}
}

// Publish publishes a rule file through the first node that accepts it.
func (f *Fleet) Publish(ctx context.Context, text string) error {
	return poll(ctx, readyTimeout, func(ctx context.Context) error {
		for _, n := range f.Nodes {
			client, err := requester.New(requester.Options{URL: n.URL(), Credential: OperatorToken, Timeout: readyTimeout})
			if err != nil {
				return err
			}
			publication, err := client.Publish(ctx, presenter.Draft{Base: f.version, Text: text, PublishID: "bench-" + strconv.FormatInt(f.version, 10)})
			if err == nil && publication.Outcome == "Accepted" {
				f.version = publication.Version
				return nil
			}
			if err == nil {
				err = fmt.Errorf("publication: %+v", publication)
			}
			if n == f.Nodes[len(f.Nodes)-1] {
				return fmt.Errorf("publish rules: %w", err)
			}
		}
		return nil
	})
}

// waitForHolders waits until the status of every node shows a holder for every endpoint.
func (f *Fleet) waitForHolders(ctx context.Context) error {
	for _, n := range f.Nodes {
		err := poll(ctx, readyTimeout, func(ctx context.Context) error {
			status, err := f.Status(ctx, n)
			if err != nil {
				return err
			}
			if missing := endpointWithoutHolder(status); missing != "" {
				return fmt.Errorf("endpoint %s has no holder", missing)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("%s: %w", n.Name, err)
		}
	}
	return nil
}

// endpointWithoutHolder returns an endpoint without a holder, or "" when all have one. Without any endpoints it returns "any".
func endpointWithoutHolder(status presenter.Status) modeler.EndpointID {
	for _, e := range status.Endpoints {
		if e.Holder == "" {
			return modeler.EndpointID(e.ID)
		}
	}
	if len(status.Endpoints) == 0 {
		return "any"
	}
	return ""
}

// Status returns the status reported by a node.
func (f *Fleet) Status(ctx context.Context, n *Process) (presenter.Status, error) {
	client, err := requester.New(requester.Options{URL: n.URL(), Credential: OperatorToken, Timeout: readyTimeout})
	if err != nil {
		return presenter.Status{}, err
	}
	return client.Status(ctx)
}

// SetFaults sets faults of a stand-in; faults is encoded as JSON.
func (f *Fleet) SetFaults(ctx context.Context, p *Process, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return fmt.Errorf("encode faults: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.URL()+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("set faults of %s: %w", p.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("set faults of %s: status %d", p.Name, response.StatusCode)
	}
	return nil
}
