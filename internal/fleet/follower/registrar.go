package follower

import (
	"context"
	"encoding/json"
	"fmt"
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
// themselves.
type Registrar struct {
	Store Appender
	// Topic is the topic's name in the store.
	Topic string
	Self  modeler.Node
	Post  func(modeler.Event)
}

// callTimeout bounds one call of the registrar.
const callTimeout = 2 * time.Second

// Run registers the node and reads the other registrations. It retries failed calls until ctx ends. A registration may be appended twice if
// the store's response was lost; the later one applies.
func (r *Registrar) Run(ctx context.Context) error {
	value, err := json.Marshal(registration{
		Incarnation: r.Self.Incarnation, PeerAddress: r.Self.PeerAddress, CallerAddress: r.Self.CallerAddress,
		DataCentre: string(r.Self.DataCentre), Region: r.Self.Region,
	})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	err = r.retry(ctx, func(ctx context.Context) error {
		rank, err := r.Store.Append(ctx, r.Topic, string(r.Self.ID), value)
		if err == nil {
			r.Post(modeler.SelfRegistered{Rank: rank})
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.retry(ctx, r.postNodes)
}

// postNodes posts NodeRegistered for each registration in the store.
func (r *Registrar) postNodes(ctx context.Context) error {
	page, err := r.Store.Newest(ctx, r.Topic)
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		var n registration
		if err := json.Unmarshal(record.Value, &n); err != nil {
			// The record was not written by a node.
			continue
		}
		r.Post(modeler.NodeRegistered{Node: modeler.Node{
			ID: modeler.NodeID(record.Key), Incarnation: n.Incarnation, Rank: record.Offset, PeerAddress: n.PeerAddress,
			CallerAddress: n.CallerAddress, DataCentre: modeler.DataCentreID(n.DataCentre), Region: n.Region,
		}})
	}
	return nil
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
		r.Post(modeler.TopicFailed{Topic: modeler.Nodes, Reason: err.Error(), StartedAt: startedAt})
		if err := sleep(ctx, backoff); err != nil {
			return err
		}
	}
}
