package listener

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// maxAddresses is the largest number of addresses that callers use from one answer.
const maxAddresses = 64

// Ready is the readiness handler. It answers 200 if the node has a configuration and is not leaving, and 503 otherwise.
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

// Addresses is the handler that lists the nodes to which callers may connect. It answers 503 if there are none or the node has no
// configuration.
type Addresses struct {
	Snapshot func() *modeler.Snapshot
	Decode   func(url.Values) modeler.AddressQuery
	Write    func(w http.ResponseWriter, addresses []string, ttl time.Duration) error
	// TTL is how long callers may use the addresses.
	TTL time.Duration
}

// ServeHTTP implements http.Handler.
func (h Addresses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := h.Snapshot()
	addresses := selectAddresses(snapshot, h.Decode(r.URL.Query()))
	if len(addresses) == 0 || !snapshot.Configuration.Loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A write fails if the caller has disconnected. It can ask another node.
	_ = h.Write(w, addresses, h.TTL)
}

// minLocal is the number of nodes in the caller's data centre from which the answer lists only these. If the answer listed a single node and
// this node failed, the caller would have to ask again.
const minLocal = 2

// selectAddresses returns the addresses of up to maxAddresses nodes in random order: those of the caller's data centre if there are at least
// minLocal, else those of its region if there are any, else all.
func selectAddresses(snapshot *modeler.Snapshot, query modeler.AddressQuery) []string {
	all := make([]string, 0, len(snapshot.Alive))
	var local, region []string
	for _, node := range snapshot.Alive {
		all = append(all, node.CallerAddress)
		if node.Region == query.Region {
			region = append(region, node.CallerAddress)
		}
		if node.DataCentre == query.DataCentre {
			local = append(local, node.CallerAddress)
		}
	}
	addresses := all
	switch {
	case len(local) >= minLocal:
		addresses = local
	case len(region) > 0:
		addresses = region
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)]
}
