package loader

import (
	"strings"
	"time"
)

// Defaults of limits and of endpoints.
const (
	DefaultHeaderBytes       = 16 << 10
	DefaultBodyBytes   int64 = 8 << 20
	DefaultHeldBytes   int64 = 128 << 20
	DefaultConnections       = 4096
	DefaultColdLimit         = 2
	DefaultLevel             = "info"
)

// heldBodies is the smallest ratio of Limits.HeldBytes to Limits.BodyBytes: half of the account is for the connections of one address, and a body takes up
// to twice its size while it is decoded.
const heldBodies = 4

// handoverTime is the part of the default Timeouts.Stop in which balances, holds and outcomes are handed over after the last stream.
const handoverTime = 30 * time.Second

// DefaultTimeouts returns the timeouts for a file that sets none. Stop is the sum of Request, AddressLifetime and 30 s, so
// that a graceful stop interrupts no request.
func DefaultTimeouts() Timeouts { return Timeouts{}.withDefaults() }

func (t Timeouts) withDefaults() Timeouts {
	t.Request = orDefault(t.Request, Duration(10*time.Minute))
	t.ChunkGap = orDefault(t.ChunkGap, Duration(2*time.Second))
	t.CallerRead = orDefault(t.CallerRead, Duration(30*time.Second))
	t.CallerWrite = orDefault(t.CallerWrite, Duration(10*time.Second))
	t.AddressLifetime = orDefault(t.AddressLifetime, Duration(10*time.Second))
	t.Stop = orDefault(t.Stop, t.Request+t.AddressLifetime+Duration(handoverTime))
	return t
}

// withDefaults returns a copy in which fields with zero values have their defaults. A value that is out of range is not replaced, so
// that the checks still report it.
func (s Settings) withDefaults() Settings {
	s.Timeouts = s.Timeouts.withDefaults()
	s.Limits.HeaderBytes = orDefault(s.Limits.HeaderBytes, DefaultHeaderBytes)
	s.Limits.BodyBytes = orDefault(s.Limits.BodyBytes, DefaultBodyBytes)
	s.Limits.HeldBytes = orDefault(s.Limits.HeldBytes, max(DefaultHeldBytes, heldBodies*s.Limits.BodyBytes))
	s.Limits.Connections = orDefault(s.Limits.Connections, DefaultConnections)
	s.Log.Level = orDefault(s.Log.Level, DefaultLevel)
	if s.Listen.PublicURL == "" && s.Listen.Callers != "" {
		scheme := "http://"
		if s.TLS.Callers.CertFile != "" {
			scheme = "https://"
		}
		s.Listen.PublicURL = scheme + s.Listen.Callers
	}
	s.Endpoints = append([]Endpoint(nil), s.Endpoints...)
	for i := range s.Endpoints {
		s.Endpoints[i].ColdLimit = orDefault(s.Endpoints[i].ColdLimit, DefaultColdLimit)
	}
	s.Credentials = append([]Credential(nil), s.Credentials...)
	for i := range s.Credentials {
		s.Credentials[i].SHA256 = strings.ToLower(s.Credentials[i].SHA256)
	}
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
