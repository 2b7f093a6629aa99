// Package scraper reads the metrics of nodes for operators.
package scraper

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"golang.org/x/sync/errgroup"
)

const (
	// maxScrapes bounds the nodes that are scraped at the same time.
	maxScrapes = 16
	// maxPageBytes bounds one page of metrics: a node has some 200 series of about 100 bytes.
	maxPageBytes = 4 << 20
)

// Node holds the metrics of one node. It must not be changed.
type Node struct {
	// Name and DataCentre are the labels of the node's own metric. Name is the URL of the page if the metric is missing.
	Name, DataCentre string
	families         map[string]*dto.MetricFamily
}

// Labels select series: all of them must match.
type Labels map[string]string

// Sum returns the sum of the series of a metric that match the labels, or 0 if there are none.
func (n Node) Sum(name string, labels Labels) float64 {
	sum := 0.0
	family := n.families[name]
	for _, m := range family.GetMetric() {
		if matches(m, labels) {
			sum += m.GetUntyped().GetValue() + m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

// matches reports whether a series has all labels.
func matches(m *dto.Metric, labels Labels) bool {
	found := 0
	for _, pair := range m.GetLabel() {
		if want, ok := labels[pair.GetName()]; ok && want == pair.GetValue() {
			found++
		}
	}
	return found == len(labels)
}

// Scrape reads the metrics pages of nodes at urls, which may lack the scheme and the path. Nodes are sorted by name. The error contains one
// entry for each page that could not be read; the other nodes are returned with it.
func Scrape(ctx context.Context, client *http.Client, urls []string) ([]Node, error) {
	nodes, failures := make([]Node, len(urls)), make([]error, len(urls))
	var group errgroup.Group
	group.SetLimit(maxScrapes)
	for i, url := range urls {
		group.Go(func() error {
			nodes[i], failures[i] = scrape(ctx, client, url)
			return nil
		})
	}
	_ = group.Wait()
	nodes = slices.DeleteFunc(nodes, func(n Node) bool { return n.families == nil })
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes, errors.Join(failures...)
}

func scrape(ctx context.Context, client *http.Client, url string) (_ Node, err error) {
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	if !strings.HasSuffix(url, "/metrics") {
		url = strings.TrimSuffix(url, "/") + "/metrics"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Node{}, fmt.Errorf("scrape metrics: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Node{}, fmt.Errorf("scrape metrics: %w", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return Node{}, fmt.Errorf("scrape metrics: %s answered %s", url, response.Status)
	}
	return decode(io.LimitReader(response.Body, maxPageBytes), url)
}

// decode parses a page in the Prometheus text format.
func decode(page io.Reader, url string) (Node, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(page)
	if err != nil {
		return Node{}, fmt.Errorf("read metrics of %s: %w", url, err)
	}
	node := Node{Name: url, families: families}
	for _, m := range families["damaskpick_node"].GetMetric() {
		for _, pair := range m.GetLabel() {
			switch pair.GetName() {
			case "node":
				node.Name = pair.GetValue()
			case "data_centre":
				node.DataCentre = pair.GetValue()
			}
		}
	}
	return node, nil
}
