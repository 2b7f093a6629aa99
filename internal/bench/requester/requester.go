// Package requester sends the requests of a load run to nodes as callers do: it fetches the addresses to use, caches them until they
// expire, and reads streamed responses.
package requester

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/bench/generator"
)

// Outcome is how a request ended.
type Outcome string

// Outcomes.
const (
	Completed Outcome = "Completed"
	// Refused requests received an error status before any token.
	Refused Outcome = "Refused"
	// Cut requests ended after the stream began, without its end mark or with an error.
	Cut Outcome = "Cut"
	// Failed requests received no HTTP response.
	Failed Outcome = "Failed"
)

// Sample is the measurement of one request. FirstToken and End count from the planned arrival.
type Sample struct {
	Arrival generator.Arrival
	Outcome Outcome
	Code    string
	// Run is what the error of a refused or cut request states about its execution: "NotRun" or "Unknown".
	Run        string
	FirstToken time.Duration
	End        time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps   []time.Duration
	Tokens int
	Node   string
	// Late is the delay between the planned arrival and the start of sending.
	Late time.Duration
}

// Options configure a run.
type Options struct {
	Plan generator.Plan
	// Seeds are the node URLs from which addresses are fetched.
	Seeds  []string
	Client *http.Client
	// Timeout is the timeout of one request.
	Timeout time.Duration
}

// Run sends each request of the plan at its time, without waiting for earlier responses, and returns a sample for each. It returns the
// error of ctx when that ends before the run.
func Run(ctx context.Context, options Options) ([]Sample, error) {
	arrivals := generator.Arrivals(options.Plan)
	samples := make([]Sample, len(arrivals))
	book := newAddressBook(options.Client, options.Seeds)
	start := time.Now()
	var group errgroup.Group
	for i, a := range arrivals {
		body := requestBody(options.Plan.Model, a)
		if err := waitUntil(ctx, start.Add(a.At)); err != nil {
			return nil, err
		}
		group.Go(func() error {
			planned := start.Add(a.At)
			s := send(ctx, options, book, a, body, planned)
			s.Late = max(0, s.Late)
			samples[i] = s
			return nil
		})
	}
	_ = group.Wait()
	return samples, ctx.Err()
}

func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// completionRequest is the body of an OpenAI completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func requestBody(model string, a generator.Arrival) []byte {
	body, err := json.Marshal(completionRequest{
		Model: model, Prompt: generator.Text(a), MaxTokens: int64(a.Output), Stream: true,
	})
	if err != nil {
		panic(fmt.Sprintf("encode request: %v", err))
	}
	return body
}

// send sends one request and measures it.
func send(ctx context.Context, options Options, book *addressBook, a generator.Arrival, body []byte, planned time.Time) Sample {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	s := Sample{Arrival: a, Late: time.Since(planned)}
	s.Node = book.Pick(ctx, a)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Node+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return s.withOutcome(Failed, err.Error(), planned)
	}
	request.Header.Set("Authorization", "Bearer "+a.Team.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := options.Client.Do(request)
	if err != nil {
		book.Invalidate(a.Team.Name)
		return s.withOutcome(Failed, "NoAnswer", planned)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return s.withRefusal(Refused, response.Body, response.StatusCode, planned)
	}
	return s.withStream(response.Body, planned)
}

// withOutcome returns s with an outcome, a code and the current time as its end.
func (s Sample) withOutcome(outcome Outcome, code string, planned time.Time) Sample {
	s.Outcome, s.Code, s.End = outcome, code, time.Since(planned)
	return s
}

// refusal holds the fields of an error response that the load tool reads. The two forms of error objects differ only in letter case, which
// encoding/json ignores.
type refusal struct {
	Error struct {
		Code string
		Run  string
	}
}

// withRefusal returns s with an outcome, the error in body and the current time as its end. Without a readable error code the code is
// "Status" followed by the HTTP status.
func (s Sample) withRefusal(outcome Outcome, body io.Reader, status int, planned time.Time) Sample {
	var r refusal
	if err := json.NewDecoder(body).Decode(&r); err != nil || r.Error.Code == "" {
		r.Error.Code = fmt.Sprintf("Status%d", status)
	}
	s.Run = r.Error.Run
	return s.withOutcome(outcome, r.Error.Code, planned)
}

const (
	dataPrefix   = "data: "
	doneMark     = "[DONE]"
	maxLineBytes = 1 << 20
)

// withStream reads a stream of server-sent events and returns s with its measurements.
func (s Sample) withStream(body io.Reader, planned time.Time) Sample {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		switch {
		case !ok:
			continue
		case data == doneMark:
			return s.withOutcome(Completed, "", planned)
		case strings.HasPrefix(data, `{"error"`):
			return s.withRefusal(Cut, strings.NewReader(data), 0, planned)
		case strings.Contains(data, `"text":""`):
			continue
		}
		now := time.Now()
		if s.Tokens == 0 {
			s.FirstToken = now.Sub(planned)
		} else {
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		last = now
		s.Tokens++
	}
	return s.withOutcome(Cut, "NoEndMark", planned)
}
