// Package lister is the client of the platform's instance list.
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// listTimeout bounds one read. The list is only a hint, so a slow response is not worth a longer wait.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of one response.
	maxListBytes = 16 << 20
)

// Instance is one entry of the list.
type Instance struct {
	Name       string
	Address    string
	Kind       modeler.EndpointKind
	DataCentre modeler.DataCentreID
	Leaving    bool
}

// Options configure a client.
type Options struct {
	// BaseURL is the root of the instance list service.
	BaseURL string
	// Client is optional.
	Client *http.Client
}

// Client reads the instance list. It is safe for concurrent use.
type Client struct {
	target string
	client *http.Client
}

// New returns a client and a cleanup function that closes idle connections.
func New(options Options) (*Client, func(), error) {
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, nil, fmt.Errorf("instance list URL: %w", err)
	}
	if base.Scheme == "" || base.Host == "" {
		return nil, nil, fmt.Errorf("instance list URL %q: scheme or host is missing", options.BaseURL)
	}
	client := options.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{}}
	}
	return &Client{target: base.JoinPath("instances").String(), client: client}, client.CloseIdleConnections, nil
}

// List reads the list, which lags behind the actual instances. It omits entries of a kind or state that this version does not
// know.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.target, nil)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance list: status %d", response.StatusCode)
	}
	var wire listWire
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&wire); err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	instances := make([]Instance, 0, len(wire.Instances))
	for _, w := range wire.Instances {
		if instance, ok := w.instance(); ok {
			instances = append(instances, instance)
		}
	}
	return instances, nil
}

type listWire struct {
	AsOf      time.Time
	Instances []instanceWire
}

type instanceWire struct {
	Name       string
	Address    string
	Kind       string
	DataCentre modeler.DataCentreID
	State      string
}

var kinds = map[string]modeler.EndpointKind{"engine": modeler.Engine, "service": modeler.Service}

// instance returns the decoded entry and whether its kind and state are known.
func (w instanceWire) instance() (Instance, bool) {
	kind, known := kinds[w.Kind]
	leaving := w.State == "leaving"
	return Instance{
		Name: w.Name, Address: w.Address, Kind: kind, DataCentre: w.DataCentre, Leaving: leaving,
	}, known && (leaving || w.State == "live")
}
