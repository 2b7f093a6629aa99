package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

const (
	deadlyPart = "dd04"
	// oncePrefix begins the path of prompts that may run once.
	oncePrefix    = "/stream/once/"
	deadlyEngines = 12
	deadlyNodes   = 8
	// downFor is how long an engine is down, and deadlyEvery the number of requests of which one has the deadly part.
	downFor        = 3 * time.Second
	deadlyEvery    = 7
	deadlyInterval = 70 * time.Millisecond
	deadlyTime     = 65 * time.Second
	// The machines are stopped and started in turn from rollAfter on, one each rollGap.
	rollAfter = 37 * time.Second
	rollGap   = 2 * time.Second
	restart   = 500 * time.Millisecond
	// contact is contactMs of the site, and allowedLate the number of requests that the rule allows.
	contact     = 3 * time.Second
	allowedLate = 3
)

// deadly sends prompts of which some share a part that crashes engines, stops and starts the machines in turn, and counts how many reach engines late.
func deadly(r *rig) (int, error) {
	list := make([]*platformtest.Endpoint, 0, deadlyEngines)
	for i := range deadlyEngines {
		e := &platformtest.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Service: resumedService, DataCentre: "zone-a", Slots: 4, Events: 16, Pause: 60 * time.Millisecond,
			IP: fmt.Sprintf("127.0.13.%d", i+1),
		}
		e.OnRestart = func() {
			r.log("engine %s is back", e.ID)
			r.store.Put("keyed.servers", e.ID, e.Entry(e.Address(), "ready"))
		}
		e.SetFault(platformtest.EndpointFault{CrashingPart: deadlyPart, DownFor: downFor})
		r.closers = append(r.closers, e.Start())
		r.store.Put("keyed.servers", e.ID, e.Entry(e.Address(), "ready"))
		list = append(list, e)
	}
	r.store.Put("keyed.op", "config", deadlyConfiguration())
	for i := range deadlyNodes {
		if err := r.startNode(fmt.Sprintf("front-%d", i), "zone-a"); err != nil {
			return exitNotRun, err
		}
		// Nodes that register earlier place the requests of the others.
		time.Sleep(150 * time.Millisecond)
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var rolled sync.WaitGroup
	stopped := make([]time.Time, deadlyNodes)
	back := make([]time.Time, deadlyNodes)
	if r.trouble {
		rolled.Go(func() { roll(r, begin, stopped, back) })
	}
	sound, served, got200 := 0, 0, map[string]bool{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := 1; time.Since(begin) < deadlyTime; i++ {
		prefix, id := fmt.Sprintf("aa01:40,cc02:100,%x:360", 1000+i), fmt.Sprintf("%016x", i)
		n, path := r.nodes[i%len(r.nodes)], fmt.Sprintf("/stream/%d", i)
		if i%deadlyEvery == 0 {
			// The callers of these know one half of the machines, which are stopped last.
			n = r.nodes[deadlyNodes/2+i/deadlyEvery%(deadlyNodes/2)]
			prefix = fmt.Sprintf("aa01:40,cc02:100,%s:60,%x:300", deadlyPart, 1000+i)
		}
		if i%2 == 1 {
			path = fmt.Sprintf("%s%d", oncePrefix, i)
		}
		callers.Go(func() {
			got := send(r.ctx, n.callers, fmt.Sprintf(
				"POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 10000\r\nModel: m\r\nToken-Usage: 500,300\r\nPrompt-Prefix: %s\r\nContent-Length: 8\r\nConnection: close\r\n\r\n%08d",
				path, resumedHost, id, prefix, i), 11*time.Second)
			r.log("client of %s, %s, %s, via %s got %d, end: %s", id, path, prefix, n.name, got.status, endOf(got))
			if platformtest.HasSharedPart(prefix, deadlyPart) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sound++
			if got.status == 200 && got.err == nil {
				served++
				got200[id] = true
			}
		})
		time.Sleep(deadlyInterval)
	}
	callers.Wait()
	rolled.Wait()
	r.log("%d of %d sound prompts were served", served, sound)
	logCutOff(r, list, got200)
	inTouch := func(request string, at time.Time) bool {
		number, err := strconv.ParseInt(request, 16, 64)
		i := deadlyNodes/2 + int(number)/deadlyEvery%(deadlyNodes/2)
		return err == nil && (stopped[i].IsZero() || at.Before(stopped[i]) || !back[i].IsZero() && at.Sub(back[i]) > contact)
	}
	return judgeDeadly(r, list, begin, inTouch), nil
}

// deadlyConfiguration is the configuration of the case resumed with a route for prompts that may be resumed, and one for prompts that may run once.
func deadlyConfiguration() []byte {
	var value map[string]any
	if err := json.Unmarshal(resumedConfiguration(), &value); err != nil {
		panic(err) // cannot happen: the text was just encoded
	}
	routes := value["routes"].([]any)
	route := routes[0].(map[string]any)
	route["pathPrefix"] = "/stream/"
	once := maps.Clone(route)
	once["name"], once["pathPrefix"], once["streamResume"], once["maxAttempts"] = "once", oncePrefix, false, 1
	value["routes"] = append(routes, once)
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: the value was just decoded
	}
	return encoded
}

// crashesOf returns the times of all crashes, the earliest first.
func crashesOf(list []*platformtest.Endpoint) []time.Time {
	var crashes []time.Time
	for _, e := range list {
		crashes = append(crashes, e.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// logCutOff writes to the record which sound prompts that may run once were on an engine when a late request crashed it, and were not served.
func logCutOff(r *rig, list []*platformtest.Endpoint, served map[string]bool) {
	crashes := crashesOf(list)
	count := 0
	for _, e := range list {
		for _, run := range e.Runs() {
			if platformtest.HasSharedPart(run.Prefix, deadlyPart) || served[run.Request] || !strings.HasPrefix(run.Path, oncePrefix) {
				continue
			}
			for _, crash := range e.Crashes() {
				if after := crash.Sub(run.StartedAt); after > 0 && after < time.Second && len(crashes) >= 5 && crash.Sub(crashes[4]) > contact {
					count++
					r.log("cut off: %s had run for %.2f s on engine %s when it crashed", run.Request, after.Seconds(), e.ID)
				}
			}
		}
	}
	r.log("%d sound prompts that may run once were on an engine when a late request crashed it, and were lost", count)
}

// roll stops the machines in the order in which they have registered and starts each again after it has ended.
func roll(r *rig, begin time.Time, stopped, back []time.Time) {
	time.Sleep(time.Until(begin.Add(rollAfter)))
	var starts sync.WaitGroup
	for i, n := range r.nodes {
		r.log("SIGTERM to %s", n.name)
		stopped[i] = time.Now()
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		starts.Go(func() {
			<-n.done
			time.Sleep(restart)
			if err := r.run(n); err != nil {
				r.log("restart of %s: %v", n.name, err)
			}
			back[i] = time.Now()
		})
		time.Sleep(rollGap)
	}
	starts.Wait()
}

// judgeDeadly applies the rule BUDGET to requests with a part that crashes engines.
func judgeDeadly(r *rig, list []*platformtest.Endpoint, begin time.Time, inTouch func(request string, at time.Time) bool) int {
	crashes := crashesOf(list)
	var reached []platformtest.Run
	for _, e := range list {
		for _, run := range e.Runs() {
			if platformtest.HasSharedPart(run.Prefix, deadlyPart) {
				reached = append(reached, run)
			}
		}
	}
	if len(reached) == 0 {
		return exitNotRun
	}
	slices.SortFunc(reached, func(a, b platformtest.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	if len(crashes) < 5 {
		r.log("%d requests with the part reached engines, %d engines crashed", len(reached), len(crashes))
		return exitHeld
	}
	late := 0
	for _, run := range reached {
		if run.StartedAt.Sub(crashes[4]) <= contact {
			continue
		}
		counts := inTouch(run.Request, run.StartedAt)
		r.log("late: %s with the part reached an engine %.2f s after the begin, from a machine in touch: %v", run.Request, run.StartedAt.Sub(begin).Seconds(), counts)
		if counts {
			late++
		}
	}
	r.log("%d requests with the part reached engines, %d engines crashed, the fifth after %.2f s; %d reached them later than %v after that, %d are allowed",
		len(reached), len(crashes), crashes[4].Sub(begin).Seconds(), late, contact, allowedLate)
	if late > allowedLate {
		return exitBroken
	}
	return exitHeld
}
