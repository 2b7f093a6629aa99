// Package publisher decides which rule file is in effect and publishes new ones through the log. The decision is a pure
// function of the records in log order, so that all nodes agree; only Service uses the log.
package publisher

import (
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

// State is the result of a prefix of the rules stream. It is immutable. The zero State is that of an empty stream.
type State struct {
	// Version is the version in effect; zero means that no rule file was published.
	Version modeler.Version
	Text    string
	Author  string
	// TextKnown is false while the record of Version has not been read. It is always false for version zero.
	TextKnown bool
	// At is the offset of the last record that was processed.
	At int64
}

// StateAt returns the state immediately after the record of rules, which came from another node. It can be continued with the
// records after rules.Version, independently of how far the other node had read.
func StateAt(rules modeler.Rules) State {
	return State{Version: rules.Version, Text: rules.Text, TextKnown: rules.Version > 0, At: int64(rules.Version)}
}

// Effect describes how a record changed the state.
type Effect uint8

// Effects.
const (
	// Ignored records change nothing: their base was not in effect at their offset, or they contain no rule file.
	Ignored Effect = iota
	// Repeated records had already been processed.
	Repeated
	// Applied records put their file into effect. Their offset becomes its version.
	Applied
	// Renewed records repeat the file in effect, so that it remains available beyond the retention of the log. The version does not
	// change.
	Renewed
)

// With returns the state after one more record and the effect of the record. The first record whose Base is the version in effect
// takes effect. Its offset exceeds its base, so versions only increase and no record takes effect twice.
func (s State) With(record modeler.Record) (State, Effect) {
	published, ok := record.Value.(modeler.RulesPublished)
	if record.Offset <= s.At {
		if ok && record.Offset == int64(s.Version) {
			s = s.withFile(published)
		}
		return s, Repeated
	}
	s.At = record.Offset
	switch {
	case !ok || published.Base != s.Version:
		return s, Ignored
	case published.Renews == 0:
		s.Version = modeler.Version(record.Offset)
		return s.withFile(published), Applied
	case published.Renews == s.Version:
		if !s.TextKnown {
			s = s.withFile(published)
		}
		return s, Renewed
	default:
		return s, Ignored
	}
}

func (s State) withFile(published modeler.RulesPublished) State {
	s.Text, s.Author, s.TextKnown = published.Text, published.Author, true
	return s
}

// Rules returns the rules in effect. An error means that a newer program published a file that this one cannot read.
func (s State) Rules() (modeler.Rules, error) {
	rules, err := parser.Parse(string(modeler.StreamRules), s.Text)
	if err != nil {
		return modeler.Rules{}, err
	}
	return rules.WithVersion(s.Version), nil
}

// Renewal returns the record that renews the file in effect under a new publish ID. It contains the author, because the log may
// keep it for longer than the record that it renews. The state must have a version and its text.
func (s State) Renewal(publishID string) modeler.RulesPublished {
	return modeler.RulesPublished{PublishID: publishID, Base: s.Version, Renews: s.Version, Author: s.Author, Text: s.Text}
}
