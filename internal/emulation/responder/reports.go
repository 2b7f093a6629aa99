package responder

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// queryState returns the reported state with the cache events from sequence number from on. It aborts the response when the stand-in stops.
func (e *Engine) queryState(r *http.Request, from int64) stateReport {
	v, ok := ask(e, r, func(reply chan<- stateReport) message { return stateQuery{from: from, reply: reply} })
	if !ok {
		panic(http.ErrAbortHandler)
	}
	return v
}

type requestsBody struct {
	BootID   string
	Requests []requestBody
}

type requestBody struct {
	Attempt string
	Node    string
	Tokens  int
}

// listRequests handles GET /requests.
func (e *Engine) listRequests(w http.ResponseWriter, r *http.Request) {
	v := e.queryState(r, 0)
	body := requestsBody{BootID: v.bootID, Requests: make([]requestBody, len(v.sequences))}
	for i, s := range v.sequences {
		body.Requests[i] = requestBody{Attempt: s.Attempt, Node: s.Node, Tokens: s.Reserved()}
	}
	writeJSON(w, http.StatusOK, body)
}

// cancelRequest handles DELETE /requests/{attempt}. Cancellations are not fenced, because ending work of an earlier holder is always safe.
func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	found, ok := ask(e, r, func(reply chan<- bool) message { return cancel{attempt: r.PathValue("attempt"), reply: reply} })
	switch {
	case !ok:
		panic(http.ErrAbortHandler)
	case found:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeError(w, http.StatusNotFound, "the attempt does not run")
	}
}

type loadBody struct {
	BootID        string
	Phase         string
	Capacity      int
	Used          int
	QueuedPrefill int
	Running       int
	TakenAt       time.Time
}

// reportLoad handles GET /load.
func (e *Engine) reportLoad(w http.ResponseWriter, r *http.Request) {
	s := e.queryState(r, 0).load
	writeJSON(w, http.StatusOK, loadBody{
		BootID: s.bootID, Phase: phaseName(s.load.Cold), Capacity: s.load.Capacity, Used: s.load.Used,
		QueuedPrefill: s.load.QueuedPrefill, Running: s.load.Running, TakenAt: s.reportedAt.UTC(),
	})
}

type cacheEventsBody struct {
	BootID string
	First  int64
	Next   int64
	Events []cacheEventBody
}

type cacheEventBody struct {
	Seq    int64
	Kind   string
	Prefix string
}

// listCacheEvents handles GET /cache/events. Prefix is the hexadecimal xxhash64 of the prompt's bytes up to the end of the block.
func (e *Engine) listCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	v := e.queryState(r, from)
	body := cacheEventsBody{BootID: v.bootID, First: v.first, Next: v.next, Events: make([]cacheEventBody, len(v.events))}
	for i, event := range v.events {
		kind := "Evicted"
		if event.Stored {
			kind = "Stored"
		}
		body.Events[i] = cacheEventBody{Seq: event.Seq, Kind: kind, Prefix: fmt.Sprintf("%016x", event.Prefix)}
	}
	writeJSON(w, http.StatusOK, body)
}
