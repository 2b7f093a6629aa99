// Package loader reads and checks the settings of a node that runs on the users' platform. They are JSON with comments.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"damaskpick.example/damaskpick/internal/findings/collector"
)

// Settings holds the settings of a node. docs/examples/fleet.jsonc explains each field.
type Settings struct {
	Node      Node
	Listen    Listen
	Store     Store
	Limits    Limits
	Bounds    Bounds
	Addresses Addresses
	Placement Placement
	Log       Log
}

// Node identifies the node.
type Node struct {
	Name       string
	IP         string
	DataCentre string
	Region     string
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	// Callers is the address for requests, Ready the address for readiness checks, and Addresses the address where callers look up the nodes
	// to connect to. Each is an IP address and port; they may be equal.
	Callers, Ready, Addresses string
	// PeerPorts holds the first and the last port of the range for traffic between nodes.
	PeerPorts []int
	// MetricsPort is the port that serves metrics at /metrics. Zero disables metrics.
	MetricsPort int
}

// Store holds the address (IP:port) of the platform's store.
type Store struct{ Address string }

// Limits holds the limits of the process.
type Limits struct {
	// MemoryMB is the memory that the process may use, in units of 1,000,000 bytes.
	MemoryMB int
	// HeldMB bounds the memory that is held for callers' requests and answers, in the same units. Zero means a fifth of MemoryMB.
	HeldMB float64
	// Descriptors is the number of descriptors that the process may open. Zero means the limit of the process.
	Descriptors int
	// CPUShare is the fraction of a core that the process may use, and CPUCores the speed of that core relative to a usual one. Zero means
	// unknown.
	CPUShare, CPUCores float64
}

const (
	// heldFraction is the fraction of MemoryMB that HeldMB is by default. The runtime uses up to twice the memory that it holds, within its own limit.
	heldFraction = 0.2
	// connectionFraction is the fraction of MemoryMB that the open connections of callers may take, and descriptorFraction the fraction of Descriptors:
	// a request needs another one for its endpoint.
	connectionFraction = 0.1
	descriptorFraction = 0.5
	megabyte           = 1_000_000
	// heldLimit is the largest fraction of MemoryMB that HeldMB may be.
	heldLimit = 0.4
)

// HeldBytes returns the memory that may be held for callers' requests and answers.
func (l Limits) HeldBytes() int64 {
	if l.HeldMB > 0 {
		return int64(l.HeldMB * megabyte)
	}
	return int64(heldFraction * float64(l.MemoryMB) * megabyte)
}

// CallerConnections returns the number of connections that callers may have open when each takes connectionBytes and the process may open
// processDescriptors.
func (l Limits) CallerConnections(connectionBytes int64, processDescriptors int) int {
	descriptors := processDescriptors
	if l.Descriptors > 0 {
		descriptors = min(descriptors, l.Descriptors)
	}
	byMemory := connectionFraction * float64(l.MemoryMB) * megabyte / float64(connectionBytes)
	return max(1, int(min(byMemory, descriptorFraction*float64(descriptors))))
}

// MilliCores returns the processor capacity in thousandths of a core; zero if it is unknown.
func (l Limits) MilliCores() int { return int(1000 * l.CPUShare * l.CPUCores) }

// maxRetryLending leaves room in the slack for the parts of the nodes, which take up to half of it, and for a second node that lends during a change.
const maxRetryLending = 0.25

// Bounds holds limits that the nodes of the fleet observe together.
type Bounds struct {
	GraceSeconds        float64
	RetryBudgetRatio    float64
	RetryBudgetSlack    float64
	BudgetWindowSeconds float64
	// RetryLending is the part of RetryBudgetSlack that the node which places requests lends to nodes whose own part is used up; at most maxRetryLending.
	// Zero means none.
	RetryLending float64
	ColdFactor   float64
	ColdSlack    float64
}

// Addresses configures how long callers cache the addresses of nodes.
type Addresses struct {
	// KeepSeconds is the time for which callers may cache an answer.
	KeepSeconds float64
	// LongestKeep is the longest time for which callers really cache an answer, as a multiple of KeepSeconds.
	LongestKeep float64
}

// Placement configures where requests go. Everything in it is off by default.
type Placement struct {
	// SurveyEngines makes the node that places requests ask the engines what they work on when all nodes were gone.
	SurveyEngines bool
	// LearnCosts makes requests for plain services go where the least work is left, by what the calls there are predicted to take, and predicts answers of
	// engines.
	LearnCosts bool
	// KeepRoom makes long prompts leave slots for short work while they can still be on time, and requests wait at the node that places them rather
	// than behind long prompts.
	KeepRoom bool
	// RecoverEndpoints makes a node that starts use endpoints whose entries were lost together shortly before, until they are back or 2 s later.
	RecoverEndpoints bool
}

// Log configures the log. Level is debug, info, warn or error.
type Log struct{ Level string }

// Load reads and checks a settings file. If the file can be read, all findings are returned together as a FindingsError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks settings. name is the file name used in findings. All findings are returned together as a FindingsError.
func Parse(name string, data []byte) (Settings, error) {
	findings := collector.New(name, data)
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		findings.Add(0, "", "%v", err)
		return Settings{}, findings.Err()
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		findings.Add(int(decoder.InputOffset()), fieldName(err), "%v", err)
		return Settings{}, findings.Err()
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.Add(int(decoder.InputOffset()), "", "unexpected text after the settings")
	}
	s.check(func(field, format string, args ...any) { findings.Add(0, field, format, args...) })
	return s, findings.Err()
}

func fieldName(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return typeError.Field
	}
	return ""
}

// reportFunc adds a finding about a field.
type reportFunc func(field, format string, args ...any)

func (s Settings) check(add reportFunc) {
	required := []struct{ field, value string }{
		{"Node.Name", s.Node.Name}, {"Node.DataCentre", s.Node.DataCentre}, {"Node.Region", s.Node.Region},
	}
	for _, r := range required {
		if r.value == "" {
			add(r.field, "is required")
		}
	}
	if _, err := netip.ParseAddr(s.Node.IP); err != nil {
		add("Node.IP", "must be an IP address: %v", err)
	}
	addresses := []struct{ field, value string }{
		{"Listen.Callers", s.Listen.Callers}, {"Listen.Ready", s.Listen.Ready}, {"Listen.Addresses", s.Listen.Addresses},
		{"Store.Address", s.Store.Address},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, "must be an IP address and port: %v", err)
		}
	}
	if p := s.Listen.PeerPorts; len(p) != 2 || p[0] <= 0 || p[1] < p[0] || p[1] > 65535 {
		add("Listen.PeerPorts", "must hold the first and the last port, in this order and between 1 and 65535")
	}
	if s.Listen.MetricsPort < 0 || s.Listen.MetricsPort > 65535 {
		add("Listen.MetricsPort", "must be a port between 1 and 65535, or 0 to disable metrics")
	}
	s.checkNumbers(add)
	if s.Bounds.RetryLending > maxRetryLending {
		add("Bounds.RetryLending", "must be at most %v", maxRetryLending)
	}
	if s.Limits.HeldMB > heldLimit*float64(s.Limits.MemoryMB) {
		add("Limits.HeldMB", "must be at most %v of Limits.MemoryMB", heldLimit)
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		add("Log.Level", "must be debug, info, warn or error")
	}
}

func (s Settings) checkNumbers(add reportFunc) {
	numbers := []struct {
		field    string
		value    float64
		positive bool
	}{
		{"Limits.MemoryMB", float64(s.Limits.MemoryMB), true},
		{"Limits.HeldMB", s.Limits.HeldMB, false},
		{"Limits.Descriptors", float64(s.Limits.Descriptors), false},
		{"Limits.CPUShare", s.Limits.CPUShare, false},
		{"Limits.CPUCores", s.Limits.CPUCores, false},
		{"Bounds.GraceSeconds", s.Bounds.GraceSeconds, true},
		{"Bounds.RetryBudgetRatio", s.Bounds.RetryBudgetRatio, false},
		{"Bounds.RetryBudgetSlack", s.Bounds.RetryBudgetSlack, false},
		{"Bounds.BudgetWindowSeconds", s.Bounds.BudgetWindowSeconds, true},
		{"Bounds.RetryLending", s.Bounds.RetryLending, false},
		{"Bounds.ColdFactor", s.Bounds.ColdFactor, false},
		{"Bounds.ColdSlack", s.Bounds.ColdSlack, false},
		{"Addresses.KeepSeconds", s.Addresses.KeepSeconds, true},
		{"Addresses.LongestKeep", s.Addresses.LongestKeep, true},
	}
	for _, f := range numbers {
		if f.value < 0 || f.positive && f.value == 0 {
			add(f.field, "must be greater than 0, or 0 where 0 means none; got %v", f.value)
		}
	}
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
