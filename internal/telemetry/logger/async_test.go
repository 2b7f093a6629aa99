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

// stalledWriter blocks every write until released is closed, like a log reader that has stopped reading.
type stalledWriter struct {
	mu       sync.Mutex
	released chan struct{}
	text     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestAsyncNeverBlocks guards against callers that wait for a slow log reader.
func TestAsyncNeverBlocks(t *testing.T) {
	out := &stalledWriter{released: make(chan struct{})}
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
		t.Fatal("writers are blocked by the log reader")
	}
	close(out.released)
	closeLog()
	assert.Assert(t, strings.Count(out.text.String(), "line\n") < 20_000)
	_, err := async.Write([]byte("after the end\n"))
	assert.NilError(t, err)
}

// TestAsyncBoundsOrdinaryLines guards against an unbounded number of lines of ordinary requests, and against lines of failures that are
// dropped together with them.
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
	// The loop may cross a second boundary, after which the same number of lines is allowed again.
	assert.Assert(t, strings.Count(out.String(), "ordinary") <= 10)
}
