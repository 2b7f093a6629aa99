package handler

import (
	"encoding/json"

	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// responseFormat holds what differs between responses of the completions and the chat completions API.
type responseFormat struct {
	idPrefix string
	// newResponse returns the response to a request without streaming.
	newResponse func(common commonFields, text string, usage forwarder.Usage) any
	// chunkObject is the object type of a stream's chunks.
	chunkObject string
	// textPrefix and textSuffix are the choice of a text chunk before and after the JSON string of its text.
	textPrefix, textSuffix string
	// opening is the choice of an initial chunk without text; if it is empty, no such chunk is sent.
	opening string
	// finishPrefix and finishSuffix are the choice of the last chunk before and after the JSON string of the finish reason.
	finishPrefix, finishSuffix string
}

// commonFields are the fields at the start of every response and chunk.
type commonFields struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func newUsageBody(usage forwarder.Usage) usageBody {
	return usageBody{
		PromptTokens: int64(usage.Prompt), CompletionTokens: int64(usage.Completion),
		TotalTokens: int64(usage.Prompt + usage.Completion),
	}
}

type completionResponse struct {
	commonFields
	Choices []completionChoice `json:"choices"`
	Usage   usageBody          `json:"usage"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason string          `json:"finish_reason"`
}

type chatResponse struct {
	commonFields
	Choices []chatChoice `json:"choices"`
	Usage   usageBody    `json:"usage"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      chatText        `json:"message"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason string          `json:"finish_reason"`
}

type chatText struct {
	Role    string          `json:"role"`
	Content string          `json:"content"`
	Refusal json.RawMessage `json:"refusal"`
}

var completionFormat = responseFormat{
	idPrefix: "cmpl-",
	newResponse: func(common commonFields, text string, usage forwarder.Usage) any {
		common.Object = "text_completion"
		return completionResponse{
			commonFields: common, Choices: []completionChoice{{Text: text, FinishReason: usage.FinishReason}}, Usage: newUsageBody(usage),
		}
	},
	chunkObject:  "text_completion",
	textPrefix:   `{"index":0,"text":`,
	textSuffix:   `,"logprobs":null,"finish_reason":null}`,
	finishPrefix: `{"index":0,"text":"","logprobs":null,"finish_reason":`,
	finishSuffix: `}`,
}

var chatFormat = responseFormat{
	idPrefix: "chatcmpl-",
	newResponse: func(common commonFields, text string, usage forwarder.Usage) any {
		common.Object = "chat.completion"
		message := chatText{Role: "assistant", Content: text}
		return chatResponse{
			commonFields: common, Choices: []chatChoice{{Message: message, FinishReason: usage.FinishReason}}, Usage: newUsageBody(usage),
		}
	},
	chunkObject:  "chat.completion.chunk",
	textPrefix:   `{"index":0,"delta":{"content":`,
	textSuffix:   `},"logprobs":null,"finish_reason":null}`,
	opening:      `{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}`,
	finishPrefix: `{"index":0,"delta":{},"logprobs":null,"finish_reason":`,
	finishSuffix: `}`,
}
