package soaker

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform/platformtest"
)

const gracePeriod = graceSeconds * time.Second

var scale = flag.Int("soak.scale", 1, "factor for the numbers of nodes, callers and slots in TestPlannedStops")

// plannedDuration is how long planned work begins; what has begun then ends.
const plannedDuration = 6 * time.Second

// Paths of requests. A long stream lasts longer than the grace period.
const (
	shortStream = "/stream/1"
	longStream  = "/stream/1?" + platformtest.EventsParameter + "=400"
	safeCall    = "/stock/1"
	booking     = "/book/1"
)

// plannedWork is the planned work of a test case.
type plannedWork struct {
	// interval is the longest time between the beginnings of two works, and stopping the largest number of nodes that stop at once.
	interval time.Duration
	stopping int
	// reloads and configurations are the numbers of SIGHUPs and new configurations for each stop.
	reloads, configurations int
}

// withScale returns the work of a deployment with a multiple of the nodes.
func (w plannedWork) withScale(factor int) plannedWork {
	w.stopping *= factor
	w.interval /= time.Duration(factor)
	return w
}

var plannedCases = []struct {
	name    string
	options options
	callers []callerGroup
	work    plannedWork
}{
	{
		"long-streams-in-series", options{nodes: 3, slots: 8, work: 10 * time.Millisecond, callTimeout: answerTimeout},
		[]callerGroup{
			{count: 20, paths: []string{longStream, shortStream, shortStream, shortStream, shortStream}, pause: 200 * time.Millisecond},
			{count: 4, paths: []string{shortStream, safeCall, booking}, pause: 50 * time.Millisecond},
		},
		plannedWork{interval: 300 * time.Millisecond, stopping: 1},
	},
	{
		"full-endpoints", options{nodes: 3, slots: 2, work: 1500 * time.Millisecond, callTimeout: answerTimeout},
		[]callerGroup{
			{count: 24, paths: []string{booking, booking, safeCall}, pause: 50 * time.Millisecond},
			{count: 10, paths: []string{shortStream, longStream}, pause: 50 * time.Millisecond},
		},
		plannedWork{interval: 800 * time.Millisecond, stopping: 2},
	},
	{
		"overlapping-work", options{nodes: 4, slots: 4, work: 200 * time.Millisecond, callTimeout: answerTimeout},
		[]callerGroup{
			{count: 16, paths: []string{shortStream, longStream, safeCall, booking}, pause: 100 * time.Millisecond},
			{count: 16, paths: []string{booking}, pause: 100 * time.Millisecond},
		},
		plannedWork{interval: 200 * time.Millisecond, stopping: 3, reloads: 2, configurations: 2},
	},
	{
		"quick-calls", options{nodes: 2, slots: 8, work: 2 * time.Millisecond, callTimeout: answerTimeout},
		[]callerGroup{{count: 4, paths: []string{safeCall, booking}, pause: 8 * time.Millisecond}},
		plannedWork{interval: 200 * time.Millisecond, stopping: 1},
	},
}

// TestPlannedStops guards against requests that a node takes and does not answer because it stops, or because its settings or configuration
// change: callers keep their connections to a node that is leaving, streams outlast its grace period, and requests wait while endpoints are full.
func TestPlannedStops(t *testing.T) {
	for _, tt := range plannedCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, nil, func(t *testing.T, seed uint64) {
				d := newDeployment(t, tt.options.withScale(*scale))
				defer func() {
					if t.Failed() {
						copyLogs(t, d, seed)
					}
				}()
				awaitReady(t, d)
				finish := startKeptCallers(t, d, tt.callers, *scale, seed)
				p := &planner{t: t, deployment: d, work: tt.work.withScale(*scale), random: rand.New(rand.NewPCG(seed, 0)), phases: map[int]phase{}}
				p.run()
				attempts := finish()
				pause(inFlightLimit)
				checkPlannedStops(t, d, p.stops, attempts)
			})
		})
	}
}

// phase is the state of a node for the planner.
type phase int

const (
	serving phase = iota
	// stopping is the state from SIGTERM to the exit of the process, starting that from there to the readiness of the next one.
	stopping
	starting
)

// planner carries out planned work. Its random choices depend on the seed only, its timing also on how long nodes take to stop.
type planner struct {
	t          *testing.T
	deployment *deployment
	work       plannedWork
	random     *rand.Rand

	mu sync.Mutex
	// phases holds the nodes that are not serving.
	phases map[int]phase
	stops  []plannedStop
}

// run begins planned work for plannedDuration and returns when all nodes serve again.
func (p *planner) run() {
	var restarts sync.WaitGroup
	for end := time.Now().Add(plannedDuration); time.Now().Before(end); {
		pause(time.Duration(p.random.Int64N(int64(p.work.interval))))
		node, other := p.random.IntN(len(p.deployment.instances)), p.random.IntN(len(p.deployment.instances))
		switch choice := p.random.IntN(1 + p.work.reloads + p.work.configurations); {
		case choice == 0:
			if p.begin(node) {
				restarts.Go(func() { p.restart(node) })
			}
		case choice <= p.work.reloads:
			p.reload(other)
		default:
			p.deployment.configure()
		}
	}
	restarts.Wait()
	awaitReady(p.t, p.deployment)
}

// begin reports whether a node may stop now.
func (p *planner) begin(node int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phases[node] != serving || len(p.phases) == p.work.stopping {
		return false
	}
	p.phases[node] = stopping
	p.stops = append(p.stops, plannedStop{node: node, at: time.Now()})
	return true
}

// reload sends SIGHUP to a node. Before a process handles the signal, SIGHUP ends it, and it handles the signal once it is ready.
func (p *planner) reload(node int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phases[node] != starting {
		p.deployment.instances[node].signal(syscall.SIGHUP)
	}
}

// restart stops a node and starts it again.
func (p *planner) restart(node int) {
	in := p.deployment.instances[node]
	stopped := in.stop()(stopLimit)
	p.setPhase(node, starting)
	if stopped {
		assert.Check(p.t, in.lastExitCode() == 0, "node %d exited with code %d", node, in.lastExitCode())
		duration, err := in.leaveDuration()
		assert.Check(p.t, err)
		assert.Check(p.t, duration <= gracePeriod, "node %d stopped after %v", node, duration)
	} else {
		p.t.Errorf("node %d did not exit", node)
		in.end()
	}
	in.start(p.t)
	for deadline := time.Now().Add(readyLimit); !in.isReady() && time.Now().Before(deadline); {
		pause(20 * time.Millisecond)
	}
	p.setPhase(node, serving)
}

func (p *planner) setPhase(node int, to phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phases[node] = to; to == serving {
		delete(p.phases, node)
	}
}

// checkPlannedStops checks that all attempts got an answer that planned work alone allows.
func checkPlannedStops(t *testing.T, d *deployment, stops []plannedStop, attempts []attempt) {
	t.Helper()
	runs := checkRuns(t, d, attempts)
	judge := lossJudge{stops: stops, grace: gracePeriod, timeout: answerTimeout}
	served, refused, excused, lost, late := 0, 0, 0, 0, 0
	for _, a := range attempts {
		if slices.ContainsFunc(stops, func(s plannedStop) bool {
			return s.node == a.node && a.written.After(s.at) && a.written.Before(s.at.Add(gracePeriod))
		}) {
			late++
		}
		switch loss := judge.loss(a, runs[a.id]); {
		case loss != "":
			lost++
			t.Error(loss)
		case !a.complete:
			excused++
		case a.code == http.StatusServiceUnavailable:
			refused++
			assert.Check(t, len(runs[a.id]) == 0, "%s was refused and ran", a.id)
		default:
			served++
		}
	}
	t.Logf("stops=%d attempts=%d afterSIGTERM=%d served=%d refused=%d excused=%d lost=%d", len(stops), len(attempts), late, served, refused, excused, lost)
	assert.Check(t, len(stops) > 0 && late > 0, "no request was sent to a node that was leaving")
}
