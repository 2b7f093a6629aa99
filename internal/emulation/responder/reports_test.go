package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func getJSON(t *testing.T, url string, value any) {
	t.Helper()
	code, body := doRequest(t, "GET", url, "")
	assert.Equal(t, code, http.StatusOK, body)
	assert.NilError(t, json.Unmarshal([]byte(body), value))
}

// TestFencing guards against fencing tokens that are ignored with FencesOrders set, or checked without it.
func TestFencing(t *testing.T) {
	cases := []struct {
		fences bool
		want   []int
	}{{true, []int{200, 409, 409, 200}}, {false, []int{200, 200, 200, 200}}}
	for _, c := range cases {
		url := newEngine(t, func(o *EngineOptions) { o.FencesOrders = c.fences })
		got := make([]int, 0, 4)
		for _, term := range []int{5, 4} {
			code, _ := doRequest(t, "POST", url+"/orders", fmt.Sprintf(`{"Kind":"LoadModel","Model":"n","Term":%d}`, term))
			got = append(got, code)
		}
		for _, term := range []string{"4", "6"} {
			response, err := startCompletion(t, url, "a"+term, "hello", 1, "X-Fencing-Token", term)
			assert.NilError(t, err)
			got = append(got, response.StatusCode)
			assert.NilError(t, response.Body.Close())
		}
		assert.DeepEqual(t, got, c.want)
	}
}

// TestLoadReports guards against load reports without the configured lag, and against reports that stay stale after it.
func TestLoadReports(t *testing.T) {
	url := newEngine(t, func(o *EngineOptions) { o.LoadLag, o.Parameters.TimeScale = 300*time.Millisecond, 100 })
	used := func() int {
		var load loadBody
		getJSON(t, url+"/load", &load)
		return load.Used
	}
	running, err := startCompletion(t, url, "a", "hello", 98)
	assert.NilError(t, err)
	defer closeBody(running)
	assert.Equal(t, used(), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used() == 100 {
			return poll.Success()
		}
		return poll.Continue("not reported")
	}, poll.WithDelay(10*time.Millisecond))
	doRequest(t, "POST", url+"/faults", `{"LoadStopped":true,"LoadLagMs":0}`)
	doRequest(t, "DELETE", url+"/requests/a", "")
	assert.Equal(t, used(), 100)
	doRequest(t, "POST", url+"/faults", `{"LoadStopped":false}`)
	assert.Equal(t, used(), 0)
}

// TestCacheEvents guards against cache events without the configured gaps and delay.
func TestCacheEvents(t *testing.T) {
	cases := []struct {
		faults string
		seqs   []int64
		next   int64
	}{
		{`{}`, []int64{1, 2, 3, 4}, 5},
		{`{"CacheGap":2}`, []int64{1, 3}, 5},
		{`{"CacheDelayMs":60000}`, []int64{}, 1},
	}
	for _, c := range cases {
		url := newEngine(t, nil)
		doRequest(t, "POST", url+"/faults", c.faults)
		_, end := complete(t, url, "a", strings.Repeat("abcd", 1030), 1)
		assert.Equal(t, end, "done")
		var body cacheEventsBody
		getJSON(t, url+"/cache/events?from=1", &body)
		seqs := make([]int64, 0, len(body.Events))
		for _, event := range body.Events {
			assert.Equal(t, event.Kind, "Stored")
			seqs = append(seqs, event.Seq)
		}
		assert.DeepEqual(t, seqs, c.seqs)
		assert.Equal(t, body.Next, c.next)
	}
}

// TestExports guards against exports that remain available after their expiry or deletion, and against imports that add no blocks to the
// cache.
func TestExports(t *testing.T) {
	from := newEngine(t, func(o *EngineOptions) { o.Parameters.TimeScale = 1 })
	to := newEngine(t, nil)
	running, err := startCompletion(t, from, "a", strings.Repeat("abcd", 1030), 10_000)
	assert.NilError(t, err)
	defer closeBody(running)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var load loadBody
		if getJSON(t, from+"/load", &load); load.QueuedPrefill == 0 {
			return poll.Success()
		}
		return poll.Continue("prefill")
	}, poll.WithDelay(5*time.Millisecond))
	export := func(expires int) exportBody {
		var body exportBody
		code, content := doRequest(t, "POST", from+"/kv/exports", fmt.Sprintf(`{"Attempt":"a","ExpiresInMs":%d}`, expires))
		assert.Equal(t, code, http.StatusCreated, content)
		assert.NilError(t, json.Unmarshal([]byte(content), &body))
		return body
	}
	imports := func(id string) int {
		code, _ := doRequest(t, "POST", to+"/kv/imports", fmt.Sprintf(`{"Export":%q,"From":%q}`, id, strings.TrimPrefix(from, "http://")))
		return code
	}
	kept, dropped, expired := export(60_000), export(60_000), export(100)
	assert.Equal(t, kept.Tokens, 1024)
	code, _ := doRequest(t, "DELETE", from+"/kv/exports/"+dropped.Export, "")
	assert.Equal(t, code, http.StatusNoContent)
	assert.DeepEqual(t, []int{imports(dropped.Export), imports(kept.Export)}, []int{404, 200})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if imports(expired.Export) == http.StatusNotFound {
			return poll.Success()
		}
		return poll.Continue("not expired")
	}, poll.WithDelay(10*time.Millisecond))
	var events cacheEventsBody
	getJSON(t, to+"/cache/events", &events)
	assert.Equal(t, len(events.Events), 4)
}

// TestHistory guards against a history that omits a start or a crash. Failure tests use it to check which requests an engine accepted.
func TestHistory(t *testing.T) {
	url := newEngine(t, nil)
	for _, attempt := range []string{"a", "b"} {
		response, err := startCompletion(t, url, attempt, "hello", 1, "X-Node-Id", "n")
		assert.NilError(t, err)
		closeBody(response)
		doRequest(t, "POST", url+"/faults", `{"Crash":true}`)
	}
	var h history
	getJSON(t, url+"/history", &h)
	assert.Equal(t, len(h.Starts), 2)
	assert.Equal(t, len(h.Boots), 3)
	for i, want := range []startRecord{{Attempt: "a", Node: "n"}, {Attempt: "b", Node: "n"}} {
		got := h.Starts[i]
		assert.Equal(t, got.Attempt+got.Node+got.BootID, want.Attempt+want.Node+h.Boots[i].BootID)
		assert.Assert(t, !got.At.Before(h.Boots[i].At) && !got.At.After(h.Boots[i+1].At))
		assert.Equal(t, h.Boots[i+1].Cause, "fault")
	}
}
