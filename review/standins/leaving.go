//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// drainTime is the bound drainMs, and contactTime the bound contactMs.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// leaving plays the silence of the store for 3 s and, 3.05 s after its end, an engine that leaves: its entry is removed, and it serves on for a little
// longer than drainMs.
func leaving(r *rig) (int, error) {
	const (
		nodeCount = 9
		rate      = 120.0
		outage    = 3000 * time.Millisecond
		// lingers is how long the engine serves on after its entry was removed: drainMs and a little longer.
		lingers = 2150 * time.Millisecond
	)
	r.store.Put("keyed.op", "config", configuration(0, 16))
	var engines []*engine
	for i, zone := range zones {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: zone, slots: 6, work: 60 * time.Millisecond}
		if err := e.start(r); err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	if err := r.addNodes(nodeCount, defaultBounds); err != nil {
		return failed, err
	}
	if err := r.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)

	c := newClients(r)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.load(ctx, rate, time.Second, func(i int) string {
		if i%2 == 0 {
			return "/book/truck"
		}
		return "/stock/panels"
	})
	time.Sleep(time.Second)
	if r.trouble {
		r.note("the store is silent for %s", outage)
		r.store.setMute(true)
	}
	time.Sleep(outage)
	if r.trouble {
		r.store.setMute(false)
		r.note("the store answers again")
	}
	time.Sleep(contactTime + 50*time.Millisecond)
	gone := engines[0]
	gone.remove()
	acknowledged := time.Now()
	r.note("the entry of %s is removed; it serves on for %s", gone.id, lingers)
	time.Sleep(time.Until(acknowledged.Add(lingers)))
	gone.stop()
	r.note("%s has ended", gone.id)
	time.Sleep(1500 * time.Millisecond)
	stop()
	c.finish(engines)

	late, latest := 0, time.Duration(0)
	for _, a := range gone.got() {
		if after := a.at.Sub(acknowledged); after > drainTime {
			late++
			latest = max(latest, after)
		}
	}
	if len(gone.got()) == 0 {
		return failed, fmt.Errorf("%w: no request reached the engine", errSetup)
	}
	cut := c.cutOff(gone)
	return r.verdict("DRAIN", late > 0, fmt.Sprintf(
		"%d requests reached %s more than %s after the removal of its entry was acknowledged, the last one after %s; %d bookings that it had begun were cut off by its end",
		late, gone.id, drainTime, latest.Round(time.Millisecond), cut,
	)), nil
}

// cutOff returns the number of bookings that an engine had begun and whose clients did not get its answer.
func (c *clients) cutOff(e *engine) int {
	began := map[string]bool{}
	for _, a := range e.got() {
		began[a.request] = a.ran
	}
	count := 0
	for _, s := range c.sent {
		if s.path == "/book/truck" && began[s.id] && s.status != 200 {
			count++
		}
	}
	return count
}
