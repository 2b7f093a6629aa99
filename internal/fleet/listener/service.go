package listener

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// maxAddresses is the largest number of addresses that callers take from one answer.
const maxAddresses = 64

// Ready answers whether the node takes requests: it knows a configuration and is not leaving.
type Ready struct{ Snapshot func() *modeler.Snapshot }

// ServeHTTP implements http.Handler.
func (h Ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s := h.Snapshot()
	if !s.Configuration.Loaded() || s.Self.Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Addresses tells callers which nodes they may connect to.
type Addresses struct {
	Snapshot func() *modeler.Snapshot
	Decode   func(url.Values) modeler.AddressQuery
	Write    func(w http.ResponseWriter, addresses []string, keep time.Duration) error
	Keep     time.Duration
}

// ServeHTTP implements http.Handler.
func (h Addresses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := h.Snapshot()
	addresses := choose(snapshot, h.Decode(r.URL.Query()))
	if len(addresses) == 0 || !snapshot.Configuration.Loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A caller that has left asks another node.
	_ = h.Write(w, addresses, h.Keep)
}

// minNear is the number of nodes in the caller's data centre that make the answer without other data centres: with one alone, its failure
// would cost the caller a new question.
const minNear = 2

// choose returns the nodes of the caller's data centre, or of its region, or all.
func choose(snapshot *modeler.Snapshot, query modeler.AddressQuery) []string {
	all := make([]string, 0, len(snapshot.Alive))
	var near, region []string
	for _, node := range snapshot.Alive {
		all = append(all, node.CallerAddress)
		if node.Region == query.Region {
			region = append(region, node.CallerAddress)
		}
		if node.DataCentre == query.DataCentre {
			near = append(near, node.CallerAddress)
		}
	}
	addresses := all
	switch {
	case len(near) >= minNear:
		addresses = near
	case len(region) > 0:
		addresses = region
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)]
}
