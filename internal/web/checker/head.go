// Package checker checks the heads of HTTP/1.x responses against RFC 9110 and RFC 9112 while they are read. Package net/http also reads heads that others
// read differently, such as one with a status of 000. A node must not forward these: its caller could take another part of the bytes for the answer.
package checker

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Fault is the part of a head that is invalid.
type Fault uint8

// Faults.
const (
	// StatusLine means that the first line is not a status line, or that its version, status or reason is invalid.
	StatusLine Fault = iota + 1
	// FieldName means that a line has no colon, or that the name before it is empty or has a byte that names must not have, such as a space.
	FieldName
	// FieldValue means that a value has a control byte.
	FieldValue
	// FoldedLine means that a line begins with white space. Some readers append it to the value of the line before, others ignore it or take it for a field.
	FoldedLine
	// Framing means that the head does not say clearly where the body ends.
	Framing
)

// String returns the name used in logs and metrics.
func (f Fault) String() string {
	names := [...]string{"None", "StatusLine", "FieldName", "FieldValue", "FoldedLine", "Framing"}
	if int(f) >= len(names) {
		return "Unknown"
	}
	return names[f]
}

// HeadError is returned for an invalid head.
type HeadError struct {
	Fault Fault
	// Quoted is the beginning of the invalid part. It is empty if the part may hold a secret, as values may.
	Quoted string
}

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 80

func newHeadError(fault Fault, quoted []byte) error {
	return HeadError{Fault: fault, Quoted: string(quoted[:min(len(quoted), maxQuotedBytes)])}
}

// Error implements error.
func (e HeadError) Error() string {
	return fmt.Sprintf("invalid head of a response: %s: %q", e.Fault, e.Quoted)
}

// Head is what the lines of a head that were read so far say. The zero value is a head of which none was read.
type Head struct {
	// status is zero before the status line, and from 100 to 599 after it.
	status int
	// oldVersion is set for HTTP/1.0, which has no chunks.
	oldVersion bool
	// length is the value of Content-Length, and empty if there was none.
	length string
	// chunked is set after a Transfer-Encoding. There is no length then.
	chunked bool
	// ended is set after the empty line that ends the head of a final response.
	ended bool
}

// WithLine returns the head after one more line, which has no line end. The empty line after an interim response returns the zero value, because another
// head follows.
func (h Head) WithLine(line []byte) (Head, error) {
	switch {
	case h.status == 0:
		return h.withStatusLine(line)
	case len(line) > 0:
		return h.withField(line)
	case h.status < http.StatusOK:
		return Head{}, nil
	default:
		h.ended = true
		return h, nil
	}
}

// statusSize is the number of digits of a status.
const statusSize = 3

// withStatusLine parses "HTTP/1.x", a space, the status and, optionally, a space and a reason (RFC 9112, section 4). A status from 100 to 599 is valid (RFC
// 9110, section 15). Status 101 is not: another protocol would follow, and nodes speak no other.
func (h Head) withStatusLine(line []byte) (Head, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, isVersion1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !isVersion1 || len(minor) != 1 || !isDigit(minor[0]) || len(rest) < statusSize {
		return h, newHeadError(StatusLine, line)
	}
	h.oldVersion = minor[0] == '0'
	for _, c := range rest[:statusSize] {
		if !isDigit(c) {
			return h, newHeadError(StatusLine, line)
		}
		h.status = 10*h.status + int(c-'0')
	}
	const lowest, highest = 100, 599
	if h.status < lowest || h.status > highest || h.status == http.StatusSwitchingProtocols {
		return h, newHeadError(StatusLine, line)
	}
	if reason := rest[statusSize:]; len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return h, newHeadError(StatusLine, line)
	}
	return h, nil
}

// withField parses a name, a colon and a value (RFC 9112, section 5). Spaces before the colon are rejected and not removed, because readers that ignore the
// line would find another end of the body.
func (h Head) withField(line []byte) (Head, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return h, newHeadError(FoldedLine, nil)
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return h, newHeadError(FieldName, nil)
	}
	if !isToken(name) {
		return h, newHeadError(FieldName, name)
	}
	if value = bytes.Trim(value, " \t"); !isText(value) {
		return h, newHeadError(FieldValue, name)
	}
	valid := true
	switch {
	case isName(name, "Content-Length"):
		h, valid = h.withLength(string(value))
	case isName(name, "Transfer-Encoding"):
		h, valid = h.withEncoding(string(value))
	case isName(name, "Trailer"):
		valid = !namesFraming(string(value))
	}
	if !valid {
		return h, newHeadError(Framing, line)
	}
	return h, nil
}

// isName reports whether a field has a name, in letters of any case.
func isName(field []byte, name string) bool {
	return len(field) == len(name) && strings.EqualFold(string(field), name)
}

// withLength returns the head with a Content-Length, and whether it is valid: it has only digits, no other length and no chunks are stated (RFC 9112, section
// 6.3), and it is zero in responses without a body (RFC 9110, section 8.6).
func (h Head) withLength(value string) (Head, bool) {
	const sizeBits = 63
	length, err := strconv.ParseUint(value, 10, sizeBits)
	valid := err == nil && !h.chunked && (h.length == "" || h.length == value) && (length == 0 || !h.withoutBody())
	h.length = value
	return h, valid
}

// withEncoding returns the head with a Transfer-Encoding, and whether it is valid: it is that of chunks and the only one, in a response of HTTP/1.1 that may
// have a body, without a length (RFC 9112, sections 6.1 and 6.3).
func (h Head) withEncoding(value string) (Head, bool) {
	valid := strings.EqualFold(value, "chunked") && !h.chunked && h.length == "" && !h.oldVersion && !h.withoutBody()
	h.chunked = true
	return h, valid
}

// withoutBody reports whether the status is that of responses which never have a body.
func (h Head) withoutBody() bool { return h.status < http.StatusOK || h.status == http.StatusNoContent }

// namesFraming reports whether a list of trailers names a field that says where the body ends, which must not come after the body.
func namesFraming(trailers string) bool {
	for name := range strings.SplitSeq(trailers, ",") {
		switch http.CanonicalHeaderKey(strings.Trim(name, " \t")) {
		case "Content-Length", "Transfer-Encoding", "Trailer":
			return true
		}
	}
	return false
}

// isToken reports whether a name has at least one byte and only those that names may have (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isLetter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether text has no control byte except tabs.
func isText(text []byte) bool {
	const deleteByte = 0x7f
	for _, c := range text {
		if c < ' ' && c != '\t' || c == deleteByte {
			return false
		}
	}
	return true
}
