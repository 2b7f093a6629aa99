package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fleetSize is the number of model engines of the cases.
	fleetSize = 21
	// releaseStep engines are replaced at a time, less than half of them, and releaseGap lies between two replacements: within x = 11 and gap_s = 1.
	releaseStep = 9
	releaseGap  = 2100 * time.Millisecond
	// releaseTime is how long engines are replaced. loadTime is how long the load lasts, and streamsPerSecond how much it is: less than play-summary, 83.7 a
	// second, with a burst of 2.5 times. All of it comes to one node, as when the other ones are lost.
	releaseTime      = 65 * time.Second
	loadTime         = 90 * time.Second
	streamsPerSecond = 120
	streamEvents     = 36
	// probers is the number of clients that try a new connection, and contactTime the bound contactMs.
	probers     = 8
	contactTime = 4 * time.Second
)

// releaseCase replaces the engines of the model service again and again while a node serves, and checks that the node takes new connections.
func releaseCase(trouble bool) int {
	r := newRig()
	r.configure([]map[string]any{streamRoute("/kit/"), callRoute("/stock/", "safe"), callRoute("/book/", "unsafe")})
	zones := []string{"almaty-a", "almaty-b", "almaty-c"}
	for i := range fleetSize {
		r.add(fmt.Sprintf("i-%d", i), modelService, zones[i%3], 0)
	}
	for i, zone := range zones {
		r.add(fmt.Sprintf("p-%d", i), plainService, zone, 0)
	}
	n := r.start("front-a", zones[0], small)
	r.awaitReady()
	note("node %s is ready, %d descriptors open", n.name, n.descriptors())

	end := time.Now().Add(loadTime)
	var sent, served, failed atomic.Int64
	var clients sync.WaitGroup
	clients.Go(func() { sendStreams(n, end, &sent, &served, &failed) })
	if trouble {
		clients.Go(func() { r.release(end.Add(releaseTime - loadTime)) })
	}
	ready := &http.Client{}
	starved, longest := time.Time{}, time.Duration(0)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		ok, err := isReady(ready, n)
		taken := probe(n)
		note("descriptors %d, ready on the kept connection %v (%v), new connections answered %d of %d, streams sent %d served %d failed %d",
			n.descriptors(), ok, err, taken, probers, sent.Load(), served.Load(), failed.Load())
		switch {
		case taken > 0 || !ok:
			starved = time.Time{}
		case starved.IsZero():
			starved = time.Now()
		default:
			longest = max(longest, time.Since(starved))
		}
	}
	clients.Wait()
	note("the node was ready and took no new connection for %.1f s, alive %v, %d engines started", longest.Seconds(), n.alive(), len(r.all))
	if longest > contactTime || !n.alive() {
		return broken
	}
	return held
}

// sendStreams sends streams at a steady rate on kept connections.
func sendStreams(n *node, end time.Time, sent, served, failed *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400}}
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for time.Now().Before(end) {
		<-ticker.C
		sent.Add(1)
		running.Go(func() {
			if code, err := stream(client, n, newID(), "/kit/", shortPrompt, streamEvents); err == nil && code == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	running.Wait()
}

// release replaces engines of the model service: the new ones start first, then the old ones drain.
func (r *rig) release(end time.Time) {
	next := fleetSize
	var leaving sync.WaitGroup
	for ; time.Now().Before(end); time.Sleep(releaseGap) {
		r.mu.Lock()
		var old, kept []*engine
		for _, e := range r.engines {
			if e.service == modelService && len(old) < releaseStep {
				old = append(old, e)
			} else {
				kept = append(kept, e)
			}
		}
		r.engines = kept
		r.mu.Unlock()
		for _, e := range old {
			r.add(fmt.Sprintf("i-%d", next), modelService, e.zone, coldTime)
			next++
		}
		for _, e := range old {
			leaving.Go(func() { e.leave(r.store) })
		}
	}
	leaving.Wait()
}

// probe has several clients open a new connection each and send a call there, and returns how many got an answer.
func probe(n *node) int {
	var answered atomic.Int64
	var trying sync.WaitGroup
	for range probers {
		trying.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
			request, err := newRequest(timeless, http.MethodGet, n.callers, "/stock/1", newID(), time.Second, http.NoBody)
			if err != nil {
				return
			}
			if _, err := exchange(client, request); err == nil {
				answered.Add(1)
			}
		})
	}
	trying.Wait()
	return int(answered.Load())
}
