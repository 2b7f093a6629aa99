package handler

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// TestService guards against forwarding secrets and hop-by-hop headers to a service, and against a changed path or response.
func TestService(t *testing.T) {
	fake := &fakeForwarder{answer: forwarder.ServiceResponse{
		Status: 201, Body: []byte("booked"),
		Header: map[string][]string{"X-Truck": {"7"}, "Connection": {"X-Hop"}, "X-Hop": {"h"}, "Content-Length": {"999"}},
	}}
	server := newServer(t, fake, nil)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/services/book/tr%C3%BCck%2F1/?day=2%2F3", strings.NewReader("b"))
	assert.NilError(t, err)
	for name, value := range map[string]string{
		"Authorization": "Bearer " + memberToken, "Idempotency-Key": "k", "X-Node-Id": "spoofed", "X-Crew": "5",
		"Connection": "X-Private", "X-Private": "p",
	} {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 201)
	assert.Equal(t, string(body), "booked")
	assert.Equal(t, response.Header.Get("X-Truck"), "7")
	assert.Equal(t, response.Header.Get("X-Hop"), "")
	call := fake.call
	assert.Equal(t, call.Path, "/trück/1/")
	assert.Equal(t, call.Target, "/tr%C3%BCck%2F1/?day=2%2F3")
	assert.Equal(t, call.Service+" "+call.Method+" "+call.Key+" "+string(call.Member)+" "+string(call.Body), "book PUT k szelfogo b")
	assert.DeepEqual(t, call.Header["X-Crew"], []string{"5"})
	for _, name := range []string{"Authorization", "Idempotency-Key", "X-Node-Id", "X-Private", "Connection"} {
		assert.Assert(t, call.Header[name] == nil, name)
	}
}

// TestAddresses guards against listing nodes that are leaving, silent or without a public URL, and against an order in which one node
// is always first.
func TestAddresses(t *testing.T) {
	node := func(id, dataCentre string, phase modeler.NodePhase) modeler.Node {
		return modeler.Node{ID: modeler.NodeID(id), PublicURL: "u" + id, DataCentre: modeler.DataCentreID(dataCentre), Phase: phase}
	}
	self := modeler.Self{Sender: modeler.Sender{ID: "self", PublicURL: "uself", DataCentre: "A"}}
	others := []modeler.Node{
		node("self", "A", modeler.NodeActive), node("1", "A", modeler.NodeActive), node("2", "B", modeler.NodeActive),
		node("3", "B", modeler.NodeLeaving), node("4", "B", modeler.NodeSilent), node("5", "B", modeler.NodeLeft), {ID: "6"},
	}
	reverse := func(n int, swap func(i, j int)) {
		for i := range n / 2 {
			swap(i, n-1-i)
		}
	}
	for _, c := range []struct {
		name     string
		snapshot *modeler.Snapshot
		near     modeler.DataCentreID
		want     []string
	}{
		{"before the first tick", nil, "", nil},
		{"reversed order", &modeler.Snapshot{Self: self, Nodes: others}, "", []string{"uself", "u2", "u1"}},
		{"near first", &modeler.Snapshot{Self: self, Nodes: others}, "B", []string{"u2", "uself", "u1"}},
		{"leaving", &modeler.Snapshot{Self: self, Nodes: others, Leaving: true}, "", []string{"u2", "u1"}},
		{"fenced", &modeler.Snapshot{Self: self, Nodes: others, Fenced: true}, "", []string{"u2", "u1"}},
		{"data centre out",
			&modeler.Snapshot{Self: self, Nodes: others, Rules: modeler.Rules{OutDataCentres: []modeler.DataCentreID{"B"}}},
			"B", []string{"uself", "u1"}},
		{"all data centres out",
			&modeler.Snapshot{Self: self, Rules: modeler.Rules{OutDataCentres: []modeler.DataCentreID{"A"}}}, "", []string{"uself"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, entry := range addresses(c.snapshot, c.near, reverse) {
				got = append(got, entry.URL)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestGet guards against changed bodies of the GET paths and against a node that reports itself ready too early or too late.
func TestGet(t *testing.T) {
	ready := func(change func(*modeler.Snapshot)) *modeler.Snapshot {
		s := &modeler.Snapshot{
			Self:  modeler.Self{Sender: modeler.Sender{ID: "n", PublicURL: "http://n", DataCentre: "A"}},
			Rules: modeler.Rules{Version: 1},
			Endpoints: []modeler.Endpoint{
				{Models: []string{"m2", "m1"}}, {Models: []string{"m1"}}, {Kind: modeler.Service, Models: []string{"book"}},
			},
		}
		change(s)
		return s
	}
	unchanged := func(*modeler.Snapshot) {}
	for _, c := range []struct {
		name     string
		path     string
		snapshot *modeler.Snapshot
		status   int
		body     string
		token    string
	}{
		{name: "metrics", path: "/metrics", status: 200, body: "metrics", token: operatorToken},
		{name: "report", path: "/report", status: 200, body: "report", token: operatorToken},
		{"healthy", "/healthz", nil, 200, "ok\n", ""},
		{"starting", "/readyz", nil, 503, "starting\n", ""},
		{"ready", "/readyz", ready(unchanged), 200, "ready\n", ""},
		{"leaving", "/readyz", ready(func(s *modeler.Snapshot) { s.Leaving = true }), 503, "leaving\n", ""},
		{"fenced", "/readyz", ready(func(s *modeler.Snapshot) { s.Fenced = true }), 503, "neither the log nor a peer vouches for this node\n", ""},
		{"no rules", "/readyz", ready(func(s *modeler.Snapshot) { s.Rules.Version = 0 }), 503, "no rule file yet\n", ""},
		{"addresses", "/v1/addresses", ready(unchanged), 200, `{"Addresses":[{"URL":"http://n","DataCentre":"A"}],"ExpiresIn":10}`, memberToken},
		{"models", "/v1/models", ready(unchanged), 200, `{"object":"list","data":[` +
			`{"id":"m1","object":"model","created":0,"owned_by":"damaskpick"},{"id":"m2","object":"model","created":0,"owned_by":"damaskpick"}]}`, memberToken},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := send(t, newServer(t, nil, c.snapshot).Listener.Addr().String(),
				"GET "+c.path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+c.token+"\r\n\r\n", false)
			assert.Equal(t, response.status, c.status)
			assert.Equal(t, string(response.body), c.body)
		})
	}
}

// TestPromptText guards against misinterpreted forms of the prompt and of messages in the OpenAI API.
func TestPromptText(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"string", `{"model":"m","prompt":"p","unknown":{"x":1}}`, "p"},
		{"list of one", `{"model":"m","prompt":["p"]}`, "p"},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "user: ab\nassistant:"},
		{"null content", `{"model":"m","messages":[{"role":"assistant","content":null},{"role":"user","content":"c"}]}`, "assistant: \nuser: c\nassistant:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := &fakeForwarder{}
			path := "/v1/completions"
			if strings.Contains(c.body, "messages") {
				path = "/v1/chat/completions"
			}
			response := send(t, newServer(t, fake, nil).Listener.Addr().String(), post(path, c.body), false)
			assert.Equal(t, response.status, 200, "%s", response.body)
			assert.Equal(t, fake.generation.Text, c.want)
			assert.Equal(t, fake.generation.MaxTokens, modeler.Tokens(DefaultMaxTokens))
		})
	}
}

// TestNew guards against a node that starts with a credential whose hash is invalid, so that it matches no token.
func TestNew(t *testing.T) {
	_, err := New(Options{Credentials: []loader.Credential{{SHA256: "xyz"}, {SHA256: hashToken("a")}, {SHA256: "ab"}}})
	assert.ErrorContains(t, err, "credential 0")
	assert.ErrorContains(t, err, "credential 2")
	assert.Assert(t, !strings.Contains(err.Error(), "credential 1"))
}
