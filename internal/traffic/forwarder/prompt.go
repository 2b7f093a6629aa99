package forwarder

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Prompt is the input of one attempt at an engine.
type Prompt struct {
	Model string
	// Text is the caller's prompt followed by the text that was already delivered to the caller.
	Text      string
	MaxTokens modeler.Tokens
}

// Chunk is a piece of an engine's response.
type Chunk struct {
	Text string
	// Tokens is the number of tokens in Text: 1 for an ordinary chunk, 0 for one that holds only FinishReason.
	Tokens modeler.Tokens
	// FinishReason is set in the last chunk: "stop" or "length".
	FinishReason string
}

// FinishLength is the finish reason of a response that reached its maximum number of tokens.
const FinishLength = "length"

// Generation is a caller's request to a model.
type Generation struct {
	Request   modeler.RequestID
	Member    modeler.MemberID
	Model     string
	Text      string
	MaxTokens modeler.Tokens
	// Timeout shortens the request timeout of the node if it is positive.
	Timeout time.Duration
}

// Usage holds the token counts and the finish reason of a completed generation.
type Usage struct {
	Prompt       modeler.Tokens
	Completion   modeler.Tokens
	FinishReason string
}

// Summary describes a request that ended.
type Summary struct {
	Request modeler.RequestID
	Member  modeler.MemberID
	Kind    modeler.EndpointKind
	Class   modeler.LengthClass
	// Code is empty for a complete response, CodeCallerGone if the caller disconnected, or the code of the refusal.
	Code modeler.Code
	// FirstToken is the time from arrival to the first token; zero if no token was delivered.
	FirstToken time.Duration
	Duration   time.Duration
	// Delivered is the number of tokens passed to the caller.
	Delivered modeler.Tokens
	Attempts  int
	// LastAttempt is empty if there was no attempt.
	LastAttempt modeler.AttemptID
}

// bytesPerToken is the platform's definition of a token. See docs/design.md, section 15.
const bytesPerToken = 4

// CountTokens returns the number of tokens of a prompt, at four bytes per token, rounded up.
func CountTokens(text string) modeler.Tokens {
	return modeler.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}
