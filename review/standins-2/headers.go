package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crowd is the number of clients that connect at once, and waves how often they come.
	crowd        = 550
	waves        = 3
	waveInterval = 12 * time.Second
	// headerBytes is what each of them sends as its header, within maxHeaderBytes of 16,384, and headerTime how long it takes, within headerTimeoutMs of
	// 3,000.
	headerBytes = 14_000
	headerTime  = 2500 * time.Millisecond
	// ordinaryClients send one request after the other on a kept connection each.
	ordinaryClients = 24
	// maxLost is the number of requests that a machine may lose.
	maxLost = 3
	// headersCaseTime is how long the case lasts.
	headersCaseTime = waves*waveInterval + 4*time.Second
)

// headersCase lets a crowd of clients send headers of legal size in legal time, and checks that the node does not lose the requests of others. As the
// platform does, it kills a process that exceeds the memory of its machine, and starts it again.
func headersCase(trouble bool) int {
	r := newRig()
	r.configure([]map[string]any{streamRoute("/kit/"), longRoute("/season/"), callRoute("/stock/", "safe")})
	zones := []string{"almaty-a", "almaty-b", "almaty-c"}
	for i := range fleetSize {
		r.add(fmt.Sprintf("i-%d", i), modelService, zones[i%3], 0)
	}
	for i, zone := range zones {
		r.add(fmt.Sprintf("p-%d", i), plainService, zone, 0)
	}
	n := r.start("front-a", zones[0], small)
	r.awaitReady()
	note("node %s is ready, %d MB in use of %d MB", n.name, n.anonymousBytes()/1e6, small.memoryMB)

	end := time.Now().Add(headersCaseTime)
	watch := newWatch(r, n)
	var clients sync.WaitGroup
	clients.Go(func() { watch.run(end) })
	lost := &losses{}
	for i := range ordinaryClients {
		clients.Go(func() { lost.send(n, end, i%3 != 0) })
	}
	for range waves {
		time.Sleep(waveInterval / 2)
		if trouble {
			clients.Go(func() { note("answers to the crowd by their begin: %v", sendCrowd(n)) })
		}
		time.Sleep(waveInterval / 2)
	}
	clients.Wait()
	return lost.judge(r, watch.kills, watch.peak)
}

// watch kills the process of a node when it exceeds the memory of its machine.
type watch struct {
	r     *rig
	n     *node
	kills int
	peak  int64
}

func newWatch(r *rig, n *node) *watch { return &watch{r: r, n: n} }

func (w *watch) run(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		used := w.n.anonymousBytes()
		w.peak = max(w.peak, used)
		if used <= int64(small.memoryMB)<<20 {
			continue
		}
		w.kills++
		note("the process uses %d MB, more than the %d MB of its machine: it is killed", used/1e6, small.memoryMB)
		_ = w.n.command.Process.Signal(syscall.SIGKILL)
		<-w.n.exited
		time.Sleep(500 * time.Millisecond)
		w.r.spawn(w.n)
	}
}

// losses collects the requests of ordinary clients that got no answer.
type losses struct {
	mu             sync.Mutex
	sent, answered int
	// unanswered holds the ids of requests on a kept connection that ended without an answer, and cut counts the answers that broke off.
	unanswered []string
	cut        int
}

// send sends generations on a kept connection, one after the other.
func (l *losses) send(n *node, end time.Time, long bool) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for kept := false; time.Now().Before(end); {
		id := newID()
		prefix, prompt := "/kit/", shortPrompt
		if long {
			prefix, prompt = "/season/", longPrompt
		}
		code, err := stream(client, n, id, prefix, prompt, 10)
		l.mu.Lock()
		l.sent++
		switch {
		case err == nil && code == http.StatusOK:
			l.answered++
		case err != nil && code == 0 && kept:
			l.unanswered = append(l.unanswered, id)
		case err != nil && code != 0:
			l.cut++
		}
		l.mu.Unlock()
		kept = err == nil
		if err != nil {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// judge counts the requests without an answer that an engine has run. All engines of the case are sound.
func (l *losses) judge(r *rig, kills int, peak int64) int {
	ran := map[string]bool{}
	for _, x := range r.runs() {
		ran[x.Request] = true
	}
	lost := 0
	for _, id := range l.unanswered {
		if ran[id] {
			lost++
			note("request %s was passed on to an engine, and its kept connection was closed without an answer", id)
		}
	}
	note("ordinary requests: %d sent, %d served, %d lost as above, %d answers broken off; the process used up to %d MB and was killed %d times",
		l.sent, l.answered, lost, l.cut, peak/1e6, kills)
	if lost > maxLost {
		return broken
	}
	return held
}

// sendCrowd has clients connect at once, send their headers in legal time and read their answers. It returns how the answers began.
func sendCrowd(n *node) map[string]int {
	note("%d clients connect, each with a header of %d bytes", crowd, headerBytes)
	var mu sync.Mutex
	answers := map[string]int{}
	var clients sync.WaitGroup
	for i := range crowd {
		clients.Go(func() {
			answer := sendSlowly(n, i)
			mu.Lock()
			defer mu.Unlock()
			answers[answer]++
		})
	}
	clients.Wait()
	return answers
}

// sendSlowly sends a proper request whose header has many short lines, the end of it after headerTime.
func sendSlowly(n *node, i int) string {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%8))}, Timeout: time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp4", n.callers)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	fmt.Fprintf(&head, "GET /stock/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nRequest-Deadline-Ms: 1000\r\n", host, newID(), credential)
	for k := 0; head.Len() < headerBytes; k++ {
		head.WriteString(shortName(k) + ":\r\n")
	}
	_ = conn.SetDeadline(time.Now().Add(headerTime + 4*time.Second))
	if _, err := conn.Write([]byte(head.String())); err != nil {
		return "closed"
	}
	time.Sleep(headerTime)
	if _, err := conn.Write([]byte("\r\n")); err != nil {
		return "closed"
	}
	begin := make([]byte, len("HTTP/1.1 200"))
	if _, err := conn.Read(begin); err != nil {
		if os.IsTimeout(err) {
			return "nothing"
		}
		return "closed"
	}
	return string(begin)
}

// shortName returns a header name of two or three letters and digits that differs for each k.
func shortName(k int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	base := len(letters)
	name := string(letters[k%base]) + string(letters[k/base%base])
	if k >= base*base {
		name += string(letters[k/base/base%base])
	}
	return name
}
