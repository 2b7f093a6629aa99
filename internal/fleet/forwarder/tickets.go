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

// Reserver reserves memory at engines for prompts that exceed the memory of one engine.
type Reserver interface {
	// Reserve makes or renews the reservation with the given name. It expires after hold.
	Reserve(ctx context.Context, endpoint modeler.Endpoint, name string, tokens modeler.Tokens, hold time.Duration) error
	// Release ends the reservation with the given name.
	Release(ctx context.Context, endpoint modeler.Endpoint, name string) error
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

// reservation is a reservation of memory at one engine.
type reservation struct {
	endpoint modeler.Endpoint
	name     string
	tokens   modeler.Tokens
}

// reservations are the reservations of one attempt.
type reservations struct {
	reserver Reserver
	list     []reservation
	// stop ends the renewals, and done waits until they have ended.
	stop context.CancelFunc
	done sync.WaitGroup
}

// reserve reserves the memory of a plan and renews the reservations until release is called. If one reservation fails, all are released and
// the error is returned.
func (f *Forwarder) reserve(ctx context.Context, id modeler.RequestID, plan modeler.Plan) (*reservations, error) {
	r := &reservations{reserver: f.Reserver, stop: func() {}}
	// In the request header, a slash separates the name of a reservation from the address of its engine, so the name contains none.
	prefix := strings.ReplaceAll(string(id), "/", "-")
	for i, tokens := range plan.Reserved {
		r.list = append(r.list, reservation{endpoint: plan.Helpers[i], name: fmt.Sprintf("%s-%d", prefix, i), tokens: tokens})
	}
	if len(r.list) == 0 {
		return r, nil
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if err := r.reserveAll(reserveCtx); err != nil {
		r.release()
		return nil, err
	}
	// Renewal continues while the answer is read, even if the call's context is cancelled.
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stop = stop
	r.done.Go(func() { r.renew(renewCtx) })
	return r, nil
}

func (r *reservations) reserveAll(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, entry := range r.list {
		group.Go(func() error { return r.reserver.Reserve(ctx, entry.endpoint, entry.name, entry.tokens, reservationTTL) })
	}
	return group.Wait()
}

func (r *reservations) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A failed renewal is retried at the next interval. If a helper is gone, the engine that serves the stream ends it.
			_ = r.reserveAll(ctx)
		}
	}
}

// release stops the renewals and releases the reservations without waiting for the engines.
func (r *reservations) release() {
	r.stop()
	r.done.Wait()
	for _, entry := range r.list {
		go func() {
			for range maxReleaseAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
				err := r.reserver.Release(ctx, entry.endpoint, entry.name)
				cancel()
				if err == nil {
					return
				}
			}
		}()
	}
}

// helpers returns the helpers of a plan with their reservations, for the header of the attempt.
func (r *reservations) helpers(plan modeler.Plan) []modeler.Helper {
	list := make([]modeler.Helper, 0, len(plan.Helpers))
	for i, h := range plan.Helpers {
		helper := modeler.Helper{Address: h.Address}
		if i < len(r.list) {
			helper.Ticket = r.list[i].name
		}
		list = append(list, helper)
	}
	return list
}
