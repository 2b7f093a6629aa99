package handler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

const (
	memberToken   = "member-token"
	operatorToken = "operator-token"
)

// fakeForwarder delivers chunks and then returns usage and err. It records the last generation and call.
type fakeForwarder struct {
	chunks     []string
	usage      forwarder.Usage
	answer     forwarder.ServiceResponse
	err        error
	generation forwarder.Generation
	requests   int
	call       forwarder.ServiceCall
	// endless repeats the chunks until delivery fails, and sends the error to stopped.
	endless bool
	// pause is the delay before the chunks or the answer.
	pause   time.Duration
	stopped chan error
}

func (f *fakeForwarder) Generate(ctx context.Context, g forwarder.Generation, deliver func(forwarder.Chunk) error) (forwarder.Usage, error) {
	f.generation = g
	f.requests++
	if !f.pauseElapsed(ctx) {
		return forwarder.Usage{}, forwarder.ErrCallerGone
	}
	for i := 0; f.endless || i < len(f.chunks); i++ {
		if err := deliver(forwarder.Chunk{Text: f.chunks[i%len(f.chunks)], Tokens: 1}); err != nil {
			f.stopped <- err
			return forwarder.Usage{}, forwarder.ErrCallerGone
		}
	}
	return f.usage, f.err
}

// pauseElapsed waits for the pause and reports whether it elapsed before the context ended.
func (f *fakeForwarder) pauseElapsed(ctx context.Context) bool {
	select {
	case <-time.After(f.pause):
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *fakeForwarder) Call(ctx context.Context, call forwarder.ServiceCall) (forwarder.ServiceResponse, error) {
	f.call = call
	if !f.pauseElapsed(ctx) {
		return forwarder.ServiceResponse{}, forwarder.ErrCallerGone
	}
	return f.answer, f.err
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// staticBody responds to every request with its own text.
type staticBody string

func (s staticBody) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, string(s))
}

// newServer starts a server on loopback with a body limit of 1,000 bytes and caller timeouts of 100 ms.
func newServer(t *testing.T, service Forwarder, snapshot *modeler.Snapshot) *httptest.Server {
	t.Helper()
	h, err := New(Options{
		Forwarder: service,
		Snapshot:  func() *modeler.Snapshot { return snapshot },
		Credentials: []loader.Credential{
			{SHA256: hashToken(memberToken), Member: "szelfogo"},
			{SHA256: hashToken(operatorToken), Operator: "judit"},
		},
		Metrics:  staticBody("metrics"),
		Report:   staticBody("report"),
		Limits:   loader.Limits{BodyBytes: 1000},
		Timeouts: loader.Timeouts{CallerRead: loader.Duration(100 * time.Millisecond), CallerWrite: loader.Duration(100 * time.Millisecond)},
		Log:      zerolog.Nop(),
	})
	assert.NilError(t, err)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server
}

// newRefusedError returns an error of the forwarder that carries a refusal.
func newRefusedError(code modeler.Code, run modeler.Run, retryAfter time.Duration) error {
	return &forwarder.RefusedError{Refusal: modeler.Refusal{Code: code, Message: "because", Run: run, RetryAfter: retryAfter}}
}
