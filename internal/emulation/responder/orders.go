package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

type orderBody struct {
	Kind  string
	Model string
	Term  uint64
}

type orderResponse struct {
	Term   uint64
	Models []string
}

// handleOrder handles POST /orders. The kinds are LoadModel, LoadAdapter, LoadVersion, UnloadModel and ChangeRole.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !readJSON(w, r, &body) {
		return
	}
	result, ok := ask(e, r, func(reply chan<- orderResult) message {
		return order{kind: body.Kind, model: body.Model, fencingToken: body.Term, reply: reply}
	})
	switch {
	case !ok:
		panic(http.ErrAbortHandler)
	case !result.kindKnown:
		writeError(w, http.StatusBadRequest, "unknown kind "+body.Kind)
	case !result.accepted:
		writeError(w, http.StatusConflict, fmt.Sprintf("old fencing token, the newest is %d", result.maxFencingToken))
	default:
		writeJSON(w, http.StatusOK, orderResponse{Term: result.maxFencingToken, Models: result.models})
	}
}

// handleFaults handles POST /faults.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var body EngineFaults
	if !readJSON(w, r, &body) {
		return
	}
	_, ok := ask(e, r, func(reply chan<- struct{}) message {
		return setFaults{faults: body, conn: connectionFromContext(r.Context()), reply: reply}
	})
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusNoContent)
}

type exportRequest struct {
	Attempt     string
	ExpiresInMs milliseconds
}

type exportBody struct {
	Export string
	Tokens int
	// Blocks is sent only between engines.
	Blocks []uint64 `json:",omitempty"`
}

// createExport handles POST /kv/exports. It responds 404 when the attempt is not running or there is no memory for the export.
func (e *Engine) createExport(w http.ResponseWriter, r *http.Request) {
	var body exportRequest
	if !readJSON(w, r, &body) {
		return
	}
	id := uuid.NewString()
	event := batcher.MakeExport{ID: id, Attempt: body.Attempt, ExpiresAt: time.Now().Add(body.ExpiresInMs.duration())}
	if export := e.transfer(w, r, event, id); export != nil {
		writeJSON(w, http.StatusCreated, exportBody{Export: id, Tokens: export.Tokens})
	}
}

// readExport handles GET /kv/exports/{id}, which other engines request.
func (e *Engine) readExport(w http.ResponseWriter, r *http.Request) {
	if export := e.transfer(w, r, nil, r.PathValue("id")); export != nil {
		writeJSON(w, http.StatusOK, exportBody{Export: export.ID, Tokens: export.Tokens, Blocks: export.Blocks})
	}
}

// deleteExport handles DELETE /kv/exports/{id}.
func (e *Engine) deleteExport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if e.transfer(w, r, batcher.DropExport{ID: id}, id) != nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

// transfer applies an event to an export and returns the export. If it does not exist, transfer responds 404 and returns nil.
func (e *Engine) transfer(w http.ResponseWriter, r *http.Request, event batcher.Event, id string) *batcher.Export {
	export, ok := ask(e, r, func(reply chan<- *batcher.Export) message {
		return transfer{event: event, id: id, reply: reply}
	})
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if export == nil {
		writeError(w, http.StatusNotFound, "no such export")
	}
	return export
}

type importRequest struct {
	// Export is the ID assigned by the engine at the address From.
	Export string
	From   string
}

// importExport handles POST /kv/imports. The imported blocks are added to the prefix cache.
func (e *Engine) importExport(w http.ResponseWriter, r *http.Request) {
	var body importRequest
	if !readJSON(w, r, &body) {
		return
	}
	export, status, err := e.fetchExport(r, body)
	if err != nil {
		writeError(w, status, err.Error())
		return
	}
	_, ok := ask(e, r, func(reply chan<- *batcher.Export) message {
		return transfer{event: batcher.Import{Blocks: export.Blocks}, reply: reply}
	})
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, exportBody{Export: body.Export, Tokens: export.Tokens})
}

// fetchExport reads an export from the engine at body.From. On error it also returns the HTTP status to respond with.
func (e *Engine) fetchExport(r *http.Request, body importRequest) (exportBody, int, error) {
	var export exportBody
	from := "http://" + body.From + "/kv/exports/" + url.PathEscape(body.Export)
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, from, http.NoBody)
	if err != nil {
		return export, http.StatusBadRequest, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return export, http.StatusBadGateway, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return export, http.StatusNotFound, fmt.Errorf("export %s: %s", body.Export, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&export); err != nil {
		return export, http.StatusBadGateway, err
	}
	return export, http.StatusOK, nil
}
