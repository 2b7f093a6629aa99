//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Names in the configuration of the cases.
const (
	host   = "desk.example"
	key    = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// configuration returns version 1 of the operator's configuration: streams at /stream/ of the service pool, and requests that may run once (/book/)
// or more often (/book/open/ and /stock/) of the service app. coldPerS is the rate of cold engines of the pool.
func configuration(coldPerS float64, slots int) []byte {
	route := func(prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + strings.Trim(prefix, "/"), "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
			"priority": 1, "service": service, "maxAttempts": attempts, "anonymous": false, "streamResume": kind == "stream", "gapTargetMs": 250,
			"sessionAffinity": kind == "stream",
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			route("/stream/", "stream", "pool", 10000, 300, 2), route("/book/", "unsafe", "app", 1000, 150, 1),
			route("/book/open/", "safe", "app", 1000, 150, 2), route("/stock/", "safe", "app", 1000, 150, 2),
		},
		"services": []any{
			map[string]any{
				"name": "pool", "healthCheck": "/health", "maxConnections": 434, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": coldPerS,
				"engine": map[string]any{
					"slots": slots, "kvCapacityTokens": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
					"read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.1,
				},
			},
			map[string]any{"name": "app", "healthCheck": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err) // cannot happen: the value holds only strings and numbers
	}
	return value
}

// sent is a request of a client.
type sent struct {
	id, path, node string
	at, ended      time.Time
	// status is zero if there was no answer; whole is set if the answer was complete.
	status int
	whole  bool
	err    string
}

// clients send requests to the nodes. Each request has its own connection.
type clients struct {
	rig     *rig
	client  http.Client
	sending sync.WaitGroup

	mu   sync.Mutex
	sent []*sent
	next int
}

func newClients(r *rig) *clients {
	return &clients{rig: r, client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a request to a node in the background.
func (c *clients) send(n *node, path string, deadline time.Duration) {
	c.mu.Lock()
	c.next++
	s := &sent{id: fmt.Sprintf("%016x", uint64(c.next)*0x9E3779B97F4A7C15), path: path, node: n.name, at: time.Now()}
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.sending.Go(func() { c.exchange(n, s, deadline) })
}

func (c *clients) exchange(n *node, s *sent, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	method, body := http.MethodPost, "a request"
	if strings.HasPrefix(s.path, "/stock/") {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.address(frontPort)+s.path, strings.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: addresses and paths are valid
	}
	request.Host = host
	request.Header.Set("Request-Id", s.id)
	request.Header.Set("Key", key)
	request.Header.Set("Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if strings.HasPrefix(s.path, "/stream/") {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Usage", "500,200")
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:460", s.id[:8]))
	}
	response, err := c.client.Do(request)
	status, whole := 0, false
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		whole = err == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended, s.status, s.whole = time.Now(), status, whole
	if err != nil {
		s.err = err.Error()
	}
}

// load sends rate requests a second to nodes picked at random until ctx ends.
func (c *clients) load(ctx context.Context, rate float64, deadline time.Duration, path func(i int) string) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.send(c.rig.nodes[rand.IntN(len(c.rig.nodes))], path(i), deadline)
		}
	}
}

// finish waits for all answers and writes the requests to the record with the engines that they reached.
func (c *clients) finish(engines []*engine) {
	c.sending.Wait()
	reached := map[string][]string{}
	for _, e := range engines {
		for _, a := range e.got() {
			verb := "ran at"
			if !a.ran {
				verb = "was turned away by"
			}
			reached[a.request] = append(reached[a.request], fmt.Sprintf("%s %s at %s", verb, e.id, strings.TrimSpace(c.rig.at(a.at))))
		}
	}
	for _, s := range c.sent {
		answer := fmt.Sprintf("answered %d at %s", s.status, strings.TrimSpace(c.rig.at(s.ended)))
		switch {
		case s.status == 0:
			answer = "no answer: " + s.err
		case !s.whole:
			answer += ", broken off"
		}
		c.rig.noteAt(s.at, "request %s (%s) sent to %s; %s; %s", s.id, s.path, s.node, strings.Join(reached[s.id], ", "), answer)
	}
}

// sentAt returns when each request was sent.
func (c *clients) sentAt() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := make(map[string]time.Time, len(c.sent))
	for _, s := range c.sent {
		times[s.id] = s.at
	}
	return times
}
