package soaker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

var (
	seeds  = flag.Int("soak.seeds", 2, "number of seeds to play, from 0 on")
	seed   = flag.Int64("soak.seed", -1, "play only this seed")
	budget = flag.Duration("soak.budget", 0, "play fresh seeds for this time")
	nodes  = flag.Int("soak.nodes", 4, "nodes of a deployment")
)

// failed holds each seed that ever failed, with its cause. They are played beside the others.
var failed = []uint64{
	// 5: the soak's own check; 22 and 31: a stand-in did not end while a request waited there.
	5, 22, 31,
	// 10: the proxy dropped a part of a stream and passed the rest on.
	10,
}

const (
	// faultTime is how long faults come, and calmTime how long the deployment has to recover before it must serve as before.
	faultTime = 6 * time.Second
	calmTime  = 5 * time.Second
	// outBound is the time within which work for a data centre that is out must end. The platform states it.
	outBound = 5 * time.Second
	// stopBound is the grace period of the settings and the time that a busy machine takes to end a process.
	stopBound = 6 * time.Second
	// goneBound covers the way of a request that was under way when the caller of a refused request got its answer.
	goneBound = time.Second
	// recovered is the least part of the requests that must be served after the calm.
	recovered = 0.95
)

// TestSoak guards against requests that run twice or run though they were refused, answers that are not whole, work for data centres that
// are out, and deployments that do not recover, under random faults.
func TestSoak(t *testing.T) {
	list := append([]uint64{}, failed...)
	for n := range *seeds {
		list = append(list, uint64(n))
	}
	switch {
	case *seed >= 0:
		list = []uint64{uint64(*seed)}
	case *budget > 0:
		list = nil
		for end := time.Now().Add(*budget); time.Now().Before(end); {
			play(t, rand.Uint64()>>1)
		}
	}
	for _, n := range list {
		t.Run(fmt.Sprintf("seed=%d", n), func(t *testing.T) {
			t.Parallel()
			play(t, n)
		})
	}
}

func play(t *testing.T, seed uint64) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("again: go test -count=1 -run TestSoak ./internal/proof/soaker -soak.seed %d", seed)
		}
	}()
	s := newSite(t, *nodes)
	defer func() {
		if t.Failed() {
			keepLogs(t, s, seed)
		}
	}()
	awaitReady(t, s)
	c := startCallers(s, 8, seed)
	random := rand.New(rand.NewPCG(seed, 0))
	d := &director{t: t, site: s, random: random}
	d.run()
	d.calm()
	awaitReady(t, s)
	pause(calmTime)
	mark := time.Now()
	pause(2 * time.Second)
	record := c.finish()
	pause(goneBound)
	check(t, s, d, record, mark)
}

func awaitReady(t *testing.T, s *site) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for _, in := range s.instances {
		for !in.isReady() {
			assert.Assert(t, time.Now().Before(deadline), "a node is not ready")
			pause(20 * time.Millisecond)
		}
	}
}

// keepLogs copies the logs of the nodes to bin/soak, so that the failure can be traced.
func keepLogs(t *testing.T, s *site, seed uint64) {
	t.Helper()
	folder := filepath.Join("..", "..", "..", "bin", "soak", fmt.Sprint(seed))
	assert.Check(t, os.MkdirAll(folder, 0o755))
	for _, in := range s.instances {
		data, err := os.ReadFile(in.log)
		assert.Check(t, err)
		assert.Check(t, os.WriteFile(filepath.Join(folder, filepath.Base(in.log)), data, 0o600))
	}
	t.Logf("logs are in bin/soak/%d", seed)
}

// director injects faults. Each step has a start and an end, and steps overlap.
type director struct {
	t      *testing.T
	site   *site
	random *rand.Rand
	// undo ends the faults that last.
	undo []func()
	// out holds the times in which a data centre was out.
	out []outage
}

// outage is the time in which a data centre was out; until is zero while it lasts.
type outage struct {
	dataCentre  string
	from, until time.Time
}

// step is a kind of fault. begin starts it and returns what ends it.
type step struct {
	name  string
	begin func(d *director) func()
}

var steps = []step{
	{"kill", func(d *director) func() {
		in := d.instance()
		in.end()
		return func() { in.start(d.t) }
	}},
	{"stop", func(d *director) func() {
		in := d.instance()
		stopped := in.stop()
		return func() {
			// Another step may have paused the process since.
			in.signal(syscall.SIGCONT)
			if !assert.Check(d.t, stopped(stopBound), "a process did not stop in its grace period") {
				in.end()
			}
			in.start(d.t)
		}
	}},
	{"pause", func(d *director) func() {
		in := d.instance()
		in.signal(syscall.SIGSTOP)
		return func() { in.signal(syscall.SIGCONT) }
	}},
	{"reload", func(d *director) func() {
		d.instance().signal(syscall.SIGHUP)
		return func() {}
	}},
	{"store link", func(d *director) func() { return d.part(d.instance().store) }},
	{"endpoint link", func(d *director) func() { return d.part(d.site.links[d.random.IntN(len(d.site.links))]) }},
	{"callers' link", func(d *director) func() { return d.part(d.instance().front) }},
	{"reset", func(d *director) func() {
		d.site.links[d.random.IntN(len(d.site.links))].reset(0.5, d.random)
		d.instance().store.reset(1, d.random)
		return func() {}
	}},
	{"store", func(d *director) func() {
		faults := []platformtest.StoreFault{{Status: 503}, {Status: 429}, {Silent: true}, {DropResponses: true}, {Delay: 300 * time.Millisecond}}
		d.site.store.SetFault(faults[d.random.IntN(len(faults))])
		return func() { d.site.store.SetFault(platformtest.StoreFault{}) }
	}},
	{"compact", func(d *director) func() {
		d.site.store.Compact(platform.TopicOperators)
		d.site.store.Compact(platform.TopicEndpoints)
		return func() {}
	}},
	{"endpoint", func(d *director) func() {
		faults := []platformtest.EndpointFault{{Status: 500}, {CutAfter: 3}, {Silent: true}, {Unsigned: true}, {WrongRequestID: true}}
		e := d.site.endpoints[d.random.IntN(len(d.site.endpoints))]
		e.SetFault(faults[d.random.IntN(len(faults))])
		return func() { e.SetFault(platformtest.EndpointFault{}) }
	}},
	{"configuration", func(d *director) func() {
		d.site.version++
		d.site.store.Put(platform.TopicOperators, "config", platformtest.Configuration(d.site.version))
		return func() {}
	}},
	{"data centre out", func(d *director) func() {
		dc := fmt.Sprintf("dc-%d", d.random.IntN(3))
		d.site.store.Put(platform.TopicOperators, "evacuate/"+dc, []byte("{}"))
		index := len(d.out)
		d.out = append(d.out, outage{dataCentre: dc, from: time.Now()})
		return func() {
			d.site.store.Put(platform.TopicOperators, "evacuate/"+dc, nil)
			d.out[index].until = time.Now()
		}
	}},
}

func (d *director) instance() *instance {
	return d.site.instances[d.random.IntN(len(d.site.instances))]
}

// part breaks a link in one of several ways.
func (d *director) part(p *proxy) func() {
	faults := []linkFault{{delay: 150 * time.Millisecond}, {swallow: true}, {answer: true}, {swallow: true, answer: true}}
	p.setFault(faults[d.random.IntN(len(faults))])
	return func() { p.setFault(linkFault{}) }
}

// run begins a step every few hundred milliseconds and ends it after up to two seconds. One step of a kind that restarts runs at a time for
// each instance, because start and end of a process take turns.
func (d *director) run() {
	type due struct {
		at  time.Time
		end func()
	}
	var open []due
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		pause(time.Duration(50+d.random.IntN(450)) * time.Millisecond)
		rest := open[:0]
		for _, o := range open {
			if time.Now().Before(o.at) {
				rest = append(rest, o)
				continue
			}
			o.end()
		}
		open = rest
		if len(open) < 4 {
			begun := steps[d.random.IntN(len(steps))].begin(d)
			open = append(open, due{at: time.Now().Add(time.Duration(d.random.IntN(2000)) * time.Millisecond), end: begun})
		}
	}
	for _, o := range open {
		d.undo = append(d.undo, o.end)
	}
}

// calm ends all faults.
func (d *director) calm() {
	for _, end := range d.undo {
		end()
	}
	for _, in := range d.site.instances {
		in.signal(syscall.SIGCONT)
		in.start(d.t)
	}
}

// check compares what callers got with what endpoints ran.
func check(t *testing.T, s *site, d *director, record []attempt, mark time.Time) {
	t.Helper()
	runs := map[string][]platformtest.Run{}
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			runs[r.Request] = append(runs[r.Request], r)
			assert.Check(t, r.Credential == "" && r.Member == platformtest.Member, "run of %s has member %q", r.Request, r.Member)
			assert.Check(t, r.Body == platformtest.Payload(r.Request), "run of %s has body %q", r.Request, r.Body)
		}
	}
	served, late := 0, 0
	for _, a := range record {
		ran := len(runs[a.id])
		unsafe := strings.HasPrefix(a.path, "/book/")
		assert.Check(t, !unsafe || ran <= 1, "%s ran %d times", a.id, ran)
		assert.Check(t, !unsafe || a.code != 503 && a.code != 429 || ran == 0, "%s was refused and ran", a.id)
		assert.Check(t, ran <= 2, "%s ran %d times, 2 allowed", a.id, ran)
		if a.code == 200 && a.whole {
			assert.Check(t, complete(a), "%s got a wrong answer: %q", a.id, a.body)
		}
		if a.sent.After(mark) {
			late++
			if a.code == 200 && a.whole {
				served++
			}
		}
	}
	assert.Check(t, late > 0 && float64(served) >= recovered*float64(late), "%d of %d requests were served after the calm", served, late)
	d.checkOutages(t, s)
}

// complete tells whether an answer is the whole one of its request.
func complete(a attempt) bool {
	if !strings.HasPrefix(a.path, "/stream/") {
		return strings.HasSuffix(a.body, " answers "+a.id)
	}
	var want strings.Builder
	for n := range 20 {
		want.WriteString(platformtest.Event(n + 1))
	}
	return a.body == want.String()
}

// checkOutages looks for work that reached a data centre long after it was taken out. Nodes that could not read the store are excused, so
// that only outages of the calm count.
func (d *director) checkOutages(t *testing.T, s *site) {
	t.Helper()
	for _, o := range d.out {
		if o.until.IsZero() {
			o.until = time.Now()
		}
		for _, e := range s.endpoints {
			if e.DataCentre != o.dataCentre {
				continue
			}
			for _, r := range e.Runs() {
				assert.Check(t, r.StartedAt.Before(o.from.Add(outBound)) || r.StartedAt.After(o.until), "%s ran in %s %v after it was taken out",
					r.Request, o.dataCentre, r.StartedAt.Sub(o.from))
			}
		}
	}
}
