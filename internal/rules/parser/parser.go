// Package parser reads the rule file of operators and writes it in canonical form. docs/operators/rules.md documents the
// grammar.
package parser

import (
	"cmp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
)

// MaxBytes bounds a rule file. A file is sent as a whole, in one log record and between nodes.
const MaxBytes = 1 << 20

// Parse reads a rule file. The result has no Version. If any line is invalid, Parse fails with a collector.FindingsError that
// uses name as the name of the file.
func Parse(name, text string) (modeler.Rules, error) {
	findings := collector.New(name, []byte(text))
	if len(text) > MaxBytes {
		findings.Add(0, "", "the file has %d bytes; at most %d are allowed", len(text), MaxBytes)
		return modeler.Rules{}, findings.Err()
	}
	b := readLines(findings, text)
	b.checkAcrossLines()
	if err := findings.Err(); err != nil {
		return modeler.Rules{}, err
	}
	return b.sorted(), nil
}

// readLines reads all lines, without the checks that need the whole file.
func readLines(findings *collector.Collector, text string) *builder {
	b := &builder{findings: findings, rules: modeler.Rules{Text: text}, seen: map[string]Line{}}
	number, offset := 0, 0
	for line := range strings.Lines(text) {
		number++
		b.addLine(number, offset, strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"))
		offset += len(line)
	}
	return b
}

// builder collects the rules of a file.
type builder struct {
	findings *collector.Collector
	rules    modeler.Rules
	// seen maps the identity of each rule to its line.
	seen map[string]Line
	// shares and lenders hold the member and offset of each share and lend rule, for checkAcrossLines.
	shares  []memberOffset
	lenders []memberOffset
}

// memberOffset is a member and the offset of a rule about it.
type memberOffset struct {
	member modeler.MemberID
	offset int
}

// word is a part of a line between spaces or tabs.
type word struct {
	text   string
	offset int
}

func (b *builder) addLine(number, offset int, line string) {
	if at := badCharacter(line); at >= 0 {
		b.findings.Add(offset+at, "", "holds an invisible character or invalid UTF-8")
		return
	}
	rule, comment, hasComment := strings.Cut(line, "#")
	words := splitWords(rule, offset)
	if len(words) == 0 {
		return
	}
	d, ok := directiveOf(words[0].text)
	if !ok {
		b.findings.Add(words[0].offset, "", "unknown directive %q; known are %s", words[0].text, directiveNames())
		return
	}
	askedBy := strings.Trim(comment, " \t")
	switch {
	case !hasComment:
		b.findings.Add(offset+len(line), d.name, "needs a comment that says who asked: # NAME")
	case strings.IndexFunc(askedBy, func(r rune) bool { return unicode.IsLetter(r) || unicode.IsDigit(r) }) < 0:
		b.findings.Add(offset+len(rule), d.name, "the comment does not say who asked")
	}
	if len(words) != len(strings.Fields(d.usage)) {
		b.findings.Add(words[0].offset, d.name, "must be written as: %s # who asked", d.usage)
		return
	}
	parsed, ok := d.parse(b, words)
	if !ok {
		return
	}
	parsed.Number, parsed.AskedBy = number, askedBy
	b.register(words[0].offset, d.name, parsed)
}

// register records a rule under its identity, or adds a finding if the identity already has a rule.
func (b *builder) register(offset int, field string, line Line) {
	first, ok := b.seen[line.Identity]
	switch {
	case !ok:
		b.seen[line.Identity] = line
	case first.Text == line.Text:
		b.findings.Add(offset, field, "repeats line %d", first.Number)
	default:
		b.findings.Add(offset, field, "conflicts with line %d: %s", first.Number, first.Text)
	}
}

// checkAcrossLines checks conditions that involve more than one line.
func (b *builder) checkAcrossLines() {
	sortedRules := b.sorted()
	for _, s := range b.shares {
		if b.rules.Fleet == 0 {
			b.findings.Add(s.offset, "share", "needs a valid line: fleet tokens=N")
			break
		}
		if limit, _ := sortedRules.CapOf(s.member); limit < 1 {
			b.findings.Add(s.offset, "share", "is less than one token of the fleet")
		}
	}
	for _, l := range b.lenders {
		if _, ok := b.seen["share "+string(l.member)]; !ok {
			b.findings.Add(l.offset, "lend", "needs a share line for %s", l.member)
		}
	}
}

// sorted returns the rules in the order that modeler.Rules requires.
func (b *builder) sorted() modeler.Rules {
	r := b.rules
	r.Shares = slices.SortedFunc(slices.Values(r.Shares), func(x, y modeler.ShareRule) int { return cmp.Compare(x.Member, y.Member) })
	r.Methods = slices.SortedFunc(slices.Values(r.Methods), func(x, y modeler.MethodRule) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Method, y.Method), cmp.Compare(x.PathPrefix, y.PathPrefix))
	})
	r.OutDataCentres = slices.Sorted(slices.Values(r.OutDataCentres))
	r.OutEndpoints = slices.Sorted(slices.Values(r.OutEndpoints))
	r.DeadNodes = slices.Sorted(slices.Values(r.DeadNodes))
	r.Lenders = slices.Sorted(slices.Values(r.Lenders))
	return r
}

// badCharacter returns the offset of the first character that could make a line look different from its content, or -1. These are
// control characters, direction marks, other invisible characters and invalid UTF-8.
func badCharacter(line string) int {
	for i, r := range line {
		if r >= ' ' && r <= '~' {
			continue
		}
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				return i
			}
		}
		if r != '\t' && (unicode.IsControl(r) || unicode.In(r, unicode.Cf, unicode.Zl, unicode.Zp)) {
			return i
		}
	}
	return -1
}

// splitWords splits a line into words at spaces and tabs.
func splitWords(line string, offset int) []word {
	var words []word
	start := -1
	for i := 0; i <= len(line); i++ {
		blank := i == len(line) || line[i] == ' ' || line[i] == '\t'
		switch {
		case !blank && start < 0:
			start = i
		case blank && start >= 0:
			words = append(words, word{text: line[start:i], offset: offset + start})
			start = -1
		}
	}
	return words
}
