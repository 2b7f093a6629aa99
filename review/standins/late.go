//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// late plays a registration that gets no answer and is carried out 5 s later, of a node that is killed and started again meanwhile. Another node starts
// after it. Engines name a Server-Limit.
func late(r *rig) (int, error) {
	const (
		rate  = 90.0
		limit = 10.0
		delay = 5 * time.Second
		// window is the time for which the rule counts arrivals.
		window = 4 * time.Second
	)
	bound := int(1.5*limit*window.Seconds()) + 5
	r.store.Put("keyed.op", "config", configuration(0, 16))
	var engines []*engine
	for i, zone := range zones[:2] {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: zone, slots: 6, work: 30 * time.Millisecond, limit: limit}
		if err := e.start(r); err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	if err := r.addNodes(3, defaultBounds); err != nil {
		return failed, err
	}
	first := r.nodes[0]
	if r.trouble {
		r.store.delayNext("keyed.nodes", delay, func() { r.note("the store carries out the first registration of %s", first.name) })
	}
	if err := first.start(); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.note("%s is killed; its registration got no answer", first.name)
		first.kill()
		time.Sleep(500 * time.Millisecond)
		if err := first.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(time.Second)
	if err := r.nodes[1].start(); err != nil {
		return failed, err
	}
	time.Sleep(delay)
	if err := r.nodes[2].start(); err != nil {
		return failed, err
	}
	if err := r.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)

	c := newClients(r)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := time.Now()
	go c.load(ctx, rate, time.Second, func(int) string { return "/stock/panels" })
	time.Sleep(20 * time.Second)
	stop()
	c.finish(engines)

	most, busiest := 0, engines[0]
	for _, e := range engines {
		// Each engine named its limit in its first answer. All nodes have passed such answers on a second later.
		if count := mostWithin(e, began.Add(time.Second+contactTime), window); count > most {
			most, busiest = count, e
		}
	}
	if most == 0 {
		return failed, fmt.Errorf("%w: no request reached an engine", errSetup)
	}
	return r.verdict("LIMIT", most > bound, fmt.Sprintf(
		"%s, which names a Server-Limit of %.0f, got up to %d requests in %s (%d allowed)", busiest.id, limit, most, window, bound,
	)), nil
}

// mostWithin returns the largest number of requests that reached the engine within a window that begins after the time from.
func mostWithin(e *engine, from time.Time, window time.Duration) int {
	most := 0
	arrivals := e.got()
	for i, first := range arrivals {
		if first.at.Before(from) {
			continue
		}
		count := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
