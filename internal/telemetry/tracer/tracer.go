// Package tracer selects the log lines about one request from the logs of all nodes.
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

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// contextEvents are the events that change a node's view of all endpoints.
var contextEvents = map[modeler.LogEventName]bool{
	modeler.LogEventCoordinatorChanged: true, modeler.LogEventCoordinatorDoubted: true, modeler.LogEventStoreLost: true, modeler.LogEventStoreRegained: true,
	modeler.LogEventConfigurationApplied: true, modeler.LogEventDataCentreChanged: true, modeler.LogEventNodeStarted: true,
	modeler.LogEventNodeLeaving: true, modeler.LogEventNodeStopped: true, logger.LinesDropped: true,
}

// Trace writes the lines that explain a request, sorted by time: the lines of the request itself and, from the nodes that wrote these, the
// lines up to its last one about endpoints that it used and the context events between its first and last line. It returns the number of
// lines of the request itself.
func Trace(out io.Writer, in io.Reader, request string) (int, error) {
	lines, err := readLines(in)
	if err != nil {
		return 0, err
	}
	var own []parser.Line
	usedEndpoints, nodes := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if belongsTo(l, request) {
			own = append(own, l)
			nodes[nodeOf(l)] = true
			for _, e := range endpoints(l) {
				usedEndpoints[e] = true
			}
		}
	}
	if len(own) == 0 {
		return 0, nil
	}
	first, last := own[0].At, own[len(own)-1].At
	for _, l := range lines {
		inPeriod := !l.At.Before(first) && !l.At.After(last)
		aboutEndpoint := !l.At.After(last) && strings.HasPrefix(l.Message, "Endpoint") &&
			slices.ContainsFunc(endpoints(l), func(e string) bool { return usedEndpoints[e] })
		if !belongsTo(l, request) && (!nodes[nodeOf(l)] || !aboutEndpoint && (!inPeriod || !contextEvents[modeler.LogEventName(l.Message)])) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.Text); err != nil {
			return 0, err
		}
	}
	return len(own), nil
}

// readLines returns the lines sorted by time. It skips lines without a valid time.
func readLines(in io.Reader) ([]parser.Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []parser.Line
	for scanner.Scan() {
		if l, ok := parser.Parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b parser.Line) int { return a.At.Compare(b.At) })
	return lines, scanner.Err()
}

// belongsTo reports whether a line belongs to the request. In some lines, a slash and the attempt follow the request ID.
func belongsTo(l parser.Line, request string) bool {
	id := l.Get("Request")
	return id == request || strings.HasPrefix(id, request+"/")
}

// nodeOf returns the last word before the time, where log collectors put the name of the node.
func nodeOf(l parser.Line) string {
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
