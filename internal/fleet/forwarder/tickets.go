package forwarder

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Memory sets memory aside at engines for prompts that exceed one engine.
type Memory interface {
	Reserve(ctx context.Context, endpoint modeler.Endpoint, ticket string, tokens modeler.Tokens, hold time.Duration) error
	Release(ctx context.Context, endpoint modeler.Endpoint, ticket string) error
}

const (
	// holdTime is how long a reservation lasts without renewal. It is shorter than the four seconds after which the platform counts memory
	// as lost, so that a node that is killed, or an order that is carried out late, leaves none behind.
	holdTime = 3500 * time.Millisecond
	// renewInterval leaves two further tries when a renewal is lost.
	renewInterval = 1100 * time.Millisecond
	// reserveTimeout bounds the first reservation: engines answer orders within the round trip.
	reserveTimeout = 300 * time.Millisecond
	// releaseTimeout bounds one try to release, and releaseTries their number; afterwards the reservation lapses by itself.
	releaseTimeout = 500 * time.Millisecond
	releaseTries   = 3
)

// ticket is a reservation of a call.
type ticket struct {
	endpoint modeler.Endpoint
	name     string
	tokens   modeler.Tokens
}

// tickets are the reservations of one attempt.
type tickets struct {
	memory Memory
	list   []ticket
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// reserve sets aside the memory of a plan, all or nothing, and keeps it until release is called.
func (f *Forwarder) reserve(ctx context.Context, id modeler.RequestID, plan modeler.Plan) (*tickets, error) {
	t := &tickets{memory: f.Memory, stop: func() {}}
	// A slash separates the ticket from the address of its engine.
	prefix := strings.ReplaceAll(string(id), "/", "-")
	for i, tokens := range plan.Reserved {
		t.list = append(t.list, ticket{endpoint: plan.Helpers[i], name: fmt.Sprintf("%s-%d", prefix, i), tokens: tokens})
	}
	if len(t.list) == 0 {
		return t, nil
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if err := t.all(reserveCtx); err != nil {
		t.release()
		return nil, err
	}
	// Renewal goes on while the answer is read, whatever becomes of the call's context.
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.stop = stop
	t.done.Go(func() { t.renew(renewCtx) })
	return t, nil
}

func (t *tickets) all(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range t.list {
		group.Go(func() error { return t.memory.Reserve(ctx, one.endpoint, one.name, one.tokens, holdTime) })
	}
	return group.Wait()
}

func (t *tickets) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A renewal that fails is repeated at the next interval; an engine that has left ends the stream itself.
			_ = t.all(ctx)
		}
	}
}

// release ends the reservations without waiting for the engines.
func (t *tickets) release() {
	t.stop()
	t.done.Wait()
	for _, one := range t.list {
		go func() {
			for range releaseTries {
				ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
				err := t.memory.Release(ctx, one.endpoint, one.name)
				cancel()
				if err == nil {
					return
				}
			}
		}()
	}
}

// helpers returns the helpers of a plan with their tickets.
func (t *tickets) helpers(plan modeler.Plan) []modeler.Helper {
	list := make([]modeler.Helper, 0, len(plan.Helpers))
	for i, h := range plan.Helpers {
		helper := modeler.Helper{Address: h.Address}
		if i < len(t.list) {
			helper.Ticket = t.list[i].name
		}
		list = append(list, helper)
	}
	return list
}
