// Package observer writes the log and the metrics of a node. The log has one line for each decision about a request and each change of the
// control state. The metrics have no labels for single requests, members or endpoints.
package observer

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Options configures an Observer.
type Options struct {
	// Self is the node whose log and metrics are written.
	Self modeler.Node
	// Events receives log lines about failed or slow requests and changes of the control state. Requests receives those about all other
	// requests and about routine events.
	Events, Requests zerolog.Logger
	// Snapshot returns the control state from which the gauges are read.
	Snapshot func() *modeler.Snapshot
	// Dialed returns the number of connections opened to endpoints. PeerFailures returns the number of messages between nodes that could not
	// be sent or read.
	Dialed, PeerFailures func() int64
	// Retries returns the number of this node's retries within the window of the retry budget.
	Retries func() int
}

// Observer writes the log and the metrics of a node. It is safe for concurrent use.
type Observer struct {
	options Options
	set     *metrics.Set
	// gaveWayLines limits the log lines about connections that gave way, of which a crowd of clients causes thousands.
	gaveWayLines *rate.Limiter
}

// New returns an observer whose gauges read the current values from the functions in options.
func New(options Options) *Observer {
	o := &Observer{options: options, set: metrics.NewSet(), gaveWayLines: rate.NewLimiter(1, 1)}
	snapshot := options.Snapshot
	node := fmt.Sprintf("damaskpick_node{node=%q,data_centre=%q}", string(options.Self.ID), string(options.Self.DataCentre))
	o.set.NewGauge(node, func() float64 { return 1 })
	o.set.NewGauge("damaskpick_configuration_version", func() float64 { return float64(snapshot().Configuration.Version) })
	o.set.NewGauge("damaskpick_operators_age_seconds", func() float64 { return snapshot().OperatorsAge.Seconds() })
	o.set.NewGauge("damaskpick_endpoints_age_seconds", func() float64 { return snapshot().EndpointsAge.Seconds() })
	for _, state := range modeler.EndpointStates {
		o.set.NewGauge(`damaskpick_endpoints{state="`+string(state)+`"}`, func() float64 { return float64(snapshot().Endpoints[state]) })
	}
	o.set.NewGauge("damaskpick_endpoints_limited", func() float64 { return float64(len(snapshot().Limited)) })
	o.set.NewGauge("damaskpick_endpoints_leaving", func() float64 { return float64(snapshot().Leaving) })
	o.set.NewGauge("damaskpick_nodes_alive", func() float64 { return float64(len(snapshot().Alive)) })
	o.set.NewGauge("damaskpick_coordinates", func() float64 {
		if s := snapshot(); s.Coordinator == s.Self.ID {
			return 1
		}
		return 0
	})
	o.set.NewGauge("damaskpick_reads_for_all", func() float64 {
		if snapshot().ReadsForAll {
			return 1
		}
		return 0
	})
	o.set.NewGauge("damaskpick_repeats", func() float64 { return float64(options.Retries()) })
	o.set.NewGauge("damaskpick_waiting", func() float64 { return float64(snapshot().Waiting) })
	o.set.NewGauge("damaskpick_quarantined", func() float64 { return float64(snapshot().Quarantined) })
	o.set.NewGauge("damaskpick_suspect_requests", func() float64 { return float64(snapshot().SuspectRequests) })
	o.set.NewGauge("damaskpick_endpoint_connections_opened_total", func() float64 { return float64(options.Dialed()) })
	o.set.NewGauge("damaskpick_peer_failures_total", func() float64 { return float64(options.PeerFailures()) })
	return o
}

// ServeHTTP serves the metrics in the Prometheus text format.
func (o *Observer) ServeHTTP(w http.ResponseWriter, _ *http.Request) { o.set.WritePrometheus(w) }

// routineEvents holds the frequent events that are written to Options.Requests, whose lines may be rate-limited: placements of requests,
// endpoints that a node reads for the first time, and reports of broken attempts, of which a data centre that fails causes thousands.
var routineEvents = map[modeler.LogEventName]bool{
	modeler.LogEventPlaced: true, modeler.LogEventEndpointKnown: true, modeler.LogEventBrokenAttemptReported: true,
}

// LogDecision counts a decision of the control goroutine and writes a log line for it.
func (o *Observer) LogDecision(event modeler.LogEvent) {
	o.set.GetOrCreateCounter(`damaskpick_decisions_total{event="` + string(event.Name) + `"}`).Inc()
	log := o.options.Events
	if routineEvents[event.Name] {
		log = o.options.Requests
	}
	line := log.Info()
	if event.Request != "" {
		line = line.Str("Request", string(event.Request))
	}
	for _, field := range event.Fields {
		line = addField(line, field)
	}
	line.Msg(string(event.Name))
}

func addField(line *zerolog.Event, field modeler.LogField) *zerolog.Event {
	switch value := field.Value.(type) {
	case string:
		return line.Str(field.Key, value)
	case time.Duration:
		return line.Str(field.Key, value.Round(100*time.Microsecond).String())
	case bool:
		return line.Bool(field.Key, value)
	case int:
		return line.Int(field.Key, value)
	case int64:
		return line.Int64(field.Key, value)
	case modeler.Position:
		return line.Stringer(field.Key, value)
	case modeler.Tokens:
		return line.Int64(field.Key, int64(value))
	case float64:
		return line.Float64(field.Key, value)
	default:
		return line.Interface(field.Key, value)
	}
}

// Retried counts an attempt that is followed by another one and writes a log line for it.
func (o *Observer) Retried(call forwarder.Call, attempt int, last modeler.Outcome, endpoint modeler.EndpointID) {
	o.set.GetOrCreateCounter(`damaskpick_retries_total{outcome="` + last.String() + `"}`).Inc()
	o.options.Events.Info().Str("Request", string(call.Fields.ID)).Int("Attempt", attempt).Str("Outcome", last.String()).
		Str("Endpoint", string(endpoint)).Dur("Age", time.Since(call.Arrived)).Msg(string(modeler.LogEventAttemptRepeated))
}

// AnswerInvalid counts an invalid answer of an endpoint and writes a log line for it.
func (o *Observer) AnswerInvalid(answer forwarder.InvalidAnswer) {
	o.set.GetOrCreateCounter(`damaskpick_invalid_answers_total{fault="` + string(answer.Fault) + `"}`).Inc()
	o.options.Events.Warn().Str("Request", string(answer.Request)).Str("Endpoint", string(answer.Endpoint)).Str("Fault", string(answer.Fault)).
		AnErr("error", answer.Err).Msg(string(modeler.LogEventAnswerInvalid))
}

// Ended records the metrics of a finished request and writes a log line for it.
func (o *Observer) Ended(call forwarder.Call, r forwarder.Result) {
	kind := call.Route.Kind.String()
	o.set.GetOrCreateCounter(`damaskpick_requests_total{kind="` + kind + `",status="` + r.Status.String() + `"}`).Inc()
	late := r.First > call.Route.Target || call.Route.GapTarget > 0 && r.Pause > call.Route.GapTarget
	if late {
		o.set.GetOrCreateCounter(`damaskpick_late_total{kind="` + kind + `"}`).Inc()
	}
	if r.First > 0 {
		o.set.GetOrCreateHistogram(`damaskpick_first_seconds{kind="` + kind + `"}`).Update(r.First.Seconds())
	}
	log := o.options.Requests
	if late || r.Status != forwarder.Delivered || r.Code >= http.StatusInternalServerError {
		log = o.options.Events
	}
	line := log.Info().Str("Request", string(call.Fields.ID)).Str("Route", call.Route.Name).Str("Status", r.Status.String()).
		Int("Code", r.Code).Str("Endpoint", string(r.Endpoint)).Int("Helpers", r.Helpers).Int("Attempts", r.Attempts).
		Str("Last", lastOutcome(r)).Int64("Prompt", int64(call.Fields.Prompt)).Int64("Output", int64(call.Fields.Output)).
		Dur("First", r.First).Dur("Pause", r.Pause).Dur("Took", time.Since(call.Arrived)).Bool("Late", late)
	if r.Reason != "" {
		line = line.Str("Reason", string(r.Reason)).Dur("RetryAfter", r.RetryAfter)
	}
	line.Msg(string(modeler.LogEventRequestEnded))
}

// lastOutcome returns the outcome of the last attempt, or an empty string if there was none.
func lastOutcome(r forwarder.Result) string {
	if r.Attempts == 0 {
		return ""
	}
	return r.Last.String()
}

// Rejected counts a request that the node answered with an error without placing it, and writes a log line for it: the request was too large,
// matched no route or service, had no valid credential, or the node had no configuration yet. version and age are those of the operators'
// configuration.
func (o *Observer) Rejected(id modeler.RequestID, code int, version int64, age time.Duration) {
	o.set.GetOrCreateCounter(`damaskpick_rejected_total{code="` + http.StatusText(code) + `"}`).Inc()
	o.options.Events.Info().Str("Request", string(id)).Int("Code", code).Int64("Version", version).Dur("ConfigurationAge", age).Msg(string(modeler.LogEventRequestRejected))
}

// Unreadable counts a record of the store that cannot be decoded and writes a log line for it.
func (o *Observer) Unreadable(topic modeler.Topic, record modeler.Record, err error) {
	o.set.GetOrCreateCounter(`damaskpick_unreadable_records_total{topic="` + topic.String() + `"}`).Inc()
	o.options.Events.Warn().Str("Topic", topic.String()).Str("Key", record.Key).Stringer("Offset", record.Offset).Err(err).Msg(string(modeler.LogEventRecordUnreadable))
}

// StateUnusable counts a state of the operators' records that could not be packed for other nodes or restored, and writes a log line for it.
func (o *Observer) StateUnusable(err error) {
	o.set.GetOrCreateCounter("damaskpick_unusable_states_total").Inc()
	o.options.Events.Warn().Err(err).Msg(string(modeler.LogEventStateUnusable))
}

// WatchStates adds a metric for the bytes of packed states that were sent to other nodes.
func (o *Observer) WatchStates(sentBytes func() int64) {
	o.set.NewGauge("damaskpick_state_sent_bytes_total", func() float64 { return float64(sentBytes()) })
}

// Lifecycle writes a log line for an event of the process, such as its start or stop.
func (o *Observer) Lifecycle(name modeler.LogEventName, fields ...modeler.LogField) {
	line := o.options.Events.Info()
	for _, field := range fields {
		line = addField(line, field)
	}
	line.Msg(string(name))
}
