package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Appender adds records to topics.
type Appender interface {
	Store
	Append(ctx context.Context, topic, key string, value []byte) (int64, error)
}

// registration is the record of a node.
type registration struct {
	Incarnation   uint64
	PeerAddress   string
	CallerAddress string
	DataCentre    string
	Region        string
}

// Registrar registers this node in the store and learns the nodes that registered before. Nodes that come later announce themselves.
type Registrar struct {
	Store Appender
	// Topic is the topic's name in the store.
	Topic string
	Self  modeler.Node
	Post  func(modeler.Event)
}

// callTimeout bounds one call of the registrar.
const callTimeout = 2 * time.Second

// Run registers the node, repeating failed calls until ctx ends. A registration whose answer was lost may stand twice; the later one counts.
func (r *Registrar) Run(ctx context.Context) error {
	value, err := json.Marshal(registration{
		Incarnation: r.Self.Incarnation, PeerAddress: r.Self.PeerAddress, CallerAddress: r.Self.CallerAddress,
		DataCentre: string(r.Self.DataCentre), Region: r.Self.Region,
	})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	err = r.repeat(ctx, func(ctx context.Context) error {
		rank, err := r.Store.Append(ctx, r.Topic, string(r.Self.ID), value)
		if err == nil {
			r.Post(modeler.SelfRegistered{Rank: rank})
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.repeat(ctx, r.learn)
}

func (r *Registrar) learn(ctx context.Context) error {
	page, err := r.Store.Newest(ctx, r.Topic)
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		var n registration
		if err := json.Unmarshal(record.Value, &n); err != nil {
			// Another writer's record names no node.
			continue
		}
		r.Post(modeler.NodeRegistered{Node: modeler.Node{
			ID: modeler.NodeID(record.Key), Incarnation: n.Incarnation, Rank: record.Offset, PeerAddress: n.PeerAddress,
			CallerAddress: n.CallerAddress, DataCentre: modeler.DataCentreID(n.DataCentre), Region: n.Region,
		}})
	}
	return nil
}

func (r *Registrar) repeat(ctx context.Context, call func(context.Context) error) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, 4*maxBackoff) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		r.Post(modeler.TopicFailed{Topic: modeler.Nodes, Reason: err.Error()})
		if err := sleep(ctx, backoff); err != nil {
			return err
		}
	}
}
