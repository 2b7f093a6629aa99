package modeler

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request may run.
type Kind uint8

// Kinds of requests, set per route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a stream of events. They run at most once unless the route is resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "Safe"
	case Stream:
		return "Stream"
	default:
		return "Unsafe"
	}
}

// Route defines how requests with a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time from arrival to the end of the response. Zero means no limit.
	Timeout time.Duration
	// Target is the target for the time from arrival to the response, or to the first event of a stream.
	Target time.Duration
	// GapTarget is the target for the longest gap between two events of a stream.
	GapTarget time.Duration
	// Priority is lower for more urgent requests.
	Priority int
	// Backends is never empty. It must not be modified.
	Backends []Backend
	// MaxRuns is the maximum number of endpoints that one request may run on. It is at least 1.
	MaxRuns   int
	Anonymous bool
	// Resumable is set if a stream may continue on a different endpoint.
	Resumable bool
}

// Repeatable reports whether a request on the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Backend is a service that receives a fraction of a route's requests.
type Backend struct {
	Service ServiceID
	// Weight is positive. The requests of a route are split in proportion to the weights.
	Weight int
}

// Pick returns the service for a random value that is uniformly distributed in [0, 1).
func (r Route) Pick(random float64) ServiceID {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := random * float64(total)
	for _, b := range r.Backends {
		if remaining -= float64(b.Weight); remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service describes a group of endpoints.
type Service struct {
	ID ServiceID
	// ConnectionLimit is the maximum number of connections that one endpoint accepts from all nodes combined.
	ConnectionLimit int
	// ColdRate is the number of requests per second that a cold endpoint sustains. Zero means that cold endpoints are not limited.
	ColdRate float64
	// Engine is the zero value for plain services.
	Engine EngineProfile
}

// IsEngine reports whether the endpoints of the service are model engines rather than plain services.
func (s Service) IsEngine() bool { return s.Engine.PrefillRate > 0 }

// EngineProfile describes the performance of a model engine.
type EngineProfile struct {
	// Capacity is the KV cache capacity of one engine. Zero means that it is not limited.
	Capacity Tokens
	// Stride is the number of token steps in one decode pass.
	Stride int
	// Step is the base duration of one token step, without the cost per request.
	Step time.Duration
	// PerSequence is the time that each decoding request adds to a step.
	PerSequence time.Duration
	// PerThousandContext is the time that each 1,000 context tokens of a decoding request add to a step.
	PerThousandContext time.Duration
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64
	// PerMillionPairs is the attention cost of prefill: the time per million pairs of a prompt token and an earlier token.
	PerMillionPairs time.Duration
	// Chunk is the maximum number of prompt tokens in one step.
	Chunk int
}

// PrefillTime returns the time that an otherwise idle engine needs for the prefill of a prompt.
func (p EngineProfile) PrefillTime(prompt Tokens) time.Duration {
	if p.PrefillRate <= 0 || prompt <= 0 {
		return 0
	}
	n := float64(prompt)
	linear := n / p.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(p.PerMillionPairs)
	steps := 0.0
	if p.Chunk > 0 {
		steps = n / float64(p.Chunk) * float64(p.Step)
	}
	return time.Duration(linear + pairs + steps)
}

// SequencePassTime returns the time that a decoding request with the given context adds to a decode pass.
func (p EngineProfile) SequencePassTime(context Tokens) time.Duration {
	perStep := float64(p.PerSequence) + float64(context)/1000*float64(p.PerThousandContext)
	return time.Duration(perStep * float64(max(p.Stride, 1)))
}

// BasePassTime returns the base duration of a decode pass, without the cost per request.
func (p EngineProfile) BasePassTime() time.Duration { return p.Step * time.Duration(max(p.Stride, 1)) }

// Limits restricts what a caller may send. Zero means that the operators set no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// IdleTimeout is the time after which an idle caller connection is closed.
	IdleTimeout time.Duration
}

// Member holds the properties of a member that apply to requests with its credential.
type Member struct {
	ID MemberID
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Configuration is the complete configuration set by the operators. It is immutable; a new one replaces it.
type Configuration struct {
	// Version is set by the operators. A configuration replaces another one only if its Version is higher.
	Version int64
	// Offset is the position of the configuration's record in the store.
	Offset   Position
	Limits   Limits
	services map[ServiceID]Service
	members  map[string]Member
	// routes maps host and path prefix to a route.
	routes     map[string]map[string]Route
	routeCount int
}

// NewConfiguration returns a configuration. credentials maps callers' credentials to members; nil means that callers need no credential.
func NewConfiguration(version int64, routes []Route, services []Service, credentials map[string]Member, limits Limits) Configuration {
	c := Configuration{
		Version: version, Limits: limits, members: credentials, routeCount: len(routes),
		services: make(map[ServiceID]Service, len(services)), routes: map[string]map[string]Route{},
	}
	for _, s := range services {
		c.services[s.ID] = s
	}
	for _, r := range routes {
		if c.routes[r.Host] == nil {
			c.routes[r.Host] = map[string]Route{}
		}
		c.routes[r.Host][r.Prefix] = r
	}
	return c
}

// WithOffset returns the configuration with the offset of its record.
func (c Configuration) WithOffset(offset Position) Configuration {
	c.Offset = offset
	return c
}

// Loaded reports whether a configuration has been read.
func (c Configuration) Loaded() bool { return c.services != nil }

// Routes returns the number of routes.
func (c Configuration) Routes() int { return c.routeCount }

// Route returns the route of the host with the longest matching path prefix. Prefixes end with a slash.
func (c Configuration) Route(host, path string) (Route, bool) {
	routes := c.routes[host]
	if len(routes) == 0 {
		return Route{}, false
	}
	for prefix := path; ; {
		end := strings.LastIndexByte(prefix, '/')
		if end < 0 {
			return Route{}, false
		}
		if r, ok := routes[prefix[:end+1]]; ok {
			return r, true
		}
		prefix = prefix[:end]
	}
}

// Service returns the service with the given id, if there is one.
func (c Configuration) Service(id ServiceID) (Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Services returns all services, in no particular order.
func (c Configuration) Services() []Service { return slices.Collect(maps.Values(c.services)) }

// Member returns the member that the credential belongs to, if there is one.
func (c Configuration) Member(credential string) (Member, bool) {
	m, ok := c.members[credential]
	return m, ok
}

// RequiresCredential reports whether callers need a credential.
func (c Configuration) RequiresCredential() bool { return c.members != nil }
