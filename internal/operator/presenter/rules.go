package presenter

import (
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/rules/differ"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

// Rules is the response to GET /rules: the rule file in effect on the node. Version zero means that there is none.
type Rules struct {
	Version int64
	Text    string
}

// RulesOf returns the version and text of the rule file that r was parsed from.
func RulesOf(r modeler.Rules) Rules { return Rules{Version: int64(r.Version), Text: r.Text} }

// Draft is the body of POST /rules. The author is the operator that the credential belongs to.
type Draft struct {
	PublishID string
	Base      int64
	Text      string
}

// Publication is the response to POST /rules.
type Publication struct {
	// Outcome is "Accepted", "Conflict", "Unknown" or "Refused".
	Outcome string
	// Version is the version of an accepted draft or, on a conflict, the version in effect. Author is the operator who published it.
	Version int64
	Author  string
	// Reason explains an unknown outcome or a refusal.
	Reason string
	// Findings are the errors in a refused file; Omitted counts those that are not listed.
	Findings []Finding
	Omitted  int
	// Changes are the rules that changed since the base of a conflicting draft; Conflicts are those that the draft changes too.
	Changes   []Change
	Conflicts []Conflict
}

// OutcomeRefused is the outcome of a draft that was not appended because of its content.
const OutcomeRefused = "Refused"

// Finding is one error in a rule file. Line and Column count from 1.
type Finding struct {
	Line   int
	Column int
	Field  string
	Reason string
}

// Change is the text of a rule before and after a change. It is empty where the rule does not exist.
type Change struct {
	Identity string
	Before   string
	After    string
}

// Conflict is a rule that two drafts change in different ways. Its text is empty where the rule does not exist.
type Conflict struct {
	Identity string
	Base     string
	Ours     string
	Theirs   string
}

// PublicationOf returns the response body for the result of a publication.
func PublicationOf(r publisher.Result) Publication {
	p := Publication{
		Outcome: r.Outcome.String(), Version: int64(r.Version), Author: r.Author,
		Changes: convertAll(r.Changes, func(c differ.Change) Change { return Change{c.Identity, c.Before.Text, c.After.Text} }),
		Conflicts: convertAll(r.Conflicts, func(c differ.Conflict) Conflict {
			return Conflict{c.Identity, c.Base.Text, c.Ours.Text, c.Theirs.Text}
		}),
	}
	if r.Outcome == publisher.Unknown {
		p.Reason = "repeat with the same publish id"
		if r.Cause != nil {
			p.Reason += ": " + r.Cause.Error()
		}
	}
	return p
}

// RefusalOf returns the response body for a draft with findings.
func RefusalOf(e collector.FindingsError) Publication {
	return Publication{
		Outcome: OutcomeRefused, Reason: "the rule file has findings", Omitted: e.Omitted,
		Findings: convertAll(e.Findings, func(f collector.Finding) Finding { return Finding{f.Line, f.Column, f.Field, f.Reason} }),
	}
}

// FindingsError returns the error that RefusalOf was made from, with name as the file.
func (p Publication) FindingsError(name string) collector.FindingsError {
	return collector.FindingsError{Omitted: p.Omitted, Findings: convertAll(p.Findings, func(f Finding) collector.Finding {
		return collector.Finding{File: name, Line: f.Line, Column: f.Column, Field: f.Field, Reason: f.Reason}
	})}
}
