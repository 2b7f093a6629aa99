package responder

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

// fastParameters returns the parameters of a warm engine that runs 1000 times faster than real time.
func fastParameters() batcher.Parameters {
	p := batcher.DefaultParameters()
	p.ColdFor, p.ColdRequests, p.TimeScale = 0, 0, 0.001
	return p
}

func newEngine(t *testing.T, change func(*EngineOptions)) string {
	t.Helper()
	options := EngineOptions{Address: "127.0.0.1:0", Models: []string{"m"}, Parameters: fastParameters()}
	if change != nil {
		change(&options)
	}
	e, stop, err := NewEngine(options)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return "http://" + e.Address()
}

// client opens a new connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

func send(t *testing.T, method, url, body string, headers ...string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return client.Do(r)
}

// closeBody closes the body of a response without reading the rest.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// doRequest sends a request and returns the status and the body.
func doRequest(t *testing.T, method, url, body string, headers ...string) (int, string) {
	t.Helper()
	response, err := send(t, method, url, body, headers...)
	assert.NilError(t, err)
	defer closeBody(response)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(content)
}

func startCompletion(t *testing.T, url, attempt, prompt string, maxTokens int, headers ...string) (*http.Response, error) {
	t.Helper()
	body, err := json.Marshal(completionRequest{Model: "m", Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	assert.NilError(t, err)
	return send(t, "POST", url+"/v1/completions", string(body), append(headers, "X-Request-Id", attempt, "X-Node-Id", "n")...)
}

// readStream returns the text of a streamed response and how it ended: "done", a status, an error message of the stream, or one of
// "refused", "broken", "cut", "mismatched" and "wrong count".
func readStream(response *http.Response, err error) (text, end string) {
	if err != nil {
		return "", "refused"
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return "", response.Status
	}
	counted := -1
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if counted*batcher.BytesPerToken != len(text) {
				return text, "wrong count"
			}
			return text, "done"
		}
		var chunk struct {
			ID      string
			Error   *struct{ Message string }
			Choices []struct{ Text string }
			Usage   *struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			// After a read error, the scanner returns the incomplete last line before it reports the error.
			if !lines.Scan() && lines.Err() != nil {
				return text, "broken"
			}
			return text, err.Error()
		}
		switch {
		case chunk.Error != nil:
			return text, chunk.Error.Message
		case chunk.ID != response.Header.Get("X-Request-Id"):
			return text, "mismatched"
		case chunk.Usage != nil:
			counted = chunk.Usage.CompletionTokens
		}
		text += chunk.Choices[0].Text
	}
	if lines.Err() != nil {
		return text, "broken"
	}
	return text, "cut"
}

// complete sends a completion request and reads its stream to the end.
func complete(t *testing.T, url, attempt, prompt string, maxTokens int) (text, end string) {
	t.Helper()
	return readStream(startCompletion(t, url, attempt, prompt, maxTokens)) //nolint:bodyclose // readStream closes it
}

// TestCompletion guards against a continuation whose text differs from the rest of the original stream, and against a response header that
// is sent only after the prompt is processed.
func TestCompletion(t *testing.T) {
	url := newEngine(t, nil)
	whole, end := complete(t, url, "a", "hello", 12)
	assert.Equal(t, end, "done")
	assert.Equal(t, len(whole), 12*batcher.BytesPerToken)
	rest, end := complete(t, url, "b", "hello"+whole[:20], 7)
	assert.Equal(t, end, "done")
	assert.Equal(t, rest, whole[20:])

	slow := newEngine(t, func(o *EngineOptions) { o.Parameters.TimeScale = 1000 })
	response, err := startCompletion(t, slow, "c", strings.Repeat("long ", 10_000), 1)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get("X-Request-Id"), "c")
	assert.Equal(t, response.Header.Get("X-Phase"), "warm")
	heartbeat, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, heartbeat, ": heartbeat\n")
	assert.NilError(t, response.Body.Close())
}

// TestRefusals guards against refusals with a wrong status, from which callers derive whether to retry.
func TestRefusals(t *testing.T) {
	url := newEngine(t, func(o *EngineOptions) { o.Parameters.Capacity, o.Parameters.TimeScale = 1000, 100 })
	held, err := startCompletion(t, url, "held", "hello", 900)
	assert.NilError(t, err)
	defer closeBody(held)
	cases := []struct {
		attempt, model string
		tokens         int
		want           int
	}{
		{"a", "m", 200, http.StatusServiceUnavailable},
		{"a", "m", 2000, http.StatusRequestEntityTooLarge},
		{"held", "m", 10, http.StatusConflict},
		{"a", "other", 10, http.StatusNotFound},
		{"a", "m", 0, http.StatusBadRequest},
		{"", "m", 1, http.StatusBadRequest},
	}
	for _, c := range cases {
		body := fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":%d,"stream":true}`, c.model, c.tokens)
		got, _ := doRequest(t, "POST", url+"/v1/completions", body, "X-Request-Id", c.attempt)
		assert.Equal(t, got, c.want, "%+v", c)
	}
}

// TestEngineFaults guards against faults that have no effect, last too long or affect other requests.
func TestEngineFaults(t *testing.T) {
	cases := []struct {
		name, faults string
		// ends lists how three streams end: one that was running when the fault was set, and two later ones.
		ends []string
	}{
		{"crash", `{"Crash":true}`, []string{"broken", "done", "done"}},
		{"crash and stay down", `{"Crash":true,"DownMs":60000}`, []string{"broken", "refused", "refused"}},
		{"crossed", `{"Crossed":1}`, []string{"done", "mismatched", "done"}},
		{"cut short", `{"CutShort":1}`, []string{"done", "cut", "done"}},
		{"dropped", `{"Dropped":1}`, []string{"done", "wrong count", "done"}},
		{"slow", `{"Slow":2}`, []string{"done", "done", "done"}},
		{"late", `{"LateMs":20}`, []string{"done", "done", "done"}},
		{"turn cold", `{"Cold":true}`, []string{"done", "done", "done"}},
	}
	for _, c := range cases {
		url := newEngine(t, nil)
		running, err := startCompletion(t, url, "running", "hello", 10_000) //nolint:bodyclose // readStream closes it
		assert.NilError(t, err)
		got, _ := doRequest(t, "POST", url+"/faults", c.faults)
		assert.Equal(t, got, http.StatusNoContent)
		_, end := readStream(running, nil)
		ends := append(make([]string, 0, 3), end)
		for _, attempt := range []string{"first", "second"} {
			_, end := complete(t, url, attempt, "hello", 5)
			ends = append(ends, end)
		}
		assert.DeepEqual(t, ends, c.ends)
	}
}

// TestColdEngine guards against a cold engine that survives more requests than its limit, or does not report its phase and new boot ID.
func TestColdEngine(t *testing.T) {
	url := newEngine(t, func(o *EngineOptions) {
		o.Parameters.ColdFor, o.Parameters.ColdLimit, o.Parameters.TimeScale = time.Hour, 1, 100
	})
	first, err := startCompletion(t, url, "a", "hello", 3000) //nolint:bodyclose // readStream closes it
	assert.NilError(t, err)
	assert.Equal(t, first.Header.Get("X-Phase"), "cold")
	_, end := complete(t, url, "b", "hello", 5)
	assert.Equal(t, end, "refused")
	_, end = readStream(first, nil)
	assert.Equal(t, end, "broken")
	next, err := startCompletion(t, url, "c", "hello", 3)
	assert.NilError(t, err)
	assert.Assert(t, next.Header.Get("X-Boot-Id") != first.Header.Get("X-Boot-Id"))
	assert.NilError(t, next.Body.Close())
}

// TestSilentEngine guards against a silent fault that a client can detect without a timeout, or that also affects new connections.
func TestSilentEngine(t *testing.T) {
	url := newEngine(t, func(o *EngineOptions) { o.Parameters.TimeScale = 20 })
	running, err := startCompletion(t, url, "a", "hello", 3000) //nolint:bodyclose // closed below, after the check that it is still open
	assert.NilError(t, err)
	// Slow below 1 speeds up the engine.
	doRequest(t, "POST", url+"/faults", `{"Silent":true,"Slow":0.00001}`)
	next, end := complete(t, url, "b", "hello", 5)
	assert.Equal(t, end, "done")
	assert.Equal(t, len(next), 5*batcher.BytesPerToken)
	ended := make(chan string, 1)
	go func() {
		_, end := readStream(running, nil)
		ended <- end
	}()
	select {
	case end := <-ended:
		t.Fatalf("the silent stream ended: %s", end)
	case <-time.After(2 * heartbeatInterval):
	}
	assert.NilError(t, running.Body.Close())
	<-ended
}

// TestStalledReader guards against a client that stops reading and thereby blocks other requests on the engine.
func TestStalledReader(t *testing.T) {
	url := newEngine(t, func(o *EngineOptions) { o.Parameters.TimeScale = 0.0001 })
	stalled, err := startCompletion(t, url, "stalled", "hello", 100_000)
	assert.NilError(t, err)
	defer closeBody(stalled)
	text, end := complete(t, url, "a", "hello", 1000)
	assert.Equal(t, end, "done")
	assert.Equal(t, len(text), 1000*batcher.BytesPerToken)
	waitIdle(t, url)
}

// waitIdle waits until the engine reports no used memory.
func waitIdle(t *testing.T, url string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, body := doRequest(t, "GET", url+"/load", "")
		if strings.Contains(body, `"Used":0,`) {
			return poll.Success()
		}
		return poll.Continue("%s", body)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestEndOfRequests guards against an attempt that cannot be listed or cancelled, or that keeps running after its timeout or after its
// client disconnects.
func TestEndOfRequests(t *testing.T) {
	cases := []struct {
		name           string
		keepsAbandoned bool
		timeout        string
		act            func(url string, running *http.Response)
		want           string
	}{
		{"cancel", false, "60000", func(url string, _ *http.Response) {
			got, _ := doRequest(t, "DELETE", url+"/requests/a", "")
			assert.Equal(t, got, http.StatusNoContent)
			got, _ = doRequest(t, "DELETE", url+"/requests/a", "")
			assert.Equal(t, got, http.StatusNotFound)
		}, "broken"},
		{"timeout", false, "300", func(string, *http.Response) {}, "request timeout"},
		{"client gone", false, "60000", func(_ string, r *http.Response) { _ = r.Body.Close() }, "broken"},
		{"client gone, kept until timeout", true, "300", func(_ string, r *http.Response) { _ = r.Body.Close() }, "broken"},
	}
	for _, c := range cases {
		url := newEngine(t, func(o *EngineOptions) { o.Parameters.TimeScale, o.KeepsAbandoned = 100, c.keepsAbandoned })
		running, err := startCompletion(t, url, "a", "hello", 10, "X-Request-Timeout", c.timeout) //nolint:bodyclose // readStream closes it
		assert.NilError(t, err)
		_, list := doRequest(t, "GET", url+"/requests", "")
		assert.Assert(t, strings.Contains(list, `{"Attempt":"a","Node":"n","Tokens":12}`), list)
		c.act(url, running)
		_, end := readStream(running, nil)
		assert.Equal(t, end, c.want, c.name)
		waitIdle(t, url)
	}
}
