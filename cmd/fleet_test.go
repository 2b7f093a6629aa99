package cmd_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/cmd"
)

// TestFleetCheck guards against accepting settings with findings, and against a check that starts a node.
func TestFleetCheck(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.jsonc")
	assert.NilError(t, os.WriteFile(broken, []byte(`{"Node": {"Name": ""}}`), 0o600))
	tests := []struct {
		name, file, want string
		code             int
	}{
		{"example", filepath.Join("..", "docs", "examples", "fleet.jsonc"), "no findings", cmd.ExitOK},
		{"findings", broken, "Node.Name: is required", cmd.ExitFindings},
		{"missing file", "missing.jsonc", "read settings", cmd.ExitError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			code := cmd.Run([]string{"fleet", "--settings", tt.file, "--check"}, cmd.Environment{Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.want), "%s", out.String())
		})
	}
}

// TestFleetSettingsCheck guards against checking the settings of one kind of node by the rules for the other kind.
func TestFleetSettingsCheck(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"fleet", []string{"--fleet", "../docs/examples/fleet.jsonc"}, cmd.ExitOK, "valid, node "},
		{"without --fleet", []string{"../docs/examples/fleet.jsonc"}, cmd.ExitFindings, "unknown field"},
		{"settings of serve", []string{"--fleet", "../docs/examples/damaskpick.jsonc"}, cmd.ExitFindings, "../docs/examples/damaskpick.jsonc:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			code := cmd.Run(append([]string{"settings", "check"}, tt.args...), cmd.Environment{Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.want), "%s", out.String())
		})
	}
}

// TestTrace guards against success and empty output for a request that is not in the log.
func TestTrace(t *testing.T) {
	const log = "time=2026-01-01T00:00:00.000Z level=info message=RequestEnded Request=r1 Status=Refused\n"
	tests := []struct {
		request, want string
		code          int
	}{{"r1", "Status=Refused", cmd.ExitOK}, {"r2", "no log line about", cmd.ExitError}}
	for _, tt := range tests {
		t.Run(tt.request, func(t *testing.T) {
			var out strings.Builder
			code := cmd.Run([]string{"trace", tt.request}, cmd.Environment{In: strings.NewReader(log), Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.want), "%s", out.String())
		})
	}
}

// TestFleetStatus guards against a page that omits metrics of a node, and against two coordinators that the exit code does not report.
func TestFleetStatus(t *testing.T) {
	page := func(node string, coordinates int) string {
		text := fmt.Sprintf("damaskpick_node{node=%q,data_centre=\"dc\"} 1\ndamaskpick_coordinates %d\n", node, coordinates) +
			"damaskpick_configuration_version 12\ndamaskpick_operators_age_seconds 1.25\ndamaskpick_endpoints{state=\"Avoided\"} 4\n" +
			"damaskpick_requests_total{kind=\"Safe\",status=\"Delivered\"} 31\ndamaskpick_requests_total{kind=\"Safe\",status=\"TimedOut\"} 2\n"
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
		t.Cleanup(server.Close)
		return server.URL
	}
	tests := []struct {
		name  string
		nodes []string
		code  int
		want  []string
	}{
		{"one coordinator", []string{page("n1", 1), page("n2", 0)}, cmd.ExitOK, []string{"n1    dc           coordinator", "1.3s", "AVOIDED", "31"}},
		{"two coordinators", []string{page("n1", 1), page("n2", 1)}, cmd.ExitError, []string{"more than one node coordinates"}},
		{"one node unreachable", []string{page("n1", 1), "http://127.0.0.1:1"}, cmd.ExitOK, []string{"n1    dc", "lacks nodes that did not answer"}},
		{"all nodes unreachable", []string{"http://127.0.0.1:1"}, cmd.ExitError, []string{"scrape metrics"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := []string{"status"}
			for _, n := range tt.nodes {
				args = append(args, "--metrics", n)
			}
			var out strings.Builder
			code := cmd.Run(args, cmd.Environment{Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			for _, want := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), want), "%q in %s", want, out.String())
			}
		})
	}
}

// TestReportDay guards against an empty table for logs without requests, and against a chart in a format that its file name does not have.
func TestReportDay(t *testing.T) {
	const log = "n time=2026-01-01T00:00:00.000Z level=info message=RequestEnded Request=r1 Status=Refused Prompt=7 First=0\n"
	picture := filepath.Join(t.TempDir(), "day.svg")
	tests := []struct {
		name, log string
		code      int
		want      string
	}{
		{"requests", log, cmd.ExitOK, "00:00:00"},
		{"no requests", "n time=2026-01-01T00:00:00.000Z level=info message=NodeStarted\n", cmd.ExitError, "no line says how a request ended"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			code := cmd.Run([]string{"report", "--day", "--picture", picture}, cmd.Environment{In: strings.NewReader(tt.log), Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.want), "%s", out.String())
		})
	}
	data, err := os.ReadFile(picture)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), "<svg"))
}
