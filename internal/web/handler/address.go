package handler

import (
	"math/rand/v2"
	"slices"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

type addressResponse struct {
	Addresses []address
	// ExpiresIn is in seconds.
	ExpiresIn float64
}

type address struct {
	URL        string
	DataCentre modeler.DataCentreID
}

// serveAddresses serves GET /v1/addresses.
func (x *httpExchange) serveAddresses() error {
	near := modeler.DataCentreID(x.request.URL.Query().Get("DataCentre"))
	x.writer.Header().Set("Cache-Control", "no-store")
	return x.writeJSON(addressResponse{
		Addresses: addresses(x.Snapshot(), near, rand.Shuffle),
		ExpiresIn: x.Timeouts.AddressLifetime.Std().Seconds(),
	})
}

// addresses lists the nodes that serve callers: nodes of the data centre near come first, and the order is otherwise random to distribute
// load. Nodes in data centres that the rules take out of service are listed only if there are no others.
func addresses(snapshot *modeler.Snapshot, near modeler.DataCentreID, shuffle func(int, func(i, j int))) []address {
	serving, out := []address{}, []address{}
	for _, node := range servingNodes(snapshot) {
		entry := address{URL: node.PublicURL, DataCentre: node.DataCentre}
		if slices.Contains(snapshot.Rules.OutDataCentres, node.DataCentre) {
			out = append(out, entry)
		} else {
			serving = append(serving, entry)
		}
	}
	if len(serving) == 0 {
		serving = out
	}
	shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	slices.SortStableFunc(serving, func(a, b address) int { return distance(a, near) - distance(b, near) })
	return serving
}

// distance is a sort key: 0 in the data centre near, otherwise 1.
func distance(a address, near modeler.DataCentreID) int {
	if a.DataCentre == near {
		return 0
	}
	return 1
}

// servingNodes returns the active nodes with a public URL. The state of this node comes from the snapshot's own fields, whether or not
// the table of nodes contains it.
func servingNodes(snapshot *modeler.Snapshot) []modeler.Node {
	if snapshot == nil {
		return nil
	}
	var nodes []modeler.Node
	for _, node := range snapshot.Nodes {
		if node.ID != snapshot.Self.ID && node.Phase == modeler.NodeActive && node.PublicURL != "" {
			nodes = append(nodes, node)
		}
	}
	if self := snapshot.Self; !snapshot.Leaving && !snapshot.Fenced && self.PublicURL != "" {
		nodes = append(nodes, modeler.Node{ID: self.ID, PublicURL: self.PublicURL, DataCentre: self.DataCentre})
	}
	return nodes
}
