package cmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/cmd"
)

// TestFleetCheck guards against settings with findings that are accepted, and against a check that starts a node.
func TestFleetCheck(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.jsonc")
	assert.NilError(t, os.WriteFile(broken, []byte(`{"Node": {"Name": ""}}`), 0o600))
	tests := []struct {
		name, file, says string
		code             int
	}{
		{"example", filepath.Join("..", "docs", "examples", "fleet.jsonc"), "no findings", cmd.ExitOK},
		{"findings", broken, "Node.Name: is required", cmd.ExitFindings},
		{"no file", "nowhere.jsonc", "read settings", cmd.ExitError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			code := cmd.Run([]string{"fleet", "--settings", tt.file, "--check"}, cmd.Environment{Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.says), "%s", out.String())
		})
	}
}

// TestTrace guards against a command that says nothing about a request without a line.
func TestTrace(t *testing.T) {
	const log = "time=2026-01-01T00:00:00.000Z level=info message=RequestEnded Request=r1 Status=Refused\n"
	tests := []struct {
		request, says string
		code          int
	}{{"r1", "Status=Refused", cmd.ExitOK}, {"r2", "no line is about", cmd.ExitError}}
	for _, tt := range tests {
		t.Run(tt.request, func(t *testing.T) {
			var out strings.Builder
			code := cmd.Run([]string{"trace", tt.request}, cmd.Environment{In: strings.NewReader(log), Out: &out, Err: &out})
			assert.Equal(t, code, tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.says), "%s", out.String())
		})
	}
}
