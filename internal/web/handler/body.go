package handler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
	"damaskpick.example/damaskpick/internal/web/charger"
)

// overloadedRetryAfter is when a caller may retry a request for whose body there was no memory. What holds it gives way within a second.
const overloadedRetryAfter = time.Second

// readBody reads the whole body up to Limits.BodyBytes and charges it to the account of callers.
func (x *httpExchange) readBody() ([]byte, error) {
	limit := x.Limits.BodyBytes
	body, err := x.account.ReadBody(x.writer, x.request, limit, time.Now().Add(x.Timeouts.CallerRead.Std()))
	switch {
	case err == nil:
		x.bodyRead = true
		// net/http clears the read deadline at the end of a body, but not for a request without a body. There, the deadline would
		// cancel the request's context before the response is complete.
		return body, x.setReadDeadline(time.Time{})
	case errors.Is(err, charger.ErrTooLarge):
		return nil, bodyTooLarge(limit)
	case errors.Is(err, charger.ErrLate):
		return nil, refusal(CodeSlowSender, "the body was not received in time")
	case errors.Is(err, charger.ErrGaveWay):
		return nil, noMemory()
	default:
		return nil, refusal(CodeBodyTruncated, "the body ended early")
	}
}

func noMemory() error {
	return &forwarder.RefusedError{Refusal: modeler.Refusal{
		Code: modeler.CodeOverloaded, Message: "there is no memory for the body", Run: modeler.NotRun, RetryAfter: overloadedRetryAfter,
	}}
}

// setReadDeadline has no effect on writers that do not support deadlines, such as httptest.ResponseRecorder.
func (x *httpExchange) setReadDeadline(at time.Time) error {
	if err := x.controller.SetReadDeadline(at); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

func bodyTooLarge(limit int64) error {
	return refusal(CodeBodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
}

// readJSON decodes the body into target. It ignores unknown fields, like OpenAI's API.
func (x *httpExchange) readJSON(target any) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	// The decoded texts are as long as the body at most.
	if err := x.account.Charge(x.request.Context(), int64(len(body))); err != nil {
		return noMemory()
	}
	var field *json.UnmarshalTypeError
	err = json.Unmarshal(body, target)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &field):
		return refusal(CodeInvalidRequest, fmt.Sprintf("field %q has the wrong type %s", field.Field, field.Value))
	default:
		return refusal(CodeInvalidJSON, "the body is not JSON: "+err.Error())
	}
}

// timeout returns the time limit from the X-Request-Timeout header, which is in whole milliseconds, or zero without that header.
func (x *httpExchange) timeout() (time.Duration, error) {
	text := x.request.Header.Get("X-Request-Timeout")
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 32)
	if err != nil || value <= 0 {
		return 0, refusal(CodeInvalidRequest, "X-Request-Timeout is not a positive number of milliseconds")
	}
	return time.Duration(value) * time.Millisecond, nil
}

// writeJSON encodes body and writes it with status 200.
func (x *httpExchange) writeJSON(body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	x.writer.Header().Set("Content-Type", "application/json")
	x.extendWriteDeadline()
	if _, err := x.writer.Write(encoded); err != nil {
		x.Log.Info().Str("request", string(x.id)).Err(err).Msg("response not delivered")
	}
	return nil
}
