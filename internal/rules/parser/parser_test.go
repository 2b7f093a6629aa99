package parser_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

const whole = `# Szelfogo, bud
lend claims	# Anna
share dispatch percent=40.50 # Anna, ticket 12
share claims percent=10 # Béla # second thought

fleet tokens=40_000_000 # Anna` + "\r" + `
idempotent kits GET /availability/ # Cili
non-idempotent kits GET /availability/hold # Cili
datacentre bud-b out # Cili
endpoint engine-3 out # Cili
node entry-2/0193 dead # Anna
`

// TestParse guards against a rule that is lost, misread or unsorted.
func TestParse(t *testing.T) {
	got, err := parser.Parse("r", whole)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, modeler.Rules{
		Text:   whole,
		Fleet:  40_000_000,
		Shares: []modeler.ShareRule{{Member: "claims", Percent: 10}, {Member: "dispatch", Percent: 40.5}},
		Methods: []modeler.MethodRule{
			{Service: "kits", Method: "GET", PathPrefix: "/availability/", Idempotent: true},
			{Service: "kits", Method: "GET", PathPrefix: "/availability/hold"},
		},
		OutDataCentres: []modeler.DataCentreID{"bud-b"},
		OutEndpoints:   []modeler.EndpointID{"engine-3"},
		DeadNodes:      []string{"entry-2/0193"},
		Lenders:        []modeler.MemberID{"claims"},
	})
	assert.Assert(t, strings.Contains(parser.Format(got), "share claims percent=10 # Béla # second thought\nshare dispatch percent=40.5 # Anna, ticket 12\n"))
}

// TestParseFindings guards against an error that is not reported, that hides another one, or that is reported at the wrong position.
func TestParseFindings(t *testing.T) {
	const fleet = "fleet tokens=100 # a\n"
	tests := []struct {
		name, text string
		want       []string
	}{
		{"two faults in one file", "shares x # a\nnode n # a", []string{
			`r:1:1: unknown directive "shares"; known are fleet, share, non-idempotent, idempotent, datacentre, endpoint, node, lend`,
			"r:2:1: node: must be written as: node NAME dead # who asked",
		}},
		{"who asked is missing", fleet + "datacentre a out\nendpoint e out #\nnode n dead # -", []string{
			"r:2:17: datacentre: needs a comment that says who asked: # NAME", "r:3:16: endpoint: the comment does not say who asked",
			"r:4:13: node: the comment does not say who asked",
		}},
		{"numbers", "fleet tokens=1__0 # a\nfleet tokens=0 # a\nfleet tokens=9_000_000_000_000_000_000_000 # a\nfleet size=1 # a", []string{
			"r:1:14: fleet: must be a whole number from 1 to 1000000000000000, such as 40_000_000",
			"r:2:14: fleet: must be a whole number from 1 to 1000000000000000, such as 40_000_000",
			"r:3:14: fleet: must be a whole number from 1 to 1000000000000000, such as 40_000_000",
			`r:4:7: fleet: "size=1" must be tokens=NUMBER`,
		}},
		{"percentages", fleet + "share a percent=1e1 # a\nshare b percent=100.000001 # a\nshare c percent=NaN # a\nshare d percent=0.9 # a", []string{
			"r:2:17: share: must be a decimal number above 0 and at most 100 with up to 6 decimals, such as 12.5",
			"r:3:17: share: must be a decimal number above 0 and at most 100 with up to 6 decimals, such as 12.5",
			"r:4:17: share: must be a decimal number above 0 and at most 100 with up to 6 decimals, such as 12.5",
			"r:5:1: share: is less than one token of the fleet",
		}},
		{"duplicates and conflicts", fleet + "share a percent=5.0 # a\nshare a percent=5 # b\nshare a percent=6 # b\nidempotent s GET / # a\nnon-idempotent s GET / # a\nfleet tokens=7 # a", []string{
			"r:3:1: share: repeats line 2", "r:4:1: share: conflicts with line 2: share a percent=5",
			"r:6:1: non-idempotent: conflicts with line 5: idempotent s GET /", "r:7:1: fleet: conflicts with line 1: fleet tokens=100",
		}},
		{"no fleet, no share", "share a percent=5 # a\nlend b # a", []string{
			"r:1:1: share: needs a valid line: fleet tokens=N", "r:2:1: lend: needs a share line for b",
		}},
		{"names and words", "datacentre -a off # a\nendpoint é out # a", []string{
			"r:1:12: datacentre: the name must start with a letter or a digit", "r:2:10: endpoint: the name may only hold ASCII letters, digits and the characters ._-:@/",
		}},
		{"calls", "idempotent s get /a/../b # a\nidempotent s GET a # a\nidempotent s GET /%41 # a", []string{
			`r:1:14: idempotent: "get" is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS`,
			"r:1:18: idempotent: the path must not hold empty, . or .. parts", "r:2:18: idempotent: the path must start with a slash",
			`r:3:18: idempotent: the path may only hold visible ASCII characters, without ?, % and \`,
		}},
		{"characters that hide text", "node n dead # a\u202eb\nnode m dead # \xff", []string{
			"r:1:16: holds an invisible character or invalid UTF-8", "r:2:15: holds an invisible character or invalid UTF-8",
		}},
		{"too large", strings.Repeat("#", parser.MaxBytes+1), []string{"r:1:1: the file has 1048577 bytes; at most 1048576 are allowed"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rules, err := parser.Parse("r", tt.text)
			var findings collector.FindingsError
			assert.Assert(t, errors.As(err, &findings), "%v", err)
			assert.DeepEqual(t, strings.Split(err.Error(), "\n"), tt.want)
			assert.DeepEqual(t, rules, modeler.Rules{})
		})
	}
}

// FuzzParse guards against a panic, a finding outside the file, and a canonical form that stands for other rules.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{whole, "", "#", "fleet tokens=1 # a", "share a percent=.5 # a", "lend a", "node \x00 dead # a", "fleet tokens=1#a\r\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rules, err := parser.Parse("r", text)
		var findings collector.FindingsError
		if errors.As(err, &findings) {
			for _, finding := range findings.Findings {
				assert.Assert(t, finding.Line >= 1 && finding.Line <= strings.Count(text, "\n")+1 && finding.Column >= 1)
			}
			return
		}
		formatted := parser.Format(rules)
		again, err := parser.Parse("r", formatted)
		assert.NilError(t, err)
		assert.Equal(t, parser.Format(again), formatted)
		rules.Text, again.Text = "", ""
		assert.DeepEqual(t, again, rules)
	})
}

// BenchmarkParse measures a file of the size expected in two years.
func BenchmarkParse(b *testing.B) {
	text := largeFile(5_700)
	for b.Loop() {
		if _, err := parser.Parse("r", text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCapOf measures the cost for each admission with the number of members expected in two years.
func BenchmarkCapOf(b *testing.B) {
	rules, err := parser.Parse("r", largeFile(5_700))
	assert.NilError(b, err)
	for b.Loop() {
		if _, ok := rules.CapOf("team-02850"); !ok {
			b.Fatal("member not found")
		}
	}
}

func largeFile(members int) string {
	var b strings.Builder
	b.WriteString("fleet tokens=40_000_000 # a\n")
	for i := range members {
		fmt.Fprintf(&b, "share team-%05d percent=0.0%d # a\n", i, 1+i%9)
	}
	return b.String()
}
