package handler

import (
	"encoding/json"
	"fmt"
	"strings"
)

type chatRequest struct {
	generationFields
	Messages            []chatMessage   `json:"messages"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Tools               json.RawMessage `json:"tools"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// serveChat serves POST /v1/chat/completions.
func (x *httpExchange) serveChat() error {
	var body chatRequest
	if err := x.readJSON(&body); err != nil {
		return err
	}
	if !isEmpty(body.Tools) {
		return refusal(CodeUnsupported, "tools are not supported")
	}
	prompt, err := joinMessages(body.Messages)
	if err != nil {
		return err
	}
	maxTokens := body.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = body.MaxTokens
	}
	return x.generate(body.generationFields, maxTokens, prompt, chatFormat)
}

// joinMessages returns the prompt of a conversation. Each message becomes "ROLE: TEXT" and a line feed, the text parts of one message
// are joined without a separator, and the prompt ends with "assistant:". Engines receive a plain prompt and apply no chat template.
func joinMessages(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", refusal(CodeInvalidRequest, "messages is required")
	}
	var prompt strings.Builder
	for i, message := range messages {
		if message.Role == "" {
			return "", refusal(CodeInvalidRequest, fmt.Sprintf("messages[%d] has no role", i))
		}
		text, err := messageText(message.Content)
		if err != nil {
			return "", err
		}
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(text)
		prompt.WriteString("\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

// messageText accepts a string, null, or a list of text parts.
func messageText(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) == 0 || json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", refusal(CodeInvalidRequest, "the content of a message is neither text nor a list of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", refusal(CodeUnsupported, fmt.Sprintf("content of type %q is not supported", part.Type))
		}
		text += part.Text
	}
	return text, nil
}
