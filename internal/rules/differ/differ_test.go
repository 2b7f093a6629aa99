package differ_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/differ"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

const base = "fleet tokens=1000 # a\nshare x percent=10 # a\nidempotent s GET /q # a\nendpoint e out # a\n"

func parse(t *testing.T, text string) modeler.Rules {
	t.Helper()
	rules, err := parser.Parse("r", text)
	assert.NilError(t, err)
	return rules
}

// TestDiff guards against a change that is missed, and against comments and the order of lines that are reported as changes.
func TestDiff(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"comments and order", base, "endpoint e out # b\nidempotent s GET /q # b\nshare x percent=10.0 # b\nfleet tokens=1_000 # b\n", ""},
		{"added, changed and removed", base, "fleet tokens=1000 # a\nshare x percent=11 # b\nnode n dead # b\nnon-idempotent s GET /q # b", "" +
			"- endpoint e out # a\n" +
			"- idempotent s GET /q # a\n+ non-idempotent s GET /q # b\n" +
			"+ node n dead # b\n" +
			"- share x percent=10 # a\n+ share x percent=11 # b"},
		{"from an empty file", "", "endpoint e out # b", "+ endpoint e out # b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, c := range differ.Diff(parse(t, tt.from), parse(t, tt.to)) {
				got = append(got, c.String())
			}
			assert.Equal(t, strings.Join(got, "\n"), tt.want)
		})
	}
}

// TestConflicts guards against two operators who overwrite each other's line without a reported conflict.
func TestConflicts(t *testing.T) {
	tests := []struct {
		name, ours, theirs string
		want               []string
	}{
		{"different lines", base + "node n dead # b", strings.ReplaceAll(base, "percent=10", "percent=20"), nil},
		{"the same change twice", base + "node n dead # b", base + "node n dead # c", nil},
		{"one line, two values", strings.ReplaceAll(base, "percent=10", "percent=30"), strings.ReplaceAll(base, "percent=10", "percent=20"), []string{"share x: 10 30 20"}},
		{"changed and removed", strings.ReplaceAll(base, "percent=10", "percent=30"), strings.ReplaceAll(base, "share x", "share y"), []string{"share x: 10 30 "}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, c := range differ.Conflicts(parse(t, base), parse(t, tt.ours), parse(t, tt.theirs)) {
				percent := func(l parser.Line) string { return strings.TrimPrefix(l.Text, "share x percent=") }
				got = append(got, c.Identity+": "+percent(c.Base)+" "+percent(c.Ours)+" "+percent(c.Theirs))
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
