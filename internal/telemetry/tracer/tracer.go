// Package tracer picks the lines about one request out of the logs of all nodes.
package tracer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/telemetry/logger"
	"damaskpick.example/damaskpick/internal/telemetry/parser"
)

// lineLimit bounds one line of a log.
const lineLimit = 1 << 20

// beliefs are the events that change what a node believes about all endpoints.
var beliefs = map[modeler.NoteName]bool{
	modeler.NoteCoordinatorChanged: true, modeler.NoteCoordinatorDoubted: true, modeler.NoteStoreLost: true, modeler.NoteStoreRegained: true,
	modeler.NoteConfigurationApplied: true, modeler.NoteDataCentreChanged: true, modeler.NoteNodeStarted: true,
	modeler.NoteNodeLeaving: true, modeler.NoteNodeStopped: true, logger.LinesDropped: true,
}

// Trace writes the lines about a request in the order of their times: its own ones, and from the nodes that wrote them, those about the
// endpoints that it used and those that changed what the node believed between its first and its last line. It returns the number of lines of
// the request itself.
func Trace(out io.Writer, in io.Reader, request string) (int, error) {
	lines, err := read(in)
	if err != nil {
		return 0, err
	}
	var own []parser.Line
	used, nodes := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if about(l, request) {
			own = append(own, l)
			nodes[node(l)] = true
			for _, e := range endpoints(l) {
				used[e] = true
			}
		}
	}
	if len(own) == 0 {
		return 0, nil
	}
	first, last := own[0].At, own[len(own)-1].At
	for _, l := range lines {
		within := !l.At.Before(first) && !l.At.After(last)
		judged := !l.At.After(last) && strings.HasPrefix(l.Message, "Endpoint") &&
			slices.ContainsFunc(endpoints(l), func(e string) bool { return used[e] })
		if !about(l, request) && (!nodes[node(l)] || !judged && (!within || !beliefs[modeler.NoteName(l.Message)])) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.Text); err != nil {
			return 0, err
		}
	}
	return len(own), nil
}

// read returns the lines in the order of their times. Lines without a time are passed over.
func read(in io.Reader) ([]parser.Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineLimit)
	var lines []parser.Line
	for scanner.Scan() {
		if l, ok := parser.Parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b parser.Line) int { return a.At.Compare(b.At) })
	return lines, scanner.Err()
}

// about tells whether a line is one of the request. Places have the attempt behind the id.
func about(l parser.Line, request string) bool {
	id := l.Get("Request")
	return id == request || strings.HasPrefix(id, request+"/")
}

// node is the last word before the time, where collectors of logs put the name of the node.
func node(l parser.Line) string {
	words := strings.Fields(l.Source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// endpoints returns the endpoints that a line names.
func endpoints(l parser.Line) []string {
	names := append(strings.Split(l.Get("Endpoint"), ","), strings.Split(l.Get("Helpers"), ",")...)
	return slices.DeleteFunc(names, func(e string) bool { return e == "" })
}
