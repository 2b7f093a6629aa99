package striker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// startLoad starts a load of prompts and returns a function that waits for its end and returns the samples. The optional change adapts
// the plan of the load.
func (h *harness) startLoad(duration time.Duration, change func(*generator.Plan)) func() []requester.Sample {
	plan := generator.DefaultPlan()
	plan.Duration, plan.Rate, plan.Model = loader.Duration(duration), 15, h.fleet.Layout.Model
	plan.HugePart, plan.LongPart, plan.MaxPrompt = 0, 0.05, 60_000
	plan.MeanOutput, plan.MaxOutput = 40, 200
	for _, m := range h.fleet.Layout.Members {
		plan.Teams = append(plan.Teams, generator.Team{Name: m.Name, Token: m.Token, Weight: m.Percent})
	}
	if change != nil {
		change(&plan)
	}
	seeds := make([]string, 0, len(h.fleet.Nodes))
	for _, n := range h.fleet.Nodes {
		seeds = append(seeds, n.URL())
	}
	done := make(chan []requester.Sample, 1)
	go func() {
		samples, err := requester.Run(h.ctx, requester.Options{Plan: plan, Seeds: seeds, Client: h.client, Timeout: 20 * time.Second})
		if err != nil {
			samples = nil
		}
		done <- samples
	}()
	return func() []requester.Sample {
		h.Helper()
		samples := <-done
		assert.Assert(h, len(samples) > 0, "the load did not run")
		return samples
	}
}

// checkSamples fails the scenario if a sample is neither completed nor allowed, and notes the counts. A nil allowed allows none.
func (h *harness) checkSamples(samples []requester.Sample, allowed func(requester.Sample) bool) {
	h.Helper()
	counts := map[requester.Outcome]int{}
	codes := map[string]int{}
	var unexpected []string
	for _, sample := range samples {
		counts[sample.Outcome]++
		if sample.Outcome != requester.Completed {
			codes[sample.Code]++
		}
		if sample.Outcome != requester.Completed && (allowed == nil || !allowed(sample)) {
			unexpected = append(unexpected, fmt.Sprintf("%s %s %q planned at %s, ended after %s, node %s, prompt %d, tokens %d of %d",
				sample.Outcome, sample.Code, sample.Run, round(sample.Arrival.At), round(sample.End), sample.Node, sample.Arrival.Prompt, sample.Tokens, sample.Arrival.Output))
		}
	}
	h.note("%d requests: %d completed, %d refused, %d cut, %d failed", len(samples), counts[requester.Completed],
		counts[requester.Refused], counts[requester.Cut], counts[requester.Failed])
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		h.note("%d %s", codes[code], code)
	}
	if len(unexpected) > 0 {
		h.Errorf("%d requests neither completed nor failed in an allowed way:\n%s", len(unexpected),
			strings.Join(unexpected[:min(len(unexpected), 20)], "\n"))
	}
}

// refusedNotRun reports whether a request was refused with the statement that it did not run.
func refusedNotRun(sample requester.Sample) bool {
	return sample.Outcome == requester.Refused && sample.Run == "NotRun"
}

// prompt returns a text of the given number of tokens. Its start is unique for kind and number, so that prompts share no prefix.
func prompt(kind string, number, tokens int) string {
	start := fmt.Sprintf("%s-%d ", kind, number)
	return start + strings.Repeat(".", tokens*generator.TokenBytes-len(start))
}

// answer is the result of a request as its caller sees it.
type answer struct {
	status   int
	text     string
	tokens   int
	complete bool
	code     string
	run      string
	err      error
}

// refusalBody holds the fields of a refusal that the tests read.
type refusalBody struct {
	Error struct{ Code, Run string }
}

func (a answer) withRefusal(body []byte) answer {
	var r refusalBody
	if json.Unmarshal(body, &r) == nil {
		a.code, a.run = r.Error.Code, r.Error.Run
	}
	return a
}

func (h *harness) send(n *launcher.Process, path, key, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(h.ctx, http.MethodPost, n.URL()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+h.fleet.Layout.Members[0].Token)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header["Idempotency-Key"] = []string{key}
	}
	// With GetBody, net/http would resend a request with an Idempotency-Key when a connection breaks, which would hide a double run.
	request.GetBody = nil
	return h.client.Do(request)
}

func completionBody(model, text string, maxTokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, text, maxTokens)
}

// sendPrompt sends a prompt and reads the streamed answer.
func (h *harness) sendPrompt(n *launcher.Process, text string, maxTokens int) (a answer) {
	response, err := h.send(n, "/v1/completions", "", completionBody(h.fleet.Layout.Model, text, maxTokens))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	if a.status != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return a.withRefusal(body)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			return a
		}
		var chunk struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			return a.withRefusal([]byte(data))
		}
		if chunk.Choices[0].Text != "" {
			a.text += chunk.Choices[0].Text
			a.tokens++
		}
	}
	a.err = lines.Err()
	return a
}
