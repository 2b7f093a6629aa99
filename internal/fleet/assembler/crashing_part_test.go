package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform/platformtest"
)

const (
	// contactTime is the rules' contactMs.
	contactTime = 3 * time.Second
	// crashingPart crashes the engines. popularPart is the first part of most prompts.
	crashingPart = "dd04"
	popularPart  = "aa01"
	// soundPhase is how long only sound requests are sent. Requests are sent until judgedTime after the fifth crash, or the last one if there are
	// fewer: twice contactTime, and the time of 20 sound requests with popularPart. maxTestTime bounds that.
	soundPhase  = 1500 * time.Millisecond
	judgedTime  = 2*contactTime + 1200*time.Millisecond
	maxTestTime = 20 * time.Second
	// requestInterval is the time between two callers' requests.
	requestInterval = 25 * time.Millisecond
)

// partCall is a request of a caller with the parts of its prompt.
type partCall struct {
	prefix string
	body   string
	sentAt time.Time
	// began is set if the answer began.
	began bool
}

func (n *node) callWithParts(id string, call partCall) partCall {
	request, err := platformtest.NewRequest(context.Background(), "http://"+n.settings.Listen.Callers+"/stream/1", id)
	if err != nil {
		return call
	}
	request.Header.Set(platformtest.PrefixHeader, call.prefix)
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(call.body)), int64(len(call.body))
	call.sentAt = time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return call
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	call.began = response.StatusCode == http.StatusOK
	return call
}

// TestCrashingPartEndsFewEngines guards against requests that share one part of their prompts and crash one engine after another (BUDGET), and
// against a quarantine that refuses sound requests with the same caller or the same other parts (LOST).
func TestCrashingPartEndsFewEngines(t *testing.T) {
	tests := []struct {
		name string
		// prefix is that of the crashing requests; %d is the number of the request.
		prefix string
		// every is the number of requests of which one is crashing.
		every int
		// copies is how often each crashing request is sent.
		copies int
		// body is that of the crashing requests.
		body string
		// pause is how long no sound request with popularPart is sent after soundPhase. It begins before, so that none runs when engines crash.
		pause time.Duration
	}{
		{"part in the middle", "aa01:800,dd04:300,%d:100", 8, 1, "crashing %d", 0},
		{"part first", "dd04:300,aa01:800,%d:100", 8, 1, "crashing %d", 0},
		{"low share", "aa01:800,dd04:300,%d:100", 24, 1, "crashing %d", 0},
		{"identical repeats", "aa01:800,dd04:300,%d:100", 16, 3, "crashing %d", 0},
		{"without a body", "aa01:800,dd04:300,%d:100", 8, 1, "", 0},
		{"no sound request with the first part meanwhile", "aa01:800,dd04:300,%d:100", 8, 1, "crashing %d", 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			engines := crashingEngines(12)
			s := newSiteWith(t, engines)
			nodes := []*node{s.start(t, "n1", "dc-a"), s.start(t, "n2", "dc-b"), s.start(t, "n3", "dc-a")}
			waitFor(t, func() bool {
				return !slices.ContainsFunc(nodes, func(n *node) bool { return n.call("/stream/1", "ready").code != http.StatusOK })
			})

			var (
				calls sync.WaitGroup
				mu    sync.Mutex
				done  []partCall
			)
			send := func(number int, prefix, body string) {
				calls.Go(func() {
					call := nodes[number%len(nodes)].callWithParts(fmt.Sprintf("r-%d", number), partCall{prefix: prefix, body: body})
					mu.Lock()
					defer mu.Unlock()
					done = append(done, call)
				})
			}
			begin, number, crashing := time.Now(), 0, 0
			ticker := time.NewTicker(requestInterval)
			defer ticker.Stop()
			for now := begin; sending(now, begin, engines); now = <-ticker.C {
				number++
				sent := now.Sub(begin)
				if sent < soundPhase || number%tt.every > 0 {
					popular := tt.pause == 0 || sent < soundPhase-700*time.Millisecond || sent >= soundPhase+tt.pause
					send(number, soundPrefix(number, popular), fmt.Sprint("sound ", number))
					continue
				}
				crashing++
				body := strings.ReplaceAll(tt.body, "%d", fmt.Sprint(crashing))
				for range tt.copies {
					send(number, fmt.Sprintf(tt.prefix, crashing), body)
					number++
				}
			}
			calls.Wait()
			checkCrashingPart(t, engines, done, begin)
		})
	}
}

// soundPrefix returns the parts of a sound prompt: if popular is set, three of four begin with popularPart.
func soundPrefix(number int, popular bool) string {
	switch {
	case number%4 == 0 || !popular:
		return fmt.Sprintf("bb02:500,%d:100", number)
	case number%4 == 1:
		return fmt.Sprintf("%s:800,cc03:400,%d:100", popularPart, number)
	default:
		return fmt.Sprintf("%s:800,%d:100", popularPart, number)
	}
}

// crashingEngines returns engines that crash on crashingPart.
func crashingEngines(count int) []*platformtest.Endpoint {
	engines := make([]*platformtest.Endpoint, 0, count)
	for i := range count {
		engine := &platformtest.Endpoint{
			ID: fmt.Sprint("engine-", i), Service: platformtest.EngineService, DataCentre: []string{"dc-a", "dc-b"}[i%2],
			Slots: 4, Events: 15, Pause: 30 * time.Millisecond, IP: newLoopback(),
		}
		engine.SetFault(platformtest.EndpointFault{CrashingPart: crashingPart, DownFor: 700 * time.Millisecond})
		engines = append(engines, engine)
	}
	return engines
}

// sending reports whether more requests are sent.
func sending(now, begin time.Time, engines []*platformtest.Endpoint) bool {
	if now.Sub(begin) >= maxTestTime {
		return false
	}
	crashes := crashTimes(engines)
	return len(crashes) == 0 || now.Sub(fifthOrLast(crashes)) < judgedTime
}

// crashTimes returns the times of all crashes in order.
func crashTimes(engines []*platformtest.Endpoint) []time.Time {
	var crashes []time.Time
	for _, engine := range engines {
		crashes = append(crashes, engine.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

func fifthOrLast(crashes []time.Time) time.Time { return crashes[min(len(crashes), 5)-1] }

// checkCrashingPart judges the two rules. BUDGET: of the requests with the crashing part, no more than three reach engines later than contactTime
// after the fifth crash. LOST: from twice contactTime after the fifth crash, or the last one if there are fewer, the answers to sound requests
// of the same caller, and of those with the same first part, begin at least half as often as before the crashes.
func checkCrashingPart(t *testing.T, engines []*platformtest.Endpoint, done []partCall, begin time.Time) {
	t.Helper()
	crashes := crashTimes(engines)
	var reached []time.Time
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			if platformtest.HasSharedPart(run.Prefix, crashingPart) {
				reached = append(reached, run.StartedAt)
			}
		}
	}
	assert.Assert(t, len(crashes) > 0, "no engine crashed")
	fifth := fifthOrLast(crashes)
	late := 0
	for _, at := range reached {
		if at.Sub(fifth) > contactTime {
			late++
		}
	}
	t.Logf("%d crashes, the first after %v, the fifth or last after %v", len(crashes), crashes[0].Sub(begin), fifth.Sub(begin))
	assert.Check(t, len(crashes) < 5 || late <= 3, "BUDGET: %d requests reached engines later than %v after the fifth of %d crashes", late, contactTime, len(crashes))
	checkSound(t, "the same caller", done, crashes[0], fifth, func(string) bool { return true })
	checkSound(t, "the same first part", done, crashes[0], fifth, func(prefix string) bool { return strings.HasPrefix(prefix, popularPart+":") })
}

// checkSound judges LOST for the sound requests whose prefix is in the given group.
func checkSound(t *testing.T, group string, done []partCall, first, fifth time.Time, in func(prefix string) bool) {
	t.Helper()
	var before, after, begunBefore, begunAfter int
	for _, call := range done {
		if platformtest.HasSharedPart(call.prefix, crashingPart) || !in(call.prefix) {
			continue
		}
		switch {
		case call.sentAt.Before(first.Add(-500 * time.Millisecond)):
			before++
			if call.began {
				begunBefore++
			}
		case call.sentAt.Sub(fifth) > 2*contactTime:
			after++
			if call.began {
				begunAfter++
			}
		}
	}
	t.Logf("%s: answers began %d of %d before the crashes, %d of %d after them", group, begunBefore, before, begunAfter, after)
	assert.Check(t, before >= 20 && after >= 20, "%s: too few sound requests to judge", group)
	assert.Check(t, float64(begunAfter)/float64(after) >= 0.5*float64(begunBefore)/float64(before), "LOST: %s", group)
}
