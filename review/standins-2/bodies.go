package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// largeBody and mediumBody are sizes of legal bodies, under maxBodyBytes of 4,194,304, and largeClients and mediumClients the numbers of clients
	// that send generations with them.
	largeBody     = 1_000_000
	mediumBody    = 40_000
	largeClients  = 32
	mediumClients = 110
	// largeEvents is the length of their answers: 190 events, some 9 s.
	largeEvents = 190
	// callers send calls on a kept connection each, one every callInterval.
	callers      = 60
	callInterval = 100 * time.Millisecond
	// bodiesCaseTime is how long the case lasts.
	bodiesCaseTime = 75 * time.Second
	// returnAfter is how long a client waits that was refused.
	returnAfter = 500 * time.Millisecond
)

// bodiesCase has a few clients send generations with large bodies of legal size, and checks that the node does not lose the calls of others.
func bodiesCase(trouble bool) int {
	r := newRig()
	r.configure([]map[string]any{streamRoute("/kit/"), longRoute("/season/"), callRoute("/stock/", "safe"), callRoute("/book/", "unsafe")})
	zones := []string{"almaty-a", "almaty-b", "almaty-c"}
	for i := range fleetSize {
		r.add(fmt.Sprintf("i-%d", i), modelService, zones[i%3], 0)
	}
	for i, zone := range zones {
		r.add(fmt.Sprintf("p-%d", i), plainService, zone, 0)
	}
	n := r.start("front-a", zones[0], single)
	r.awaitReady()
	note("node %s is ready", n.name)

	end := time.Now().Add(bodiesCaseTime)
	var clients sync.WaitGroup
	calls := &callLosses{codes: map[string]int{}}
	for i := range callers {
		clients.Go(func() { calls.send(n, end, i) })
	}
	time.Sleep(3 * time.Second)
	large := &callLosses{codes: map[string]int{}}
	for i := range largeClients + mediumClients {
		size := largeBody
		if i >= largeClients {
			size = mediumBody
		}
		if trouble {
			clients.Go(func() { large.sendLarge(n, end.Add(-12*time.Second), i, size) })
		}
	}
	clients.Wait()
	note("generations with large bodies by their end: %v", large.codes)
	return calls.judge(r, n)
}

// sendLarge sends generations with a large body, one after the other.
func (l *callLosses) sendLarge(n *node, end time.Time, i, size int) {
	for time.Now().Before(end) {
		outcome := sendLarge(n, i, size)
		l.mu.Lock()
		l.codes[fmt.Sprintf("%d bytes: %s", size, outcome)]++
		l.mu.Unlock()
		if outcome != "200" {
			time.Sleep(returnAfter)
		}
	}
}

// sendLarge sends a generation with a body of a size and returns how it ended.
func sendLarge(n *node, i, size int) string {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%8))}, Timeout: time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp4", n.callers)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	id := newID()
	request, err := newRequest(timeless, http.MethodPost, n.callers, fmt.Sprintf("/season/1?events=%d", largeEvents), id, 15*time.Second,
		bytes.NewReader(make([]byte, size)))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", shortPrompt, 34*largeEvents))
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:%d", id, shortPrompt-40))
	code, _, err := exchangeOn(conn, bufio.NewReader(conn), request)
	if err != nil {
		return "closed"
	}
	return strconv.Itoa(code)
}

// exchangeOn sends a request on a connection and reads the answer to its end.
// It returns the status and whether the node closes the connection after it.
func exchangeOn(conn net.Conn, reader *bufio.Reader, request *http.Request) (code int, closes bool, err error) {
	if err := request.Write(conn); err != nil {
		return 0, true, err
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return 0, true, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true, fmt.Errorf("answer broken off: %w", err)
	}
	return response.StatusCode, response.Close, response.Body.Close()
}

// callLosses collects the calls of ordinary clients that got no answer.
type callLosses struct {
	mu    sync.Mutex
	codes map[string]int
	// unanswered holds the calls on kept connections that were closed without an answer.
	unanswered []string
}

// send sends bookings and lookups on a kept connection, one after the other, until end. It connects again when the node has closed the connection.
func (l *callLosses) send(n *node, end time.Time, caller int) {
	for time.Now().Before(end) {
		conn, err := new(net.Dialer).DialContext(context.Background(), "tcp4", n.callers)
		if err != nil {
			time.Sleep(callInterval)
			continue
		}
		l.sendOn(conn, n, end, caller)
		_ = conn.Close()
	}
}

func (l *callLosses) sendOn(conn net.Conn, n *node, end time.Time, caller int) {
	reader := bufio.NewReader(conn)
	for kept := false; time.Now().Before(end); kept = true {
		id := newID()
		method, path, body := http.MethodGet, "/stock/1", io.Reader(http.NoBody)
		if caller%2 == 0 {
			method, path, body = http.MethodPost, "/book/1", bytes.NewReader([]byte("one booking"))
		}
		request, err := newRequest(timeless, method, n.callers, path, id, time.Second, body)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		code, closes, err := exchangeOn(conn, reader, request)
		l.mu.Lock()
		switch {
		case err == nil:
			l.codes[fmt.Sprintf("%s %d", method, code)]++
		case kept:
			l.codes[method+" closed without an answer on a kept connection"]++
			l.unanswered = append(l.unanswered, id)
		default:
			l.codes[method+" closed without an answer on a new connection"]++
		}
		l.mu.Unlock()
		time.Sleep(callInterval)
		if err != nil || closes {
			return
		}
	}
}

// judge counts the calls without an answer that an engine has run. All engines of the case are sound.
func (l *callLosses) judge(r *rig, n *node) int {
	ran := map[string]run{}
	for _, x := range r.runs() {
		ran[x.Request] = x
	}
	lost := 0
	for _, id := range l.unanswered {
		if x, ok := ran[id]; ok {
			lost++
			note("%s %s %s ran on %s, and its kept connection was closed without an answer", x.Method, x.Path, id, x.Engine)
		}
	}
	note("ordinary calls by their end: %v; %d ran and were lost; node alive %v", l.codes, lost, n.alive())
	if lost > maxLost {
		return broken
	}
	return held
}
