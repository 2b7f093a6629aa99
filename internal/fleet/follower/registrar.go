package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Appender reads topics and appends records to them.
type Appender interface {
	Store
	Append(ctx context.Context, topic, key string, value []byte) (modeler.Position, error)
}

// registration is the value of a node's record in the store.
type registration struct {
	Incarnation   uint64
	PeerAddress   string
	CallerAddress string
	DataCentre    string
	Region        string
}

// Registrar registers this node in the store and posts the nodes that registered earlier. Nodes that register later send messages to this node
// themselves. It registers the node again on request, so that later nodes find it after the store has come back from a copy.
type Registrar struct {
	store Appender
	// topic is the topic's name in the store.
	topic string
	self  modeler.Node
	post  func(modeler.Event)
	// again has a value while a registration is requested.
	again chan struct{}
}

// NewRegistrar returns a Registrar. Run must be called for it to register the node.
func NewRegistrar(store Appender, topic string, self modeler.Node, post func(modeler.Event)) *Registrar {
	return &Registrar{store: store, topic: topic, self: self, post: post, again: make(chan struct{}, 1)}
}

const (
	// callTimeout bounds one call of the registrar.
	callTimeout = 2 * time.Second
	// againSpread is the time over which the nodes register again. The store processes the appends to a topic one after the other.
	againSpread = time.Second
)

// RegisterAgain requests another registration. It does not block.
func (r *Registrar) RegisterAgain() {
	select {
	case r.again <- struct{}{}:
	default:
	}
}

// Run registers the node and reads the other registrations, then again after each request. It retries failed calls until ctx ends and returns its error. A
// registration may be appended twice if the store's response was lost; the later one applies.
func (r *Registrar) Run(ctx context.Context) error {
	value, err := json.Marshal(registration{
		Incarnation: r.self.Incarnation, PeerAddress: r.self.PeerAddress, CallerAddress: r.self.CallerAddress,
		DataCentre: string(r.self.DataCentre), Region: r.self.Region,
	})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	err = r.retry(ctx, func(ctx context.Context) error {
		rank, err := r.store.Append(ctx, r.topic, string(r.self.ID), value)
		if err == nil {
			r.post(modeler.SelfRegistered{Rank: rank})
		}
		return err
	})
	if err != nil {
		return err
	}
	if err := r.retry(ctx, func(ctx context.Context) error { _, err := r.postNodes(ctx, false); return err }); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.again:
		}
		if err := sleep(ctx, rand.N(againSpread)); err != nil {
			return err
		}
		if err := r.retry(ctx, func(ctx context.Context) error { return r.registerAgain(ctx, value) }); err != nil {
			return err
		}
	}
}

// registerAgain appends the registration if the store lacks it. The node keeps its rank: other nodes order it by what its heartbeats say.
func (r *Registrar) registerAgain(ctx context.Context, value []byte) error {
	registered, err := r.postNodes(ctx, true)
	if err != nil || registered {
		return err
	}
	_, err = r.store.Append(ctx, r.topic, string(r.self.ID), value)
	return err
}

// postNodes posts NodeRegistered for each registration in the store. It reports whether that of this process is among them.
func (r *Registrar) postNodes(ctx context.Context, again bool) (registered bool, err error) {
	page, err := r.store.Newest(ctx, r.topic)
	if err != nil {
		return false, err
	}
	for _, record := range page.Records {
		var n registration
		if err := json.Unmarshal(record.Value, &n); err != nil {
			// The record was not written by a node.
			continue
		}
		if n.Incarnation == r.self.Incarnation && record.Key == string(r.self.ID) {
			registered = true
		}
		r.post(modeler.NodeRegistered{Again: again, Node: modeler.Node{
			ID: modeler.NodeID(record.Key), Incarnation: n.Incarnation, Rank: record.Offset, PeerAddress: n.PeerAddress,
			CallerAddress: n.CallerAddress, DataCentre: modeler.DataCentreID(n.DataCentre), Region: n.Region,
		}})
	}
	return registered, nil
}

// retry calls call until it succeeds or ctx ends, with exponential backoff. It posts TopicFailed for each failure.
func (r *Registrar) retry(ctx context.Context, call func(context.Context) error) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, 4*maxBackoff) {
		startedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		r.post(modeler.TopicFailed{Topic: modeler.Nodes, Reason: err.Error(), StartedAt: startedAt})
		if err := sleep(ctx, backoff); err != nil {
			return err
		}
	}
}
