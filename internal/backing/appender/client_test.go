package appender

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/emulation/simulator"
)

func connect(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, cleanup, err := New(Options{BaseURL: server.URL, NodeID: "node-1/7"})
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return client
}

func newLog(t *testing.T, options simulator.LogOptions, faults string) *Client {
	t.Helper()
	handler, cleanup := simulator.NewLog(options)
	t.Cleanup(cleanup)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(faults)))
	assert.Equal(t, recorder.Code, http.StatusOK)
	return connect(t, handler)
}

// TestAppendErrors guards against a record that is reported as not appended although it is, or as possibly appended although
// the log rejected it.
func TestAppendErrors(t *testing.T) {
	status := func(code int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) })
	}
	closed := httptest.NewServer(status(200))
	closed.Close()
	refusing, _, err := New(Options{BaseURL: closed.URL})
	assert.NilError(t, err)
	cases := []struct {
		name          string
		client        *Client
		before        int
		maybeAppended bool
		appended      int
	}{
		{name: "outage", client: newLog(t, simulator.LogOptions{}, `{"OutageFor":["node-1"]}`)},
		{name: "append rate", client: newLog(t, simulator.LogOptions{AppendRate: 0.001, Burst: 1}, "{}"), before: 1, appended: 1},
		{name: "lost acknowledgement", client: newLog(t, simulator.LogOptions{}, `{"LoseAcks":1}`), maybeAppended: true, appended: 1},
		{name: "late append", client: newLog(t, simulator.LogOptions{}, `{"LateAppends":1,"LateMs":2000}`), maybeAppended: true, appended: 1},
		{name: "refused connection", client: refusing},
		{name: "bad gateway", client: connect(t, status(502)), maybeAppended: true},
		{name: "too large", client: connect(t, status(413))},
		{name: "no answer body", client: connect(t, status(200)), maybeAppended: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			for range c.before {
				_, err := c.client.Append(ctx, "s", modeler.NodeDeparted{Node: "n"})
				assert.NilError(t, err)
			}
			_, err := c.client.Append(ctx, "s", modeler.NodeDeparted{Node: "n"})
			var failed *AppendError
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Equal(t, failed.MaybeAppended, c.maybeAppended, "%v", err)
			assert.Equal(t, IsNotAppended(err), !c.maybeAppended)
			if c.appended > 0 {
				// The read returns once the record is appended. A wait of 1 s ended at the same time as the late append.
				page, err := c.client.Read(context.Background(), "s", 1, 10, 10*time.Second)
				assert.NilError(t, err)
				assert.Equal(t, len(page.Records), c.appended)
			}
		})
	}
}

// TestRead guards against a read that hides deleted records, an outage or a log whose end has moved backwards.
func TestRead(t *testing.T) {
	reset := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"First":1,"Next":3,"Records":[]}`))
	}))
	cases := []struct {
		name   string
		client *Client
		add    int
		from   int64
		// want is the first and next offset and the offsets read.
		want  string
		error string
	}{
		{name: "empty", client: newLog(t, simulator.LogOptions{}, "{}"), from: 1, want: "1 1"},
		{name: "all", client: newLog(t, simulator.LogOptions{}, "{}"), add: 2, from: 1, want: "1 3 1 2"},
		{name: "gap", client: newLog(t, simulator.LogOptions{MaxRecords: 1}, "{}"), add: 3, from: 1, want: "3 4 3"},
		{name: "outage", client: newLog(t, simulator.LogOptions{}, `{"Outage":true}`), from: 1, error: "503"},
		{name: "reset", client: reset, from: 4, error: ErrLogReset.Error()},
		{name: "no records before the end", client: reset, from: 2, error: "no records"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range c.add {
				_, err := c.client.Append(context.Background(), "s", modeler.NodeDeparted{Node: "n"})
				assert.NilError(t, err)
			}
			page, err := c.client.Read(context.Background(), "s", c.from, 10, 0)
			if c.error != "" {
				assert.ErrorContains(t, err, c.error)
				return
			}
			assert.NilError(t, err)
			got := fmt.Sprint(page.First, page.Next)
			for _, r := range page.Records {
				got += fmt.Sprint(" ", r.Offset)
				assert.DeepEqual(t, r.Value, any(modeler.NodeDeparted{Node: "n"}))
				assert.Assert(t, !r.Time.IsZero())
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// TestRecordForm guards against a renamed field or kind: records written by an earlier version must stay readable.
func TestRecordForm(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	call := modeler.Call{Member: "m", Key: "k", KeyTime: at, BodyHash: 1<<63 + 1, Attempt: "a", Node: "n/1", Deadline: at}
	const callText = `{"Member":"m","Key":"k","KeyTime":"2026-01-02T03:04:05Z","BodyHash":9223372036854775809,"Attempt":"a","Node":"n/1","Deadline":"2026-01-02T03:04:05Z"}`
	cases := []struct {
		record any
		text   string
	}{
		{modeler.RulesPublished{PublishID: "p", Base: 1, Author: "o", Text: "t", Renews: 2}, `{"Kind":"RulesPublished","Value":{"PublishID":"p","Base":1,"Author":"o","Text":"t","Renews":2}}`},
		{modeler.NodeRegistered{Node: modeler.Sender{ID: "n/1", Address: "a", PublicURL: "u", DataCentre: "d"}}, `{"Kind":"NodeRegistered","Value":{"Node":{"ID":"n/1","Address":"a","PublicURL":"u","DataCentre":"d"}}}`},
		{modeler.NodeDeparted{Node: "n/1", Heir: "h/1", Balances: []modeler.Balance{{Member: "m", Amount: 2, Peer: "p/1"}}}, `{"Kind":"NodeDeparted","Value":{"Node":"n/1","Heir":"h/1","Balances":[{"Member":"m","Amount":2,"Peer":"p/1"}]}}`},
		{
			modeler.NodeReclaim{
				Node: "n/1", By: "x/1", Balances: []modeler.Balance{{Member: "m", Amount: 3, Peer: "p/1"}},
				Promised: []modeler.NodeID{"p/1"}, With: []modeler.NodeID{"n/2"}, Wait: time.Second,
			},
			`{"Kind":"NodeReclaim","Value":{"Node":"n/1","By":"x/1","Balances":[{"Member":"m","Amount":3,"Peer":"p/1"}],"Promised":["p/1"],"With":["n/2"],"Wait":1000000000}}`,
		},
		{modeler.Minted{Version: 4, Base: 1, By: "n/1", Changes: []modeler.Balance{{Member: "m", Amount: -3}}}, `{"Kind":"Minted","Value":{"Version":4,"Base":1,"By":"n/1","Changes":[{"Member":"m","Amount":-3,"Peer":""}]}}`},
		{modeler.HoldClaimed{Endpoint: "e", Term: 2, Node: "n/1", Renewal: true}, `{"Kind":"HoldClaimed","Value":{"Endpoint":"e","Term":2,"Node":"n/1","Renewal":true}}`},
		{modeler.HoldReleased{Endpoint: "e", Term: 2, Node: "n/1"}, `{"Kind":"HoldReleased","Value":{"Endpoint":"e","Term":2,"Node":"n/1"}}`},
		{modeler.CallIntent{Call: call}, `{"Kind":"CallIntent","Value":{"Call":` + callText + `}}`},
		{modeler.CallAborted{Call: call}, `{"Kind":"CallAborted","Value":{"Call":` + callText + `}}`},
		{modeler.CallFinished{Call: call, Outcome: modeler.CallOutcome{Ran: true, Status: 200, ContentType: "c", Body: []byte("b"), Known: true}}, `{"Kind":"CallFinished","Value":{"Call":` + callText + `,"Outcome":{"Ran":true,"Status":200,"ContentType":"c","Body":"Yg==","Truncated":false,"Known":true}}}`},
		{Unknown{Kind: "Later", Data: []byte(`{"Kind":"Later","Value":1}`)}, `{"Kind":"Later","Value":1}`},
		{Unknown{Kind: "Minted", Data: []byte(`{"Kind":"Minted","Value":1}`)}, `{"Kind":"Minted","Value":1}`},
		{Unknown{Data: []byte(`no envelope`)}, `no envelope`},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			assert.DeepEqual(t, decode([]byte(c.text)), c.record)
			if _, unknown := c.record.(Unknown); unknown {
				return
			}
			data, err := encode(c.record)
			assert.NilError(t, err)
			assert.Equal(t, string(data), c.text)
		})
	}
	// Three cases are not of a known record type.
	assert.Equal(t, len(cases)-3, len(decoders))
	_, err := encode(struct{}{})
	assert.ErrorContains(t, err, "not a record type")
}
