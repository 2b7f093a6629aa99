package assembler

import (
	"context"
	"strings"

	"damaskpick.example/damaskpick/internal/backing/lister"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/endpoint/streamer"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// listing combines the endpoints of the settings with the platform's instance list. It implements observer.Lister.
type listing struct {
	settings []modeler.Endpoint
	client   *lister.Client
}

func newListing(settings []loader.Endpoint, client *lister.Client) listing {
	l := listing{client: client}
	for _, e := range settings {
		l.settings = append(l.settings, endpointOf(e))
	}
	return l
}

func endpointOf(e loader.Endpoint) modeler.Endpoint {
	kind := modeler.Engine
	if strings.EqualFold(e.Kind, "Service") {
		kind = modeler.Service
	}
	return modeler.Endpoint{
		ID: e.ID, Kind: kind, Address: e.Address, DataCentre: e.DataCentre, Models: e.Models, Capacity: e.Capacity,
		ColdLimit: e.ColdLimit, FencesOrders: e.FencesOrders,
	}
}

// Endpoints returns the endpoints of the settings. Those that the list shows as leaving are marked; one that it does not show
// stays in use, since the list lags and liveness is observed directly.
func (l listing) Endpoints(ctx context.Context) ([]modeler.Endpoint, error) {
	if l.client == nil {
		return l.settings, nil
	}
	instances, err := l.client.List(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, i := range instances {
		leaving[i.Name] = i.Leaving
	}
	endpoints := make([]modeler.Endpoint, 0, len(l.settings))
	for _, e := range l.settings {
		endpoints = append(endpoints, e.WithLeaving(leaving[string(e.ID)]))
	}
	return endpoints, nil
}

// reports implements the Reporter interfaces over the engine client.
type reports struct{ engines *streamer.Client }

// Report returns what an engine runs.
func (r reports) Report(ctx context.Context, endpoint modeler.Endpoint) (modeler.EndpointReported, error) {
	running, err := r.engines.Requests(ctx, endpoint.Address)
	if err != nil {
		return modeler.EndpointReported{}, err
	}
	return modeler.EndpointReported{Endpoint: endpoint.ID, BootID: running.BootID, Attempts: running.Attempts}, nil
}
