package handler

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// DefaultMaxTokens is the maximum number of completion tokens if the request sets none.
const DefaultMaxTokens = 512

// maxTokensLimit prevents overflow in sums of tokens. The control loop refuses requests that exceed the capacity of every endpoint.
const maxTokensLimit = 1 << 30

// generationFields are the fields that completion and chat completion requests have in common.
type generationFields struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	StreamOptions *streamOptions  `json:"stream_options"`
	MaxTokens     *int64          `json:"max_tokens"`
	N             *int64          `json:"n"`
	Stop          json.RawMessage `json:"stop"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionRequest struct {
	generationFields
	Prompt json.RawMessage `json:"prompt"`
	BestOf *int64          `json:"best_of"`
	Echo   bool            `json:"echo"`
	Suffix string          `json:"suffix"`
}

// serveCompletion serves POST /v1/completions.
func (x *httpExchange) serveCompletion() error {
	var body completionRequest
	if err := x.readJSON(&body); err != nil {
		return err
	}
	prompt, err := promptText(body.Prompt)
	if err != nil {
		return err
	}
	if body.Echo || body.Suffix != "" || (body.BestOf != nil && *body.BestOf != 1) {
		return refusal(CodeUnsupported, "echo, suffix and best_of are not supported")
	}
	return x.generate(body.generationFields, body.MaxTokens, prompt, completionFormat)
}

// promptText accepts a string or a list with one string.
func promptText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
		return "", refusal(CodeUnsupported, "prompt must be one string")
	}
	return list[0], nil
}

// generate validates the common fields, runs the generation and writes the response in the given format. requested is the maximum number
// of tokens, or nil if the request sets none.
func (x *httpExchange) generate(fields generationFields, requested *int64, prompt string, format responseFormat) error {
	generation, err := x.newGeneration(fields, requested, prompt)
	if err != nil {
		return err
	}
	common := commonFields{ID: format.idPrefix + string(x.id), Created: time.Now().Unix(), Model: fields.Model}
	if fields.Stream {
		usage := fields.StreamOptions != nil && fields.StreamOptions.IncludeUsage
		return x.stream(generation, newEventWriter(x, format, common, usage))
	}
	var completion strings.Builder
	usage, err := x.Forwarder.Generate(x.request.Context(), generation, func(chunk forwarder.Chunk) error {
		_, err := completion.WriteString(chunk.Text)
		return err
	})
	if err != nil {
		return err
	}
	return x.writeJSON(format.newResponse(common, completion.String(), usage))
}

// newGeneration validates the fields and returns the generation for the forwarder.
func (x *httpExchange) newGeneration(fields generationFields, requested *int64, prompt string) (forwarder.Generation, error) {
	maxTokens := int64(DefaultMaxTokens)
	if requested != nil {
		maxTokens = *requested
	}
	timeout, err := x.timeout()
	switch {
	case err != nil:
		return forwarder.Generation{}, err
	case fields.Model == "":
		return forwarder.Generation{}, refusal(CodeInvalidRequest, "model is required")
	case prompt == "":
		return forwarder.Generation{}, refusal(CodeInvalidRequest, "the prompt is empty")
	case maxTokens < 1 || maxTokens > maxTokensLimit:
		return forwarder.Generation{}, refusal(CodeInvalidRequest, fmt.Sprintf("the maximum number of tokens must be from 1 to %d", maxTokensLimit))
	case fields.N != nil && *fields.N != 1:
		return forwarder.Generation{}, refusal(CodeUnsupported, "n must be 1")
	case !isEmpty(fields.Stop):
		return forwarder.Generation{}, refusal(CodeUnsupported, "stop sequences are not supported")
	}
	return forwarder.Generation{
		Request: x.id, Member: x.member, Model: fields.Model, Text: prompt, MaxTokens: modeler.Tokens(maxTokens), Timeout: timeout,
	}, nil
}

// isEmpty reports whether an optional field is absent, null, or an empty string or list.
func isEmpty(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", `""`, "[]":
		return true
	}
	return false
}
