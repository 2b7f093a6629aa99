// Package loader reads the settings of a node: JSON with comments, checked as a whole.
package loader

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Settings configure one node. They do not change while it runs; only the TLS key files are read again.
type Settings struct {
	Node   Node
	Listen Listen
	// Peers lists peer addresses of other nodes as IP:port. The file may contain the node's own address; Parse removes it.
	Peers    []string
	Platform Platform
	// Endpoints has unique IDs and addresses.
	Endpoints []Endpoint
	// Credentials has unique hashes.
	Credentials []Credential
	Policy      Policy
	Limits      Limits
	Timeouts    Timeouts
	TLS         TLS
	Log         Log
}

// Node names this node. Both fields are required.
type Node struct {
	// Name contains no slash, because a slash separates it from the incarnation in a modeler.NodeID.
	Name       string
	DataCentre modeler.DataCentreID
}

// Listen holds the addresses of this node as IP:port.
type Listen struct {
	// Callers is where callers connect; it is required. PublicURL is the URL of this node in address lists; the default is Callers
	// with http, or https when TLS.Callers is set. It is required when Callers listens on all IPs.
	Callers   string
	PublicURL string
	// Peers is where other nodes connect; it is required and names an IP.
	Peers string
}

// Platform holds the base URLs of the platform's services. An empty InstancesURL or WeightsURL means that the service is not
// used; LogURL is required.
type Platform struct {
	LogURL       string
	InstancesURL string
	WeightsURL   string
	// LogRetention is how long the log keeps a record. It is required, because no default is safe: with a value above the
	// actual retention, a call with an expired idempotency key could run again.
	LogRetention Duration
}

// Endpoint describes a model engine or plain service.
type Endpoint struct {
	ID modeler.EndpointID
	// Kind is "Engine" or "Service".
	Kind       string
	Address    string
	DataCentre modeler.DataCentreID
	// Models lists the models of an engine, or the name of a service.
	Models []string
	// Capacity is the KV memory of an engine in tokens.
	Capacity modeler.Tokens
	// ColdLimit is at least 1; the default is DefaultColdLimit.
	ColdLimit int
	// FencesOrders is set when the endpoint rejects orders with an outdated term.
	FencesOrders bool
}

// Credential maps a bearer token to a member or an operator. Exactly one of Member and Operator is set.
type Credential struct {
	// SHA256 is the hexadecimal hash of the token; Parse returns it in lower case.
	SHA256   string
	Member   modeler.MemberID
	Operator string
}

// Policy selects the parameters of routing and admission.
type Policy struct {
	// Preset is "Szelfogo", "Magnolia" or empty for the default; the other fields override it when not zero.
	Preset string
	// Routing is "LengthAware", the default, or one of the baselines "LeastLoaded" and "RoundRobin".
	Routing string
	// LongPart is the fraction of an engine's memory that long and huge prompts may use.
	LongPart float64
	// PrefillRate is the expected prompt processing speed of an engine in tokens per second.
	PrefillRate       float64
	FirstTokenTimeout Duration
	// PrefixBonus is the fraction of the prompt's processing time that a likely prefix cache hit saves.
	PrefixBonus float64
	// WarmCompletions is the number of completed requests after which a cold endpoint is warm.
	WarmCompletions int
	// MaxRunning is the maximum number of concurrent requests on one engine.
	MaxRunning int
	// RetryPart is the number of retries that the retry budget allows per first attempt.
	RetryPart float64
}

// Limits bound what a caller may send, and what all callers together may make the node hold. The defaults are DefaultHeaderBytes, DefaultBodyBytes,
// DefaultHeldBytes and DefaultConnections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeldBytes bounds the memory for requests that are being read or served, at least four times BodyBytes. Connections bounds the open connections
	// of callers.
	HeldBytes   int64
	Connections int
}

// Timeouts bound waiting times. Zero values are replaced by those of DefaultTimeouts.
type Timeouts struct {
	// Request is the maximum time from the arrival of a request to its end.
	Request Duration
	// ChunkGap is the maximum time without a byte from the engine; heartbeats count as bytes.
	ChunkGap Duration
	// CallerRead bounds reading a request; CallerWrite bounds one write to a caller.
	CallerRead  Duration
	CallerWrite Duration
	// AddressLifetime is how long callers may use an address list.
	AddressLifetime Duration
	// Stop bounds a graceful stop. It is at least Request plus AddressLifetime.
	Stop Duration
}

// TLS holds the key files. Empty names mean TCP without TLS.
type TLS struct {
	Callers KeyFiles
	Peers   KeyFiles
}

// KeyFiles names PEM files.
type KeyFiles struct {
	CertFile string
	KeyFile  string
	// CAFile is set for mutual TLS between nodes.
	CAFile string
}

// Log configures the process's own log output.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; the default is DefaultLevel.
	Level string
}

// Duration is a time.Duration written as text, such as "2.5s".
type Duration time.Duration

// String returns the text form, such as "2.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
