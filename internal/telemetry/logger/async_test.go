package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/telemetry/logger"
)

// stalled is a reader of the log that takes nothing until it is released.
type stalled struct {
	mu       sync.Mutex
	released chan struct{}
	text     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestAsyncNeverBlocks guards against traffic that waits for a slow reader of the log.
func TestAsyncNeverBlocks(t *testing.T) {
	out := &stalled{released: make(chan struct{})}
	async, closeLog := logger.NewAsync(out, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			_, _ = async.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writers wait for the reader of the log")
	}
	close(out.released)
	closeLog()
	assert.Assert(t, strings.Count(out.text.String(), "line\n") < 20_000)
	_, err := async.Write([]byte("after the end\n"))
	assert.NilError(t, err)
}

// TestAsyncBoundsOrdinaryLines guards against the volume of ordinary requests, and against lines of failures that are dropped with them.
func TestAsyncBoundsOrdinaryLines(t *testing.T) {
	var out bytes.Buffer
	async, closeLog := logger.NewAsync(&out, 5)
	for i := range 200 {
		_, err := fmt.Fprintf(async.Ordinary(), "ordinary %d\n", i)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(async, "failure %d\n", i)
		assert.NilError(t, err)
	}
	closeLog()
	assert.Equal(t, strings.Count(out.String(), "failure"), 200)
	// The loop may cross a second, which allows as many lines again.
	assert.Assert(t, strings.Count(out.String(), "ordinary") <= 10)
}
