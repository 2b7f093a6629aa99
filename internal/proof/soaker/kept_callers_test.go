package soaker

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/web/checker"
	"damaskpick.example/damaskpick/platform/platformtest"
)

const (
	// answerTimeout is the timeout that callers state, and lateAnswer how long beyond it they wait.
	answerTimeout = 10 * time.Second
	lateAnswer    = 2 * time.Second
	// moveRatio is the share of requests for which a caller connects to another node, so that a restarted node gets callers again.
	moveRatio = 0.05
	// leaveRatio is the share of refusals after which a caller does so. The others return to the node that refused them.
	leaveRatio = 0.5
)

// callerGroup is a number of callers of the same behavior.
type callerGroup struct {
	count int
	// paths are the paths from which each request chooses.
	paths []string
	// pause is the longest time between two requests of a caller.
	pause time.Duration
}

// keptCallers are callers with one connection each, which they keep until it is closed or refused, whether or not its node is leaving. They
// record when the last byte of a request was sent.
type keptCallers struct {
	deployment *deployment
	running    sync.WaitGroup
	mu         sync.Mutex
	attempts   []attempt
}

// startKeptCallers starts the callers of all groups, each group factor times. The returned function stops them and returns all attempts but those that it interrupted.
func startKeptCallers(t *testing.T, d *deployment, groups []callerGroup, factor int, seed uint64) func() []attempt {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	k := &keptCallers{deployment: d}
	number := 0
	for _, group := range groups {
		for range group.count * factor {
			number++
			caller := &keptCaller{keptCallers: k, group: group, name: fmt.Sprintf("r-%d", number), random: rand.New(rand.NewPCG(seed, uint64(number)))}
			k.running.Go(func() { caller.run(ctx) })
		}
	}
	return func() []attempt {
		cancel()
		k.running.Wait()
		return k.attempts
	}
}

// keptCaller is one of keptCallers.
type keptCaller struct {
	*keptCallers
	group  callerGroup
	name   string
	random *rand.Rand
	// conn is nil while the caller has no connection. node is the node that it is connected to, or tries next.
	conn   *checker.Conn
	reader *bufio.Reader
	node   int
	// uploadBytes is the size of the bodies of requests in bytes; zero means platformtest.Payload.
	uploadBytes int
}

func (c *keptCaller) run(ctx context.Context) {
	c.move()
	defer c.disconnect()
	for n := 0; ctx.Err() == nil; n++ {
		pause(time.Duration(c.random.Int64N(int64(c.group.pause))))
		if c.random.Float64() < moveRatio {
			c.move()
		}
		if !c.connect() {
			c.move()
			continue
		}
		a := c.call(ctx, c.group.paths[c.random.IntN(len(c.group.paths))], fmt.Sprintf("%s-%d", c.name, n))
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if !a.complete || a.code != http.StatusOK && c.random.Float64() < leaveRatio {
			c.move()
		}
	}
}

func (c *keptCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp4", c.deployment.instances[c.node].callerAddress)
	if err != nil {
		return false
	}
	c.conn = checker.NewConn(conn)
	c.reader = bufio.NewReader(c.conn)
	return true
}

// move makes the caller connect to another node.
func (c *keptCaller) move() {
	c.disconnect()
	c.node = c.random.IntN(len(c.deployment.instances))
}

func (c *keptCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends a request and reads its answer. The end of ctx interrupts it.
func (c *keptCaller) call(ctx context.Context, path, id string) attempt {
	conn := c.conn
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	a := attempt{id: id, path: path, node: c.node}
	request, err := platformtest.NewRequest(ctx, "http://"+c.deployment.instances[c.node].callerAddress+path, id)
	if err != nil {
		return a
	}
	request.Header.Set(platformtest.TimeoutHeader, strconv.FormatInt(answerTimeout.Milliseconds(), 10))
	if c.uploadBytes > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, c.uploadBytes))), int64(c.uploadBytes)
	}
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return a
	}
	conn.ExpectHead()
	a.sent = time.Now()
	_ = conn.SetDeadline(a.sent.Add(answerTimeout + lateAnswer))
	if _, err := conn.Write(data.Bytes()); err == nil {
		a.written = time.Now()
	}
	closes := readAnswer(c.reader, request, &a)
	a.ended = time.Now()
	if closes {
		c.disconnect()
	}
	return a
}

// readAnswer reads the answer into the attempt and reports whether the connection cannot be used for another request.
func readAnswer(reader *bufio.Reader, request *http.Request, a *attempt) bool {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return true
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
	a.code, a.body, a.complete = response.StatusCode, string(body), err == nil && framed
	return err != nil || response.Close
}

// TestKeptCaller guards against callers that give up a connection that can carry another request, or take a cut answer for a complete one.
func TestKeptCaller(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name, answer   string
		complete, kept bool
	}{
		{"answer with a length", ok, true, true},
		{"answer that closes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", true, false},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true, true},
		{"cut answer with a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false},
		{"cut answer in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, false},
		{"answer that only the connection ends", "HTTP/1.1 200 OK\r\n\r\nok", false, false},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", false, false},
		{"space in a name", "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok", false, false},
		{"close without an answer", "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, client := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					_, _ = io.WriteString(server, tt.answer)
				}
				_ = server.Close()
			}()
			d := &deployment{instances: []*instance{{callerAddress: "127.0.0.1:1"}}}
			conn := checker.NewConn(client)
			c := &keptCaller{keptCallers: &keptCallers{deployment: d}, conn: conn, reader: bufio.NewReader(conn)}
			a := c.call(t.Context(), "/stock/1", "r-1")
			assert.Equal(t, a.complete, tt.complete)
			assert.Equal(t, c.conn != nil, tt.kept)
			assert.Assert(t, !a.written.IsZero() && !a.written.After(a.ended))
		})
	}
}
