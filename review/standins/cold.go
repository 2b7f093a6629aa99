//go:build review

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// cold plays the restart of all nodes while the part of the store that holds their registrations is down. The two engines of the pool, which are
// in one zone, become cold meanwhile.
func cold(r *rig) (int, error) {
	const (
		coldPerS  = 14.0
		coldTime  = 3 * time.Second
		nodeCount = 9
		rate      = 94.0
		outage    = 4500 * time.Millisecond
	)
	bound := coldPerS*defaultBounds.coldOverage + defaultBounds.coldSlack
	r.store.Put("keyed.op", "config", configuration(coldPerS, 12))
	var engines []*engine
	for i := range 2 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "pool", zone: "zc", slots: 12, pieces: 5, pause: 20 * time.Millisecond}
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
	go c.load(ctx, rate, 10*time.Second, func(int) string { return "/stream/quote" })
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("the store's topic keyed.nodes is down for %s", outage)
		r.store.setDown("keyed.nodes", true)
		time.AfterFunc(outage, func() {
			r.store.setDown("keyed.nodes", false)
			r.note("the store's topic keyed.nodes is back")
		})
		r.note("all nodes are killed")
		for _, n := range r.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range r.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		if err := r.startAll(); err != nil {
			return failed, err
		}
	} else {
		time.Sleep(700 * time.Millisecond)
	}
	for _, e := range engines {
		e.becomeCold(coldTime)
	}
	// Nodes read entries at least every 0.65 s; a second passes before requests are counted.
	from := time.Now().Add(time.Second)
	time.Sleep(coldTime + 2*time.Second)
	stop()
	c.finish(engines)
	most, busiest := 0, engines[0]
	for _, e := range engines {
		if count := busiestSecond(e, c.sentAt(), from, e.coldUntil); count > most {
			most, busiest = count, e
		}
	}
	if most == 0 {
		return failed, fmt.Errorf("%w: no request reached a cold engine", errSetup)
	}
	return r.verdict("FAILBACK", float64(most) > bound, fmt.Sprintf(
		"the cold engine %s got up to %d requests in one second (bound %.0f x %.1f + %.0f = %.0f)", busiest.id, most, coldPerS,
		defaultBounds.coldOverage, defaultBounds.coldSlack, bound,
	)), nil
}

// busiestSecond returns the largest number of requests that were both sent by clients and reached the engine inside one second between two times.
func busiestSecond(e *engine, sentAt map[string]time.Time, from, until time.Time) int {
	most := 0
	arrivals := e.got()
	for _, first := range arrivals {
		begin := sentAt[first.request]
		end := begin.Add(time.Second)
		if begin.Before(from) || end.After(until) {
			continue
		}
		count := 0
		for _, a := range arrivals {
			if !sentAt[a.request].Before(begin) && a.at.Before(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
