package assembler

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/endpoint/invoker"
	"damaskpick.example/damaskpick/internal/endpoint/streamer"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// engines implements forwarder.Engines with the engine client.
type engines struct {
	client *streamer.Client
	node   modeler.NodeID
}

// Open starts one attempt and returns its token stream.
func (e engines) Open(ctx context.Context, grant modeler.Grant, prompt forwarder.Prompt) (forwarder.Stream, error) {
	stream, err := e.client.Open(ctx, grant, streamer.Prompt{
		Model: prompt.Model, Text: prompt.Text, MaxTokens: prompt.MaxTokens, Node: e.node,
	})
	if err != nil {
		return nil, engineError(err)
	}
	return engineStream{stream}, nil
}

// Cancel tells the engine to stop the attempt and free its memory.
func (e engines) Cancel(ctx context.Context, grant modeler.Grant) error {
	return e.client.Cancel(ctx, grant.Address, grant.Attempt, grant.Term)
}

// engineStream implements forwarder.Stream.
type engineStream struct{ *streamer.Stream }

func (s engineStream) BootID() string { return s.Stream.BootID }
func (s engineStream) Cold() bool     { return s.Stream.Cold }

func (s engineStream) Next() (forwarder.Chunk, error) {
	chunk, err := s.Stream.Next()
	if err != nil {
		return forwarder.Chunk{}, engineError(err)
	}
	tokens := modeler.Tokens(1)
	if chunk.Text == "" {
		tokens = 0
	}
	return forwarder.Chunk{Text: chunk.Text, Tokens: tokens, FinishReason: chunk.FinishReason}, nil
}

// engineError converts failures of the engine client to errors of the forwarder. It returns other errors, such as io.EOF, unchanged. Died
// is set only if the connection broke or could not be made: an engine that rejects the request, is silent or sends a wrong response still
// runs.
func engineError(err error) error {
	failure := streamer.FailureOf(err)
	if failure == 0 {
		return err
	}
	return &forwarder.EndpointError{
		Died:       failure == streamer.Died || failure == streamer.NotConnected,
		NotSent:    failure == streamer.NotConnected,
		Miscounted: failure == streamer.Miscounted,
		Err:        err,
	}
}

// services implements forwarder.Services with the service client.
type services struct {
	client *invoker.Client
	node   modeler.NodeID
}

// Call sends a call once and reports whether it may have run.
func (s services) Call(ctx context.Context, grant modeler.Grant, call forwarder.ServiceCall) (forwarder.ServiceResponse, bool, error) {
	path, query, _ := strings.Cut(call.Target, "?")
	answer, ran, err := s.client.Call(ctx, grant, invoker.Request{
		Method: call.Method, Path: path, Query: query, Header: http.Header(call.Header), Body: call.Body,
		Idempotent: call.Key == "", Node: s.node,
	})
	if err != nil {
		return forwarder.ServiceResponse{}, bool(ran), serviceError(err)
	}
	return forwarder.ServiceResponse{BootID: answer.BootID, Status: answer.Status, Header: answer.Header, Body: answer.Body}, bool(ran), nil
}

func serviceError(err error) error {
	var failed *invoker.Error
	if !errors.As(err, &failed) {
		return err
	}
	return &forwarder.EndpointError{
		Died:    failed.Failure == invoker.NotConnected || failed.Failure == invoker.Died,
		NotSent: failed.Failure == invoker.NotConnected,
		Err:     err,
	}
}
