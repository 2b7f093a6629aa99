// Package parser parses log lines: key=value pairs that begin with the time. Text before the time, such as the node name that a log
// collector adds, is not part of a pair.
package parser

import (
	"strconv"
	"strings"
	"time"
)

// Line is one parsed log line. It must not be modified.
type Line struct {
	// Text is the whole line.
	Text string
	// Source is the text before the time.
	Source string
	At     time.Time
	// Message names the event.
	Message string
	fields  map[string]string
}

// Get returns the value of a field without quotes, or an empty string if the line lacks the field.
func (l Line) Get(key string) string { return l.fields[key] }

// Number returns the value of a numeric field, or 0 if it is missing or not a number.
func (l Line) Number(key string) float64 {
	value, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return value
}

// Parse splits a line into its fields, up to the first malformed one. It returns false for a line without a valid time.
func Parse(text string) (Line, bool) {
	source, rest, ok := strings.Cut(text, "time=")
	if !ok {
		return Line{}, false
	}
	l := Line{Text: text, Source: strings.TrimSpace(source), fields: map[string]string{}}
	for rest = "time=" + rest; rest != ""; {
		var key, value string
		if key, value, rest, ok = cutPair(rest); !ok {
			break
		}
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case "message":
			l.Message = value
		default:
			l.fields[key] = value
		}
	}
	return l, true
}

// cutPair splits off the next key and value. A quoted value may contain spaces.
func cutPair(text string) (key, value, rest string, ok bool) {
	text = strings.TrimLeft(text, " ")
	key, text, ok = strings.Cut(text, "=")
	if !ok {
		return "", "", "", false
	}
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if value, err = strconv.Unquote(quoted); err != nil {
			return "", "", "", false
		}
		return key, value, text[len(quoted):], true
	}
	value, rest, _ = strings.Cut(text, " ")
	return key, value, rest, true
}
