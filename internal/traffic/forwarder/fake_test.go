package forwarder

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// fakeControl returns its decisions in order and records the events. Without a decision it waits until the context ends.
type fakeControl struct {
	mu        sync.Mutex
	decisions []modeler.Decision
	call      modeler.CallDecision
	rules     modeler.Rules
	asked     []modeler.Event
	intended  []modeler.Call
	posted    []modeler.Event
}

func (c *fakeControl) Ask(ctx context.Context, event modeler.Event) (modeler.Decision, error) {
	c.mu.Lock()
	c.asked = append(c.asked, event)
	if len(c.decisions) == 0 {
		c.mu.Unlock()
		<-ctx.Done()
		return modeler.Decision{}, ctx.Err()
	}
	defer c.mu.Unlock()
	next := c.decisions[0]
	c.decisions = c.decisions[1:]
	if next.Grant == nil {
		return next, nil
	}
	grant := *next.Grant
	grant.PermitAt = time.Now()
	if grant.Attempt == "old" {
		grant.PermitAt = grant.PermitAt.Add(-modeler.FenceTimeout)
	}
	return modeler.Decision{Grant: &grant}, nil
}

func (c *fakeControl) AskCall(ctx context.Context, event modeler.CallArrived) (modeler.CallDecision, error) {
	c.intended = append(c.intended, event.Call)
	if c.call == (modeler.CallDecision{}) {
		<-ctx.Done()
		return modeler.CallDecision{}, ctx.Err()
	}
	return c.call, nil
}

func (c *fakeControl) Post(event modeler.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.posted = append(c.posted, event)
}

func (c *fakeControl) Snapshot() *modeler.Snapshot { return &modeler.Snapshot{Rules: c.rules} }

// last returns the event of type E that was posted last.
func last[E modeler.Event](t *testing.T, c *fakeControl) E {
	t.Helper()
	for i := len(c.posted) - 1; i >= 0; i-- {
		if event, ok := c.posted[i].(E); ok {
			return event
		}
	}
	var none E
	t.Fatalf("no %T among %v", none, c.posted)
	return none
}

// script defines what an endpoint does in one attempt.
type script struct {
	openErr error
	chunks  []Chunk
	// end is the error after the chunks; nil blocks until the context ends.
	end error

	answer ServiceResponse
	ran    bool
	err    error
}

// fakeEndpoints runs one script for each attempt, in order.
type fakeEndpoints struct {
	mu        sync.Mutex
	scripts   []script
	prompts   []Prompt
	calls     int
	cancelled []modeler.AttemptID
	// during is called within each call to a service.
	during func()
}

func (e *fakeEndpoints) next() script {
	s := e.scripts[0]
	e.scripts = e.scripts[1:]
	return s
}

func (e *fakeEndpoints) Open(ctx context.Context, _ modeler.Grant, prompt Prompt) (Stream, error) {
	e.prompts = append(e.prompts, prompt)
	s := e.next()
	if s.openErr != nil {
		return nil, s.openErr
	}
	return &fakeStream{ctx: ctx, script: s}, nil
}

func (e *fakeEndpoints) Cancel(_ context.Context, grant modeler.Grant) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, grant.Attempt)
	return nil
}

func (e *fakeEndpoints) Call(ctx context.Context, _ modeler.Grant, _ ServiceCall) (ServiceResponse, bool, error) {
	e.calls++
	s := e.next()
	if e.during != nil {
		e.during()
	}
	return s.answer, s.ran, errors.Join(s.err, ctx.Err())
}

type fakeStream struct {
	ctx    context.Context
	script script
}

func (s *fakeStream) BootID() string { return "boot" }
func (s *fakeStream) Cold() bool     { return true }
func (s *fakeStream) Close()         {}

func (s *fakeStream) Next() (Chunk, error) {
	if len(s.script.chunks) > 0 {
		chunk := s.script.chunks[0]
		s.script.chunks = s.script.chunks[1:]
		return chunk, nil
	}
	if s.script.end == nil {
		<-s.ctx.Done()
		return Chunk{}, s.ctx.Err()
	}
	return Chunk{}, s.script.end
}

func token(text string) Chunk { return Chunk{Text: text, Tokens: 1} }

func finished(chunks ...Chunk) script {
	return script{chunks: append(chunks, Chunk{FinishReason: "stop"}), end: io.EOF}
}

// granted returns one decision with a grant per attempt ID. fakeControl makes the permit of attempt "old" as old as the fence timeout.
func granted(ids ...modeler.AttemptID) []modeler.Decision {
	decisions := make([]modeler.Decision, 0, len(ids))
	for _, id := range ids {
		decisions = append(decisions, modeler.Decision{Grant: &modeler.Grant{Attempt: id}})
	}
	return decisions
}

func denied(code modeler.Code) modeler.Decision {
	return modeler.Decision{Refusal: &modeler.Refusal{Code: code}}
}

func newForwarder(control *fakeControl, endpoints *fakeEndpoints) *Forwarder {
	return New(Options{Control: control, Engines: endpoints, Services: endpoints, RequestTimeout: time.Minute, Log: zerolog.Nop()})
}

// checkRefusal compares the summary code of err and, if it is a refusal, what the refusal states about execution.
func checkRefusal(t *testing.T, err error, code modeler.Code, run modeler.Run) {
	t.Helper()
	assert.Equal(t, codeOf(err), code)
	var refused *RefusedError
	if errors.As(err, &refused) {
		assert.Equal(t, refused.Refusal.Run, run)
	}
}
