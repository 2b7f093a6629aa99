package cmd_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPages guards against a refusal code or exit code that is missing on the pages for operators.
func TestPages(t *testing.T) {
	tests := []struct{ source, pattern, page, row string }{
		{"../internal/control/modeler/effect.go", `(?m)^\tCode\w+ +Code = "(\w+)"`, "../docs/operators/refusal-codes.md", "| `$` |"},
		{"cmd.go", `(?m)^\tExit\w+ += (\d+)`, "../docs/operators/exit-codes.md", "| $ |"},
		{"cmd.go", `(?m)^\tExit\w+ += (\d+)`, "cmd.go", " $ "},
	}
	for _, tt := range tests {
		source, err := os.ReadFile(tt.source)
		assert.NilError(t, err)
		page, err := os.ReadFile(tt.page)
		assert.NilError(t, err)
		codes := regexp.MustCompile(tt.pattern).FindAllStringSubmatch(string(source), -1)
		assert.Assert(t, len(codes) >= 9)
		for _, code := range codes {
			assert.Check(t, strings.Contains(string(page), strings.Replace(tt.row, "$", code[1], 1)), "%s of %s is not in %s", code[1], tt.source, tt.page)
		}
	}
}
