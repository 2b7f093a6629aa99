package handler

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// Codes that only this package returns.
const (
	CodeBodyTooLarge     modeler.Code = "BodyTooLarge"
	CodeBodyTruncated    modeler.Code = "BodyTruncated"
	CodeForbidden        modeler.Code = "Forbidden"
	CodeInternal         modeler.Code = "Internal"
	CodeInvalidJSON      modeler.Code = "InvalidJSON"
	CodeInvalidRequest   modeler.Code = "InvalidRequest"
	CodeMethodNotAllowed modeler.Code = "MethodNotAllowed"
	CodeNotFound         modeler.Code = "NotFound"
	CodeSlowSender       modeler.Code = "SlowSender"
	CodeUnauthorized     modeler.Code = "Unauthorized"
	CodeUnsupported      modeler.Code = "Unsupported"
)

// handlerStatuses maps the codes of this package to their HTTP status.
var handlerStatuses = map[modeler.Code]int{
	CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	CodeBodyTruncated:    http.StatusBadRequest,
	CodeForbidden:        http.StatusForbidden,
	CodeInternal:         http.StatusInternalServerError,
	CodeInvalidJSON:      http.StatusBadRequest,
	CodeInvalidRequest:   http.StatusBadRequest,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeNotFound:         http.StatusNotFound,
	CodeSlowSender:       http.StatusRequestTimeout,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeUnsupported:      http.StatusBadRequest,
}

// forwarderStatuses maps the codes of the control loop and the forwarder to their HTTP status.
var forwarderStatuses = map[modeler.Code]int{
	forwarder.CodeAnswerNotKept:    http.StatusConflict,
	modeler.CodeUnknownModel:       http.StatusNotFound,
	modeler.CodeUnknownService:     http.StatusNotFound,
	modeler.CodePromptTooLong:      http.StatusRequestEntityTooLarge,
	modeler.CodeShareExceeded:      http.StatusForbidden,
	modeler.CodeShareExhausted:     http.StatusTooManyRequests,
	modeler.CodeOverloaded:         http.StatusServiceUnavailable,
	modeler.CodeNoEndpoint:         http.StatusServiceUnavailable,
	modeler.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	modeler.CodeEndpointFailed:     http.StatusBadGateway,
	modeler.CodeRequestQuarantined: http.StatusUnprocessableEntity,
	modeler.CodeNodeFenced:         http.StatusServiceUnavailable,
	modeler.CodeStopping:           http.StatusServiceUnavailable,
	modeler.CodeLogUnavailable:     http.StatusServiceUnavailable,
	modeler.CodeKeyMissing:         http.StatusBadRequest,
	modeler.CodeKeyInvalid:         http.StatusBadRequest,
	modeler.CodeKeyExpired:         http.StatusBadRequest,
	modeler.CodeKeyReused:          http.StatusUnprocessableEntity,
	modeler.CodeCallInProgress:     http.StatusConflict,
	modeler.CodeOutcomeUnknown:     http.StatusBadGateway,
}

// errorBody is the response to a refused request: the error object of the OpenAI API and damaskpick's own error object.
type errorBody struct {
	OpenAI openAIError `json:"error"`
	Error  nativeError `json:"Error"`
}

type openAIError struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Param   *string      `json:"param"`
	Code    modeler.Code `json:"code"`
}

type nativeError struct {
	Code    modeler.Code
	Message string
	// Run is "NotRun" or "Unknown".
	Run string
	// RetryAfter is in seconds; zero means that a retry does not help.
	RetryAfter float64
}

// refusal returns an error for a request that reached no endpoint.
func refusal(code modeler.Code, message string) error {
	return &forwarder.RefusedError{Refusal: modeler.Refusal{Code: code, Message: message}}
}

// refusalOf returns the refusal that err wraps, or CodeInternal for any other error.
func refusalOf(err error) modeler.Refusal {
	var refused *forwarder.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return modeler.Refusal{Code: CodeInternal, Message: "internal error", Run: modeler.Unknown}
}

// httpStatus returns the HTTP status of a code, or 500 for an unknown code.
func httpStatus(code modeler.Code) int {
	for _, table := range []map[modeler.Code]int{forwarderStatuses, handlerStatuses} {
		if status, ok := table[code]; ok {
			return status
		}
	}
	return http.StatusInternalServerError
}

// openAIErrorType returns the type field of an OpenAI error with the given HTTP status.
func openAIErrorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// encodeRefusal returns the response body for a refusal.
func encodeRefusal(r modeler.Refusal) []byte {
	body, err := json.Marshal(errorBody{
		OpenAI: openAIError{Message: r.Message, Type: openAIErrorType(httpStatus(r.Code)), Code: r.Code},
		Error:  nativeError{Code: r.Code, Message: r.Message, Run: r.Run.String(), RetryAfter: r.RetryAfter.Seconds()},
	})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"Internal"}}`)
	}
	return body
}

// refuse writes the refusal for err. It must be called before any other part of the response is written.
func (x *httpExchange) refuse(err error) {
	if errors.Is(err, forwarder.ErrCallerGone) {
		return
	}
	r := refusalOf(err)
	status := httpStatus(r.Code)
	x.recordRefusal(r.Code, err)
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	// OpenAI clients retry automatically unless this header is false.
	header.Set("X-Should-Retry", strconv.FormatBool(r.RetryAfter > 0))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if x.request.ContentLength != 0 && !x.bodyRead {
		// Without this header, net/http waits for the rest of the body before it responds.
		header.Set("Connection", "close")
	}
	x.extendWriteDeadline()
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(encodeRefusal(r)); err != nil {
		x.Log.Debug().Str("request", string(x.id)).Err(err).Msg("refusal not delivered")
	}
}

// recordRefusal logs and counts a refusal that this package decided or an internal error. The forwarder reports all others.
func (x *httpExchange) recordRefusal(code modeler.Code, err error) {
	if _, local := handlerStatuses[code]; !local {
		return
	}
	if x.OnRefusal != nil {
		x.OnRefusal(code)
	}
	event := x.Log.Info()
	if code == CodeInternal {
		event = x.Log.Error()
	}
	event.Str("request", string(x.id)).Str("member", string(x.member)).Str("code", string(code)).Err(err).Msg("request refused")
}
