package collector

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"unicode/utf8"
)

// MaxFindings bounds the findings kept per file. Without it, the report on a 1 MiB file of invalid lines would be many times the size
// of the file.
const MaxFindings = 1000

// Collector gathers the findings of one file. It is not safe for concurrent use.
type Collector struct {
	name string
	data []byte
	// lineStarts holds the offset of the first byte of each line.
	lineStarts []int
	findings   []Finding
	omitted    int
}

// New returns a Collector for a file with the given name and content. Only findings use the name; it may be empty.
func New(name string, data []byte) *Collector {
	lineStarts := make([]int, 1, 1+bytes.Count(data, []byte("\n")))
	for i, c := range data {
		if c == '\n' {
			lineStarts = append(lineStarts, i+1)
		}
	}
	return &Collector{name: name, data: data, lineStarts: lineStarts}
}

// Position returns the line and column of a byte offset, both counted from 1; columns count characters. An offset outside the file is
// limited to its start or end.
func (c *Collector) Position(offset int) (line, column int) {
	offset = min(max(offset, 0), len(c.data))
	line, found := slices.BinarySearch(c.lineStarts, offset)
	if !found {
		line--
	}
	return line + 1, 1 + utf8.RuneCount(c.data[c.lineStarts[line]:offset])
}

// Add records a finding at a byte offset. Findings over MaxFindings are only counted.
func (c *Collector) Add(offset int, field, format string, args ...any) {
	if len(c.findings) >= MaxFindings {
		c.omitted++
		return
	}
	line, column := c.Position(offset)
	c.findings = append(c.findings, Finding{
		File: c.name, Line: line, Column: column, Field: field, Reason: fmt.Sprintf(format, args...),
	})
}

// Err returns a FindingsError with the findings sorted by position, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.findings) == 0 {
		return nil
	}
	sorted := slices.Clone(c.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return FindingsError{Findings: sorted, Omitted: c.omitted}
}
