package forwarder

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// benchControl grants every request and ignores all other events.
type benchControl struct{}

func (benchControl) Ask(context.Context, modeler.Event) (modeler.Decision, error) {
	return modeler.Decision{Grant: &modeler.Grant{Attempt: "r#1", PermitAt: time.Now()}}, nil
}

func (benchControl) AskCall(context.Context, modeler.CallArrived) (modeler.CallDecision, error) {
	return modeler.CallDecision{Run: true}, nil
}
func (benchControl) Post(modeler.Event)          {}
func (benchControl) Snapshot() *modeler.Snapshot { return &modeler.Snapshot{} }

// benchEngines streams as many tokens as the prompt requests.
type benchEngines struct{}

func (benchEngines) Open(_ context.Context, _ modeler.Grant, prompt Prompt) (Stream, error) {
	return &benchStream{left: int(prompt.MaxTokens)}, nil
}
func (benchEngines) Cancel(context.Context, modeler.Grant) error { return nil }

type benchStream struct {
	left     int
	finished bool
}

func (*benchStream) BootID() string { return "boot" }
func (*benchStream) Cold() bool     { return false }
func (*benchStream) Close()         {}

func (s *benchStream) Next() (Chunk, error) {
	switch {
	case s.left > 0:
		s.left--
		return Chunk{Text: "bax ", Tokens: 1}, nil
	case s.finished:
		return Chunk{}, io.EOF
	default:
		s.finished = true
		return Chunk{FinishReason: "stop"}, nil
	}
}

// BenchmarkGenerate measures one generation for several numbers of tokens, without connections and without the control loop.
func BenchmarkGenerate(b *testing.B) {
	for _, tokens := range []int{1, 100, 1_000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := New(Options{Control: benchControl{}, Engines: benchEngines{}, Log: zerolog.Nop()})
			for b.Loop() {
				_, err := f.Generate(context.Background(), Generation{
					Request: "r", Member: "m", Model: "m", Text: "prompt", MaxTokens: modeler.Tokens(tokens),
				}, func(Chunk) error { return nil })
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPrompt measures hashing a prompt and counting its tokens for several prompt lengths.
func BenchmarkPrompt(b *testing.B) {
	for _, size := range []int{4_000, 400_000, 4_000_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			run := &generationRun{generation: Generation{Member: "m", Model: "m", Text: string(make([]byte, size))}}
			for b.Loop() {
				run.promptTokens = CountTokens(run.generation.Text)
				run.request(time.Time{})
			}
		})
	}
}
