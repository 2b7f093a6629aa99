package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"

	"damaskpick.example/damaskpick/internal/bench/launcher"
)

// ticksPerSecond is the number of clock ticks per second in the times of /proc/PID/stat on Linux.
const ticksPerSecond = 100

// usage holds the mean over all nodes of what a node has used since its start.
type usage struct {
	// cpu is in seconds of processor time, resident in bytes of memory.
	cpu, resident float64
	// bytes maps "group/direction" to bytes on control connections. opened is the number of connections that a node opened to peers.
	bytes  map[string]float64
	opened float64
}

// since returns the usage since an earlier measurement. resident is the current value, not a difference.
func (u usage) since(before usage) usage {
	d := usage{cpu: u.cpu - before.cpu, resident: u.resident, opened: u.opened - before.opened, bytes: map[string]float64{}}
	for k, v := range u.bytes {
		d.bytes[k] = v - before.bytes[k]
	}
	return d
}

// readUsage reads the usage of all nodes from /proc and from their metrics.
func readUsage(ctx context.Context, fleet *launcher.Fleet) (usage, error) {
	u := usage{bytes: map[string]float64{}}
	nodes := float64(len(fleet.Nodes))
	for _, node := range fleet.Nodes {
		cpu, err := processorTime(node.Pid())
		if err != nil {
			return u, err
		}
		resident, err := residentBytes(node.Pid())
		if err != nil {
			return u, err
		}
		u.cpu += cpu / nodes
		u.resident += resident / nodes
		if err := u.addTraffic(ctx, node, nodes); err != nil {
			return u, fmt.Errorf("read metrics of %s: %w", node.Name, err)
		}
	}
	return u, nil
}

// processorTime returns user and system time from /proc/PID/stat, in seconds.
func processorTime(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name in parentheses may contain spaces. User and system time are the 12th and 13th field after it.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields after the name", pid, len(fields))
	}
	sum := 0.0
	for _, field := range fields[11:13] {
		v, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum / ticksPerSecond, nil
}

var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// residentBytes returns VmRSS from /proc/PID/status, in bytes.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	m := residentLine.FindSubmatch(data)
	if m == nil {
		return 0, fmt.Errorf("/proc/%d/status has no VmRSS", pid)
	}
	v, err := strconv.ParseFloat(string(m[1]), 64)
	return v * 1024, err
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

var (
	bytesLine  = regexp.MustCompile(`^damaskpick_control_bytes_total\{group="([\w-]+)",direction="(\w+)"\} (\d+)$`)
	openedLine = regexp.MustCompile(`^damaskpick_control_connections_total\{group="peer-client"\} (\d+)$`)
)

// addTraffic adds the control traffic counters of a node, divided by the number of nodes.
func (u *usage) addTraffic(ctx context.Context, node *launcher.Process, nodes float64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, node.URL()+"/metrics", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+launcher.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if m := bytesLine.FindStringSubmatch(scanner.Text()); m != nil {
			v, _ := strconv.ParseFloat(m[3], 64)
			u.bytes[m[1]+"/"+m[2]] += v / nodes
		}
		if m := openedLine.FindStringSubmatch(scanner.Text()); m != nil {
			v, _ := strconv.ParseFloat(m[1], 64)
			u.opened += v / nodes
		}
	}
	return scanner.Err()
}
