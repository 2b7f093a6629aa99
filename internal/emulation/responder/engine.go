package responder

import (
	"net/http"
	"time"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

// EngineOptions configure an engine stand-in.
type EngineOptions struct {
	// Address is the listen address; port 0 selects a free port.
	Address string
	// Models are the names of the models served at boot.
	Models     []string
	Parameters batcher.Parameters
	// FencesOrders rejects orders and requests whose fencing token is lower than one seen before.
	FencesOrders bool
	// KeepsAbandoned lets a request run to completion after its client disconnects, unless it is cancelled.
	KeepsAbandoned bool
	// DownTime is how long connections are refused after a crash that was not requested as a fault.
	DownTime time.Duration
	// LoadLag, CacheDelay and CacheGap are the initial values of the faults with these names in EngineFaults.
	LoadLag    time.Duration
	CacheDelay time.Duration
	CacheGap   int64
}

// Engine is a running engine stand-in.
type Engine struct {
	owner  *owner
	server *server
	client *http.Client
}

// NewEngine starts an engine stand-in. The returned function stops it and waits for the goroutine that owns its state to end.
func NewEngine(options EngineOptions) (*Engine, func(), error) {
	e := &Engine{owner: newOwner(options), client: &http.Client{Timeout: 10 * time.Second}}
	server, err := newServer(options.Address, e.routes())
	if err != nil {
		return nil, nil, err
	}
	e.server, e.owner.server = server, server
	go e.owner.run()
	return e, e.close, nil
}

// Address returns the listen address.
func (e *Engine) Address() string { return e.server.address }

func (e *Engine) close() {
	close(e.owner.stop)
	<-e.owner.done
	e.server.close()
	e.client.CloseIdleConnections()
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /requests", e.listRequests)
	mux.HandleFunc("DELETE /requests/{attempt}", e.cancelRequest)
	mux.HandleFunc("GET /history", e.listHistory)
	mux.HandleFunc("GET /load", e.reportLoad)
	mux.HandleFunc("GET /cache/events", e.listCacheEvents)
	mux.HandleFunc("POST /kv/exports", e.createExport)
	mux.HandleFunc("GET /kv/exports/{id}", e.readExport)
	mux.HandleFunc("DELETE /kv/exports/{id}", e.deleteExport)
	mux.HandleFunc("POST /kv/imports", e.importExport)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("POST /faults", e.handleFaults)
	return mux
}

// ask posts a message to the owner and waits for its reply. It reports false when the stand-in stops or the client disconnects before the
// message is posted.
func ask[R any](e *Engine, r *http.Request, build func(reply chan<- R) message) (R, bool) {
	reply := make(chan R, 1)
	var answer R
	if !e.owner.post(r.Context(), build(reply)) {
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-e.owner.done:
		return answer, false
	}
}
