package handler_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/operator/handler"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

// recordingPublisher accepts every draft and records it.
type recordingPublisher struct{ drafts []publisher.Draft }

func (p *recordingPublisher) Publish(_ context.Context, draft publisher.Draft) (publisher.Result, error) {
	p.drafts = append(p.drafts, draft)
	return publisher.Result{Outcome: publisher.Accepted, Version: 1}, nil
}

// TestPublish guards against drafts that are published without an operator's credential, under the name of another operator, or from
// an invalid or oversized body.
func TestPublish(t *testing.T) {
	tests := []struct {
		name, operator, body string
		status               int
		want                 string
	}{
		{"no credential", "", `{}`, http.StatusUnauthorized, `{"Error":{"Code":"NotAuthorized","Message":"an operator's credential is required"}}`},
		{"not JSON", "anna", `lend x`, http.StatusBadRequest, `{"Outcome":"Refused",`},
		{"author in the body", "anna", `{"PublishID":"p","Author":"bela"}`, http.StatusBadRequest, `{"Outcome":"Refused",`},
		{"too large", "anna", `{"Text":"` + strings.Repeat("a", 3<<20) + `"}`, http.StatusRequestEntityTooLarge, `{"Outcome":"Refused",`},
		{"accepted", "anna", `{"PublishID":"p","Base":0,"Text":""}`, http.StatusOK, `{"Outcome":"Accepted","Version":1,`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &recordingPublisher{}
			h := handler.New(handler.Options{
				Operator:  func(*http.Request) (string, bool) { return tt.operator, tt.operator != "" },
				Snapshot:  func() modeler.Snapshot { return modeler.Snapshot{} },
				Publisher: p,
			})
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/rules", strings.NewReader(tt.body)))
			assert.Equal(t, w.Code, tt.status)
			assert.Assert(t, strings.HasPrefix(w.Body.String(), tt.want), w.Body.String())
			assert.Equal(t, len(p.drafts) == 1, tt.status == http.StatusOK)
			for _, d := range p.drafts {
				assert.Equal(t, d.Author, tt.operator)
			}
		})
	}
}
