package forwarder

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

var (
	errDied       = &EndpointError{Died: true, Err: io.ErrUnexpectedEOF}
	errMiscounted = &EndpointError{Miscounted: true, Err: errors.New("received 2 tokens of 3")}
	errBusy       = &EndpointError{Err: errors.New("503")}
)

// TestGenerate guards against repeated or dropped tokens when a response continues on another engine, a refusal that states NotRun for a
// request that may have run, attempts that keep running at an engine, and requests whose end is not reported to the control loop.
func TestGenerate(t *testing.T) {
	for _, c := range []struct {
		name      string
		decisions []modeler.Decision
		scripts   []script
		failAfter int
		// Expected results.
		text      string
		finish    string
		code      modeler.Code
		run       modeler.Run
		prompts   []Prompt
		retries   []modeler.RetryRequested
		cancelled []modeler.AttemptID
	}{
		{name: "complete", decisions: granted("a1"), scripts: []script{finished(token("x"), token("y"))},
			text: "xy", finish: "stop", prompts: []Prompt{{"m", "p", 3}}},
		{name: "engine dies in the stream", decisions: granted("a1", "a2"),
			scripts: []script{{chunks: []Chunk{token("x"), token("y")}, end: errDied}, finished(token("z"))},
			text:    "xyz", finish: "stop", prompts: []Prompt{{"m", "p", 3}, {"m", "pxy", 1}},
			retries: []modeler.RetryRequested{{Request: "r", Delivered: 2, Died: true}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "busy engine before the first token", decisions: granted("a1", "a2"),
			scripts: []script{{openErr: errBusy}, finished(token("x"))},
			text:    "x", finish: "stop", prompts: []Prompt{{"m", "p", 3}, {"m", "p", 3}},
			retries: []modeler.RetryRequested{{Request: "r"}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "finish reason without end marker", decisions: granted("a1", "a2"),
			scripts: []script{{chunks: []Chunk{token("x"), {FinishReason: "stop"}}, end: errDied}, finished()},
			text:    "x", finish: "stop", prompts: []Prompt{{"m", "p", 3}, {"m", "px", 2}},
			retries: []modeler.RetryRequested{{Request: "r", Delivered: 1, Died: true}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "end marker without finish reason", decisions: []modeler.Decision{granted("a1")[0], denied(modeler.CodeEndpointFailed)},
			scripts: []script{{chunks: []Chunk{token("x")}, end: io.EOF}},
			text:    "x", code: modeler.CodeEndpointFailed, run: modeler.Unknown, prompts: []Prompt{{"m", "p", 3}},
			retries: []modeler.RetryRequested{{Request: "r", Delivered: 1}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "only the end marker is lost", decisions: granted("a1"),
			scripts: []script{{chunks: []Chunk{token("x"), token("y"), token("z")}, end: errDied}},
			text:    "xyz", finish: FinishLength, prompts: []Prompt{{"m", "p", 3}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "engine loses a token", decisions: granted("a1", "a2"),
			scripts: []script{{chunks: []Chunk{token("x"), token("z"), {FinishReason: "stop"}}, end: errMiscounted}, finished(token("w"))},
			text:    "xz", code: modeler.CodeEndpointFailed, run: modeler.Unknown, prompts: []Prompt{{"m", "p", 3}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "engine repeats a token", decisions: granted("a1"),
			scripts: []script{{chunks: []Chunk{token("x"), token("x"), token("y"), {FinishReason: "stop"}}, end: errMiscounted}},
			text:    "xxy", code: modeler.CodeEndpointFailed, run: modeler.Unknown, prompts: []Prompt{{"m", "p", 3}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "more tokens than requested", decisions: []modeler.Decision{granted("a1")[0], denied(modeler.CodeEndpointFailed)},
			scripts: []script{{chunks: []Chunk{token("x"), {Text: "yyy", Tokens: 3}}}},
			text:    "x", code: modeler.CodeEndpointFailed, run: modeler.Unknown, prompts: []Prompt{{"m", "p", 3}},
			retries: []modeler.RetryRequested{{Request: "r", Delivered: 1}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "refused at admission", decisions: []modeler.Decision{denied(modeler.CodeOverloaded)},
			code: modeler.CodeOverloaded, run: modeler.NotRun},
		{name: "refused after an engine died", decisions: []modeler.Decision{granted("a1")[0], denied(modeler.CodeNoEndpoint)},
			scripts: []script{{end: errDied}}, code: modeler.CodeNoEndpoint, run: modeler.Unknown, prompts: []Prompt{{"m", "p", 3}},
			retries: []modeler.RetryRequested{{Request: "r", Died: true}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "old permit is not used", decisions: []modeler.Decision{granted("old")[0], denied(modeler.CodeNoEndpoint)},
			code: modeler.CodeNoEndpoint, run: modeler.NotRun, retries: []modeler.RetryRequested{{Request: "r", NotSent: true}}},
		{name: "caller stops reading", decisions: granted("a1"), scripts: []script{finished(token("x"), token("y"))}, failAfter: 1,
			text: "x", code: CodeCallerGone, prompts: []Prompt{{"m", "p", 3}}, cancelled: []modeler.AttemptID{"a1"}},
		{name: "deadline passes in the stream", decisions: granted("a1"), scripts: []script{{chunks: []Chunk{token("x")}}},
			text: "x", code: modeler.CodeDeadlineExceeded, run: modeler.Unknown, prompts: []Prompt{{"m", "p", 3}},
			cancelled: []modeler.AttemptID{"a1"}},
		{name: "every permit is old", decisions: granted(slices.Repeat([]modeler.AttemptID{"old"}, maxGrants+1)...),
			code: modeler.CodeEndpointFailed, run: modeler.NotRun, retries: slices.Repeat([]modeler.RetryRequested{{Request: "r", NotSent: true}}, maxGrants-1)},
		{name: "deadline passes in the queue", code: modeler.CodeDeadlineExceeded, run: modeler.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control, endpoints := &fakeControl{decisions: c.decisions}, &fakeEndpoints{scripts: c.scripts}
				f := newForwarder(control, endpoints)
				var text strings.Builder
				usage, err := f.Generate(t.Context(), Generation{Request: "r", Model: "m", Text: "p", MaxTokens: 3}, func(chunk Chunk) error {
					if c.failAfter > 0 && text.Len() == c.failAfter {
						return io.ErrClosedPipe
					}
					text.WriteString(chunk.Text)
					return nil
				})
				f.Wait()
				checkRefusal(t, err, c.code, c.run)
				assert.Equal(t, text.String(), c.text)
				assert.Equal(t, usage.FinishReason, c.finish)
				assert.DeepEqual(t, endpoints.prompts, c.prompts)
				assert.DeepEqual(t, endpoints.cancelled, c.cancelled)
				assert.Equal(t, len(control.asked), 1+len(c.retries))
				for i, retry := range c.retries {
					assert.Equal(t, control.asked[1+i], modeler.Event(retry))
				}
				assert.Equal(t, last[modeler.RequestEnded](t, control), modeler.RequestEnded{Request: "r", Completed: c.code == ""})
			})
		})
	}
}

// TestGenerateCallerGone guards against an engine that continues an attempt after the caller closed its connection.
func TestGenerateCallerGone(t *testing.T) {
	control, endpoints := &fakeControl{decisions: granted("a1")}, &fakeEndpoints{scripts: []script{{chunks: []Chunk{token("x")}}}}
	ctx, leave := context.WithCancel(t.Context())
	_, err := newForwarder(control, endpoints).Generate(ctx, Generation{Request: "r", Model: "m", Text: "p", MaxTokens: 3},
		func(Chunk) error { leave(); return nil })
	assert.ErrorIs(t, err, ErrCallerGone)
	assert.DeepEqual(t, endpoints.cancelled, []modeler.AttemptID{"a1"})
	assert.Equal(t, last[modeler.RequestEnded](t, control).Completed, false)
	assert.Equal(t, last[modeler.AttemptConfirmed](t, control), modeler.AttemptConfirmed{Attempt: "a1", BootID: "boot", Cold: true})
	assert.Equal(t, last[modeler.FirstTokenSeen](t, control).Attempt, modeler.AttemptID("a1"))
}
