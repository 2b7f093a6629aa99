package handler

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// TestOpenAIClient guards against responses that the official client cannot parse, text that is altered by encoding, and an incomplete
// stream that the client treats as complete.
func TestOpenAIClient(t *testing.T) {
	chunks := []string{"Kit ", "\"A\"\n", "árvíz\t\x00</b>", "🚚"}
	usage := forwarder.Usage{Prompt: 4, Completion: 4, FinishReason: "stop"}
	for _, c := range []struct {
		name   string
		chunks []string
		err    error
		// text, code and status are the expected text and error, if any. The status does not apply to an error after the first chunk.
		text   string
		code   string
		status int
	}{
		{name: "complete", chunks: chunks, text: strings.Join(chunks, "")},
		{name: "no token", text: ""},
		{name: "refused", err: newRefusedError(modeler.CodeShareExhausted, modeler.NotRun, 0),
			code: "ShareExhausted", status: 429},
		{name: "fails in the stream", chunks: chunks[:2], err: newRefusedError(modeler.CodeEndpointFailed, modeler.Unknown, 0),
			text: "Kit \"A\"\n", code: "EndpointFailed", status: 502},
	} {
		for _, api := range []struct {
			name string
			run  func(*testing.T, openai.Client) (string, string, error)
			chat bool
			// streams is set if tokens arrive before the error.
			streams bool
		}{
			{"completion", runCompletion, false, false},
			{"completion stream", runCompletionStream, false, true},
			{"chat", runChat, true, false},
			{"chat stream", runChatStream, true, true},
		} {
			t.Run(c.name+" "+api.name, func(t *testing.T) {
				fake := &fakeForwarder{chunks: c.chunks, usage: usage, err: c.err}
				server := newServer(t, fake, nil)
				client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey(memberToken))
				text, finish, err := api.run(t, client)
				prompt := "list kits"
				if api.chat {
					prompt = "system: be brief\nuser: list kits\nassistant:"
				}
				assert.Equal(t, fake.generation.Text, prompt)
				assert.Equal(t, fake.generation.Member, modeler.MemberID("szelfogo"))
				assert.Equal(t, fake.generation.MaxTokens, modeler.Tokens(7))
				var failure *openai.Error
				switch {
				case c.code == "":
					assert.NilError(t, err)
					assert.Equal(t, text, c.text)
					assert.Equal(t, finish, "stop")
				case api.streams && len(c.chunks) > 0:
					assert.ErrorContains(t, err, c.code)
					assert.Equal(t, text, c.text)
				default:
					assert.Assert(t, errors.As(err, &failure), "%v", err)
					assert.Equal(t, failure.StatusCode, c.status)
					assert.Equal(t, failure.Code, c.code)
				}
			})
		}
	}
}

func completionParams() openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("list kits")}, MaxTokens: openai.Int(7),
	}
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(7),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("list kits")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func runCompletion(t *testing.T, client openai.Client) (string, string, error) {
	completion, err := client.Completions.New(t.Context(), completionParams())
	if err != nil {
		return "", "", err
	}
	assert.Equal(t, completion.Usage.TotalTokens, int64(8))
	return completion.Choices[0].Text, string(completion.Choices[0].FinishReason), nil
}

func runCompletionStream(t *testing.T, client openai.Client) (text, finish string, err error) {
	stream := client.Completions.NewStreaming(t.Context(), completionParams())
	defer func() { _ = stream.Close() }()
	for stream.Next() {
		choice := stream.Current().Choices[0]
		text += choice.Text
		finish += string(choice.FinishReason)
	}
	return text, finish, stream.Err()
}

func runChat(t *testing.T, client openai.Client) (string, string, error) {
	completion, err := client.Chat.Completions.New(t.Context(), chatParams())
	if err != nil {
		return "", "", err
	}
	return completion.Choices[0].Message.Content, completion.Choices[0].FinishReason, nil
}

func runChatStream(t *testing.T, client openai.Client) (string, string, error) {
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	defer func() { _ = stream.Close() }()
	var accumulator openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, accumulator.AddChunk(stream.Current()))
	}
	if len(accumulator.Choices) == 0 {
		return "", "", stream.Err()
	}
	if stream.Err() == nil {
		assert.Equal(t, accumulator.Usage.TotalTokens, int64(8))
		assert.Equal(t, string(accumulator.Choices[0].Message.Role), "assistant")
	}
	return accumulator.Choices[0].Message.Content, accumulator.Choices[0].FinishReason, stream.Err()
}

// TestOpenAIClientRepeats guards against a client that retries after a refusal without RetryAfter, for which a retry does not help, or
// that does not retry after one with RetryAfter.
func TestOpenAIClientRepeats(t *testing.T) {
	for _, c := range []struct {
		name       string
		retryAfter time.Duration
		requests   int
	}{
		{name: "without RetryAfter", requests: 1},
		{name: "with RetryAfter", retryAfter: time.Millisecond, requests: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := &fakeForwarder{err: newRefusedError(modeler.CodeOverloaded, modeler.NotRun, c.retryAfter)}
			server := newServer(t, fake, nil)
			client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey(memberToken), option.WithMaxRetries(1))
			_, err := client.Completions.New(t.Context(), completionParams())
			assert.ErrorContains(t, err, "503")
			assert.Equal(t, fake.requests, c.requests)
		})
	}
}
