// Package tracer picks the lines about one request out of the logs of all nodes.
package tracer

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// lineLimit bounds one line of a log.
const lineLimit = 1 << 20

// line is a line of the log with the parts that tracing looks at.
type line struct {
	time, message, request, text string
	endpoints                    []string
	number                       int
}

// beliefs are the events that change what a node believes about all endpoints.
var beliefs = map[string]bool{
	"CoordinatorChanged": true, "CoordinatorDoubted": true, "StoreLost": true, "StoreRegained": true, "ConfigurationApplied": true,
	"DataCentreChanged": true, "NodeStarted": true, "NodeLeaving": true, "NodeStopped": true, "LinesDropped": true,
}

// Trace writes the lines about a request in the order of their times: its own ones, those about the endpoints that it used, and those that
// changed what nodes believed between its first and its last line. It returns the number of lines of the request itself.
func Trace(out io.Writer, in io.Reader, request string) (int, error) {
	lines, err := read(in)
	if err != nil {
		return 0, err
	}
	var own []line
	endpoints := map[string]bool{}
	for _, l := range lines {
		if l.request == request || strings.HasPrefix(l.request, request+"/") {
			own = append(own, l)
			for _, e := range l.endpoints {
				endpoints[e] = true
			}
		}
	}
	if len(own) == 0 {
		return 0, nil
	}
	first, last := own[0].time, own[len(own)-1].time
	for _, l := range lines {
		mine := l.request == request || strings.HasPrefix(l.request, request+"/")
		within := l.time >= first && l.time <= last
		about := l.time <= last && strings.HasPrefix(l.message, "Endpoint") &&
			slices.ContainsFunc(l.endpoints, func(e string) bool { return endpoints[e] })
		if !mine && !about && (!within || !beliefs[l.message]) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return 0, err
		}
	}
	return len(own), nil
}

// read returns the lines in the order of their times. Lines without a time are passed over.
func read(in io.Reader) ([]line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineLimit)
	var lines []line
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			l.number = len(lines)
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.number, b.number)) })
	return lines, scanner.Err()
}

// parse splits a line into its fields. What stands before the time, such as the name of a node, stays a part of the text.
func parse(text string) (line, bool) {
	l := line{text: text}
	for _, field := range strings.Fields(text) {
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			continue
		}
		switch key {
		case "time":
			l.time = value
		case "message":
			l.message = value
		case "Request":
			l.request = value
		case "Endpoint", "Helpers":
			l.endpoints = append(l.endpoints, strings.Split(strings.Trim(value, `"`), ",")...)
		}
	}
	l.endpoints = slices.DeleteFunc(l.endpoints, func(e string) bool { return e == "" })
	return l, l.time != ""
}
