package publisher

import (
	"fmt"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/rules/differ"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

// Draft is a rule file that an operator wants to put into effect.
type Draft struct {
	// PublishID identifies the draft. Publishing again with the same ID does not make the draft take effect a second time.
	PublishID string
	// Base is the version that the draft was made from; zero when no rule file is in effect.
	Base   modeler.Version
	Author string
	Text   string
}

func (d Draft) record() modeler.RulesPublished {
	return modeler.RulesPublished{PublishID: d.PublishID, Base: d.Base, Author: d.Author, Text: d.Text}
}

// DraftError reports a draft whose publish ID, author or base cannot be used.
type DraftError struct{ Reason string }

// Error implements error.
func (e DraftError) Error() string { return "the draft cannot be published: " + e.Reason }

func (d Draft) check() (modeler.Rules, error) {
	if reason := collector.CheckName(d.PublishID); reason != "" {
		return modeler.Rules{}, DraftError{"the publish id " + reason}
	}
	if reason := collector.CheckName(d.Author); reason != "" {
		return modeler.Rules{}, DraftError{"the author " + reason}
	}
	if d.Base < 0 {
		return modeler.Rules{}, DraftError{fmt.Sprintf("the base %d is negative", d.Base)}
	}
	return parser.Parse("", d.Text)
}

// Outcome is how a publication ended, as far as it is known.
type Outcome uint8

// Outcomes.
const (
	// Unknown means that the record may be in the log or may still be appended. Publishing again with the same publish ID is safe.
	Unknown Outcome = iota
	// Accepted means that the record was read back and had taken effect. A later publication may have replaced it since.
	Accepted
	// Conflicting means that the draft will never take effect: another one with the same base came first.
	Conflicting
)

// String returns the value used in responses to operators.
func (o Outcome) String() string { return [...]string{"Unknown", "Accepted", "Conflict"}[o] }

// Result is the result of a publication.
type Result struct {
	Outcome Outcome
	// Version is the version of the draft if it was accepted, and the version in effect on conflict.
	Version modeler.Version
	// Author is the author of Version.
	Author string
	// Changes are the rules that differ between the draft's base and the version in effect, on conflict.
	Changes []differ.Change
	// Conflicts are the rules that the draft and the version in effect change in different ways. It may be empty on conflict.
	Conflicts []differ.Conflict
	// Cause is set when the outcome is unknown.
	Cause error
}
