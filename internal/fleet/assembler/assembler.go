// Package assembler builds a node that serves on the users' platform and runs it until it has stopped.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/follower"
	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/listener"
	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/internal/fleet/messenger"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/observer"
	"damaskpick.example/damaskpick/internal/fleet/placer"
	"damaskpick.example/damaskpick/internal/fleet/poller"
	"damaskpick.example/damaskpick/internal/fleet/runner"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
	"damaskpick.example/damaskpick/internal/telemetry/logger"
	"damaskpick.example/damaskpick/platform"
)

const (
	// linesPerSecond bounds the log lines of ordinary requests.
	linesPerSecond = 40
	// memoryPart is the part of the memory limit that the Go runtime may fill before it collects garbage more often. The rest is for
	// stacks, buffers of sockets and the C library.
	memoryPart = 0.6
	// idleConnections bounds the idle connections to one endpoint.
	idleConnections = 16
	// stopMargin is the time before the end of the grace period at which the process ends whatever still runs.
	stopMargin = 250 * time.Millisecond
	// idleCaller is how long an idle connection of a caller is kept when operators state no shorter time.
	idleCaller = 10 * time.Minute
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// headerBytes bounds the header of a request.
	headerBytes = 64 << 10
)

// Node is a running node.
type Node struct {
	settings loader.Settings
	loop     *runner.Loop
	observer *observer.Observer
	budget   *limiter.Budget
	// active counts the requests that are being served.
	active atomic.Int64
}

// Process is what a node uses of its process.
type Process struct {
	Out io.Writer
	// Reload delivers the platform's notice that the settings file has changed, and Check reads the file. A node keeps the settings that it
	// started with, since none of them may change while it runs; a faulty file is reported before the next start needs it.
	Reload <-chan os.Signal
	Check  func() error
}

// Run runs a node until ctx ends and the stop is over.
func Run(ctx context.Context, settings loader.Settings, process Process) (err error) {
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.Limits.MemoryMB) * 1e6))
	async, closeLog := logger.NewAsync(process.Out, linesPerSecond)
	defer closeLog()
	events, err := logger.New(async, settings.Log.Level)
	if err != nil {
		return err
	}
	requests, err := logger.New(async.Ordinary(), settings.Log.Level)
	if err != nil {
		return err
	}
	peerAddress := net.JoinHostPort(settings.Node.IP, strconv.Itoa(settings.Listen.PeerPorts[0]))
	peers, closePeers, err := messenger.New(peerAddress)
	if err != nil {
		return fmt.Errorf("listen for other nodes: %w", err)
	}
	store, closeStore := platform.NewStore(settings.Store.Address)
	defer closeStore()
	pool, closePool := dialer.NewPool(idleConnections)
	defer closePool()
	orders, closeOrders := platform.NewOrderClient()
	defer closeOrders()

	n := &Node{settings: settings}
	self := modeler.Node{
		ID: modeler.NodeID(settings.Node.Name), Incarnation: rand.Uint64() >> 1, Rank: modeler.UnregisteredRank, PeerAddress: peerAddress,
		CallerAddress: settings.Listen.Callers, DataCentre: modeler.DataCentreID(settings.Node.DataCentre), Region: settings.Node.Region,
	}
	bounds := settings.Bounds
	n.budget = limiter.NewBudget(limiter.Options{
		Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack, Window: loader.Seconds(bounds.BudgetWindowSeconds),
	}, time.Now)
	n.observer = observer.New(observer.Options{
		Self: self, Events: events, Requests: requests, Snapshot: func() *modeler.Snapshot { return n.loop.Snapshot() },
		Dialed: pool.Dialed, PeerFailures: peers.Failed, Repeats: n.budget.Repeats,
	})
	measured := n.observer.Store(store)
	followers := n.followers(measured)
	n.loop = runner.New(modeler.NewWorld(self), runner.Options{
		Systems: systems(settings), Executor: &executor{peers: peers, observer: n.observer, followers: followers}, Now: time.Now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	idle := &listener.Idle{Snapshot: n.loop.Snapshot}
	servers, err := n.listen(ctx, idle, n.handlers(self, pool, orders))
	if err != nil {
		return errors.Join(err, closePeers())
	}
	n.observer.Lifecycle(modeler.NoteNodeStarted, modeler.Field{Key: "Node", Value: settings.Node.Name},
		modeler.Field{Key: "DataCentre", Value: settings.Node.DataCentre}, modeler.Field{Key: "Incarnation", Value: int64(self.Incarnation)})

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return n.loop.Run(running) })
	group.Go(func() error { return idle.Run(running) })
	group.Go(func() error {
		return peers.Receive(func(m modeler.Message) { n.loop.Post(modeler.PeerReceived{Message: m}) })
	})
	for _, f := range followers {
		group.Go(func() error { return f.Run(running) })
	}
	registrar := follower.Registrar{Store: measured, Topic: platform.TopicNodes, Self: self, Post: n.loop.Post}
	group.Go(func() error { return registrar.Run(running) })
	for _, s := range servers {
		group.Go(s.serve)
	}
	group.Go(func() error { return n.watchReload(running, process) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			n.leave(running)
		case <-running.Done():
		}
		err := closePeers()
		for _, s := range servers {
			err = errors.Join(err, s.close())
		}
		return err
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	n.observer.Lifecycle(modeler.NoteNodeStopped, modeler.Field{Key: "Node", Value: settings.Node.Name}, modeler.Field{Key: "Active", Value: n.active.Load()})
	return nil
}

// systems returns the systems in the order of one tick.
func systems(settings loader.Settings) []modeler.System {
	return []modeler.System{
		applier.New(),
		poller.New(),
		elector.New(placer.Summaries),
		watcher.New(),
		placer.New(placer.Options{ColdFactor: settings.Bounds.ColdFactor, ColdSlack: settings.Bounds.ColdSlack}),
	}
}

func (n *Node) followers(store follower.Store) map[modeler.Topic]*follower.Follower {
	sources := []follower.Source{
		{
			Topic: modeler.Operators, Name: platform.TopicOperators, Decode: platform.OperatorRecord, Key: platform.DataCentreOfKey,
		},
		{
			Topic: modeler.Endpoints, Name: platform.TopicEndpoints, Decode: platform.EndpointRecord,
			Key: func(key string) (string, bool) { return key, true },
		},
	}
	followers := make(map[modeler.Topic]*follower.Follower, len(sources))
	for _, source := range sources {
		followers[source.Topic] = follower.New(store, source, func(e modeler.Event) { n.loop.Post(e) }, n.observer.Unreadable)
	}
	return followers
}

// leave serves on until callers have forgotten this node's address and the last request has ended, or the grace period is nearly over.
func (n *Node) leave(ctx context.Context) {
	began := time.Now()
	n.observer.Lifecycle(modeler.NoteNodeLeaving, modeler.Field{Key: "Active", Value: n.active.Load()})
	n.loop.Post(modeler.LeaveAsked{})
	grace := loader.Seconds(n.settings.Bounds.GraceSeconds) - stopMargin
	forgotten := loader.Seconds(n.settings.Addresses.KeepSeconds*n.settings.Addresses.LongestKeep) + stopMargin
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		passed := time.Since(began)
		if passed >= grace || passed >= forgotten && n.active.Load() == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// watchReload reports what a changed settings file says.
func (n *Node) watchReload(ctx context.Context, process Process) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-process.Reload:
			findings := "none"
			if err := process.Check(); err != nil {
				findings = err.Error()
			}
			n.observer.Lifecycle(modeler.NoteSettingsChecked, modeler.Field{Key: "Findings", Value: findings})
		}
	}
}

// counted counts the requests that a handler serves.
func (n *Node) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// executor carries out the effects of the control goroutine.
type executor struct {
	peers     *messenger.Messenger
	observer  *observer.Observer
	followers map[modeler.Topic]*follower.Follower
}

// Execute implements runner.Executor.
func (e *executor) Execute(effects []modeler.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case modeler.Send:
			// A message that is lost is repeated; the messenger counts it.
			_ = e.peers.Send(effect.To, effect.Message)
		case modeler.Fetch:
			e.followers[effect.Topic].Fetch(effect)
		case modeler.Deliver:
			e.followers[effect.Topic].Deliver(effect)
		case modeler.Note:
			e.observer.Note(effect)
		}
	}
}

// handlers returns the handler of each address. Interfaces that share an address share a handler.
func (n *Node) handlers(self modeler.Node, pool *dialer.Pool, orders *platform.OrderClient) map[string]*paths {
	traffic := platform.Traffic{}
	forward := &forwarder.Forwarder{
		Control: n.loop, Protocol: traffic, Pool: pool, Memory: orders, Self: self, OnRetry: n.observer.Retried,
		Budget: n.budget,
	}
	callers := &listener.Callers{Decoder: traffic, Forwarder: forward, Snapshot: n.loop.Snapshot, Observer: n.observer}
	addresses := listener.Addresses{
		Snapshot: n.loop.Snapshot, Decode: platform.AddressQuery, Write: platform.WriteAddresses, Keep: loader.Seconds(n.settings.Addresses.KeepSeconds),
	}
	listen := n.settings.Listen
	handlers := map[string]*paths{}
	at := func(address string) *paths {
		if handlers[address] == nil {
			handlers[address] = &paths{exact: map[string]http.Handler{}}
		}
		return handlers[address]
	}
	at(listen.Ready).exact[platform.ReadyPath] = listener.Ready{Snapshot: n.loop.Snapshot}
	at(listen.Addresses).exact[platform.AddressesPath] = addresses
	at(listen.Callers).rest = n.counted(callers)
	if listen.MetricsPort > 0 {
		at(net.JoinHostPort(n.settings.Node.IP, strconv.Itoa(listen.MetricsPort))).exact["/metrics"] = n.observer
	}
	return handlers
}
