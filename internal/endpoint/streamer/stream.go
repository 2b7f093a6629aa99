package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
)

// Chunk is one piece of a response.
type Chunk struct {
	// Text is the text of one token, or empty in the last chunk.
	Text string
	// FinishReason is the finish reason that the engine states in the last chunk, and empty before.
	FinishReason string
}

// Usage holds the token counts that an engine reports.
type Usage struct {
	Prompt     modeler.Tokens
	Completion modeler.Tokens
	// Cached is the number of prompt tokens that the prefix cache held.
	Cached modeler.Tokens
}

// Stream is the response to one attempt. It must not be used by several goroutines. It must be closed; the first error of Next
// also closes it.
type Stream struct {
	// BootID identifies the start of the engine's process that responds.
	BootID string
	// Cold is set unless the engine states that it is warm.
	Cold bool

	ctx     context.Context
	cancel  context.CancelFunc
	conn    *connection
	body    io.ReadCloser
	lines   *lineReader
	address string
	attempt modeler.AttemptID

	template     chunkTemplate
	tokens       modeler.Tokens
	usage        *Usage
	finishReason string
	err          error
}

// Next returns the next chunk. It returns io.EOF after the end marker if the number of tokens equals the engine's count. All other errors
// are of type *Error. After an error it returns the same error again.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	chunk, err := s.next()
	if err != nil {
		s.err = err
		s.Close()
	}
	return chunk, err
}

// Usage returns the token counts that the engine reported. They are complete after Next returned io.EOF, and zero before the engine sent
// them.
func (s *Stream) Usage() Usage {
	if s.usage == nil {
		return Usage{}
	}
	return *s.usage
}

// Close closes the connection. The engine may continue the attempt until it is ended with Client.Cancel.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

var (
	dataField = []byte("data:")
	endMarker = []byte("[DONE]")
)

// next reads the next chunk from the body.
func (s *Stream) next() (Chunk, error) {
	for {
		line, err := s.lines.next()
		if err != nil {
			return Chunk{}, s.bodyError(err)
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue // a comment, such as a heartbeat, or the end of an event
		}
		data = bytes.TrimPrefix(data, []byte(" "))
		if bytes.Equal(data, endMarker) {
			return Chunk{}, s.complete()
		}
		if text, ok := s.template.match(data); ok {
			s.tokens++
			return Chunk{Text: text}, nil
		}
		return s.decode(data)
	}
}

// complete checks a response at its end marker. It returns io.EOF if the response is complete.
func (s *Stream) complete() error {
	switch {
	case s.usage == nil || s.finishReason == "":
		return s.fail(CutShort, errors.New("end marker without finish reason or usage"))
	case s.usage.Completion != s.tokens:
		return s.fail(Miscounted, fmt.Errorf("received %d tokens of %d", s.tokens, s.usage.Completion))
	default:
		return io.EOF
	}
}

// completionChunk holds the fields of an OpenAI completion chunk that are used.
type completionChunk struct {
	ID      string             `json:"id"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage"`
	Error   *completionError   `json:"error"`
}

type completionChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type completionError struct {
	Message string `json:"message"`
}

// decode decodes a chunk from JSON. If the chunk holds only a token, its template is stored, so that following chunks that match it need no
// decoding.
func (s *Stream) decode(data []byte) (Chunk, error) {
	var body completionChunk
	if err := json.Unmarshal(data, &body); err != nil {
		return Chunk{}, s.fail(CutShort, fmt.Errorf("malformed chunk: %w", err))
	}
	if body.Error != nil {
		return Chunk{}, s.fail(CutShort, errors.New(body.Error.Message))
	}
	if body.ID != string(s.attempt) {
		return Chunk{}, s.fail(Mismatched, fmt.Errorf("chunk of attempt %q", body.ID))
	}
	var chunk Chunk
	if len(body.Choices) > 0 {
		chunk.Text = body.Choices[0].Text
		if reason := body.Choices[0].FinishReason; reason != nil {
			chunk.FinishReason = *reason
			s.finishReason = *reason
		}
	}
	if chunk.Text != "" {
		s.tokens++
	}
	if u := body.Usage; u != nil {
		s.usage = &Usage{
			Prompt: modeler.Tokens(u.PromptTokens), Completion: modeler.Tokens(u.CompletionTokens),
			Cached: modeler.Tokens(u.Details.CachedTokens),
		}
	}
	if chunk.Text != "" && chunk.FinishReason == "" && body.Usage == nil {
		s.template = newChunkTemplate(data, body)
	}
	return chunk, nil
}

// bodyError classifies the error that ended the body. A body that ends normally but without an end marker is cut short.
func (s *Stream) bodyError(err error) error {
	if errors.Is(err, io.EOF) && s.ctx.Err() == nil {
		return s.fail(CutShort, errors.New("no end marker"))
	}
	return s.transportError(err)
}

// transportError classifies an error of the transport.
func (s *Stream) transportError(err error) error {
	var headErr checker.HeadError
	switch {
	case errors.As(err, &headErr):
		return s.fail(CutShort, err)
	case s.conn != nil && s.conn.silent.Load():
		return s.fail(Silent, fmt.Errorf("no byte for %v", s.conn.gap))
	case s.conn == nil:
		return s.fail(NotConnected, err)
	case s.ctx.Err() != nil:
		return s.fail(Abandoned, context.Cause(s.ctx))
	default:
		return s.fail(Died, err)
	}
}

func (s *Stream) fail(failure Failure, err error) error {
	return &Error{Failure: failure, Address: s.address, Err: err}
}
