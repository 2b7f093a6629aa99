// Package differ compares rule sets line by line. Lines are matched by their identity, the subject of the rule.
package differ

import (
	"cmp"
	"slices"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

// Change is a rule that differs between two rule sets. A line with empty Text means that the rule is absent.
type Change struct {
	Identity string
	Before   parser.Line
	After    parser.Line
}

// String returns the change as lines that start with "- " and "+ ".
func (c Change) String() string {
	switch {
	case c.Before.Text == "":
		return "+ " + c.After.String()
	case c.After.Text == "":
		return "- " + c.Before.String()
	default:
		return "- " + c.Before.String() + "\n+ " + c.After.String()
	}
}

// Diff returns the rules that differ between a and b, sorted by identity. It ignores comments and the order of lines.
func Diff(a, b modeler.Rules) []Change {
	before, after := byIdentity(a), byIdentity(b)
	var changes []Change
	for identity, line := range before {
		if after[identity].Text != line.Text {
			changes = append(changes, Change{Identity: identity, Before: line, After: after[identity]})
		}
	}
	for identity, line := range after {
		if _, ok := before[identity]; !ok {
			changes = append(changes, Change{Identity: identity, After: line})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Identity, y.Identity) })
	return changes
}

// Conflict is a rule that two drafts change in different ways. A line with empty Text means that the rule is absent.
type Conflict struct {
	Identity string
	Base     parser.Line
	Ours     parser.Line
	Theirs   parser.Line
}

// Conflicts returns the rules that ours and theirs, two drafts made from base, change in different ways, sorted by identity.
func Conflicts(base, ours, theirs modeler.Rules) []Conflict {
	theirChanges := map[string]Change{}
	for _, c := range Diff(base, theirs) {
		theirChanges[c.Identity] = c
	}
	var conflicts []Conflict
	for _, ourChange := range Diff(base, ours) {
		theirChange, ok := theirChanges[ourChange.Identity]
		if ok && theirChange.After.Text != ourChange.After.Text {
			conflicts = append(conflicts, Conflict{Identity: ourChange.Identity, Base: ourChange.Before, Ours: ourChange.After, Theirs: theirChange.After})
		}
	}
	return conflicts
}

func byIdentity(rules modeler.Rules) map[string]parser.Line {
	lines := map[string]parser.Line{}
	for _, l := range parser.Lines(rules) {
		lines[l.Identity] = l
	}
	return lines
}
