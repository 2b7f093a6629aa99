package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// leakClients send short generations to one node; each leaves after a time between leakPatience and ten times as much more.
	leakClients  = 500
	leakPatience = 200 * time.Millisecond
	leakEvents   = 3
	// slowTime is how long the node is slow, slowPause lies between, and slowCount is the number of times. Of each 100 ms it runs for slowRun.
	slowTime  = 5500 * time.Millisecond
	slowPause = 1500 * time.Millisecond
	slowCount = 4
	slowRun   = 18 * time.Millisecond
	slowStop  = 82 * time.Millisecond
)

// leakFinding is no case of the review: more clients leave, and a larger part of the nodes is slow, than a day of the pages has. It makes a node slow while
// many of its clients leave before their request is placed, and asks the nodes in the calm after it what they take the idle engines to do.
func leakFinding(trouble bool) int {
	r := newRig()
	r.configure([]map[string]any{longRoute("/season/"), streamRoute("/kit/")})
	zones := []string{"atl-a", "atl-b", "atl-c"}
	for i := range 6 {
		r.add(fmt.Sprintf("i-%d", i), modelService, zones[i%3], 0)
	}
	for _, zone := range zones[:2] {
		r.start("front-"+zone, zone, usual)
		r.awaitReady()
		time.Sleep(time.Second)
	}
	note("nodes are ready; %s coordinates, and all clients use %s", r.nodes[0].name, r.nodes[1].name)

	slow := r.nodes[1]
	end := time.Now().Add(slowCount * (slowTime + slowPause))
	var sent, served, left atomic.Int64
	var clients sync.WaitGroup
	for range leakClients {
		clients.Go(func() {
			client := &http.Client{}
			for time.Now().Before(end) {
				sent.Add(1)
				if code, err := leaveSoon(client, slow); err != nil {
					left.Add(1)
				} else if code == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	if trouble {
		for range slowCount {
			time.Sleep(slowPause)
			slow.slowDown(slowTime)
		}
	}
	clients.Wait()
	note("generations: %d sent, %d served, %d clients left", sent.Load(), served.Load(), left.Load())
	time.Sleep(20 * time.Second)
	leaked := 0
	for _, n := range r.nodes {
		running, text := explain(n)
		leaked += running
		note("20 s later, with nothing in work, %s knows of the engines: %s", n.name, text)
	}
	if leaked > 0 {
		return broken
	}
	return held
}

// slowDown lets the process of the node run for a part of the time only.
func (n *node) slowDown(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		_ = n.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(slowStop)
		_ = n.command.Process.Signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
}

// leaveSoon sends a generation whose client leaves after a short time.
func leaveSoon(client *http.Client, n *node) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), leakPatience+rand.N(10*leakPatience))
	defer cancel()
	id := newID()
	request, err := newRequest(ctx, http.MethodPost, n.callers, fmt.Sprintf("/season/1?events=%d", leakEvents), id, 15*time.Second, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", shortPrompt, 34*leakEvents))
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:%d", id, shortPrompt-40))
	return exchange(client, request)
}

// explain returns how many requests a node takes to run on the engines, and what it knows of each.
func explain(n *node) (running int, text string) {
	target := "http://" + n.metrics + "/explain?Host=" + host + "&Path=/kit/1&Key=" + credential + "&Prompt=5000&Output=100&Here=1"
	request, err := http.NewRequestWithContext(timeless, http.MethodGet, target, http.NoBody)
	if err != nil {
		fail("%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	var explanation struct {
		Candidates []struct {
			Endpoint string
			Running  int
			Pace     float64
			Usable   bool
		}
	}
	if err := json.NewDecoder(response.Body).Decode(&explanation); err != nil {
		fail("%v", err)
	}
	for _, c := range explanation.Candidates {
		running += c.Running
	}
	return running, fmt.Sprintf("%+v", explanation.Candidates)
}
