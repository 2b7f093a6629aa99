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

// printMetrics prints the state of nodes of the fleet command, read from their metrics.
func (c *statusCommand) printMetrics() error {
	nodes, err := scraper.Scrape(context.Background(), &http.Client{Timeout: c.Timeout}, c.Metrics)
	if err != nil && len(nodes) == 0 {
		return err
	}
	if err != nil {
		c.env.stderrf("damaskpick: the page lacks nodes that did not answer: %v\n", err)
	}
	var page strings.Builder
	w := &table{tabwriter.NewWriter(&page, 0, 0, 2, ' ', 0)}
	w.printf("NODE\tDATA CENTRE\tROLE\tALIVE\tCONFIGURATION\tKNOWN AGO\tENDPOINTS KNOWN AGO\tWAITING\tDELIVERED\tLATE\tREFUSED\tIN DOUBT\tREPEATS\tSTORE CALLS\tFAILED\n")
	// The column REPEATS is the number of retries.
	for _, n := range nodes {
		w.printf("%s\t%s\t%s\t%.0f\t%.0f\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", n.Name, n.DataCentre, nodeRole(n),
			n.Sum("damaskpick_nodes_alive", nil), n.Sum("damaskpick_configuration_version", nil),
			formatSeconds(n.Sum("damaskpick_operators_age_seconds", nil)), formatSeconds(n.Sum("damaskpick_endpoints_age_seconds", nil)),
			n.Sum("damaskpick_waiting", nil), n.Sum("damaskpick_requests_total", scraper.Labels{"status": "Delivered"}),
			n.Sum("damaskpick_late_total", nil), n.Sum("damaskpick_requests_total", scraper.Labels{"status": "Refused"}), countInDoubt(n),
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
	c.env.stdoutf("%s", page.String())
	return c.checkCoordinators(nodes)
}

// nodeRole returns the task that a node performs for the other nodes, or "".
func nodeRole(n scraper.Node) string {
	switch {
	case n.Sum("damaskpick_coordinates", nil) > 0:
		return "coordinator"
	case n.Sum("damaskpick_reads_for_all", nil) > 0:
		return "reads the store"
	default:
		return ""
	}
}

// countInDoubt returns the number of requests that may have run but got no complete response, for the column IN DOUBT.
func countInDoubt(n scraper.Node) float64 {
	sum := 0.0
	for _, status := range []string{"Unknown", "TimedOut", "Interrupted"} {
		sum += n.Sum("damaskpick_requests_total", scraper.Labels{"status": status})
	}
	return sum
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
}

// checkCoordinators returns an error if more than one of the queried nodes is coordinator, so that a script can detect it by the exit code.
func (c *statusCommand) checkCoordinators(nodes []scraper.Node) error {
	coordinators := 0
	for _, n := range nodes {
		if n.Sum("damaskpick_coordinates", nil) > 0 {
			coordinators++
		}
	}
	if coordinators > 1 {
		return errors.New("more than one node coordinates: some nodes cannot reach each other")
	}
	return nil
}
