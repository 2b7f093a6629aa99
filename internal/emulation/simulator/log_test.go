package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startLog(t *testing.T, options LogOptions) *httptest.Server {
	t.Helper()
	handler, cleanup := NewLog(options)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(cleanup)
	return server
}

// call sends one request as a node and gives up after timeout; a timeout of zero means no limit. It returns the status, or 0 if there was
// no response, and a text with the first offset and the records of the returned page.
func call(t *testing.T, server *httptest.Server, timeout time.Duration, node, method, path, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("X-Node-Id", node)
	client := http.Client{Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var p page
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		return response.StatusCode, ""
	}
	text := fmt.Sprint(p.First)
	for _, r := range p.Records {
		text += fmt.Sprintf(" %d=%s", r.Offset, r.Data)
	}
	return response.StatusCode, text
}

func setFaults(t *testing.T, server *httptest.Server, faults string) {
	t.Helper()
	status, _ := call(t, server, 0, "", http.MethodPost, "/faults", faults)
	assert.Equal(t, status, http.StatusOK)
}

const records = "/streams/s/records"

// TestAppendUnderFaults guards against faults that affect the wrong client or act before instead of after the append: an append is refused
// during an outage but takes effect when only its acknowledgement is lost. Dropped records must show in First.
func TestAppendUnderFaults(t *testing.T) {
	cases := []struct {
		name     string
		options  LogOptions
		faults   string
		statuses []int
		kept     string
	}{
		{name: "no fault", statuses: []int{200, 200, 200}, kept: "1 1=r0 2=r1 3=r2"},
		{name: "outage", faults: `{"Outage":true}`, statuses: []int{503, 503, 503}, kept: "1"},
		{name: "outage of a node", faults: `{"OutageFor":["node-1"]}`, statuses: []int{200, 503, 200}, kept: "1 1=r0 2=r2"},
		{name: "outage of an incarnation", faults: `{"OutageFor":["node-2/7"]}`, statuses: []int{200, 200, 503}, kept: "1 1=r0 2=r1"},
		{name: "outage of an address", faults: `{"OutageFor":["127.0.0.1"]}`, statuses: []int{503, 503, 503}, kept: "1"},
		{name: "lost acknowledgement", faults: `{"LoseAcks":1}`, statuses: []int{0, 200, 200}, kept: "1 1=r0 2=r1 3=r2"},
		{name: "late append", faults: `{"LateAppends":1,"LateMs":3600000}`, statuses: []int{0, 200, 200}, kept: "1 1=r1 2=r2"},
		{name: "append rate", options: LogOptions{AppendRate: 0.001, Burst: 2}, statuses: []int{200, 200, 429}, kept: "1 1=r0 2=r1"},
		{name: "kept by count", options: LogOptions{MaxRecords: 2}, statuses: []int{200, 200, 200}, kept: "2 2=r1 3=r2"},
		{name: "kept by age", options: LogOptions{Retention: time.Nanosecond}, statuses: []int{200, 200, 200}, kept: "4"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := startLog(t, c.options)
			setFaults(t, server, "{"+strings.Trim(c.faults, "{}")+"}")
			for i, want := range c.statuses {
				status, _ := call(t, server, 200*time.Millisecond, fmt.Sprintf("node-%d/7", i), http.MethodPost, records, fmt.Sprint("r", i))
				assert.Equal(t, status, want, "append %d", i)
			}
			setFaults(t, server, "{}")
			_, kept := call(t, server, 0, "", http.MethodGet, records, "")
			assert.Equal(t, kept, c.kept)
		})
	}
}

// TestReadWaits guards against a long poll that misses a record appended while it waits, ignores its wait parameter, or continues during an
// outage or after the stand-in stops.
func TestReadWaits(t *testing.T) {
	cases := []struct {
		name, query, faults string
		// appendTimeout is the timeout of the client that appends during the read; zero means that nothing is appended.
		appendTimeout time.Duration
		status        int
		want          string
	}{
		{name: "record appended during the wait", query: "from=2&wait=60000", appendTimeout: time.Minute, status: 200, want: "1 2=second"},
		{name: "append takes effect after its client timed out", query: "from=2&wait=60000", faults: `{"LateAppends":1,"LateMs":600}`, appendTimeout: 300 * time.Millisecond, status: 200, want: "1 2=second"},
		{name: "outage starts", query: "from=2&wait=60000", faults: `{"Outage":true}`, status: 503},
		{name: "wait over", query: "from=2&wait=20", status: 200, want: "1"},
		{name: "record exists", query: "from=1&limit=1&wait=60000", status: 200, want: "1 1=first"},
		{name: "bad offset", query: "from=x", status: 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := startLog(t, LogOptions{})
			status, _ := call(t, server, 0, "", http.MethodPost, records, "first")
			assert.Equal(t, status, 200)
			done := make(chan string, 1)
			go func() {
				status, text := call(t, server, 0, "", http.MethodGet, records+"?"+c.query, "")
				done <- fmt.Sprint(status, " ", text)
			}()
			if c.faults != "" {
				setFaults(t, server, c.faults)
			}
			if c.appendTimeout > 0 {
				call(t, server, c.appendTimeout, "", http.MethodPost, records, "second")
			}
			assert.Equal(t, <-done, fmt.Sprint(c.status, " ", c.want))
		})
	}
}

// TestCleanupEndsWaitingRequests guards against a stop that blocks because of waiting reads or late appends.
func TestCleanupEndsWaitingRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			handler, cleanup := NewLog(LogOptions{})
			faults := httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(`{"LateAppends":-1,"LateMs":3600000}`))
			handler.ServeHTTP(httptest.NewRecorder(), faults)
			done := make(chan int, 1)
			go func() {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(method, records+"?wait=60000", strings.NewReader("x")))
				done <- recorder.Code
			}()
			cleanup()
			assert.Equal(t, <-done, http.StatusInternalServerError)
		})
	}
}
