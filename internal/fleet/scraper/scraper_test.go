package scraper_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/scraper"
)

const page = `damaskpick_node{node="n2",data_centre="dc"} 1
damaskpick_waiting 3
damaskpick_requests_total{kind="Safe",status="Delivered"} 5
damaskpick_requests_total{kind="Stream",status="Delivered"} 7
damaskpick_requests_total{kind="Stream",status="Refused"} 2
damaskpick_first_seconds_bucket{kind="Stream",vmrange="1.000e-01...1.136e-01"} 1
`

func serve(t *testing.T, status int, text string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/metrics" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestScrape guards against sums that include series with other labels, and against one failed node that hides the others.
func TestScrape(t *testing.T) {
	first := `damaskpick_node{node="n1",data_centre="dc"} 1` + "\n"
	urls := []string{serve(t, http.StatusOK, page), serve(t, http.StatusOK, first), serve(t, http.StatusInternalServerError, ""), serve(t, http.StatusOK, "}")}
	nodes, err := scraper.Scrape(t.Context(), http.DefaultClient, urls)
	assert.ErrorContains(t, err, "500")
	assert.ErrorContains(t, err, "read metrics of "+urls[3])
	assert.Equal(t, len(nodes), 2)
	assert.Equal(t, nodes[0].Name, "n1")
	tests := []struct {
		metric string
		labels scraper.Labels
		want   float64
	}{
		{"damaskpick_waiting", nil, 3},
		{"damaskpick_requests_total", nil, 14},
		{"damaskpick_requests_total", scraper.Labels{"status": "Delivered"}, 12},
		{"damaskpick_requests_total", scraper.Labels{"status": "Delivered", "kind": "Safe"}, 5},
		{"damaskpick_requests_total", scraper.Labels{"outcome": "Failed"}, 0},
		{"damaskpick_other", nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.metric, func(t *testing.T) { assert.Equal(t, nodes[1].Sum(tt.metric, tt.labels), tt.want) })
	}
}

// TestAddresses guards against addresses that are rejected because the scheme or the path is missing.
func TestAddresses(t *testing.T) {
	url := serve(t, http.StatusOK, page)
	tests := []string{url, url + "/", url + "/metrics", url[len("http://"):]}
	for _, address := range tests {
		t.Run(address, func(t *testing.T) {
			nodes, err := scraper.Scrape(t.Context(), http.DefaultClient, []string{address})
			assert.NilError(t, err)
			assert.Equal(t, nodes[0].Name, "n2")
		})
	}
}
