//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// encoded plays lost answers: engines run a part of their requests and close the connection instead of answering. Clients send bookings, which may run once,
// to /book/open%2F17. The longest prefix of a route that begins this path is /book/; the route /book/open/ takes safe requests.
func encoded(r *rig) (int, error) {
	const (
		rate      = 60.0
		lostShare = 0.4
		lostFor   = 4 * time.Second
	)
	r.store.Put("keyed.op", "config", configuration(0, 16))
	var engines []*engine
	for i := range 5 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: zones[i%len(zones)], slots: 6, work: 30 * time.Millisecond}
		if err := e.start(r); err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	if err := r.addNodes(3, defaultBounds); err != nil {
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
			return "/book/open%2F17"
		}
		return "/book/truck"
	})
	time.Sleep(time.Second)
	if r.trouble {
		for _, e := range engines[:3] {
			e.loseAnswers(lostShare)
		}
		r.note("three engines of five lose the answers of %.1f of the requests that they run, for %s", lostShare, lostFor)
	}
	time.Sleep(lostFor)
	for _, e := range engines[:3] {
		e.loseAnswers(0)
	}
	time.Sleep(time.Second)
	stop()
	c.finish(engines)

	runs := map[string]int{}
	for _, e := range engines {
		for _, a := range e.got() {
			if a.ran {
				runs[a.request]++
			}
		}
	}
	twice := map[string]int{}
	for _, s := range c.sent {
		if runs[s.id] > 1 {
			twice[s.path]++
		}
	}
	if len(runs) == 0 {
		return failed, fmt.Errorf("%w: no request ran", errSetup)
	}
	return r.verdict("TWICE", len(twice) > 0, fmt.Sprintf(
		"of %d bookings, %d at /book/open%%2F17 and %d at /book/truck ran more than once", len(c.sent), twice["/book/open%2F17"], twice["/book/truck"],
	)), nil
}
