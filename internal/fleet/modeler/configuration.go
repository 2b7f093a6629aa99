package modeler

import (
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They run at most once unless the route is resumable.
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

// Route says how the requests below a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer, from arrival. Zero means no bound.
	Timeout time.Duration
	// Target is the time from arrival within which an answer, or the first event of a stream, is on time.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream that is on time.
	GapTarget time.Duration
	// Priority is lower for more urgent requests.
	Priority int
	// Backends is not empty. It must not be changed.
	Backends []Backend
	// Attempts is the number of endpoints that one request may run on. It is at least 1.
	Attempts  int
	Anonymous bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Backend is a service that gets a part of a route's requests.
type Backend struct {
	Service ServiceID
	// Weight is positive. Services share the requests in proportion to it.
	Weight int
}

// Pick chooses a backend by a uniform random value below 1.
func (r Route) Pick(random float64) ServiceID {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := random * float64(total)
	for _, b := range r.Backends {
		if at -= float64(b.Weight); at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service describes a group of endpoints.
type Service struct {
	ID ServiceID
	// ConnectionLimit is the number of connections that one endpoint accepts from all nodes together.
	ConnectionLimit int
	// ColdRate is the number of requests per second that a cold endpoint sustains. Zero means that cold endpoints need no care.
	ColdRate float64
	// Engine is the zero value for plain services.
	Engine EngineProfile
}

// IsEngine tells model engines from plain services.
func (s Service) IsEngine() bool { return s.Engine.ReadRate > 0 }

// EngineProfile gives the speed of a model engine.
type EngineProfile struct {
	// Memory is the KV memory of one engine.
	Memory Tokens
	// Stride is the number of token steps of a pass that generates.
	Stride int
	// Step is the time of one token step, without the costs per request.
	Step time.Duration
	// PerWriter is added to a step for each request that generates.
	PerWriter time.Duration
	// PerThousandContext is added to a step for each 1,000 tokens of context of each request that generates.
	PerThousandContext time.Duration
	// ReadRate is the number of prompt tokens processed per second.
	ReadRate float64
	// PerMillionPairs is added for each million pairs of a prompt token and an earlier token.
	PerMillionPairs time.Duration
	// Chunk is the largest number of prompt tokens in one step.
	Chunk int
}

// Reading returns the time that one engine without other work needs to process a prompt.
func (p EngineProfile) Reading(prompt Tokens) time.Duration {
	if p.ReadRate <= 0 || prompt <= 0 {
		return 0
	}
	n := float64(prompt)
	linear := n / p.ReadRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(p.PerMillionPairs)
	steps := 0.0
	if p.Chunk > 0 {
		steps = n / float64(p.Chunk) * float64(p.Step)
	}
	return time.Duration(linear + pairs + steps)
}

// WriterPass returns what a generating request with that context adds to a pass.
func (p EngineProfile) WriterPass(context Tokens) time.Duration {
	perStep := float64(p.PerWriter) + float64(context)/1000*float64(p.PerThousandContext)
	return time.Duration(perStep * float64(max(p.Stride, 1)))
}

// IdlePass returns the time of the steps of a pass that generates, without the costs per request.
func (p EngineProfile) IdlePass() time.Duration { return p.Step * time.Duration(max(p.Stride, 1)) }

// Limits bound what a caller may send. Zero means no limit of the operators.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
}

// Member holds a part of the fleet.
type Member struct {
	ID MemberID
	// Priority goes before the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Configuration is the operators' configuration as a whole. It is never changed; a new one replaces it.
type Configuration struct {
	// Version only increases.
	Version int64
	// Offset is the place of the record in the store. It only increases.
	Offset   int64
	Limits   Limits
	services map[ServiceID]Service
	members  map[string]Member
	// routes holds the routes of each host by prefix.
	routes map[string]map[string]Route
	size   int
}

// NewConfiguration returns a configuration. credentials maps the secrets of callers to members.
func NewConfiguration(version int64, routes []Route, services []Service, credentials map[string]Member, limits Limits) Configuration {
	c := Configuration{
		Version: version, Limits: limits, members: credentials, size: len(routes),
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

// WithOffset returns the configuration with the place of its record.
func (c Configuration) WithOffset(offset int64) Configuration {
	c.Offset = offset
	return c
}

// Known tells whether any configuration was read.
func (c Configuration) Known() bool { return c.services != nil }

// Routes returns the number of routes.
func (c Configuration) Routes() int { return c.size }

// Route returns the route of the host with the longest prefix that begins the path. Prefixes end with a slash.
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

// Service returns the service of that id.
func (c Configuration) Service(id ServiceID) (Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Member returns who holds the credential.
func (c Configuration) Member(credential string) (Member, bool) {
	m, ok := c.members[credential]
	return m, ok
}

// HasMembers tells whether callers need a credential.
func (c Configuration) HasMembers() bool { return c.members != nil }
