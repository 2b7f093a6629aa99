package cmd_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"damaskpick.example/damaskpick/cmd"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/operator/handler"
	"damaskpick.example/damaskpick/internal/rules/differ"
	"damaskpick.example/damaskpick/internal/rules/parser"
	"damaskpick.example/damaskpick/internal/rules/publisher"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

const rulesText = "fleet tokens=1000 # a\nshare x percent=10 # a\n"

// fakeNode is a stand-in for a node. It uses the real handler of operators' requests.
type fakeNode struct {
	snapshot modeler.Snapshot
	result   publisher.Result
	err      error
	draft    publisher.Draft
}

func (n *fakeNode) Publish(_ context.Context, draft publisher.Draft) (publisher.Result, error) {
	n.draft = draft
	return n.result, n.err
}

func (n *fakeNode) start(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle("/", handler.New(handler.Options{
		Operator:  func(r *http.Request) (string, bool) { return "anna", r.Header.Get("Authorization") == "Bearer secret" },
		Snapshot:  func() modeler.Snapshot { return n.snapshot },
		Publisher: n,
	}))
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Rows":[{"Member":"dispatch","Class":"Short","Objective":"FirstToken","Target":0.95,` +
			`"Windows":[{"Length":"5m0s","Covered":"5m0s","Good":9,"Total":10,"BurnRate":2,"BudgetLeft":-1}]}]}`))
	})
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Addresses":["http://127.0.0.1:1"]}`))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func run(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = cmd.Run(args, cmd.Environment{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestRun guards against wrong exit codes, results on standard error and errors on standard output.
func TestRun(t *testing.T) {
	good, other, bad := writeFile(t, "good", rulesText), writeFile(t, "other", "fleet tokens=1_000 # b\nshare x percent=20 # b\n"), writeFile(t, "bad", "node n out # a\nlend y")
	missing := filepath.Join(t.TempDir(), "missing")
	tests := []struct {
		name     string
		args     []string
		code     int
		out, err string
	}{
		{"no command", nil, cmd.ExitUsage, "", "Please specify one command of"},
		{"unknown command", []string{"start"}, cmd.ExitUsage, "", "Unknown command `start'"},
		{"unknown option", []string{"rules", "check", "--strict", good}, cmd.ExitUsage, "", "unknown flag `strict'"},
		{"help", []string{"--help"}, cmd.ExitOK, "Exit codes: 0 success", ""},
		{"help of a command", []string{"rules", "publish", "--help"}, cmd.ExitOK, "Exit codes: 0 accepted", ""},
		{"version", []string{"version"}, cmd.ExitOK, "damaskpick ", ""},
		{"version with argument", []string{"version", "now"}, cmd.ExitUsage, "", `unexpected argument "now"`},
		{"valid settings", []string{"settings", "check", "../docs/examples/damaskpick.jsonc"}, cmd.ExitOK, "valid, node entry-1 in bud-a", ""},
		{"faulty settings", []string{"settings", "check", good}, cmd.ExitFindings, "", good + ":1:1: not valid JSON: invalid literal"},
		{"missing settings", []string{"settings", "check", missing}, cmd.ExitError, "", "read settings: open"},
		{"valid rules", []string{"rules", "check", good}, cmd.ExitOK, "valid, fleet of 1000 tokens, 1 shares", ""},
		{"one of two rule files is faulty", []string{"rules", "check", bad, good}, cmd.ExitFindings, good + ": valid", bad + `:1:8: node: "out" must be "dead"`},
		{"same rules", []string{"rules", "diff", good, good}, cmd.ExitOK, "", ""},
		{"different rules", []string{"rules", "diff", good, other}, cmd.ExitDiffers, "- share x percent=10 # a\n+ share x percent=20 # b\n", ""},
		{"diff with a faulty file", []string{"rules", "diff", good, bad}, cmd.ExitFindings, "", bad + ":2:7: lend: needs a comment"},
		{"serve with faulty settings", []string{"serve", "-s", good}, cmd.ExitFindings, "", "not valid JSON"},
		{"serve without node", []string{"serve", "-s", "../docs/examples/damaskpick.jsonc"}, cmd.ExitError, "", "this environment runs no node"},
		{"node does not answer", []string{"status", "-n", "http://127.0.0.1:1"}, cmd.ExitError, "", "connection refused"},
		{"not a URL", []string{"status", "-n", "127.0.0.1:1"}, cmd.ExitError, "", "is not an http or https URL"},
		{"publish to a node that does not answer", []string{"rules", "publish", "-n", "http://127.0.0.1:1", "-b", "0", good}, cmd.ExitError, "", "not published:"},
		{"publish without base", []string{"rules", "publish", "-n", "http://127.0.0.1:1", good}, cmd.ExitUsage, "", "the required flag `-b, --base' was not specified"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out, err := run(tt.args...)
			assert.Equal(t, code, tt.code, "%s%s", out, err)
			assert.Assert(t, strings.Contains(out, tt.out) && (tt.out != "" || out == ""), out)
			assert.Assert(t, strings.Contains(err, tt.err) && (tt.err != "" || err == ""), err)
		})
	}
}

// TestNodeCommands guards against commands that are incompatible with the handler of operators' requests, and against a publication that is
// reported with the wrong outcome.
func TestNodeCommands(t *testing.T) {
	rules, err := parser.Parse("r", rulesText)
	assert.NilError(t, err)
	other, err := parser.Parse("r", strings.ReplaceAll(rulesText, "=10 ", "=20 ")+"node n dead # b\n")
	assert.NilError(t, err)
	conflict := publisher.Result{Outcome: publisher.Conflicting, Version: 9, Author: "bela", Changes: differ.Diff(rules, other),
		Conflicts: differ.Conflicts(rules, modeler.Rules{Fleet: 1000}, other)}
	_, findings := parser.Parse("", "lend")
	good, secret, wrong := writeFile(t, "good", rulesText), writeFile(t, "secret", "secret\n"), writeFile(t, "wrong", "guess")
	publish := []string{"rules", "publish", "-b", "7", "--publish-id", "p1", good}
	tests := []struct {
		name        string
		result      publisher.Result
		err         error
		args        []string
		code        int
		out, stderr string
	}{
		{"accepted", publisher.Result{Outcome: publisher.Accepted, Version: 8}, nil, publish, cmd.ExitOK, "accepted as version 8\n", "publish id p1"},
		{"conflict", conflict, nil, publish, cmd.ExitConflict, "conflict in share x\n  base    share x percent=10\n  yours   (no line)\n  theirs  share x percent=20\n" +
			"changed since in node n dead\n  base    (no line)\n  theirs  node n dead\n", "version 9 by bela is in effect, and the draft was made from version 7"},
		{"unknown", publisher.Result{Cause: errors.New("log down")}, nil, publish, cmd.ExitUnknown, "", "repeat with --base 7 --publish-id p1"},
		{"findings of the node", publisher.Result{}, findings, publish, cmd.ExitFindings, "", good + ":1:1: lend: must be written as"},
		{"refused by the node", publisher.Result{}, publisher.DraftError{Reason: "why"}, publish, cmd.ExitError, "", "not published: the draft cannot be published: why"},
		{"wrong credential", publisher.Result{}, nil, append(slices.Clip(publish), "--credential-file", wrong), cmd.ExitError, "", "not published: the node answered 401"},
		{"show", publisher.Result{}, nil, []string{"rules", "show"}, cmd.ExitOK, rulesText, "version 7\n"},
		{"report", publisher.Result{}, nil, []string{"report"}, cmd.ExitOK, "MEMBER    CLASS  OBJECTIVE   TARGET", ""},
		{"addresses", publisher.Result{}, nil, []string{"addresses"}, cmd.ExitOK, "{\n  \"Addresses\": [\n    \"http://127.0.0.1:1\"\n", ""},
		{"status", publisher.Result{}, nil, []string{"status"}, cmd.ExitOK, "" +
			"a/1 in bud-a at 2026-01-02T03:04:05Z: serving, 1 queued, 2 running\n" +
			"rules version 7: fleet of 1.0k tokens, 1 shares\n\n" +
			"NODE  DATA CENTRE  PHASE                   HEARD AGO  HOLDS\n" +
			"b/2   bud-b        Silent, not registered  3s         0\n" +
			"a/1   bud-a        Active                  0s         1\n\n" +
			"ENDPOINT  DATA CENTRE  PHASE      HELD BY  RUNNING  RESERVED OF  CAPACITY  KNOWN AGO\n" +
			"s1        bud-b        Cold, out  nobody   0        0            service   never\n" +
			"e1        bud-a        Warm       a/1      3        1.2k         400.0k    100ms\n\n" +
			"MEMBER  CAP  BALANCE HERE  USED HERE  WANTED  DEBT\n" +
			"x       100  60            20         0       0\n\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &fakeNode{snapshot: snapshot(rules.WithVersion(7)), result: tt.result, err: tt.err}
			args := append([]string{}, tt.args...)
			if !slices.Contains(args, "--credential-file") {
				args = append(args, "--credential-file", secret)
			}
			code, out, err := run(append(args, "--node", n.start(t))...)
			assert.Equal(t, code, tt.code, "%s%s", out, err)
			assert.Assert(t, strings.HasPrefix(out, tt.out) && (tt.out != "" || out == ""), out)
			assert.Assert(t, strings.Contains(err, tt.stderr), err)
			if n.draft.PublishID != "" {
				assert.Equal(t, n.draft, publisher.Draft{PublishID: "p1", Base: 7, Author: "anna", Text: rulesText})
			}
		})
	}
}

func snapshot(rules modeler.Rules) modeler.Snapshot {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return modeler.Snapshot{
		At: at, Self: modeler.Self{Sender: modeler.Sender{ID: "a/1", DataCentre: "bud-a"}}, Rules: rules, Queued: 1, Running: 2,
		Nodes: []modeler.Node{
			{ID: "a/1", DataCentre: "bud-a", Registered: true, LastSeenAt: at},
			{ID: "b/2", DataCentre: "bud-b", Phase: modeler.NodeSilent, LastSeenAt: at.Add(-3 * time.Second)},
		},
		Endpoints: []modeler.Endpoint{
			{ID: "e1", DataCentre: "bud-a", Phase: modeler.Warm, Holder: "a/1", Capacity: 400_000, EndpointLoad: modeler.EndpointLoad{Reserved: 1234, Running: 3}, UpdatedAt: at.Add(-100 * time.Millisecond)},
			{ID: "s1", Kind: modeler.Service, DataCentre: "bud-b", Out: true},
		},
		Members: []modeler.Member{{ID: "x", Cap: 100, Balance: 60, Used: 20}},
	}
}

// TestServe guards against a graceful stop that starts only at the second signal, and against a second signal that does not end the process
// before the node has stopped.
func TestServe(t *testing.T) {
	tests := []struct {
		name    string
		signals int
		serve   func(ctx context.Context, release <-chan struct{}) int
		want    int
	}{
		{"node ends without a signal", 0, func(context.Context, <-chan struct{}) int { return cmd.ExitError }, cmd.ExitError},
		{"graceful stop", 1, func(ctx context.Context, _ <-chan struct{}) int { <-ctx.Done(); return cmd.ExitOK }, cmd.ExitOK},
		{"deadline exceeded", 1, func(ctx context.Context, _ <-chan struct{}) int { <-ctx.Done(); return cmd.ExitStopDeadline }, cmd.ExitStopDeadline},
		{"second signal", 2, func(_ context.Context, release <-chan struct{}) int { <-release; return cmd.ExitOK }, cmd.ExitSecondSignal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release, signals := make(chan struct{}), make(chan os.Signal, 2)
			defer close(release)
			for range tt.signals {
				signals <- os.Interrupt
			}
			code := cmd.Run([]string{"serve", "-s", "../docs/examples/damaskpick.jsonc"}, cmd.Environment{
				Out: &bytes.Buffer{}, Err: &bytes.Buffer{},
				Serve: func(ctx context.Context, settings loader.Settings) int {
					assert.Check(t, settings.Node.Name == "entry-1")
					return tt.serve(ctx, release)
				},
				Signals: func() (<-chan os.Signal, func()) { return signals, func() {} },
			})
			assert.Equal(t, code, tt.want)
		})
	}
}

// TestReport guards against a report that omits a node of --also, and against a chart on standard output instead of in its file.
func TestReport(t *testing.T) {
	picture := filepath.Join(t.TempDir(), "report.svg")
	code, out, _ := run("report", "-n", (&fakeNode{}).start(t), "--also", (&fakeNode{}).start(t), "--picture", picture)
	assert.Equal(t, code, cmd.ExitOK)
	assert.Assert(t, cmp.Contains(out, "18    20"))
	data, err := os.ReadFile(picture)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(data), "<svg"))
}
