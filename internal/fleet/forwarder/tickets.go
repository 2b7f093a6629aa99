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

// Memory reserves memory at engines for prompts that exceed the memory of one engine.
type Memory interface {
	// Reserve makes or renews the reservation with the name ticket. It expires after hold.
	Reserve(ctx context.Context, endpoint modeler.Endpoint, ticket string, tokens modeler.Tokens, hold time.Duration) error
	Release(ctx context.Context, endpoint modeler.Endpoint, ticket string) error
}

const (
	// reservationTTL is how long a reservation lasts without renewal. It is shorter than the four seconds after which the platform counts
	// memory as lost, so that no memory is lost when a node is killed or an order is carried out late.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval leaves time for two further renewals when one is lost.
	renewInterval = 1100 * time.Millisecond
	// reserveTimeout bounds the first reservation. Engines answer orders within one round trip.
	reserveTimeout = 300 * time.Millisecond
	// releaseTimeout bounds one release call, and maxReleaseAttempts the number of calls. If all fail, the reservation expires.
	releaseTimeout     = 500 * time.Millisecond
	maxReleaseAttempts = 3
)

// ticket is a reservation of memory at one engine.
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

// reserve reserves the memory of a plan and renews the reservations until release is called. If one reservation fails, all are released and
// the error is returned.
func (f *Forwarder) reserve(ctx context.Context, id modeler.RequestID, plan modeler.Plan) (*tickets, error) {
	t := &tickets{memory: f.Memory, stop: func() {}}
	// In the request header, a slash separates the ticket from the address of its engine, so the name contains none.
	prefix := strings.ReplaceAll(string(id), "/", "-")
	for i, tokens := range plan.Reserved {
		t.list = append(t.list, ticket{endpoint: plan.Helpers[i], name: fmt.Sprintf("%s-%d", prefix, i), tokens: tokens})
	}
	if len(t.list) == 0 {
		return t, nil
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if err := t.reserveAll(reserveCtx); err != nil {
		t.release()
		return nil, err
	}
	// Renewal continues while the answer is read, even if the call's context is cancelled.
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.stop = stop
	t.done.Go(func() { t.renew(renewCtx) })
	return t, nil
}

func (t *tickets) reserveAll(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, entry := range t.list {
		group.Go(func() error { return t.memory.Reserve(ctx, entry.endpoint, entry.name, entry.tokens, reservationTTL) })
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
			// A failed renewal is retried at the next interval. If a helper is gone, the engine that serves the stream ends it.
			_ = t.reserveAll(ctx)
		}
	}
}

// release stops the renewals and releases the reservations without waiting for the engines.
func (t *tickets) release() {
	t.stop()
	t.done.Wait()
	for _, entry := range t.list {
		go func() {
			for range maxReleaseAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
				err := t.memory.Release(ctx, entry.endpoint, entry.name)
				cancel()
				if err == nil {
					return
				}
			}
		}()
	}
}

// helpers returns the helpers of a plan with their tickets, for the header of the attempt.
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
