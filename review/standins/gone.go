//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errLookup reports that a directory gave no addresses.
var errLookup = errors.New("no addresses")

// gone plays the loss of a node for good and a rolling restart of the others that begins 2.5 s later. Clients ask the directory all the while. With
// ROLL=0 the others are not restarted.
func gone(r *rig) (int, error) {
	const (
		nodeCount = 9
		gap       = 1300 * time.Millisecond
		// slack is the part of the rule's bound beyond contactMs.
		slack = 3 * time.Second
		// allowed is the number of answers that the rule allows.
		allowed = 3
	)
	r.store.Put("keyed.op", "config", configuration(0, 16))
	e := &engine{id: "i-1", service: "app", zone: "za", slots: 6, work: 30 * time.Millisecond}
	if err := e.start(r); err != nil {
		return failed, err
	}
	if err := r.addNodes(nodeCount, defaultBounds); err != nil {
		return failed, err
	}
	if err := r.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)

	d := &directory{rig: r, disturbed: map[string]time.Time{}, offSince: map[string]time.Time{}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var asking sync.WaitGroup
	asking.Go(func() { d.ask(ctx) })

	if r.trouble {
		lost := r.nodes[nodeCount-1]
		r.note("%s is killed for good", lost.name)
		d.disturb(lost, true)
		lost.kill()
	}
	time.Sleep(2500 * time.Millisecond)
	var restarting sync.WaitGroup
	for _, n := range r.nodes[:nodeCount-1] {
		if os.Getenv("ROLL") != "0" {
			restarting.Go(func() { d.restart(n) })
		}
		time.Sleep(gap)
	}
	restarting.Wait()
	time.Sleep(2 * time.Second)
	stop()
	asking.Wait()
	if len(d.answers) == 0 {
		return failed, fmt.Errorf("%w: the directory gave no answer", errSetup)
	}
	count, longest := 0, time.Duration(0)
	for _, a := range d.answers {
		if a.calm && a.running && a.offFor > contactTime+slack {
			count++
			longest = max(longest, a.offFor)
		}
	}
	return r.verdict("DRAIN", count > allowed, fmt.Sprintf(
		"%d answers of nodes in touch named, beside a running node, one that had been off for more than %s, at most for %s", count, contactTime+slack,
		longest.Round(time.Millisecond),
	)), nil
}

// restart stops a node with SIGTERM and starts it again as the platform does.
func (d *directory) restart(n *node) {
	d.rig.note("%s gets SIGTERM", n.name)
	d.disturb(n, false)
	n.signal(syscall.SIGTERM)
	<-n.ended()
	d.disturb(n, true)
	time.Sleep(200 * time.Millisecond)
	d.disturb(n, false)
	if err := n.start(); err != nil {
		d.rig.note("%s does not start: %v", n.name, err)
	}
}

// ended returns a channel that is closed when the current process has ended.
func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// lookup is an answer of the directory. calm is set if the node that gave it was not stopped or started in the last contactMs, and running if the answer
// names a node that runs. offFor is the longest time for which a node that it names has been off.
type lookup struct {
	calm, running bool
	offFor        time.Duration
}

// directory asks the nodes for addresses as clients do.
type directory struct {
	rig     *rig
	answers []lookup

	mu sync.Mutex
	// disturbed holds when each node was last killed, stopped or started, and offSince when it ended, for nodes that are off.
	disturbed, offSince map[string]time.Time
}

// disturb records that a node is killed, stopped or started, and whether it is off from now on.
func (d *directory) disturb(n *node, off bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbed[n.name] = time.Now()
	delete(d.offSince, n.name)
	if off {
		d.offSince[n.name] = time.Now()
	}
}

// judge records an answer that the node gave at the time at.
func (d *directory) judge(n *node, at time.Time, addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := lookup{calm: at.Sub(d.disturbed[n.name]) > contactTime}
	var names []string
	for _, named := range d.rig.nodes {
		if !slices.Contains(addresses, named.address(frontPort)) {
			continue
		}
		since, off := d.offSince[named.name]
		if !off {
			answer.running = true
			names = append(names, named.name)
			continue
		}
		answer.offFor = max(answer.offFor, at.Sub(since))
		names = append(names, fmt.Sprintf("%s (off for %.1f s)", named.name, at.Sub(since).Seconds()))
	}
	d.answers = append(d.answers, answer)
	d.rig.noteAt(at, "%s (in touch: %t) names %s", n.name, answer.calm, strings.Join(names, ", "))
}

// ask asks the nodes in turn, ten a second, until ctx ends. Each question comes from a client of another zone in turn.
func (d *directory) ask(ctx context.Context) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; sleep(ctx, 100*time.Millisecond) == nil; i++ {
		n := d.rig.nodes[i%len(d.rig.nodes)]
		if addresses, err := resolve(&client, n, zones[i%len(zones)]); err == nil {
			d.judge(n, time.Now(), addresses)
		}
	}
}

func resolve(client *http.Client, n *node, zone string) ([]string, error) {
	response, err := client.Get(fmt.Sprintf("http://%s/api/resolve?name=%s&region=r&zone=%s", n.address(namesPort), host, zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var message struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK {
		return nil, errLookup
	}
	err = json.NewDecoder(response.Body).Decode(&message)
	return message.Addresses, err
}
