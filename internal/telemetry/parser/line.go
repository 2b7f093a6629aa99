// Package parser reads lines of the log: key=value pairs that begin with the time. What stands before the time, such as the name of a node
// that a collector of logs adds, belongs to no pair.
package parser

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of the log. It must not be changed.
type Line struct {
	// Text is the whole line.
	Text string
	// Source is what stands before the time.
	Source string
	At     time.Time
	// Message names the event.
	Message string
	fields  map[string]string
}

// Get returns the value of a field without quotes, or an empty text.
func (l Line) Get(key string) string { return l.fields[key] }

// Number returns the value of a numeric field, or 0.
func (l Line) Number(key string) float64 {
	value, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return value
}

// Parse splits a line. It returns false for one without a time.
func Parse(text string) (Line, bool) {
	source, rest, ok := strings.Cut(text, "time=")
	if !ok {
		return Line{}, false
	}
	l := Line{Text: text, Source: strings.TrimSpace(source), fields: map[string]string{}}
	for rest = "time=" + rest; rest != ""; {
		var key, value string
		if key, value, rest, ok = pair(rest); !ok {
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

// pair splits off the next key and value. A quoted value may hold spaces.
func pair(text string) (key, value, rest string, ok bool) {
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
