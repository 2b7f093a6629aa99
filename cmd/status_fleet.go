package cmd

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/scraper"
)

// printFleet shows the nodes of the users' platform by their metrics.
func (c *statusCommand) printFleet() error {
	nodes, err := scraper.Scrape(context.Background(), &http.Client{Timeout: c.Timeout}, c.Metrics)
	if err != nil && len(nodes) == 0 {
		return err
	}
	if err != nil {
		c.env.notef("damaskpick: the page lacks nodes that did not answer: %v\n", err)
	}
	var page strings.Builder
	w := &table{tabwriter.NewWriter(&page, 0, 0, 2, ' ', 0)}
	w.printf("NODE\tDATA CENTRE\tROLE\tALIVE\tCONFIGURATION\tKNOWN AGO\tENDPOINTS KNOWN AGO\tWAITING\tDELIVERED\tLATE\tREFUSED\tIN DOUBT\tREPEATS\tSTORE CALLS\tFAILED\n")
	for _, n := range nodes {
		w.printf("%s\t%s\t%s\t%.0f\t%.0f\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", n.Name, n.DataCentre, role(n),
			n.Sum("damaskpick_nodes_alive", nil), n.Sum("damaskpick_configuration_version", nil),
			seconds(n.Sum("damaskpick_operators_age_seconds", nil)), seconds(n.Sum("damaskpick_endpoints_age_seconds", nil)),
			n.Sum("damaskpick_waiting", nil), n.Sum("damaskpick_requests_total", scraper.Labels{"status": "Delivered"}),
			n.Sum("damaskpick_late_total", nil), n.Sum("damaskpick_requests_total", scraper.Labels{"status": "Refused"}), inDoubt(n),
			n.Sum("damaskpick_retries_total", nil), n.Sum("damaskpick_store_calls_total", nil),
			n.Sum("damaskpick_store_calls_total", scraper.Labels{"outcome": "Failed"}))
	}
	w.printf("\nNODE\t")
	for _, state := range modeler.EndpointStates {
		w.printf("%s\t", strings.ToUpper(string(state)))
	}
	for _, n := range nodes {
		w.printf("\n%s\t", n.Name)
		for _, state := range modeler.EndpointStates {
			w.printf("%.0f\t", n.Sum("damaskpick_endpoints", scraper.Labels{"state": string(state)}))
		}
	}
	w.printf("\n")
	if err := w.Flush(); err != nil {
		return err
	}
	c.env.printf("%s", page.String())
	return c.coordinators(nodes)
}

// role says what a node does for the others.
func role(n scraper.Node) string {
	switch {
	case n.Sum("damaskpick_coordinates", nil) > 0:
		return "coordinator"
	case n.Sum("damaskpick_reads_for_all", nil) > 0:
		return "reads the store"
	default:
		return ""
	}
}

// inDoubt counts the requests that may have run and got no whole answer.
func inDoubt(n scraper.Node) float64 {
	sum := 0.0
	for _, status := range []string{"Unknown", "TimedOut", "Interrupted"} {
		sum += n.Sum("damaskpick_requests_total", scraper.Labels{"status": status})
	}
	return sum
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
}

// coordinators fails if the nodes that were asked do not agree on who places requests, so that a script notices it.
func (c *statusCommand) coordinators(nodes []scraper.Node) error {
	coordinators := 0
	for _, n := range nodes {
		if n.Sum("damaskpick_coordinates", nil) > 0 {
			coordinators++
		}
	}
	if coordinators > 1 {
		return errors.New("more than one node coordinates: some nodes do not hear each other")
	}
	return nil
}
