// Package batcher provides the generic inbox of a goroutine that owns state: others put items in, the owner takes out what waits in one batch.
package batcher

import (
	"context"
	"errors"
	"time"
)

// ErrClosed is returned once the owner has ended.
var ErrClosed = errors.New("inbox is closed")

// Inbox hands items of many goroutines to one owner.
type Inbox[E any] struct {
	items chan E
	// most bounds the items of one batch.
	most int
	done chan struct{}
}

// NewInbox returns an inbox in which capacity items may wait, of which the owner takes at most most at a time. The owner calls the returned
// function once when it ends; nobody waits for it any more then.
func NewInbox[E any](capacity, most int) (*Inbox[E], func()) {
	i := &Inbox[E]{items: make(chan E, capacity), most: most, done: make(chan struct{})}
	return i, func() { close(i.done) }
}

// Put hands over an item. It waits while the inbox is full.
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

// Take waits for an item or for the timer and returns all items that wait, none if the timer came first. Only the owner calls it.
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

// drain collects the items that wait already.
func (i *Inbox[E]) drain(first E) []E {
	batch := []E{first}
	for len(batch) < i.most {
		select {
		case item := <-i.items:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

// Await returns the answer to an item that was put in.
func Await[E, A any](ctx context.Context, i *Inbox[E], answer <-chan A) (A, error) {
	var none A
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-i.done:
		return none, ErrClosed
	}
}
