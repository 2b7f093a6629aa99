package assembler

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/endpoint/streamer"
	"damaskpick.example/damaskpick/internal/proof/prover"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

const (
	promptText = "question"
	// answerTokens is the number of tokens of every answer. Token n is the number n in four digits.
	answerTokens = 40
)

// TestGuarantees guards against a caller that receives tokens twice, misses some, or receives those of another answer when engines
// break the connection, end the stream early, report a wrong token count, stop sending, or send chunks of another attempt.
func TestGuarantees(t *testing.T) {
	prover.Prove(t, []prover.Proof{{Guarantee: "WholeAnswer", Run: wholeAnswer}})
}

// faultyEngine is a fake engine whose attempts fail in ways that the seed determines.
type faultyEngine struct {
	rand  *rand.Rand
	trace []string
	sends atomic.Int64
}

// faults lists the ways in which an attempt fails after some of its tokens. A miscounted attempt reports more tokens than it sent.
var faults = []string{
	"none", "disconnect", "foreign chunk", "miscounted", "no end mark", "refuse", "disconnect", "foreign chunk", "silent",
}

func (e *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var body struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault, validTokens := faults[e.rand.IntN(len(faults))], e.rand.IntN(max(body.MaxTokens, 1))
	if e.sends.Add(1) > 6 {
		fault = "none"
	}
	e.trace = append(e.trace, fmt.Sprintf("%s: prompt %d bytes, %s after %d tokens", r.Header.Get("X-Request-Id"), len(body.Prompt), fault, validTokens))
	if fault == "refuse" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.answer(w, r, (len(body.Prompt)-len(promptText))/4, body.MaxTokens, fault, validTokens)
}

// answer streams count tokens of the answer, starting at token from. The fault occurs after validTokens tokens.
func (e *faultyEngine) answer(w http.ResponseWriter, r *http.Request, from, count int, fault string, validTokens int) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Boot-Id", "boot")
	w.Header().Set("X-Phase", "warm")
	sent := count
	if fault == "miscounted" {
		sent = validTokens
	}
	for i := range sent {
		if i == validTokens {
			switch fault {
			case "disconnect":
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			case "foreign chunk":
				_, _ = fmt.Fprintf(w, "data: {\"id\":\"other\",\"choices\":[{\"index\":0,\"text\":\"late\",\"finish_reason\":null}]}\n\n")
			case "silent":
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return
			}
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"%04d\",\"finish_reason\":null}]}\n\n", id, from+i)
	}
	if fault != "no end mark" {
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"length\"}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", id, count)
	}
}

// grantingControl is a control loop that grants every request.
type grantingControl struct {
	forwarder.Control
	address string
	grants  int
}

func (g *grantingControl) Ask(ctx context.Context, _ modeler.Event) (modeler.Decision, error) {
	g.grants++
	deadline, _ := ctx.Deadline()
	return modeler.Decision{Grant: &modeler.Grant{
		Attempt: modeler.AttemptID(fmt.Sprintf("r#%d", g.grants)), Address: g.address, Deadline: deadline, PermitAt: time.Now(),
	}}, nil
}

func (*grantingControl) Post(modeler.Event) {}

// wholeAnswer runs one request through the forwarder and the engine client. If the request succeeds, its text must be the whole answer; if
// it fails, the text must be a prefix of the answer.
func wholeAnswer(seed uint64, naive bool) prover.Verdict {
	engine := &faultyEngine{rand: rand.New(rand.NewPCG(seed, 21))}
	server := httptest.NewServer(engine)
	defer server.Close()
	address := server.Listener.Addr().String()
	generate := generateWithForwarder
	if naive {
		generate = generateNaively
	}
	text, err := generate(address)
	verdict := prover.Verdict{Trace: engine.trace}
	var want strings.Builder
	for i := range answerTokens {
		_, _ = fmt.Fprintf(&want, "%04d", i)
	}
	switch {
	case err != nil && (naive || !strings.HasPrefix(want.String(), text)):
		verdict.Violations = append(verdict.Violations, fmt.Sprintf("failed with %v after %q", err, text))
	case err == nil && text != want.String():
		verdict.Violations = append(verdict.Violations, fmt.Sprintf("the caller got %q", text))
	}
	return verdict
}

func generateWithForwarder(address string) (string, error) {
	client, stop, err := streamer.New(streamer.Options{ChunkGap: 150 * time.Millisecond})
	if err != nil {
		return "", err
	}
	defer stop()
	f := forwarder.New(forwarder.Options{
		Control: &grantingControl{address: address}, Engines: engines{client: client, node: "n/1"}, RequestTimeout: 10 * time.Second, Log: zerolog.Nop(),
	})
	defer f.Wait()
	var text strings.Builder
	generation := forwarder.Generation{Request: "r", Member: "acme", Model: "m", Text: promptText, MaxTokens: answerTokens}
	_, err = f.Generate(context.Background(), generation, func(chunk forwarder.Chunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	return text.String(), err
}

// generateNaively is the naive version. It collects all text that it receives and sends the whole request again after an error.
func generateNaively(address string) (string, error) {
	var text strings.Builder
	client := http.Client{Timeout: 150 * time.Millisecond}
	for range 10 {
		body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, promptText, answerTokens)
		response, err := client.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		complete := readStream(bufio.NewScanner(response.Body), &text)
		_ = response.Body.Close()
		if complete {
			return text.String(), nil
		}
	}
	return text.String(), errors.New("every attempt failed")
}

// readStream appends the text of all chunks and reports whether it read the end mark.
func readStream(lines *bufio.Scanner, text *strings.Builder) bool {
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var chunk struct{ Choices []struct{ Text string } }
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Text)
		}
		if data == "[DONE]" {
			return true
		}
	}
	return false
}
