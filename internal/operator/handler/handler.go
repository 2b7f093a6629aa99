// Package handler serves the HTTP requests of operators: the status of a node, and reading and publishing the rule file.
package handler

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/operator/presenter"
	"damaskpick.example/damaskpick/internal/rules/parser"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

// maxDraftBytes bounds the body of POST /rules. JSON escapes a line feed as two bytes; three times the size of a rule file
// leaves room for that and for the other fields.
const maxDraftBytes = 3 * parser.MaxBytes

// Publisher publishes drafts; publisher.Service implements it.
type Publisher interface {
	Publish(ctx context.Context, draft publisher.Draft) (publisher.Result, error)
}

// Options configure a handler. All fields are required.
type Options struct {
	// Operator returns the operator that a request's credential belongs to, or false if there is none.
	Operator  func(r *http.Request) (string, bool)
	Snapshot  func() modeler.Snapshot
	Publisher Publisher
}

// New returns a handler for GET /status, GET /rules and POST /rules. Requests without an operator's credential get 401.
func New(options Options) http.Handler {
	h := &handler{options: options}
	mux := http.NewServeMux()
	mux.Handle("GET /status", h.operatorOnly(h.status))
	mux.Handle("GET /rules", h.operatorOnly(h.rules))
	mux.Handle("POST /rules", h.operatorOnly(h.publish))
	return mux
}

type handler struct{ options Options }

type operatorFunc func(w http.ResponseWriter, r *http.Request, operator string)

func (h *handler) operatorOnly(next operatorFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := h.options.Operator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, presenter.Refusal{Error: presenter.Error{Code: "NotAuthorized", Message: "an operator's credential is required"}})
			return
		}
		next(w, r, operator)
	})
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, presenter.StatusOf(h.options.Snapshot()))
}

func (h *handler) rules(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, presenter.RulesOf(h.options.Snapshot().Rules))
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request, operator string) {
	var draft presenter.Draft
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDraftBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&draft); err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeJSON(w, status, presenter.Publication{Outcome: presenter.OutcomeRefused, Reason: err.Error()})
		return
	}
	result, err := h.options.Publisher.Publish(r.Context(), publisher.Draft{
		PublishID: draft.PublishID, Base: modeler.Version(draft.Base), Author: operator, Text: draft.Text,
	})
	findings := collector.FindingsError{}
	switch {
	case errors.As(err, &findings):
		writeJSON(w, http.StatusUnprocessableEntity, presenter.RefusalOf(findings))
	case err != nil:
		writeJSON(w, http.StatusBadRequest, presenter.Publication{Outcome: presenter.OutcomeRefused, Reason: err.Error()})
	default:
		writeJSON(w, httpStatus(result.Outcome), presenter.PublicationOf(result))
	}
}

func httpStatus(outcome publisher.Outcome) int {
	switch outcome {
	case publisher.Accepted:
		return http.StatusOK
	case publisher.Conflicting:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the connection to the operator is broken, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(value)
}
