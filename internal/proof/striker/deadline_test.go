package striker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// callerDeadline limits reads from and writes to a caller in the deployment of slowCallers.
const callerDeadline = 2 * time.Second

// useShortCallerDeadlines shortens the deadlines of callers and lets engines decode fast, so that an answer soon fills the buffers of a
// caller that does not read.
func useShortCallerDeadlines(l *launcher.Layout) {
	l.Timeouts.CallerRead, l.Timeouts.CallerWrite = loader.Duration(callerDeadline), loader.Duration(callerDeadline)
	l.EngineFlags = []string{"--cold-for", "2s", "--cold-requests", "2", "--time-scale", "0.01"}
	l.Timeouts.Request = loader.Duration(45 * time.Second)
	l.Timeouts.Stop = loader.Duration(time.Minute)
}

// slowCallers sends a body byte by byte, and then another request whose answer it does not read. The deadlines must end both requests,
// and engine memory must be free afterwards.
func slowCallers(h *harness) {
	wait := h.startLoad(12*time.Second, nil)
	h.checkSlowSender()
	h.checkStoppedReader()
	h.checkSamples(wait(), nil)
}

func (h *harness) dial(n *launcher.Process) *net.TCPConn {
	h.Helper()
	conn, err := net.Dial("tcp", n.Address)
	assert.NilError(h, err)
	h.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func (h *harness) requestHead(length int) string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		h.fleet.Layout.Members[0].Token, length)
}

func (h *harness) checkSlowSender() {
	h.Helper()
	body := completionBody(h.fleet.Layout.Model, prompt("slow", 0, 1000), 20)
	conn, begin := h.dial(h.fleet.Nodes[0]), time.Now()
	_, err := io.WriteString(conn, h.requestHead(len(body)))
	assert.NilError(h, err)
	ended := make(chan struct{})
	go func() {
		for i := range body {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if _, err := conn.Write([]byte(body[i : i+1])); err != nil {
				return
			}
		}
	}()
	assert.NilError(h, conn.SetReadDeadline(begin.Add(callerDeadline+settleTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	close(ended)
	assert.NilError(h, err)
	defer func() { _ = response.Body.Close() }()
	took := time.Since(begin)
	h.note("slow sender refused with %d after %s", response.StatusCode, round(took))
	assert.Equal(h, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(h, took <= callerDeadline+time.Second, "the slow sender was refused after %s", took)
}

// unreadTokens is an answer length that takes an engine about a minute to decode in this deployment.
const unreadTokens = 300_000

func (h *harness) checkStoppedReader() {
	h.Helper()
	text := prompt("unread", 0, 1000)
	body := completionBody(h.fleet.Layout.Model, text, unreadTokens)
	conn := h.dial(h.fleet.Nodes[1])
	assert.NilError(h, conn.SetReadBuffer(4096))
	_, err := io.WriteString(conn, h.requestHead(len(body))+body)
	assert.NilError(h, err)
	begun := time.Now()
	unreadRuns := func() (bool, error) {
		for _, e := range h.fleet.Engines {
			running, err := h.running(e)
			if err != nil {
				return false, err
			}
			for _, r := range running.Requests {
				if r.Tokens >= unreadTokens {
					return true, nil
				}
			}
		}
		return false, nil
	}
	h.waitUntil(5*time.Second, "the unread answer is running", func() error {
		if running, err := unreadRuns(); err != nil || !running {
			return fmt.Errorf("not running: %w", err)
		}
		return nil
	})
	h.waitUntil(callerDeadline+15*time.Second, "the memory of the unread answer is free", func() error {
		if running, err := unreadRuns(); err != nil || running {
			return fmt.Errorf("still running: %w", err)
		}
		return nil
	})
	h.note("memory of the unread answer free after %s", round(time.Since(begun)))
}
