package soaker

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// endlessAnswer is what a faulty endpoint sends: begin, and then repeated until the node closes the connection.
type endlessAnswer struct{ name, begin, repeated string }

const (
	// okHead is the head of an answer without its last field. The request id and the signature are filled in.
	okHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %[1]s\r\nContent-Type: text/event-stream\r\n"
	// endlessPiece is the number of bytes that a faulty endpoint sends at a time, and endlessPause the time between two pieces: 6.5 MB a second.
	endlessPiece = 64 << 10
	endlessPause = 10 * time.Millisecond
)

var endlessAnswers = []endlessAnswer{
	{"head", okHead, "X-More: more\r\n"},
	{"head line", okHead + "X-Long: ", "long"},
	{"body with a length", okHead + "Content-Length: 1099511627776\r\n\r\n", "data: x"},
	{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "7\r\ndata: x\r\n"},
	{"large chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"},
	{"chunk-size line", okHead + "Transfer-Encoding: chunked\r\n\r\n5;", "extension"},
	{"trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"},
	{"body that ends with the connection", okHead + "\r\n", "data: x"},
	{"event without end", okHead + "\r\n", "data: x\n"},
	{"lines without a colon", okHead + "\r\n", "x\n"},
}

// serve sends the answer until the node closes the connection.
func (a endlessAnswer) serve(conn net.Conn, request *http.Request) bool {
	if _, err := fmt.Fprintf(conn, a.begin, request.Header.Get("Request-Id")); err != nil {
		return false
	}
	piece := bytes.Repeat([]byte(a.repeated), 1+endlessPiece/len(a.repeated))
	for {
		if _, err := conn.Write(piece); err != nil {
			return false
		}
		pause(endlessPause)
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (in *instance) peakMemory(t *testing.T) int64 {
	t.Helper()
	in.mu.Lock()
	defer in.mu.Unlock()
	assert.Assert(t, in.process != nil, "the node has ended with code %d", in.exitCode)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.process.Process.Pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	assert.NilError(t, err)
	return kilobytes << 10
}

// TestEndlessAnswers guards against faulty endpoints that send bytes without end on many requests at once: a node that keeps them runs out of memory,
// and the sound requests of other callers end with it.
func TestEndlessAnswers(t *testing.T) {
	const (
		// faultyCalls is the number of requests at a time at faulty endpoints, which is the number of their slots.
		faultyCalls = 48
		soundCalls  = 4
		duration    = 2500 * time.Millisecond
	)
	services := []struct{ name, faulty, faultyPath, soundPath string }{
		{"plain service", platformtest.PlainService, booking, shortStream},
		{"stream", platformtest.EngineService, shortStream, booking},
	}
	for _, service := range services {
		for _, answer := range endlessAnswers {
			t.Run(service.name+"/"+answer.name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, options{nodes: 1, slots: 8, work: 10 * time.Millisecond, callTimeout: answerTimeout})
				for i, e := range d.endpoints {
					if e.Service == service.faulty {
						d.store.Put(platform.TopicEndpoints, e.ID, nil)
						startRawEndpoint(t, d, fmt.Sprintf("faulty-%d", i), e.Service, answer.serve)
					}
				}
				awaitReady(t, d)
				pause(time.Second)
				faulty := startKeptCallers(t, d, []callerGroup{{count: faultyCalls, paths: []string{service.faultyPath}, pause: 10 * time.Millisecond}}, 1, 1)
				sound := startKeptCallers(t, d, []callerGroup{{count: soundCalls, paths: []string{service.soundPath}, pause: 20 * time.Millisecond}}, 1, 2)
				pause(duration)
				served := 0
				for _, a := range sound() {
					assert.Check(t, a.complete && a.code == http.StatusOK && hasExpectedBody(a), "%s got status %d, complete: %t", a.id, a.code, a.complete)
					served++
				}
				wrong, counts := 0, map[int]int{}
				for _, a := range faulty() {
					counts[a.code]++
					if a.complete && a.code == http.StatusOK {
						wrong++
					}
				}
				assert.Check(t, wrong == 0, "%d answers without end counted as complete", wrong)
				peak := d.instances[0].peakMemory(t)
				t.Logf("served=%d faulty=%v peak=%.0f MB", served, counts, float64(peak)/1e6)
				assert.Check(t, served > 0)
				assert.Check(t, peak < memoryLimit, "the node has used %.0f MB, its limit is %.0f MB", float64(peak)/1e6, float64(memoryLimit)/1e6)
			})
		}
	}
}
