package charger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/web/accountant"
	"damaskpick.example/damaskpick/internal/web/charger"
)

const (
	bodyLimit = 100 << 10
	headBytes = 1 << 10
)

// newServer starts a server that answers with the length of the body, or with the error of reading it, and panics on requests for /panic.
func newServer(t *testing.T, until time.Duration) (*httptest.Server, *accountant.Account) {
	t.Helper()
	account := accountant.New(accountant.Options{Bytes: 512 << 10, Connections: 20, Now: time.Now})
	c := charger.New(account, headBytes)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, closeRequest, err := c.NewRequest(r, headBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer closeRequest()
		body, err := request.ReadBody(w, r, bodyLimit, time.Now().Add(until))
		if r.URL.Path == "/panic" {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	server.Config.ConnState, server.Config.ConnContext = c.Track, c.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server, account
}

// TestReadBody guards against bodies that are cut, refused although they are inside the limits, or read beyond them, and against charges that
// outlive their request.
func TestReadBody(t *testing.T) {
	const timeout = 20 * time.Second
	tests := []struct {
		name, path, fields string
		// pieces are sent one after the other.
		pieces []string
		until  time.Duration
		want   string
		err    error
	}{
		{name: "no body", fields: "Content-Length: 0\r\n", until: timeout, want: "0"},
		{name: "body with a length", fields: "Content-Length: 50000\r\n", pieces: []string{strings.Repeat("x", 50_000)}, until: timeout, want: "50000"},
		{name: "largest body", fields: "Content-Length: 102400\r\n", pieces: []string{strings.Repeat("x", 102_400)}, until: timeout, want: "102400"},
		{name: "announced too large", fields: "Content-Length: 102401\r\n", until: timeout, err: charger.ErrTooLarge},
		{
			name: "sent too large", fields: "Transfer-Encoding: chunked\r\n", until: timeout, err: charger.ErrTooLarge,
			pieces: []string{"19001\r\n", strings.Repeat("x", 0x19001), "\r\n"},
		},
		{name: "chunks", fields: "Transfer-Encoding: chunked\r\n", pieces: []string{"3\r\nabc\r\n", "2\r\nde\r\n", "0\r\n\r\n"}, until: timeout, want: "5"},
		{name: "stops short", fields: "Content-Length: 10\r\n", pieces: []string{"123456789"}, until: 50 * time.Millisecond, err: charger.ErrLate},
		{name: "handler panics", path: "/panic", fields: "Content-Length: 3\r\n", pieces: []string{"abc"}, until: timeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, account := newServer(t, tt.until)
			conn := dial(t, server)
			_, err := fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: h\r\n%s\r\n", strings.TrimPrefix(tt.path, "/"), tt.fields)
			assert.NilError(t, err)
			for _, piece := range tt.pieces {
				// The server may have closed the connection already.
				_, _ = io.WriteString(conn, piece)
			}
			body, err := readAnswer(conn)
			switch {
			case tt.err != nil:
				assert.NilError(t, err)
				assert.Equal(t, strings.TrimSpace(body), tt.err.Error())
			case tt.want != "":
				assert.NilError(t, err)
				assert.Equal(t, body, tt.want)
			default:
				assert.Assert(t, err != nil)
			}
			assert.NilError(t, conn.Close())
			awaitEmpty(t, account)
		})
	}
}

// TestGiveWay guards against a body that stands and keeps the memory from others, and against a refusal without an answer.
func TestGiveWay(t *testing.T) {
	server, account := newServer(t, time.Minute)
	stalled := make([]net.Conn, 0, 12)
	for range cap(stalled) {
		conn := dial(t, server)
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyLimit, strings.Repeat("x", bodyLimit-1))
		assert.NilError(t, err)
		stalled = append(stalled, conn)
	}
	refused := 0
	for _, conn := range stalled {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		if body, err := readAnswer(conn); err == nil {
			assert.Equal(t, strings.TrimSpace(body), charger.ErrGaveWay.Error())
			refused++
		}
	}
	assert.Assert(t, refused > 0 && refused < len(stalled), "%d of %d refused", refused, len(stalled))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", bodyLimit)))
	assert.NilError(t, err)
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, response.Body.Close())
	for _, conn := range stalled {
		assert.NilError(t, conn.Close())
	}
	server.Client().CloseIdleConnections()
	awaitEmpty(t, account)
}

func dial(t *testing.T, server *httptest.Server) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func readAnswer(conn net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), errors.Join(err, response.Body.Close())
}

// awaitEmpty waits until all connections have ended and checks that nothing is charged.
func awaitEmpty(t *testing.T, account *accountant.Account) {
	t.Helper()
	const limit = 10 * time.Second
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(limit); account.Usage().Connections > 0; <-ticker.C {
		assert.Assert(t, time.Now().Before(end), "%+v", account.Usage())
	}
	assert.Equal(t, account.Usage().Held, int64(0))
}
