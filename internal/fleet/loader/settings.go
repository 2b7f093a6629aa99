// Package loader reads the settings of a node that runs on the users' platform: JSON with comments, checked as a whole.
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

// Settings of a node. docs/examples/fleet.jsonc explains each field.
type Settings struct {
	Node      Node
	Listen    Listen
	Store     Store
	Limits    Limits
	Bounds    Bounds
	Addresses Addresses
	Log       Log
}

// Node says which node this is.
type Node struct {
	Name       string
	IP         string
	DataCentre string
	Region     string
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	// Callers takes requests, Ready tells whether the node takes them, and Addresses tells callers where to connect. They may be equal.
	Callers, Ready, Addresses string
	// PeerPorts is the first and last port that are free for traffic between nodes.
	PeerPorts []int
	// MetricsPort serves metrics at /metrics; zero serves none.
	MetricsPort int
}

// Store says where the platform's store is.
type Store struct{ Address string }

// Limits of the process.
type Limits struct {
	// MemoryMB is the memory that the process may use, in units of 1,000,000 bytes.
	MemoryMB int
}

// Bounds are the promises that nodes keep together. Times are in milliseconds unless the name says otherwise.
type Bounds struct {
	GraceSeconds        float64
	RetryBudgetRatio    float64
	RetryBudgetSlack    float64
	BudgetWindowSeconds float64
	ColdFactor          float64
	ColdSlack           float64
}

// Addresses says how callers keep what they are told.
type Addresses struct {
	// KeepSeconds is how long callers may keep an answer.
	KeepSeconds float64
	// LongestKeep is the largest multiple of KeepSeconds that a caller keeps an answer.
	LongestKeep float64
}

// Log says what is written.
type Log struct{ Level string }

// Load reads and checks a file. All faults are reported together as a FindingsError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and checks settings.
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
		findings.Add(int(decoder.InputOffset()), fieldOf(err), "%v", err)
		return Settings{}, findings.Err()
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.Add(int(decoder.InputOffset()), "", "text follows the settings")
	}
	s.check(func(field, format string, args ...any) { findings.Add(0, field, format, args...) })
	return s, findings.Err()
}

func fieldOf(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return wrong.Field
	}
	return ""
}

type report func(field, format string, args ...any)

func (s Settings) check(add report) {
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
		add("Listen.PeerPorts", "must hold the first and the last port")
	}
	if s.Listen.MetricsPort < 0 || s.Listen.MetricsPort > 65535 {
		add("Listen.MetricsPort", "must be a port or 0")
	}
	s.checkFigures(add)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		add("Log.Level", "must be debug, info, warn or error")
	}
}

func (s Settings) checkFigures(add report) {
	figures := []struct {
		field    string
		value    float64
		positive bool
	}{
		{"Limits.MemoryMB", float64(s.Limits.MemoryMB), true},
		{"Bounds.GraceSeconds", s.Bounds.GraceSeconds, true},
		{"Bounds.RetryBudgetRatio", s.Bounds.RetryBudgetRatio, false},
		{"Bounds.RetryBudgetSlack", s.Bounds.RetryBudgetSlack, false},
		{"Bounds.BudgetWindowSeconds", s.Bounds.BudgetWindowSeconds, true},
		{"Bounds.ColdFactor", s.Bounds.ColdFactor, false},
		{"Bounds.ColdSlack", s.Bounds.ColdSlack, false},
		{"Addresses.KeepSeconds", s.Addresses.KeepSeconds, true},
		{"Addresses.LongestKeep", s.Addresses.LongestKeep, true},
	}
	for _, f := range figures {
		if f.value < 0 || f.positive && f.value == 0 {
			add(f.field, "must be greater than 0, or 0 where that means none; it is %v", f.value)
		}
	}
}

// Seconds returns a duration of that many seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
