// Package collector counts the events that the forwarder reports and serves them in the Prometheus text format. Labels are length class,
// outcome, code, member and objective, never a value that is specific to one request.
package collector

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/telemetry/reporter"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// Options configure a Collector.
type Options struct {
	// Objectives are DefaultObjectives if they are zero.
	Objectives Objectives
	// MaxMembers bounds the number of members with their own counters; zero means DefaultMaxMembers. Further members are
	// counted as OtherMembers.
	MaxMembers int
	// Snapshot provides the values of gauges. It may be nil, and it may return nil before the first tick of the control loop.
	Snapshot func() *modeler.Snapshot
}

// DefaultMaxMembers limits the memory of the counters of members to about 2 MB: each member has up to 18 counters of about 200 bytes.
const DefaultMaxMembers = 512

// OtherMembers is the label of members beyond MaxMembers.
const OtherMembers modeler.MemberID = "_other"

// serviceClass is the class label of service calls, which have no prompt and therefore no length class.
const serviceClass = "Service"

// Bucket bounds of histograms in seconds, finest around the targets of 0.62 s and 36 ms.
var (
	firstTokenBounds = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.62, 0.8, 1, 1.5, 2, 4, 8, 16, 32, 64, 128, 256, 512}
	tokenGapBounds   = []float64{0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.036, 0.045, 0.06, 0.1, 0.2, 0.5, 1, 2, 4, 8}
	durationBounds   = []float64{0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 600}
)

// Collector implements forwarder.Observer, reporter.Source and http.Handler. It is safe for concurrent use.
type Collector struct {
	options Options
	set     *metrics.Set
	// firstToken and tokenGap are indexed by length class.
	firstToken, tokenGap [4]*metrics.PrometheusHistogram
	attempts             *metrics.Counter
	delivered            *metrics.Counter

	mu sync.RWMutex
	// members holds the members with their own counters; counters holds the counters of all objectives.
	members  map[modeler.MemberID]bool
	counters map[reporter.Key]objectiveCounter
}

// objectiveCounter counts one objective.
type objectiveCounter struct {
	good, total *metrics.Counter
	target      float64
}

// New returns a Collector.
func New(options Options) *Collector {
	if options.Objectives == (Objectives{}) {
		options.Objectives = DefaultObjectives
	}
	if options.MaxMembers <= 0 {
		options.MaxMembers = DefaultMaxMembers
	}
	c := &Collector{
		options: options, set: metrics.NewSet(),
		members: map[modeler.MemberID]bool{}, counters: map[reporter.Key]objectiveCounter{},
	}
	for class := modeler.Short; class <= modeler.Huge; class++ {
		c.firstToken[class] = c.set.NewPrometheusHistogramExt(fmt.Sprintf(`damaskpick_first_token_seconds{class=%q}`, class), firstTokenBounds)
		c.tokenGap[class] = c.set.NewPrometheusHistogramExt(fmt.Sprintf(`damaskpick_token_gap_seconds{class=%q}`, class), tokenGapBounds)
	}
	c.attempts = c.set.NewCounter("damaskpick_attempts_total")
	c.delivered = c.set.NewCounter("damaskpick_delivered_tokens_total")
	c.addGauges()
	return c
}

// addGauges registers the gauges for the state of the node.
func (c *Collector) addGauges() {
	for _, gauge := range []struct {
		name  string
		value func(*modeler.Snapshot) int
	}{
		{"damaskpick_requests_queued", func(s *modeler.Snapshot) int { return s.Queued }},
		{"damaskpick_requests_running", func(s *modeler.Snapshot) int { return s.Running }},
		{"damaskpick_rules_version", func(s *modeler.Snapshot) int { return int(s.Rules.Version) }},
		{"damaskpick_node_fenced", func(s *modeler.Snapshot) int { return boolToInt(s.Fenced) }},
		{"damaskpick_node_leaving", func(s *modeler.Snapshot) int { return boolToInt(s.Leaving) }},
	} {
		c.set.NewGauge(gauge.name, func() float64 {
			if c.options.Snapshot == nil {
				return 0
			}
			if snapshot := c.options.Snapshot(); snapshot != nil {
				return float64(gauge.value(snapshot))
			}
			return 0
		})
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// FirstToken implements forwarder.Observer.
func (c *Collector) FirstToken(class modeler.LengthClass, after time.Duration) {
	c.firstToken[class].Update(after.Seconds())
}

// TokenGap implements forwarder.Observer.
func (c *Collector) TokenGap(class modeler.LengthClass, gap time.Duration) {
	c.tokenGap[class].Update(gap.Seconds())
}

// Ended implements forwarder.Observer.
func (c *Collector) Ended(s forwarder.Summary) {
	class := s.Class.String()
	if s.Kind == modeler.Service {
		class = serviceClass
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`damaskpick_requests_total{class=%q,outcome=%q,code=%q}`, class, outcomeOf(s.Code), s.Code)).Inc()
	c.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`damaskpick_request_seconds{class=%q}`, class), durationBounds).Update(s.Duration.Seconds())
	c.attempts.Add(s.Attempts)
	c.delivered.AddInt64(int64(s.Delivered))
	objectives := c.options.Objectives
	member := c.memberLabel(s.Member)
	c.count(reporter.Key{Member: member, Class: class, Objective: FirstToken}, objectives.firstToken(s), objectives.FirstTokenTarget)
	c.count(reporter.Key{Member: member, Class: class, Objective: Answer}, objectives.answer(s), objectives.AnswerTarget)
}

// Refused counts a refusal that the HTTP handler decided, such as a body that is not JSON, or an internal error.
func (c *Collector) Refused(code modeler.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`damaskpick_invalid_requests_total{code=%q}`, code)).Inc()
}

// outcomeOf returns the outcome label for a code.
func outcomeOf(code modeler.Code) string {
	switch code {
	case "":
		return "Complete"
	case forwarder.CodeCallerGone:
		return "Left"
	case modeler.CodeEndpointFailed, modeler.CodeDeadlineExceeded, modeler.CodeOutcomeUnknown:
		return "Failed"
	default:
		return "Refused"
	}
}

// memberLabel returns the member, or OtherMembers once too many members have counters.
func (c *Collector) memberLabel(member modeler.MemberID) modeler.MemberID {
	c.mu.RLock()
	known := c.members[member]
	c.mu.RUnlock()
	if known {
		return member
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.members[member] && len(c.members) >= c.options.MaxMembers {
		return OtherMembers
	}
	c.members[member] = true
	return member
}

func (c *Collector) count(key reporter.Key, r rating, target float64) {
	if r == uncounted {
		return
	}
	counter := c.counter(key, target)
	counter.total.Inc()
	if r == good {
		counter.good.Inc()
	}
}

func (c *Collector) counter(key reporter.Key, target float64) objectiveCounter {
	c.mu.RLock()
	counter, ok := c.counters[key]
	c.mu.RUnlock()
	if ok {
		return counter
	}
	labels := fmt.Sprintf(`{member=%q,class=%q,objective=%q}`, key.Member, key.Class, key.Objective)
	c.mu.Lock()
	defer c.mu.Unlock()
	counter = objectiveCounter{
		good:   c.set.GetOrCreateCounter("damaskpick_objective_good_total" + labels),
		total:  c.set.GetOrCreateCounter("damaskpick_objective_events_total" + labels),
		target: target,
	}
	c.counters[key] = counter
	return counter
}

// Counts implements reporter.Source.
func (c *Collector) Counts() []reporter.KeyCount {
	c.mu.RLock()
	defer c.mu.RUnlock()
	counts := make([]reporter.KeyCount, 0, len(c.counters))
	for key, counter := range c.counters {
		// count increments total before good. Reading them in the reverse order ensures that Good does not exceed Total.
		good := counter.good.Get()
		counts = append(counts, reporter.KeyCount{
			Key: key, Count: reporter.Count{Good: good, Total: counter.total.Get()}, Target: counter.target,
		})
	}
	return counts
}

// ServeHTTP serves all metrics, and those of the process, in the Prometheus text format.
func (c *Collector) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}
