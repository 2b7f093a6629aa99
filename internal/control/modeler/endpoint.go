package modeler

import "time"

// EndpointKind distinguishes model engines from plain services.
type EndpointKind uint8

// Endpoint kinds.
const (
	Engine EndpointKind = iota
	Service
)

// EndpointPhase is the readiness of an endpoint as observed by its holder.
type EndpointPhase uint8

// Endpoint phases.
const (
	// Cold endpoints accept at most ColdLimit concurrent requests.
	Cold EndpointPhase = iota
	// Warm endpoints have completed enough requests since they were last cold.
	Warm
	// Lost endpoints did not answer.
	Lost
)

// Endpoint describes a model engine or plain service. It is a row of World.Endpoints.
type Endpoint struct {
	ID         EndpointID
	Kind       EndpointKind
	Address    string
	DataCentre DataCentreID
	// Models is sorted and must not be changed.
	Models []string
	// Capacity is the KV memory of an engine; zero for a service.
	Capacity Tokens
	// ColdLimit is the maximum number of concurrent requests while the endpoint is cold, and of unconfirmed permits at any time. It
	// is at least 1.
	ColdLimit int
	// FencesOrders is set when the endpoint rejects orders with an outdated term.
	FencesOrders bool

	Phase EndpointPhase
	// BootID identifies one start of the endpoint's process. Phase applies to this start only.
	BootID string
	// Completions counts the requests completed since the endpoint was last cold.
	Completions int
	// ReportsCold is set while the endpoint's response headers state that it is in cold start.
	ReportsCold bool
	// Out is set while a rule excludes the endpoint or its data centre from service.
	Out bool
	// Leaving is set while the platform lists the endpoint as leaving.
	Leaving bool

	// Holder is the node that grants permits for this endpoint, or empty.
	Holder NodeID
	// Term is the term of the last holder. It only increases.
	Term Term
	// HeldSince is the time from which this node, if it is the holder, may grant permits.
	HeldSince time.Time

	// SweptTo is an offset of the control stream: the endpoint runs no attempts of nodes that left or were reclaimed by records up to it.
	// It only increases.
	SweptTo int64

	// EndpointLoad is exact on the holder. Other nodes have it from the holder's digests and permit answers, plus what they requested
	// since.
	EndpointLoad
	// UpdatedAt is the time at which the load was valid.
	UpdatedAt time.Time
}

// Serves reports whether the endpoint serves the model or service called name.
func (e Endpoint) Serves(name string) bool {
	for _, m := range e.Models {
		if m == name {
			return true
		}
	}
	return false
}

// InService reports whether new work may be sent to the endpoint.
func (e Endpoint) InService() bool { return !e.Out && !e.Leaving && e.Phase != Lost }

// WithOut returns a copy with Out set to out. An endpoint that returns to service is cold.
func (e Endpoint) WithOut(out bool) Endpoint {
	if e.Out && !out {
		e = e.WithCold("")
	}
	e.Out = out
	return e
}

// WithLeaving returns a copy with Leaving set to leaving.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}

// WithHolder returns a copy that node holds under term and for which it may grant permits from since on. It returns e unchanged if
// term is older than the current one.
func (e Endpoint) WithHolder(node NodeID, term Term, since time.Time) Endpoint {
	if term < e.Term {
		return e
	}
	e.Holder, e.Term, e.HeldSince = node, term, since
	return e
}

// WithCold returns a copy that is cold under bootID. An empty bootID keeps the current one.
func (e Endpoint) WithCold(bootID string) Endpoint {
	if bootID != "" {
		e.BootID = bootID
	}
	e.Phase = Cold
	e.Completions = 0
	return e
}

// WithPhase returns a copy with Phase set to phase.
func (e Endpoint) WithPhase(phase EndpointPhase) Endpoint {
	e.Phase = phase
	return e
}

// WithCompletion returns a copy that counts one more completed request. A cold endpoint becomes warm after needed completions, unless
// its response headers state that it is in cold start.
func (e Endpoint) WithCompletion(needed int) Endpoint {
	e.Completions++
	if e.Phase == Cold && !e.ReportsCold && e.Completions >= needed {
		e.Phase = Warm
	}
	return e
}

// WithHeader returns a copy updated from a response header. The endpoint is cold if the header states so, if its boot ID is new or
// if the endpoint was lost.
func (e Endpoint) WithHeader(bootID string, cold bool) Endpoint {
	e.ReportsCold = cold
	if bootID != e.BootID || e.Phase == Lost || cold {
		return e.WithCold(bootID)
	}
	return e
}

// WithSwept returns a copy with SweptTo raised to offset.
func (e Endpoint) WithSwept(offset int64) Endpoint {
	e.SweptTo = max(e.SweptTo, offset)
	return e
}

// WithLoad returns a copy with the load that was valid at the given time.
func (e Endpoint) WithLoad(load EndpointLoad, at time.Time) Endpoint {
	e.EndpointLoad, e.UpdatedAt = load, at
	return e
}

// EndpointLoad sums up the permits of an endpoint.
type EndpointLoad struct {
	// Reserved is the memory reserved by all permits.
	Reserved Tokens
	// Prefill is the number of prompt tokens of permits that wait for their first output token.
	Prefill Tokens
	// UrgentPrefill is the portion of Prefill that belongs to short and medium prompts.
	UrgentPrefill Tokens
	// LongTokens is the portion of Reserved that belongs to long and huge prompts.
	LongTokens Tokens
	// Running counts all permits.
	Running int
	// Unconfirmed counts permits whose response header has not arrived.
	Unconfirmed int
}

// LongPrefill reports whether the endpoint is processing a long or huge prompt.
func (l EndpointLoad) LongPrefill() bool { return l.Prefill > l.UrgentPrefill }

// WithPermit returns a copy that includes p.
func (l EndpointLoad) WithPermit(p Permit) EndpointLoad {
	l.Reserved += p.Tokens
	l.Running++
	if !p.FirstToken {
		l.Prefill += p.Prompt
		if p.Class <= Medium {
			l.UrgentPrefill += p.Prompt
		}
	}
	if p.Class >= Long {
		l.LongTokens += p.Tokens
	}
	if !p.Confirmed {
		l.Unconfirmed++
	}
	return l
}
