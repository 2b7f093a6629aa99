package assembler

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/backing/appender"
	"damaskpick.example/damaskpick/internal/backing/follower"
	"damaskpick.example/damaskpick/internal/backing/lister"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/runner"
	"damaskpick.example/damaskpick/internal/endpoint/invoker"
	"damaskpick.example/damaskpick/internal/endpoint/streamer"
	"damaskpick.example/damaskpick/internal/node/executor"
	"damaskpick.example/damaskpick/internal/node/observer"
	"damaskpick.example/damaskpick/internal/peer/messenger"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/telemetry/counter"
	"damaskpick.example/damaskpick/internal/telemetry/reporter"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
	"damaskpick.example/damaskpick/internal/web/listener"
)

// node holds the components of one incarnation. See modeler.NodeID.
type node struct {
	// self identifies this incarnation in its messages to other nodes.
	self      modeler.Sender
	log       zerolog.Logger
	loop      *runner.Loop
	lifecycle *lifecycle
	follower  *follower.Follower
	observer  *observer.Observer
	reporter  *reporter.Reporter
	forwarder *forwarder.Forwarder
	callers   *listener.Server
	peers     *listener.Server
}

// clients holds the clients of the log, the endpoints and the instance list.
type clients struct {
	log      *appender.Client
	engines  *streamer.Client
	services *invoker.Client
	list     *lister.Client
}

// cleanupStack is a list of functions that run in reverse order.
type cleanupStack []func()

func (c *cleanupStack) add(f func()) { *c = append(*c, f) }

func (c *cleanupStack) run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

// newNode builds a node and starts its servers. The returned clean-up function closes all connections at once.
func newNode(settings loader.Settings, log zerolog.Logger) (n *node, cleanup func(), err error) {
	var cleanups cleanupStack
	defer func() {
		if err != nil {
			cleanups.run()
		}
	}()
	n = &node{self: newIdentity(settings)}
	n.log = log.With().Str("node", string(n.self.ID)).Logger()
	c, err := newClients(settings, n.self.ID, &cleanups)
	if err != nil {
		return nil, nil, err
	}
	if err := n.startControl(settings, c, &cleanups); err != nil {
		return nil, nil, err
	}
	if err := n.startCallers(settings, c, &cleanups); err != nil {
		return nil, nil, err
	}
	return n, cleanups.run, nil
}

// newIdentity returns the identity of a new incarnation. Its ID consists of the configured name and the start time.
func newIdentity(settings loader.Settings) modeler.Sender {
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	return modeler.Sender{
		ID: modeler.NodeID(settings.Node.Name + "/" + incarnation), Address: settings.Listen.Peers,
		PublicURL: settings.Listen.PublicURL, DataCentre: settings.Node.DataCentre,
	}
}

func newClients(settings loader.Settings, id modeler.NodeID, cleanups *cleanupStack) (clients, error) {
	var c clients
	var err error
	var closeClient func()
	if c.log, closeClient, err = appender.New(appender.Options{
		BaseURL: settings.Platform.LogURL, NodeID: id, Dial: counter.New(counter.Log).Dial((&net.Dialer{}).DialContext),
	}); err != nil {
		return c, err
	}
	cleanups.add(closeClient)
	if c.engines, closeClient, err = streamer.New(streamer.Options{ChunkGap: settings.Timeouts.ChunkGap.Std()}); err != nil {
		return c, err
	}
	cleanups.add(closeClient)
	if c.services, closeClient, err = invoker.New(invoker.Options{}); err != nil {
		return c, err
	}
	cleanups.add(closeClient)
	if settings.Platform.InstancesURL != "" {
		if c.list, closeClient, err = lister.New(lister.Options{
			BaseURL: settings.Platform.InstancesURL,
			Client:  &http.Client{Transport: &http.Transport{DialContext: counter.New(counter.Instances).Dial((&net.Dialer{}).DialContext)}},
		}); err != nil {
			return c, err
		}
		cleanups.add(closeClient)
	}
	return c, nil
}

// startControl builds the control side: the control loop, its executor and event sources, and the server for other nodes.
func (n *node) startControl(settings loader.Settings, c clients, cleanups *cleanupStack) error {
	client, scheme, err := peerClient(settings.TLS.Peers, n.log)
	if err != nil {
		return err
	}
	post := func(event modeler.Event) { n.loop.Post(event) }
	messages, stopMessages := messenger.New(messenger.Options{Self: n.self, Client: client, Scheme: scheme, Post: post})
	exec, stopExec := executor.New(executor.Options{
		Sender: messages, Appender: c.log, Canceller: c.engines, Reporter: engineReporter{c.engines},
		OnCancelFailed: func(cancel modeler.CancelAttempt, err error) {
			n.log.Warn().Str("attempt", string(cancel.Attempt)).Str("endpoint", string(cancel.Endpoint)).Err(err).Msg("cancel failed")
		},
	})
	exec.Connect(post)
	world := modeler.NewWorld(modeler.Self{Sender: n.self, Weights: settings.Weights()})
	n.lifecycle = newLifecycle(world)
	n.loop = runner.New(world, runner.Options{
		Systems: n.systems(settings, world), Executor: exec, Now: time.Now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	cleanups.add(stopMessages)
	cleanups.add(stopExec)
	streams := []modeler.Stream{modeler.StreamControl, modeler.StreamRules, modeler.StreamCalls}
	n.follower = follower.New(c.log, streams, post)
	n.observer = observer.New(n.loop, engineReporter{c.engines}, newEndpointLister(settings.Endpoints, c.list))
	server, stopServer, err := listener.Listen(listener.Options{
		Address: settings.Listen.Peers, Handler: messenger.NewHandler(n.self, n.loop), Keys: settings.TLS.Peers, Log: n.log,
		WrapListener: counter.New(counter.PeerServer).Listen,
	})
	if err != nil {
		return fmt.Errorf("listen on peer address: %w", err)
	}
	n.peers = server
	cleanups.add(stopServer)
	return nil
}

// peerClient returns the HTTP client for other nodes and the URL scheme of their addresses, which is http if there are no key files.
func peerClient(keys loader.KeyFiles, log zerolog.Logger) (*http.Client, string, error) {
	traffic := counter.New(counter.PeerClient)
	transport := &http.Transport{
		DialContext: traffic.Dial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
	}
	if keys == (loader.KeyFiles{}) {
		log.Warn().Msg("peer connections are not encrypted; keep the peer address on a private network")
		return &http.Client{Transport: transport}, "http", nil
	}
	k, err := listener.NewKeys(keys, log)
	if err != nil {
		return nil, "", err
	}
	transport.DialTLSContext = traffic.Dial(k.DialTLS)
	return &http.Client{Transport: transport}, "https", nil
}

// requestStop posts StopRequested to the control loop. After the first time, it only causes another tick, in which the systems check
// again whether the node may hand over its work.
func (n *node) requestStop() { n.loop.Post(modeler.StopRequested{}) }
