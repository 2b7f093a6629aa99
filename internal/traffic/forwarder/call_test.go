package forwarder

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// key is a UUID of version 7 with the time keyMilli, in milliseconds since 1970.
	key      = "01936b7e-0000-7000-8000-000000000001"
	keyMilli = 0x01936b7e0000
)

var errConnectionReset = &EndpointError{Died: true, Err: errors.New("connection reset")}

// TestCall guards against a non-idempotent call that runs twice, an outcome that is not reported to the control loop for recording, and a
// refusal that states NotRun for a call that may have run.
func TestCall(t *testing.T) {
	answer := ServiceResponse{Status: 201, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: []byte("booked")}
	replayed := answer
	replayed.Replayed = true
	recorded := &modeler.CallOutcome{Ran: true, Known: true, Status: 201, ContentType: "text/plain", Body: []byte("booked")}
	run := modeler.CallDecision{Run: true}
	for _, c := range []struct {
		name       string
		idempotent bool
		key        string
		call       modeler.CallDecision
		decisions  []modeler.Decision
		scripts    []script
		// leave cancels the caller's context while the service runs the call.
		leave bool
		// Expected results.
		answer  ServiceResponse
		code    modeler.Code
		run     modeler.Run
		calls   int
		outcome *modeler.CallOutcome
	}{
		{name: "idempotent", idempotent: true, decisions: granted("a1"), scripts: []script{{answer: answer, ran: true}},
			answer: answer, calls: 1},
		{name: "idempotent is repeated", idempotent: true, decisions: granted("a1", "a2"),
			scripts: []script{{ran: true, err: errConnectionReset}, {answer: answer, ran: true}}, answer: answer, calls: 2},
		{name: "idempotent fails everywhere", idempotent: true,
			decisions: []modeler.Decision{granted("a1")[0], denied(modeler.CodeEndpointFailed)}, scripts: []script{{ran: true, err: errConnectionReset}},
			code: modeler.CodeEndpointFailed, run: modeler.Unknown, calls: 1},
		{name: "no key", code: modeler.CodeKeyMissing},
		{name: "key is not a UUID", key: "today", code: modeler.CodeKeyInvalid},
		{name: "key has another version", key: "6ba7b810-9dad-41d1-80b4-00c04fd430c8", code: modeler.CodeKeyInvalid},
		{name: "key has another form", key: "{" + key + "}", code: modeler.CodeKeyInvalid},
		{name: "runs once", key: key, call: run, decisions: granted("a1"), scripts: []script{{answer: answer, ran: true}},
			answer: answer, calls: 1, outcome: recorded},
		{name: "key was reused", key: key, call: modeler.CallDecision{Refusal: &modeler.Refusal{Code: modeler.CodeKeyReused}},
			code: modeler.CodeKeyReused},
		{name: "repeats the recorded answer", key: key, call: modeler.CallDecision{Outcome: recorded}, answer: replayed},
		{name: "recorded answer was lost", key: key, call: modeler.CallDecision{Outcome: &modeler.CallOutcome{Ran: true}},
			code: modeler.CodeOutcomeUnknown, run: modeler.Unknown},
		{name: "recorded answer was too large", key: key,
			call: modeler.CallDecision{Outcome: &modeler.CallOutcome{Ran: true, Known: true, Truncated: true}},
			code: CodeAnswerNotKept, run: modeler.Unknown},
		{name: "answer is too large to record", key: key, call: run, decisions: granted("a1"),
			scripts: []script{{answer: ServiceResponse{Status: 200, Body: make([]byte, OutcomeBodyLimit+1)}, ran: true}},
			answer:  ServiceResponse{Status: 200, Body: make([]byte, OutcomeBodyLimit+1)}, calls: 1,
			outcome: &modeler.CallOutcome{Ran: true, Known: true, Truncated: true, Status: 200}},
		{name: "nothing was sent, so another endpoint is tried", key: key, call: run, decisions: granted("a1", "a2"),
			scripts: []script{{err: errConnectionReset}, {answer: answer, ran: true}}, answer: answer, calls: 2, outcome: recorded},
		{name: "answer is lost", key: key, call: run, decisions: granted("a1", "a2"), scripts: []script{{ran: true, err: errConnectionReset}},
			code: modeler.CodeOutcomeUnknown, run: modeler.Unknown, calls: 1, outcome: &modeler.CallOutcome{Ran: true}},
		{name: "caller leaves during the call", key: key, call: run, decisions: granted("a1"), leave: true,
			scripts: []script{{answer: answer, ran: true}}, answer: answer, calls: 1, outcome: recorded},
		{name: "refused after the intent", key: key, call: run, decisions: []modeler.Decision{denied(modeler.CodeNoEndpoint)},
			code: modeler.CodeNoEndpoint, run: modeler.NotRun, outcome: &modeler.CallOutcome{}},
		{name: "deadline passes before the decision", key: key,
			code: modeler.CodeDeadlineExceeded, run: modeler.Unknown, outcome: &modeler.CallOutcome{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control, endpoints := &fakeControl{decisions: c.decisions, call: c.call}, &fakeEndpoints{scripts: c.scripts}
				control.rules.Methods = []modeler.MethodRule{{Service: "s", Method: "POST", PathPrefix: "/book", Idempotent: c.idempotent}}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if c.leave {
					endpoints.during = leave
				}
				got, err := newForwarder(control, endpoints).Call(ctx, ServiceCall{
					Request: "r", Member: "m", Service: "s", Method: "POST", Path: "/book", Target: "/book", Key: c.key,
				})
				checkRefusal(t, err, c.code, c.run)
				assert.DeepEqual(t, got, c.answer)
				assert.Equal(t, endpoints.calls, c.calls)
				if c.outcome != nil {
					ended := last[modeler.CallEnded](t, control)
					assert.DeepEqual(t, ended.Outcome, *c.outcome)
					assert.DeepEqual(t, ended.Call, control.intended[0])
					assert.Assert(t, ended.Call.KeyTime.Equal(time.UnixMilli(keyMilli)))
				}
				if len(control.asked) > 0 {
					assert.Equal(t, last[modeler.RequestEnded](t, control).Completed, c.code == "")
				}
			})
		})
	}
}
