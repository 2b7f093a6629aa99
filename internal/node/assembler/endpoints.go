package assembler

import (
	"context"
	"strings"

	"damaskpick.example/damaskpick/internal/backing/lister"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/endpoint/streamer"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// endpointLister implements observer.Lister. It combines the endpoints of the settings with the platform's instance list.
type endpointLister struct {
	configured []modeler.Endpoint
	// client is nil if the settings name no instance list.
	client *lister.Client
}

func newEndpointLister(configured []loader.Endpoint, client *lister.Client) endpointLister {
	l := endpointLister{client: client}
	for _, e := range configured {
		l.configured = append(l.configured, endpointOf(e))
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

// Endpoints returns the endpoints of the settings and marks those that the instance list shows as leaving. An endpoint that is
// missing from the list stays in use, because the list lags behind and the observer checks liveness directly.
func (l endpointLister) Endpoints(ctx context.Context) ([]modeler.Endpoint, error) {
	if l.client == nil {
		return l.configured, nil
	}
	instances, err := l.client.List(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, i := range instances {
		leaving[i.Name] = i.Leaving
	}
	endpoints := make([]modeler.Endpoint, 0, len(l.configured))
	for _, e := range l.configured {
		endpoints = append(endpoints, e.WithLeaving(leaving[string(e.ID)]))
	}
	return endpoints, nil
}

// engineReporter implements executor.ReportFetcher and observer.ReportFetcher with the engine client.
type engineReporter struct{ engines *streamer.Client }

// Report returns the boot ID of an engine and the attempts that it runs. It does not set TakenAt.
func (r engineReporter) Report(ctx context.Context, endpoint modeler.Endpoint) (modeler.EndpointReported, error) {
	running, err := r.engines.Requests(ctx, endpoint.Address)
	if err != nil {
		return modeler.EndpointReported{}, err
	}
	return modeler.EndpointReported{Endpoint: endpoint.ID, BootID: running.BootID, Attempts: running.Attempts}, nil
}
