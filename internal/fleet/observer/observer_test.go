package observer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/observer"
)

// store is a stand-in whose Read fails if wait is positive.
type store struct{}

func (store) Read(_ context.Context, _ string, _ modeler.Position, wait time.Duration) (modeler.Page, error) {
	if wait > 0 {
		return modeler.Page{}, errors.New("busy")
	}
	return modeler.Page{Next: 3}, nil
}

func (store) Newest(context.Context, string) (modeler.Page, error) { return modeler.Page{Next: 4}, nil }

func (store) Append(context.Context, string, string, []byte) (modeler.Position, error) { return 5, nil }

func page(o *observer.Observer) string {
	recorder := httptest.NewRecorder()
	o.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

func newObserver(snapshot *modeler.Snapshot) *observer.Observer {
	none := func() int64 { return 0 }
	return observer.New(observer.Options{
		Events: zerolog.Nop(), Requests: zerolog.Nop(), Snapshot: func() *modeler.Snapshot { return snapshot }, Dialed: none, PeerFailures: none,
		Retries: func() int { return 7 },
	})
}

// TestStore guards against store calls that are not counted, and against a wrapper that changes their results.
func TestStore(t *testing.T) {
	o := newObserver(&modeler.Snapshot{})
	s := o.Store(store{})
	read, err := s.Read(t.Context(), "t", 0, 0)
	assert.NilError(t, err)
	newest, err := s.Newest(t.Context(), "t")
	assert.NilError(t, err)
	offset, err := s.Append(t.Context(), "t", "k", nil)
	assert.NilError(t, err)
	_, err = s.Read(t.Context(), "t", 0, time.Second)
	assert.Error(t, err, "busy")
	assert.DeepEqual(t, []modeler.Position{read.Next, newest.Next, offset}, []modeler.Position{3, 4, 5})
	tests := []string{
		`damaskpick_store_calls_total{call="Read",outcome="Ok"} 1`, `damaskpick_store_calls_total{call="Read",outcome="Failed"} 1`,
		`damaskpick_store_calls_total{call="Newest",outcome="Ok"} 1`, `damaskpick_store_calls_total{call="Append",outcome="Ok"} 1`,
	}
	for _, want := range tests {
		assert.Assert(t, strings.Contains(page(o), want+"\n"), want)
	}
}

// TestGauges guards against values of the control state that are missing from the metrics.
func TestGauges(t *testing.T) {
	o := newObserver(&modeler.Snapshot{
		Self: modeler.Node{ID: "n"}, Coordinator: "n", ReadsForAll: true, Waiting: 2, OperatorsAge: 1500 * time.Millisecond,
		Endpoints: map[modeler.EndpointState]int{modeler.StateAvoided: 3},
	})
	tests := []string{
		`damaskpick_endpoints{state="Avoided"} 3`, `damaskpick_endpoints{state="InService"} 0`, "damaskpick_coordinates 1", "damaskpick_reads_for_all 1",
		"damaskpick_waiting 2", "damaskpick_operators_age_seconds 1.5", "damaskpick_repeats 7",
	}
	for _, want := range tests {
		assert.Assert(t, strings.Contains(page(o), want+"\n"), want)
	}
}

// TestInvalidAnswer guards against an invalid answer that an operator cannot find: by the id of the request in the log, by its kind in the metrics.
func TestInvalidAnswer(t *testing.T) {
	var lines strings.Builder
	none := func() int64 { return 0 }
	o := observer.New(observer.Options{
		Events: zerolog.New(&lines), Requests: zerolog.Nop(), Snapshot: func() *modeler.Snapshot { return &modeler.Snapshot{} }, Dialed: none, PeerFailures: none,
		Retries: func() int { return 0 },
	})
	o.AnswerInvalid(forwarder.InvalidAnswer{Request: "r1", Endpoint: "e1", Fault: forwarder.UnsignedAnswer})
	o.AnswerInvalid(forwarder.InvalidAnswer{Request: "r2", Endpoint: "e1", Fault: "StatusLine", Err: errors.New("status 000")})
	tests := []struct{ name, text, want string }{
		{"count", page(o), `damaskpick_invalid_answers_total{fault="StatusLine"} 1`},
		{"line without details", lines.String(), `"Request":"r1","Endpoint":"e1","Fault":"UnsignedAnswer","message":"AnswerInvalid"`},
		{"line", lines.String(), `"Request":"r2","Endpoint":"e1","Fault":"StatusLine","error":"status 000","message":"AnswerInvalid"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Assert(t, strings.Contains(tt.text, tt.want), tt.text) })
	}
}
