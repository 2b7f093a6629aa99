package soaker

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// longBody returns a body of which each part differs.
func longBody(length int) string {
	var body strings.Builder
	for body.Len() < length {
		_, _ = fmt.Fprintf(&body, "%d,", body.Len())
	}
	return body.String()[:length]
}

// answerLong answers with a body of the length in the query, in the framing that it names, and closes after the number of bytes of the body that it
// names. It says that it closes: otherwise the next request may reach the connection before its end does, and cannot be sent again.
func answerLong(conn net.Conn, request *http.Request) bool {
	query := request.URL.Query()
	length, _ := strconv.Atoi(query.Get("length"))
	cut, _ := strconv.Atoi(query.Get("cut"))
	body := longBody(length)[:cut]
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nConnection: close\r\n", request.Header.Get("Request-Id"))
	switch query.Get("framing") {
	case "length":
		_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", length, body)
	case "chunks":
		_, _ = fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", length, body)
		if cut == length {
			_, _ = fmt.Fprint(conn, "0\r\n\r\n")
		}
	default:
		_, _ = fmt.Fprintf(conn, "\r\n%s", body)
	}
	return false
}

// TestLongAnswers guards against long answers that are changed, cut or kept from the caller, and against ones that break off and look complete.
func TestLongAnswers(t *testing.T) {
	const most = 8 << 20
	tests := []struct {
		name        string
		length, cut int
		framings    []string
		// code is the status that the caller gets, and complete is set if the whole answer follows.
		code     int
		complete bool
	}{
		{"empty", 0, 0, []string{"length", "chunks", "end"}, http.StatusOK, true},
		{"short", 800, 800, []string{"length", "chunks", "end"}, http.StatusOK, true},
		{"just kept", 64 << 10, 64 << 10, []string{"length", "chunks", "end"}, http.StatusOK, true},
		{"just not kept", 64<<10 + 1, 64<<10 + 1, []string{"length", "chunks", "end"}, http.StatusOK, true},
		{"long", 300_000, 300_000, []string{"length", "chunks", "end"}, http.StatusOK, true},
		{"longest", most, most, []string{"length", "chunks", "end"}, http.StatusOK, true},
		{"too long by its length", most + 1, most + 1, []string{"length"}, http.StatusBadGateway, true},
		{"too long", most + 1, most + 1, []string{"chunks", "end"}, http.StatusOK, false},
		{"short, breaks off", 800, 400, []string{"length", "chunks"}, http.StatusBadGateway, true},
		{"long, breaks off early", 300_000, 400, []string{"length", "chunks"}, http.StatusBadGateway, true},
		{"long, breaks off late", 300_000, 200_000, []string{"length", "chunks"}, http.StatusOK, false},
	}
	d := newDeployment(t, options{nodes: 1, slots: 8, work: 10 * time.Millisecond, callTimeout: answerTimeout})
	for _, e := range d.endpoints {
		if e.Service == platformtest.PlainService {
			d.store.Put(platform.TopicEndpoints, e.ID, nil)
		}
	}
	startRawEndpoint(t, d, "raw-1", platformtest.PlainService, answerLong)
	awaitReady(t, d)
	pause(time.Second)
	number := 0
	for _, tt := range tests {
		for _, framing := range tt.framings {
			t.Run(tt.name+"/"+framing, func(t *testing.T) {
				number++
				query := url.Values{"length": {strconv.Itoa(tt.length)}, "cut": {strconv.Itoa(tt.cut)}, "framing": {framing}}
				c := &keptCaller{keptCallers: &keptCallers{deployment: d}}
				assert.Assert(t, c.connect())
				defer c.disconnect()
				a := c.call(t.Context(), booking+"?"+query.Encode(), fmt.Sprintf("long-%d", number))
				assert.Equal(t, a.code, tt.code)
				assert.Equal(t, a.complete, tt.complete)
				if a.complete && a.code == http.StatusOK {
					assert.Assert(t, a.body == longBody(tt.length), "%d bytes", len(a.body))
				}
			})
		}
	}
}
