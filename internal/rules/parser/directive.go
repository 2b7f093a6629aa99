package parser

import (
	"path"
	"regexp"
	"strconv"
	"strings"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
)

// MaxFleet is the largest fleet in tokens. It is below 2^53, so that percentages of it are exact enough in floating point.
const MaxFleet modeler.Tokens = 1_000_000_000_000_000

// directive is one type of line.
type directive struct {
	name string
	// usage is the syntax of the line. It has as many words as the line.
	usage string
	// parse adds the rule to the builder and returns its identity and canonical text, or adds findings and returns false.
	parse func(b *builder, words []word) (Line, bool)
}

// directives holds all types of lines. It must not be modified.
var directives = []directive{
	{"fleet", "fleet tokens=N", parseFleet},
	{"share", "share MEMBER percent=P", parseShare},
	{"non-idempotent", "non-idempotent SERVICE METHOD PATH", parseMethod},
	{"idempotent", "idempotent SERVICE METHOD PATH", parseMethod},
	{"datacentre", "datacentre NAME out", parseDataCentre},
	{"endpoint", "endpoint NAME out", parseEndpoint},
	{"node", "node NAME dead", parseNode},
	{"lend", "lend MEMBER", parseLend},
}

func directiveOf(name string) (directive, bool) {
	for _, d := range directives {
		if d.name == name {
			return d, true
		}
	}
	return directive{}, false
}

func directiveNames() string {
	names := make([]string, 0, len(directives))
	for _, d := range directives {
		names = append(names, d.name)
	}
	return strings.Join(names, ", ")
}

var (
	wholeNumber   = regexp.MustCompile(`^[0-9]+(_[0-9]+)*$`)
	decimalNumber = regexp.MustCompile(`^[0-9]{1,3}(\.[0-9]{1,6})?$`)
)

func parseFleet(b *builder, words []word) (Line, bool) {
	value, ok := b.parseValue(words[1], "fleet", "tokens")
	if !ok {
		return Line{}, false
	}
	tokens, err := strconv.ParseInt(strings.ReplaceAll(value.text, "_", ""), 10, 64)
	if !wholeNumber.MatchString(value.text) || err != nil || tokens < 1 || modeler.Tokens(tokens) > MaxFleet {
		b.findings.Add(value.offset, "fleet", "must be a whole number from 1 to %d, such as 40_000_000", MaxFleet)
		return Line{}, false
	}
	if b.rules.Fleet == 0 {
		b.rules.Fleet = modeler.Tokens(tokens)
	}
	return fleetLine(modeler.Tokens(tokens)), true
}

func parseShare(b *builder, words []word) (Line, bool) {
	validName := b.checkName(words[1], "share")
	value, ok := b.parseValue(words[2], "share", "percent")
	if !ok {
		return Line{}, false
	}
	percent, err := strconv.ParseFloat(value.text, 64)
	if !decimalNumber.MatchString(value.text) || err != nil || percent <= 0 || percent > 100 {
		b.findings.Add(value.offset, "share", "must be a decimal number above 0 and at most 100 with up to 6 decimals, such as 12.5")
		return Line{}, false
	}
	if !validName {
		return Line{}, false
	}
	rule := modeler.ShareRule{Member: modeler.MemberID(words[1].text), Percent: percent}
	b.rules.Shares = append(b.rules.Shares, rule)
	b.shares = append(b.shares, memberOffset{rule.Member, words[0].offset})
	return shareLine(rule), true
}

func parseMethod(b *builder, words []word) (Line, bool) {
	validName := b.checkName(words[1], words[0].text)
	validMethod := isMethod(words[2].text)
	if !validMethod {
		b.findings.Add(words[2].offset, words[0].text, "%q is not one of %s", words[2].text, strings.Join(methods(), ", "))
	}
	reason := checkPath(words[3].text)
	if reason != "" {
		b.findings.Add(words[3].offset, words[0].text, "the path %s", reason)
	}
	if !validName || !validMethod || reason != "" {
		return Line{}, false
	}
	rule := modeler.MethodRule{
		Service: words[1].text, Method: words[2].text, PathPrefix: words[3].text, Idempotent: words[0].text == "idempotent",
	}
	b.rules.Methods = append(b.rules.Methods, rule)
	return methodLine(rule), true
}

func parseDataCentre(b *builder, words []word) (Line, bool) {
	if !b.checkName(words[1], "datacentre") || !b.checkKeyword(words[2], "datacentre", "out") {
		return Line{}, false
	}
	b.rules.OutDataCentres = append(b.rules.OutDataCentres, modeler.DataCentreID(words[1].text))
	return dataCentreLine(modeler.DataCentreID(words[1].text)), true
}

func parseEndpoint(b *builder, words []word) (Line, bool) {
	if !b.checkName(words[1], "endpoint") || !b.checkKeyword(words[2], "endpoint", "out") {
		return Line{}, false
	}
	b.rules.OutEndpoints = append(b.rules.OutEndpoints, modeler.EndpointID(words[1].text))
	return endpointLine(modeler.EndpointID(words[1].text)), true
}

func parseNode(b *builder, words []word) (Line, bool) {
	if !b.checkName(words[1], "node") || !b.checkKeyword(words[2], "node", "dead") {
		return Line{}, false
	}
	b.rules.DeadNodes = append(b.rules.DeadNodes, words[1].text)
	return nodeLine(words[1].text), true
}

func parseLend(b *builder, words []word) (Line, bool) {
	if !b.checkName(words[1], "lend") {
		return Line{}, false
	}
	member := modeler.MemberID(words[1].text)
	b.rules.Lenders = append(b.rules.Lenders, member)
	b.lenders = append(b.lenders, memberOffset{member, words[0].offset})
	return lendLine(member), true
}

func (b *builder) checkName(w word, field string) bool {
	reason := collector.CheckName(w.text)
	if reason != "" {
		b.findings.Add(w.offset, field, "the name %s", reason)
	}
	return reason == ""
}

func (b *builder) checkKeyword(w word, field, want string) bool {
	if w.text != want {
		b.findings.Add(w.offset, field, "%q must be %q", w.text, want)
	}
	return w.text == want
}

// parseValue returns the value of a word of the form key=value.
func (b *builder) parseValue(w word, field, key string) (word, bool) {
	value, ok := strings.CutPrefix(w.text, key+"=")
	if !ok {
		b.findings.Add(w.offset, field, "%q must be %s=NUMBER", w.text, key)
	}
	return word{text: value, offset: w.offset + len(key) + 1}, ok
}

func methods() []string { return []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} }

func isMethod(text string) bool {
	for _, m := range methods() {
		if m == text {
			return true
		}
	}
	return false
}

// checkPath returns the reason why text is not a valid path prefix, or an empty string. Paths are compared after decoding, so an
// encoded or unclean prefix would never match.
func checkPath(text string) string {
	switch {
	case !strings.HasPrefix(text, "/"):
		return "must start with a slash"
	case strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune("?%\\", r) }) >= 0:
		return "may only hold visible ASCII characters, without ?, % and \\"
	case text != "/" && path.Clean(text) != strings.TrimSuffix(text, "/"):
		return "must not hold empty, . or .. parts"
	default:
		return ""
	}
}
