package batcher_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/batcher"
)

// TestTake guards against batches that exceed the maximum size, and against items that are lost or reordered.
func TestTake(t *testing.T) {
	tests := []struct {
		name    string
		put     int
		batches []int
	}{{"one item", 1, []int{1}}, {"all waiting items", 3, []int{3}}, {"maximum size", 7, []int{4, 3}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inbox, closeInbox := batcher.NewInbox[int](10, 4)
			defer closeInbox()
			for n := range tt.put {
				assert.NilError(t, inbox.Put(t.Context(), n))
			}
			next := 0
			for _, size := range tt.batches {
				batch, err := inbox.Take(t.Context(), nil)
				assert.NilError(t, err)
				assert.Equal(t, len(batch), size)
				for _, item := range batch {
					assert.Equal(t, item, next)
					next++
				}
			}
		})
	}
}

// TestUnblock guards against goroutines that block forever: in Take although the timer has fired, on a full inbox although the context
// has ended, or on an owner that has stopped.
func TestUnblock(t *testing.T) {
	inbox, closeInbox := batcher.NewInbox[int](1, 1)
	due := make(chan time.Time, 1)
	due <- time.Now()
	batch, err := inbox.Take(t.Context(), due)
	assert.NilError(t, err)
	assert.Equal(t, len(batch), 0)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, inbox.Put(t.Context(), 1))
	assert.ErrorIs(t, inbox.Put(ended, 2), context.Canceled)
	_, err = batcher.Await(ended, inbox, make(chan int))
	assert.ErrorIs(t, err, context.Canceled)

	closeInbox()
	assert.ErrorIs(t, inbox.Put(t.Context(), 3), batcher.ErrClosed)
	_, err = batcher.Await(t.Context(), inbox, make(chan int))
	assert.ErrorIs(t, err, batcher.ErrClosed)
}
