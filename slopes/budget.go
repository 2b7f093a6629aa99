package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// Budget of a node's control plane, from docs/design.md, section 4.
const (
	maxCPUCores       = 0.019
	maxMemoryBytes    = 32e6
	maxBytesPerSecond = 9e3
)

// startFileMembers is the number of members in each rule file of the benchmark applier.Start.
const startFileMembers = 5_700

// cost is what a role costs one node.
type cost struct {
	role string
	// cpu is in nanoseconds per second, network in bytes sent plus received per second and memory in bytes.
	cpu, network, memory float64
	// traffic marks a role that carries callers' requests. The sum for the control plane excludes it.
	traffic bool
	// arithmetic shows how the figures were computed.
	arithmetic string
}

// lineIndex looks up fitted lines by key and collects an error for each missing one.
type lineIndex struct {
	lines   map[key]line
	missing []error
}

func newLineIndex(lines []line) *lineIndex {
	index := &lineIndex{lines: map[key]line{}}
	for _, l := range lines {
		index.lines[l.key] = l
	}
	return index
}

// value returns the value of a line at a size. For a missing line it records an error and returns 0.
func (index *lineIndex) value(series, variable, unit string, size float64) float64 {
	l, ok := index.lines[key{series, variable, unit}]
	if !ok {
		index.missing = append(index.missing, fmt.Errorf("no series %s by %s in %s", series, variable, unit))
	}
	return l.value(size)
}

// slope returns the slope of a line.
func (index *lineIndex) slope(series, variable, unit string) float64 {
	return index.value(series, variable, unit, 1e6+1) - index.value(series, variable, unit, 1e6)
}

// exchangeCPU returns the nanoseconds of an exchange over a connection. Both ends are included, because a node is one end as often as the other.
func (index *lineIndex) exchangeCPU(series, variable string, size float64) float64 {
	return index.value("measurer."+series, variable, "cpu-ns/exchange", size)
}

// exchangeBytes returns the bytes of an exchange over a connection, sent plus received.
func (index *lineIndex) exchangeBytes(series, variable string, size float64) float64 {
	return index.value("measurer."+series, variable, "sent-B/exchange", size) + index.value("measurer."+series, variable, "received-B/exchange", size)
}

// costFunc returns the cost of one role on a node of a deployment.
type costFunc func(index *lineIndex, d deployment) cost

func writeBudget(out io.Writer, lines []line) error {
	index := newLineIndex(lines)
	for _, d := range deployments {
		_, _ = fmt.Fprintf(out, "\n### Budget of a node: %s\n\n", d.name)
		_, _ = fmt.Fprintf(out, "%.4g requests/s, %.4g in flight, %.4g requests per engine and at most %.4g ticks/s on a node.\n\n",
			d.requestRate(), d.inFlight(), d.requestsPerEngine(), d.ticksPerSecond())
		if err := writeRoles(out, index, d); err != nil {
			return err
		}
		writeLogLoad(out, index, d)
		writeStartup(out, index, d)
	}
	return errors.Join(index.missing...)
}

func writeRoles(out io.Writer, index *lineIndex, d deployment) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	_, _ = fmt.Fprintln(w, "| Role\t CPU, % of a core\t B/s\t Memory, kB\t Arithmetic\t")
	_, _ = fmt.Fprintln(w, "|---\t--:\t--:\t--:\t---\t")
	sum := cost{role: "**Control, sum**"}
	for _, r := range roles {
		c := r(index, d)
		writeCost(w, c)
		if !c.traffic {
			sum.cpu, sum.network, sum.memory = sum.cpu+c.cpu, sum.network+c.network, sum.memory+c.memory
		}
	}
	sum.arithmetic = fmt.Sprintf("%.2g, %.2g and %.2g times the budget", sum.cpu/1e9/maxCPUCores, sum.network/maxBytesPerSecond, sum.memory/maxMemoryBytes)
	writeCost(w, sum)
	writeCost(w, cost{role: "Budget", cpu: maxCPUCores * 1e9, network: maxBytesPerSecond, memory: maxMemoryBytes})
	return w.Flush()
}

func writeCost(w io.Writer, c cost) {
	_, _ = fmt.Fprintf(w, "| %s\t %.3f\t %s\t %s\t %s\t\n", c.role, c.cpu/1e7, formatNumber(c.network), formatNumber(c.memory/1e3), c.arithmetic)
}

// writeStartup prints what a starting node reads from the log: all records of one retention period.
func writeStartup(out io.Writer, index *lineIndex, d deployment) {
	files := d.rulesPerDay / secondsPerDay * retentionSeconds
	text := d.members / startFileMembers * index.slope("applier.Start", "files", "heap-B")
	calls := d.callsPerSecond * retentionSeconds
	_, _ = fmt.Fprintf(out, "\nA starting node reads %s rule files, %s MB, and holds %s MB of them until it has reached the end; "+
		"and %s calls, %s MB.\n", formatNumber(files), formatNumber(files*index.exchangeBytes("Read/one-rules", "members", d.members)/1e6), formatNumber(files*text/1e6),
		formatNumber(calls), formatNumber(calls*(index.slope("measurer.Read/intent", "records", "received-B/exchange")+index.slope("measurer.Read/outcome", "records", "received-B/exchange"))/1e6))
}

// writeLogLoad prints the appends and reads that the log service handles.
func writeLogLoad(out io.Writer, index *lineIndex, d deployment) {
	lines := []struct {
		cause string
		rate  float64
	}{
		{"non-idempotent calls, intent and outcome", 2 * d.callsPerSecond},
		{"rule files, and a mint for each", 2 * d.rulesPerDay / secondsPerDay},
		{"registrations and departures or reclaims", 2 * d.instanceChangesPerDay / secondsPerDay},
		{"holds released and claimed after a change of a node", 2 * d.enginesPerNode() * d.instanceChangesPerDay / secondsPerDay},
		{"renewals of holds, every quarter of the retention", 4 * d.endpoints / retentionSeconds},
		{"renewals of the rule file", 4.0 / retentionSeconds},
	}
	_, _ = fmt.Fprintf(out, "\nAppends to the log:\n\n| Cause | Appends/s |\n|---|--:|\n")
	total := 0.0
	for _, l := range lines {
		total += l.rate
		_, _ = fmt.Fprintf(out, "| %s | %.3g |\n", l.cause, l.rate)
	}
	_, _ = fmt.Fprintf(out, "| **sum** (limit 300) | %.3g |\n", total)
	polls := d.nodes * (3 + total)
	calls := d.callsPerSecond * d.nodes * (index.slope("measurer.Read/intent", "records", "received-B/exchange") + index.slope("measurer.Read/outcome", "records", "received-B/exchange"))
	rules := d.rulesPerDay / secondsPerDay * d.nodes * index.exchangeBytes("Read/one-rules", "members", d.members)
	_, _ = fmt.Fprintf(out, "\nReads of the log service: up to %s/s (three waiting reads a second and node, and one for each append and node); "+
		"it sends %s kB/s of calls, %s kB/s of rule files and %s kB/s of empty answers.\n",
		formatNumber(polls), formatNumber(calls/1e3), formatNumber(rules/1e3), formatNumber(polls*index.value("measurer.Read/hold", "records", "received-B/exchange", 0)/1e3))
}
