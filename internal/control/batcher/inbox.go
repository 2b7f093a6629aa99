// Package batcher provides a generic inbox for a goroutine that owns state: other goroutines put items in, and the owner takes all waiting
// items out in batches.
package batcher

import (
	"context"
	"errors"
	"time"
)

// ErrClosed is returned once the owner has stopped.
var ErrClosed = errors.New("inbox is closed")

// Inbox is a bounded queue of items from many goroutines to one owner.
type Inbox[E any] struct {
	items chan E
	// maxBatch is the maximum number of items of one batch.
	maxBatch int
	// done is closed when the owner has stopped.
	done chan struct{}
}

// NewInbox returns an inbox for up to capacity waiting items, from which the owner takes at most maxBatch items at a time. The owner must
// call the returned function exactly once when it stops. From then on, Put and Await return ErrClosed instead of
// blocking.
func NewInbox[E any](capacity, maxBatch int) (*Inbox[E], func()) {
	i := &Inbox[E]{items: make(chan E, capacity), maxBatch: maxBatch, done: make(chan struct{})}
	return i, func() { close(i.done) }
}

// Put adds an item. It blocks while the inbox is full and returns an error if ctx ends or the owner has stopped.
func (i *Inbox[E]) Put(ctx context.Context, item E) error {
	select {
	case i.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-i.done:
		return ErrClosed
	}
}

// Take waits for an item or for the timer and returns a batch of the waiting items, which is empty if the timer fired first. It returns an
// error if ctx ends. Only the owner may call it.
func (i *Inbox[E]) Take(ctx context.Context, timer <-chan time.Time) ([]E, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case first := <-i.items:
		return i.drain(first), nil
	case <-timer:
		return nil, nil
	}
}

// drain returns first and the items that are already waiting, up to maxBatch in total.
func (i *Inbox[E]) drain(first E) []E {
	batch := []E{first}
	for len(batch) < i.maxBatch {
		select {
		case item := <-i.items:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

// Await waits for the answer to an item that was put into the inbox. It returns an error if ctx ends or the owner stops first.
func Await[E, A any](ctx context.Context, i *Inbox[E], answer <-chan A) (A, error) {
	var zero A
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-i.done:
		return zero, ErrClosed
	}
}
