// Package packer sends the operators' records to other nodes in compressed pieces, and restores what other nodes have sent. A state of any size gets
// through, also to a node that the store turns away, and a change costs about as many bytes as it has.
package packer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// pieceBytes is the size of a piece. The loss of one costs little, and a node of the largest configurations receives a few dozen.
	pieceBytes = 8 << 10
	// bytesPerSecond is the rate at which pieces are sent, well below the link of the smallest node: what exceeds a link is lost, and the answers to
	// requests for placements share it.
	bytesPerSecond = 1 << 20
	// maxPackings is the number of packed states that are kept. Most nodes hold one of a few states.
	maxPackings = 4
	// maxUnpacking is the capacity of the queue of states to be unpacked. A state that does not fit is sent again.
	maxUnpacking = 4
)

// Sender sends messages to other nodes.
type Sender interface {
	Send(to modeler.Node, message modeler.Message) error
}

// Options configure a Packer.
type Options struct {
	// Self is the node whose messages are sent.
	Self   modeler.Node
	Sender Sender
	// Deliver passes restored records to the follower of their topic.
	Deliver func(modeler.Deliver)
	// OnUnusable is called for each state that cannot be packed or restored.
	OnUnusable func(error)
}

// packing is a packed state.
type packing struct {
	state, base modeler.StateID
	packed      []byte
}

// Packer sends and restores states. Send and Unpack may be called from any goroutine and do not block.
type Packer struct {
	options Options
	limiter *rate.Limiter
	// wake has a value while states wait to be sent.
	wake      chan struct{}
	unpacking chan modeler.UnpackState
	sentBytes atomic.Int64

	// packings holds the last packed states, the newest last. Only the sending goroutine uses it.
	packings []packing

	mu sync.Mutex
	// pending holds the last state for each node, so that it has at most one row for each node.
	pending map[modeler.NodeID]modeler.SendState
}

// New returns a Packer. Run must be called for it to work.
func New(options Options) *Packer {
	return &Packer{
		options: options, limiter: rate.NewLimiter(bytesPerSecond, 4*pieceBytes), wake: make(chan struct{}, 1),
		unpacking: make(chan modeler.UnpackState, maxUnpacking), pending: map[modeler.NodeID]modeler.SendState{},
	}
}

// SentBytes returns the number of bytes of packed states that were sent.
func (p *Packer) SentBytes() int64 { return p.sentBytes.Load() }

// Send queues a state for a node. It replaces an earlier one that waits.
func (p *Packer) Send(effect modeler.SendState) {
	p.mu.Lock()
	p.pending[effect.To.ID] = effect
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Unpack queues a state to be restored. It is dropped if the queue is full.
func (p *Packer) Unpack(effect modeler.UnpackState) {
	select {
	case p.unpacking <- effect:
	default:
	}
}

// Run sends and restores states until ctx ends and returns its error.
func (p *Packer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.runSends(ctx) })
	group.Go(func() error { return p.runUnpacking(ctx) })
	return group.Wait()
}

func (p *Packer) runSends(ctx context.Context) error {
	for {
		effect, ok := p.take()
		if !ok {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-p.wake:
			}
			continue
		}
		if err := p.send(ctx, effect); err != nil {
			return err
		}
	}
}

func (p *Packer) take() (modeler.SendState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, effect := range p.pending {
		delete(p.pending, id)
		return effect, true
	}
	return modeler.SendState{}, false
}

// send sends the pieces of a state. It returns an error if ctx ends meanwhile.
func (p *Packer) send(ctx context.Context, effect modeler.SendState) error {
	packed, err := p.pack(effect.State, effect.Base)
	if err != nil {
		p.options.OnUnusable(fmt.Errorf("pack state: %w", err))
		return nil
	}
	piece := modeler.StatePiece{
		State: effect.State.ID, Base: effect.Base.ID, Next: effect.State.Next, Version: effect.State.Version, Count: (len(packed) + pieceBytes - 1) / pieceBytes,
	}
	for data := range slices.Chunk(packed, pieceBytes) {
		if err := p.limiter.WaitN(ctx, len(data)); err != nil {
			return err
		}
		piece.Data, piece.Age = data, time.Since(effect.ConfirmedAt)
		// The messenger counts failures. The receiver's next heartbeat causes another attempt.
		if p.options.Sender.Send(effect.To, modeler.Message{From: p.options.Self.ID, Incarnation: p.options.Self.Incarnation, Body: piece}) == nil {
			p.sentBytes.Add(int64(len(data)))
		}
		piece.Index++
	}
	return nil
}

// pack returns a state packed against base, from the last packings if possible.
func (p *Packer) pack(state, base modeler.OperatorState) ([]byte, error) {
	for _, known := range p.packings {
		if known.state == state.ID && known.base == base.ID {
			return known.packed, nil
		}
	}
	packed, err := pack(state, base)
	if err != nil {
		return nil, err
	}
	p.packings = append(p.packings[max(0, len(p.packings)-maxPackings+1):], packing{state: state.ID, base: base.ID, packed: packed})
	return packed, nil
}

func (p *Packer) runUnpacking(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case effect := <-p.unpacking:
			state, err := unpack(effect.Packed, effect.Base, effect.State, effect.Next)
			if err != nil {
				p.options.OnUnusable(err)
				continue
			}
			p.options.Deliver(modeler.Deliver{
				Topic: modeler.Operators, Page: modeler.Page{Records: state.Records, Next: state.Next, End: state.Next}, ConfirmedAt: effect.ConfirmedAt,
			})
		}
	}
}
