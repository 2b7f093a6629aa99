package simulator

import (
	"net/http"
	"time"
)

// Instance is one entry of the instance list.
type Instance struct {
	Name    string
	Address string
	// Kind is "engine" or "service".
	Kind       string
	DataCentre string
	// State is "live" or "leaving".
	State string
}

// InstancesOptions configure the instance list stand-in.
type InstancesOptions struct {
	// Instances is the initial list, which is visible immediately.
	Instances []Instance
	// Lag is the time until a change becomes visible.
	Lag time.Duration
}

// InstancesFaults are the faults that the instance list stand-in injects. POST /faults replaces all of them, GET /faults returns them.
type InstancesFaults struct {
	// Outage answers reads of the list with 503.
	Outage bool
	// LagMs replaces InstancesOptions.Lag, in milliseconds, unless it is zero.
	LagMs int
	// SlowMs delays every read of the list by this many milliseconds.
	SlowMs int
}

// NewInstances returns a stand-in of the instance list and a function that stops it. GET /instances returns the list as of a lag ago,
// POST /instances replaces it with {"Instances":[...]}.
func NewInstances(options InstancesOptions) (http.Handler, func()) {
	state := &instancesState{lag: options.Lag, versions: []version{{instances: options.Instances}}}
	h := &instancesHandler{loop: startLoop(state.tick)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", h.get)
	mux.HandleFunc("POST /instances", h.set)
	mux.HandleFunc("POST /faults", h.setFaults)
	mux.HandleFunc("GET /faults", h.getFaults)
	return mux, h.loop.stop
}

// instancesRequest replaces the list and the faults if they are set, and reads the resulting state.
type instancesRequest struct {
	replacement *[]Instance
	faults      *InstancesFaults
	reply       chan<- instancesResult
}

type instancesResult struct {
	asOf      time.Time
	instances []Instance
	faults    InstancesFaults
}

// version is a list and the time at which it was set.
type version struct {
	at        time.Time
	instances []Instance
}

// instancesState holds the versions that are visible now or will be later, oldest first.
type instancesState struct {
	lag      time.Duration
	faults   InstancesFaults
	versions []version
}

func (s *instancesState) tick(now time.Time, events []instancesRequest) time.Time {
	for _, e := range events {
		if e.replacement != nil {
			s.versions = append(s.versions, version{at: now, instances: *e.replacement})
		}
		if e.faults != nil {
			s.faults = *e.faults
		}
		asOf := now.Add(-s.currentLag())
		e.reply <- instancesResult{asOf: asOf, instances: s.visible(asOf), faults: s.faults}
	}
	return time.Time{}
}

func (s *instancesState) currentLag() time.Duration {
	if s.faults.LagMs != 0 {
		return milliseconds(s.faults.LagMs)
	}
	return s.lag
}

// visible returns the newest list that was set by asOf and drops the older ones.
func (s *instancesState) visible(asOf time.Time) []Instance {
	for len(s.versions) > 1 && !s.versions[1].at.After(asOf) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].instances
}

type instancesHandler struct{ loop *loop[instancesRequest] }

func (h *instancesHandler) ask(w http.ResponseWriter, r *http.Request, request instancesRequest) (instancesResult, bool) {
	reply := make(chan instancesResult, 1)
	request.reply = reply
	result, err := ask(r.Context(), h.loop, request, reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return result, false
	}
	return result, true
}

func (h *instancesHandler) get(w http.ResponseWriter, r *http.Request) {
	result, ok := h.ask(w, r, instancesRequest{})
	if !ok {
		return
	}
	pause(r.Context(), h.loop.quit, milliseconds(result.faults.SlowMs))
	if result.faults.Outage {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	instances := result.instances
	if instances == nil {
		instances = []Instance{}
	}
	writeJSON(w, struct {
		AsOf      time.Time
		Instances []Instance
	}{result.asOf, instances})
}

func (h *instancesHandler) set(w http.ResponseWriter, r *http.Request) {
	var body struct{ Instances []Instance }
	if !readJSON(w, r, &body) {
		return
	}
	if _, ok := h.ask(w, r, instancesRequest{replacement: &body.Instances}); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h *instancesHandler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults InstancesFaults
	if !readJSON(w, r, &faults) {
		return
	}
	if result, ok := h.ask(w, r, instancesRequest{faults: &faults}); ok {
		writeJSON(w, result.faults)
	}
}

func (h *instancesHandler) getFaults(w http.ResponseWriter, r *http.Request) {
	if result, ok := h.ask(w, r, instancesRequest{}); ok {
		writeJSON(w, result.faults)
	}
}
