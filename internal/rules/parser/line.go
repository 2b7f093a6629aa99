package parser

import (
	"fmt"
	"strconv"
	"strings"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
)

// Line is one rule in canonical form.
type Line struct {
	// Number is the line in the file, or zero if it is not known.
	Number int
	// Identity is the subject of the rule. A rule file has at most one rule for each identity.
	Identity string
	// Text is the rule in canonical form, without its comment.
	Text string
	// AskedBy is the comment, or empty if it is not known.
	AskedBy string
}

// String returns the line with its comment.
func (l Line) String() string {
	if l.AskedBy == "" {
		return l.Text + " # not recorded"
	}
	return l.Text + " # " + l.AskedBy
}

// Lines returns the rules in canonical order. Their numbers and comments come from rules.Text if it contains the same rule.
func Lines(rules modeler.Rules) []Line {
	lines := canonicalLines(rules)
	recorded := readLines(collector.New("", nil), rules.Text).seen
	for i, l := range lines {
		if r := recorded[l.Identity]; r.Text == l.Text {
			lines[i] = r
		}
	}
	return lines
}

// Format writes rules in canonical form: one rule per line in a fixed order, with its comment. Parsing the result gives
// the same rules. Lines that contain only a comment are dropped.
func Format(rules modeler.Rules) string {
	var b strings.Builder
	for _, l := range Lines(rules) {
		b.WriteString(l.String() + "\n")
	}
	return b.String()
}

func canonicalLines(r modeler.Rules) []Line {
	lines := make([]Line, 0, 1+len(r.Shares)+len(r.Methods)+len(r.OutDataCentres)+len(r.OutEndpoints)+len(r.DeadNodes)+len(r.Lenders))
	if r.Fleet > 0 {
		lines = append(lines, fleetLine(r.Fleet))
	}
	lines = appendLines(lines, r.Shares, shareLine)
	lines = appendLines(lines, r.Methods, methodLine)
	lines = appendLines(lines, r.OutDataCentres, dataCentreLine)
	lines = appendLines(lines, r.OutEndpoints, endpointLine)
	lines = appendLines(lines, r.DeadNodes, nodeLine)
	return appendLines(lines, r.Lenders, lendLine)
}

func appendLines[T any](lines []Line, rules []T, line func(T) Line) []Line {
	for _, r := range rules {
		lines = append(lines, line(r))
	}
	return lines
}

func fleetLine(tokens modeler.Tokens) Line {
	return Line{Identity: "fleet", Text: fmt.Sprintf("fleet tokens=%d", tokens)}
}

func shareLine(r modeler.ShareRule) Line {
	identity := "share " + string(r.Member)
	return Line{Identity: identity, Text: identity + " percent=" + strconv.FormatFloat(r.Percent, 'f', -1, 64)}
}

func methodLine(r modeler.MethodRule) Line {
	call := r.Service + " " + r.Method + " " + r.PathPrefix
	text := "non-idempotent " + call
	if r.Idempotent {
		text = "idempotent " + call
	}
	return Line{Identity: "method " + call, Text: text}
}

func dataCentreLine(name modeler.DataCentreID) Line {
	return identityLine("datacentre " + string(name) + " out")
}
func endpointLine(name modeler.EndpointID) Line {
	return identityLine("endpoint " + string(name) + " out")
}
func nodeLine(name string) Line             { return identityLine("node " + name + " dead") }
func lendLine(member modeler.MemberID) Line { return identityLine("lend " + string(member)) }

// identityLine returns the line of a rule whose identity is its whole text.
func identityLine(text string) Line { return Line{Identity: text, Text: text} }
