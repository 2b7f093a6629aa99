// Package assembler creates the components of a node, connects them to the users' platform and runs the node until it has stopped.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/follower"
	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/learner"
	"damaskpick.example/damaskpick/internal/fleet/lender"
	"damaskpick.example/damaskpick/internal/fleet/limiter"
	"damaskpick.example/damaskpick/internal/fleet/listener"
	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/internal/fleet/messenger"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/observer"
	"damaskpick.example/damaskpick/internal/fleet/packer"
	"damaskpick.example/damaskpick/internal/fleet/placer"
	"damaskpick.example/damaskpick/internal/fleet/poller"
	"damaskpick.example/damaskpick/internal/fleet/runner"
	"damaskpick.example/damaskpick/internal/fleet/surveyor"
	"damaskpick.example/damaskpick/internal/fleet/throttler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
	"damaskpick.example/damaskpick/internal/telemetry/logger"
	"damaskpick.example/damaskpick/internal/web/accountant"
	"damaskpick.example/damaskpick/internal/web/charger"
	"damaskpick.example/damaskpick/platform"
)

const (
	// maxLinesPerSecond bounds the log lines about routine events and about requests that were neither slow nor failed.
	maxLinesPerSecond = 40
	// memoryFraction is the fraction of the memory limit that is set as the Go runtime's soft limit, near which it collects garbage more
	// often. The rest is left for stacks, socket buffers and the C library.
	memoryFraction = 0.6
	// maxIdleConnections bounds the idle connections to one endpoint.
	maxIdleConnections = 16
	// stopMargin is how long before the end of the grace period the process ends requests that are still running. Within answerMargin of it, those
	// whose answer has not begun are answered.
	stopMargin   = 250 * time.Millisecond
	answerMargin = 150 * time.Millisecond
	// minAnswerTime is the time that they have for it at least if the process is late, as after a freeze.
	minAnswerTime = 50 * time.Millisecond
	// addressMargin is subtracted from the lifetime of callers' addresses after a stop signal. It covers the time until the signal is handled and a
	// request is read.
	addressMargin = 100 * time.Millisecond
	// callerIdleTimeout is how long an idle connection of a caller is kept if the operators state no shorter time.
	callerIdleTimeout = 10 * time.Minute
	// headerTimeout bounds how long a caller may take to send the header of a request.
	headerTimeout = 10 * time.Second
	// endpointHistory is the number of records of endpoints that are read with the first listing: several for each endpoint of a fleet of today's size.
	endpointHistory = 256
	// maxHeaderBytes bounds the header of a request on all HTTP interfaces.
	maxHeaderBytes = 64 << 10
)

// Node is a running node.
type Node struct {
	settings loader.Settings
	loop     *runner.Loop
	observer *observer.Observer
	budget   *limiter.Budget
	// callers charges the connections and requests of callers.
	callers *charger.Charger
	// active is the number of callers' requests that are being served.
	active atomic.Int64
	// serving is done, with the cause forwarder.ErrStopping, when the node cuts off the requests that are still running.
	serving context.Context
}

// Process holds the resources of the process that a node uses.
type Process struct {
	// Out receives the log.
	Out io.Writer
	// SettingsChanged receives the platform's signal that the settings file has changed, and Check validates the file. Settings do not change
	// while a node runs: the new file is not applied, but errors in it are logged before the next start.
	SettingsChanged <-chan os.Signal
	Check           func() error
}

// Run runs a node until ctx ends, and then until it has shut down gracefully.
func Run(ctx context.Context, settings loader.Settings, process Process) (err error) {
	debug.SetMemoryLimit(int64(memoryFraction * float64(settings.Limits.MemoryMB) * 1e6))
	async, closeLog := logger.NewAsync(process.Out, maxLinesPerSecond)
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
	pool, closePool := dialer.NewPool(maxIdleConnections)
	defer closePool()
	reserver, closeReserver := platform.NewOrderClient()
	defer closeReserver()

	serving, cutOff := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cutOff(nil)
	n := &Node{settings: settings, serving: serving}
	store, closeStore := platform.NewStore(settings.Store.Address, func(era int64) { n.loop.Post(modeler.StoreRestored{Era: era}) })
	defer closeStore()
	self := modeler.Node{
		ID: modeler.NodeID(settings.Node.Name), Incarnation: rand.Uint64() >> 1, Rank: modeler.UnregisteredRank, PeerAddress: peerAddress,
		CallerAddress: settings.Listen.Callers, DataCentre: modeler.DataCentreID(settings.Node.DataCentre), Region: settings.Node.Region,
		MilliCores: settings.Limits.MilliCores(),
	}
	bounds := settings.Bounds
	n.budget = limiter.NewBudget(limiter.Options{
		Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack, Window: loader.Seconds(bounds.BudgetWindowSeconds),
	}, time.Now)
	n.observer = observer.New(observer.Options{
		Self: self, Events: events, Requests: requests, Snapshot: func() *modeler.Snapshot { return n.loop.Snapshot() },
		Dialed: pool.Dialed, PeerFailures: peers.Failed, Retries: n.budget.Retries,
	})
	account := accountant.New(accountant.Options{
		Bytes: settings.Limits.HeldBytes(), Connections: settings.Limits.CallerConnections(accountant.ConnectionBytes, processDescriptors()),
		Now: time.Now, OnEnded: n.observer.GaveWay,
	})
	n.observer.WatchAccount(account.Usage)
	n.callers = charger.New(account, maxHeaderBytes)
	instrumented := n.observer.Store(store)
	followers := n.followers(instrumented)
	quarantines := follower.NewQuarantines(instrumented, platform.TopicQuarantines, func(e modeler.Event) { n.loop.Post(e) })
	states := packer.New(packer.Options{
		Self: self, Sender: peers, Deliver: func(d modeler.Deliver) { followers[d.Topic].Deliver(d) }, OnUnusable: n.observer.StateUnusable,
	})
	n.observer.WatchStates(states.SentBytes)
	registrar := follower.NewRegistrar(instrumented, platform.TopicNodes, self, func(e modeler.Event) { n.loop.Post(e) })
	engines := follower.NewEngines(reserver, func(e modeler.Event) { n.loop.Post(e) })
	n.loop = runner.New(modeler.NewWorld(self), runner.Options{
		Systems: systems(settings), Now: time.Now,
		Executor: &executor{peers: peers, observer: n.observer, followers: followers, states: states, registrar: registrar, quarantines: quarantines, engines: engines},
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	idleCloser := &listener.IdleCloser{Snapshot: n.loop.Snapshot}
	servers, err := n.listen(ctx, idleCloser, n.callers, n.handlers(self, pool, reserver))
	if err != nil {
		return errors.Join(err, closePeers())
	}
	n.observer.Lifecycle(modeler.LogEventNodeStarted, modeler.LogField{Key: "Node", Value: settings.Node.Name},
		modeler.LogField{Key: "DataCentre", Value: settings.Node.DataCentre}, modeler.LogField{Key: "Incarnation", Value: int64(self.Incarnation)})

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return n.loop.Run(running) })
	group.Go(func() error { return idleCloser.Run(running) })
	group.Go(func() error {
		return peers.Receive(func(m modeler.Message) { n.loop.Post(modeler.PeerReceived{Message: m}) })
	})
	for _, f := range followers {
		group.Go(func() error { return f.Run(running) })
	}
	group.Go(func() error { return states.Run(running) })
	group.Go(func() error { return quarantines.Run(running) })
	group.Go(func() error { return engines.Run(running) })
	group.Go(func() error { return registrar.Run(running) })
	for _, s := range servers {
		group.Go(s.serve)
	}
	group.Go(func() error { return n.checkSettings(running, process) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			stopAt := n.leave(running)
			stopServers(running, stopAt, servers)
			cutOff(forwarder.ErrStopping)
			answerUntil := stopAt.Add(answerMargin)
			if soonest := time.Now().Add(minAnswerTime); soonest.After(answerUntil) {
				answerUntil = soonest
			}
			stopServers(running, answerUntil, servers)
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
	n.observer.Lifecycle(modeler.LogEventNodeStopped, modeler.LogField{Key: "Node", Value: settings.Node.Name}, modeler.LogField{Key: "Active", Value: n.active.Load()})
	return nil
}

// processDescriptors returns the number of descriptors that the process may open.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// systems returns the systems in the order in which they run in each tick.
func systems(settings loader.Settings) []modeler.System {
	return []modeler.System{
		applier.New(),
		poller.New(),
		elector.New(placer.LoadSummaries).WithCosts(learner.Summaries),
		throttler.New(),
		learner.New(settings.Placement.LearnCosts),
		watcher.New(),
		surveyor.New(settings.Placement.SurveyEngines),
		placer.New(placer.Options{ColdFactor: settings.Bounds.ColdFactor, ColdSlack: settings.Bounds.ColdSlack, Lending: lender.Options{
			Slack: settings.Bounds.RetryBudgetSlack, Fraction: settings.Bounds.RetryLending, Window: loader.Seconds(settings.Bounds.BudgetWindowSeconds),
		}, KeepsRoom: settings.Placement.KeepRoom}),
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
	if n.settings.Placement.RecoverEndpoints {
		sources[1].History = endpointHistory
	}
	followers := make(map[modeler.Topic]*follower.Follower, len(sources))
	for _, source := range sources {
		followers[source.Topic] = follower.New(store, source, func(e modeler.Event) { n.loop.Post(e) }, n.observer.Unreadable)
	}
	return followers
}

// leave announces that the node is leaving, and waits while the node still serves requests. It returns when callers no longer use the node's
// address and no request is running, but at the latest stopMargin before the end of the grace period, the time which it returns.
func (n *Node) leave(ctx context.Context) time.Time {
	began := time.Now()
	n.observer.Lifecycle(modeler.LogEventNodeLeaving, modeler.LogField{Key: "Active", Value: n.active.Load()})
	grace := loader.Seconds(n.settings.Bounds.GraceSeconds) - stopMargin
	addressLifetime := loader.Seconds(n.settings.Addresses.KeepSeconds * n.settings.Addresses.LongestKeep)
	stopAt := began.Add(grace)
	n.loop.Post(modeler.LeaveRequested{AddressUntil: began.Add(addressLifetime - addressMargin), StopAt: stopAt})
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		elapsed := time.Since(began)
		if elapsed >= grace || elapsed >= addressLifetime+stopMargin && n.active.Load() == 0 {
			return stopAt
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return stopAt
		}
	}
}

// stopServers stops the servers and returns when the last connection has ended, but at the latest at until.
func stopServers(ctx context.Context, until time.Time, servers []server) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var stopping sync.WaitGroup
	for _, s := range servers {
		stopping.Go(func() { s.stop(ctx) })
	}
	stopping.Wait()
}

// checkSettings checks the settings file after each signal that it has changed, and logs the findings.
func (n *Node) checkSettings(ctx context.Context, process Process) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-process.SettingsChanged:
			findings := "none"
			if err := process.Check(); err != nil {
				findings = err.Error()
			}
			n.observer.Lifecycle(modeler.LogEventSettingsChecked, modeler.LogField{Key: "Findings", Value: findings})
		}
	}
}

// track wraps a handler so that its running requests are counted in n.active and are cancelled when n.serving is done.
func (n *Node) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(n.serving, func() { cancel(context.Cause(n.serving)) })()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// executor executes the effects of a tick: it sends messages and states, reads topics of the store, keeps registrations and quarantines there and
// writes log lines.
type executor struct {
	peers       *messenger.Messenger
	observer    *observer.Observer
	followers   map[modeler.Topic]*follower.Follower
	states      *packer.Packer
	registrar   *follower.Registrar
	quarantines *follower.Quarantines
	engines     *follower.Engines
}

// Execute implements runner.Executor.
func (e *executor) Execute(effects []modeler.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case modeler.Send:
			// The messenger counts failures. Later messages make up for a lost one.
			_ = e.peers.Send(effect.To, effect.Message)
		case modeler.Fetch:
			e.followers[effect.Topic].Fetch(effect)
		case modeler.Deliver:
			e.followers[effect.Topic].Deliver(effect)
		case modeler.SendState:
			e.states.Send(effect)
		case modeler.UnpackState:
			e.states.Unpack(effect)
		case modeler.RegisterAgain:
			e.registrar.RegisterAgain()
		case modeler.SaveQuarantine:
			e.quarantines.Save(effect)
		case modeler.DeleteQuarantine:
			e.quarantines.Delete(effect)
		case modeler.FetchQuarantines:
			e.quarantines.Fetch()
		case modeler.AskEngines:
			e.engines.Ask(effect)
		case modeler.LogEvent:
			e.observer.LogDecision(effect)
		}
	}
}

// handlers returns the handlers by listen address. Interfaces with the same address share a handler.
func (n *Node) handlers(self modeler.Node, pool *dialer.Pool, reserver *platform.OrderClient) map[string]*pathRouter {
	traffic := platform.Traffic{}
	forward := &forwarder.Forwarder{
		Control: n.loop, Protocol: traffic, Pool: pool, Reserver: reserver, Self: self, OnRetry: n.observer.Retried,
		OnInvalidAnswer: n.observer.AnswerInvalid,
		Budget:          n.budget, Borrows: n.settings.Bounds.RetryLending > 0,
	}
	callers := &listener.CallerHandler{Decoder: traffic, Forwarder: forward, Snapshot: n.loop.Snapshot, Observer: n.observer, Configured: n.loop.Configured(), Charger: n.callers}
	addresses := listener.Addresses{
		Snapshot: n.loop.Snapshot, Decode: platform.AddressQuery, Write: platform.WriteAddresses, TTL: loader.Seconds(n.settings.Addresses.KeepSeconds),
	}
	listen := n.settings.Listen
	handlers := map[string]*pathRouter{}
	handlerAt := func(address string) *pathRouter {
		if handlers[address] == nil {
			handlers[address] = &pathRouter{exact: map[string]http.Handler{}}
		}
		return handlers[address]
	}
	handlerAt(listen.Ready).exact[platform.ReadyPath] = listener.Ready{Snapshot: n.loop.Snapshot}
	handlerAt(listen.Addresses).exact[platform.AddressesPath] = addresses
	handlerAt(listen.Callers).fallback = n.track(callers)
	if listen.MetricsPort > 0 {
		handlerAt(net.JoinHostPort(n.settings.Node.IP, strconv.Itoa(listen.MetricsPort))).exact["/metrics"] = n.observer
		handlerAt(net.JoinHostPort(n.settings.Node.IP, strconv.Itoa(listen.MetricsPort))).exact[listener.ExplainPath] = &listener.Explainer{
			Snapshot: n.loop.Snapshot, Explain: n.loop.Explain, Port: listen.MetricsPort, Client: &http.Client{},
		}
	}
	return handlers
}
