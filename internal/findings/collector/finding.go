// Package collector collects the errors found in a text file, so that all of them are reported at once with their positions.
package collector

import (
	"fmt"
	"strings"
)

// Finding is one error in a text file.
type Finding struct {
	// File is the name of the file as passed to New; it may be empty.
	File string
	// Line and Column count from 1; columns count characters.
	Line   int
	Column int
	// Field is the path of a settings field, such as "Endpoints[2].Address", or the directive of a rule. It may be empty.
	Field  string
	Reason string
}

// String returns the finding as "file:line:column: field: reason".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}

// FindingsError contains the findings of one file, at least one.
type FindingsError struct {
	// Findings are sorted by line and column.
	Findings []Finding
	// Omitted is the number of findings over MaxFindings, which are not in Findings.
	Omitted int
}

// Error returns one line per finding.
func (e FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more findings", e.Omitted))
	}
	return strings.Join(lines, "\n")
}
