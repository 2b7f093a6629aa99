package responder

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceOptions configure a plain service stand-in.
type ServiceOptions struct {
	// Address is the listen address; port 0 selects a free port.
	Address string
	// Delay is the duration of a call.
	Delay time.Duration
	// ColdRequests is the number of completed calls after a boot that end the cold start; zero means that the service is never cold. A
	// cold service with more than ColdLimit concurrent calls crashes.
	ColdRequests int
	ColdLimit    int
	// DownTime is how long connections are refused after a crash that did not come from ServiceFaults.Crash.
	DownTime time.Duration
}

// ServiceFaults is the body of POST /faults of a plain service. Zero fields change nothing.
type ServiceFaults struct {
	// Crash resets all connections and boots again, cold, with a new boot ID. New connections are refused for DownMs.
	Crash  bool
	DownMs milliseconds
	// Cold begins a cold start with the same boot ID.
	Cold bool
	// Silent makes all open connections silent permanently; new connections work.
	Silent bool
	// DelayMs replaces the delay of later calls.
	DelayMs *milliseconds
	// DieMidCall is the number of upcoming calls that run and crash the service before the response.
	DieMidCall int
	// Crossed is the number of upcoming calls whose response carries another attempt's ID.
	Crossed int
	// CutShort is the number of upcoming calls whose response body is truncated.
	CutShort int
}

// Service is a running plain service stand-in.
type Service struct {
	owner  *serviceOwner
	server *server
}

// NewService starts a plain service stand-in. The returned function stops it and waits for the goroutine that owns its state to end.
func NewService(options ServiceOptions) (*Service, func(), error) {
	s := &Service{owner: newServiceOwner(options)}
	server, err := newServer(options.Address, s.routes())
	if err != nil {
		return nil, nil, err
	}
	s.server, s.owner.server = server, server
	go s.owner.run()
	return s, s.close, nil
}

// Address returns the listen address.
func (s *Service) Address() string { return s.server.address }

func (s *Service) close() {
	close(s.owner.stop)
	<-s.owner.done
	s.server.close()
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("/", s.call)
	return mux
}

type callBody struct {
	Attempt  string
	BodyHash string
	Method   string
	Path     string
	// Run is the number of executions of this body so far.
	Run int
}

// call handles a call of any method and path. A started call runs to completion, even if its client disconnects.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "truncated body")
		return
	}
	attempt, hash := r.Header.Get("X-Request-Id"), fmt.Sprintf("%016x", xxhash.Sum64(content))
	started, ok := askService(s, startCall{attempt: attempt, body: hash, reply: make(chan startCallResult, 1)})
	if !ok || started.fault == crashMidCall {
		panic(http.ErrAbortHandler)
	}
	if started.delay > 0 {
		timer := time.NewTimer(started.delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.owner.stop:
		}
	}
	s.owner.post(endCall{bootID: started.bootID})
	echo := attempt
	if started.fault == callWrongID {
		echo = "other-" + attempt
	}
	w.Header().Set("X-Request-Id", echo)
	w.Header().Set("X-Boot-Id", started.bootID)
	w.Header().Set("X-Phase", phaseName(started.cold))
	if started.fault == callTruncated {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, callBody{Attempt: attempt, BodyHash: hash, Method: r.Method, Path: r.URL.Path, Run: started.count})
}

type runsBody struct {
	BootID string
	// Attempts and Bodies count executions by attempt ID and by the hexadecimal xxhash64 of the body, over all boots.
	Attempts map[string]int
	Bodies   map[string]int
}

// listRuns handles GET /runs.
func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	runs, ok := askService(s, readRuns{reply: make(chan runsBody, 1)})
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, runs)
}

// handleFaults handles POST /faults.
func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var body ServiceFaults
	if !readJSON(w, r, &body) {
		return
	}
	_, ok := askService(s, setServiceFaults{faults: body, conn: connectionFromContext(r.Context()), reply: make(chan struct{}, 1)})
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusNoContent)
}

// serviceRequest is a message with a channel for its reply.
type serviceRequest[R any] interface {
	serviceMessage
	replyChannel() chan R
}

// askService posts a request to the owner and waits for its reply. It reports false when the stand-in stops.
func askService[R any](s *Service, request serviceRequest[R]) (R, bool) {
	var zero R
	if !s.owner.post(request) {
		return zero, false
	}
	select {
	case reply := <-request.replyChannel():
		return reply, true
	case <-s.owner.done:
		return zero, false
	}
}
