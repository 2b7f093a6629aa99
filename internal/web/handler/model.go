package handler

import (
	"maps"
	"slices"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves GET /v1/models. It also lists models without an endpoint in service, because the outage may be short.
func (x *httpExchange) serveModels() error {
	names := map[string]bool{}
	if snapshot := x.Snapshot(); snapshot != nil {
		for _, endpoint := range snapshot.Endpoints {
			if endpoint.Kind != modeler.Engine {
				continue
			}
			for _, model := range endpoint.Models {
				names[model] = true
			}
		}
	}
	models := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		models.Data = append(models.Data, modelEntry{ID: name, Object: "model", OwnedBy: "damaskpick"})
	}
	return x.writeJSON(models)
}
