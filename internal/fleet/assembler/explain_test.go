package assembler_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/cmd"
	"damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// metricsPort is the port of the metrics in this test. Each node has an address of its own.
const metricsPort = 19_464

// TestExplain guards against an explanation that sends the request, that a node which does not place requests cannot give, or that gives no clear error.
func TestExplain(t *testing.T) {
	s := newSite(t)
	withMetrics := func(settings *loader.Settings) { settings.Listen.MetricsPort = metricsPort }
	first, second := s.startWith(t, "n1", "dc-a", withMetrics), s.startWith(t, "n2", "dc-b", withMetrics)
	waitFor(t, func() bool {
		return first.call("/stream/1", "r1").code == http.StatusOK && second.call("/stream/1", "r2").code == http.StatusOK
	})
	ran := func() int {
		runs := 0
		for _, e := range s.endpoints {
			runs += len(e.Runs())
		}
		return runs
	}
	before := ran()
	tests := []struct {
		name, host, path, prompt string
		code                     int
		service, verdict         string
	}{
		{"stream", platformtest.Host, "/stream/1", "5000", http.StatusOK, platformtest.EngineService, "Place"},
		{"plain service", platformtest.Host, "/book/1", "", http.StatusOK, platformtest.PlainService, "Place"},
		{"prompt beyond all memory", platformtest.Host, "/stream/1", "60000000", http.StatusOK, platformtest.EngineService, "Refuse"},
		{"no route", platformtest.Host, "/other/1", "", http.StatusNotFound, "", ""},
		{"bad prompt", platformtest.Host, "/stream/1", "many", http.StatusBadRequest, "", ""},
	}
	for _, tt := range tests {
		for _, n := range []*node{first, second} {
			t.Run(tt.name+"/"+n.settings.Node.Name, func(t *testing.T) {
				address := net.JoinHostPort(n.settings.Node.IP, strconv.Itoa(metricsPort))
				query := url.Values{"Host": {tt.host}, "Path": {tt.path}, "Prompt": {tt.prompt}}
				response, err := http.Get("http://" + address + "/explain?" + query.Encode())
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode, tt.code, "%s", body)
				if tt.code != http.StatusOK {
					return
				}
				var got struct{ AskedNode, Service, Verdict, Note string }
				assert.NilError(t, json.Unmarshal(body, &got))
				assert.Equal(t, got.AskedNode, n.settings.Node.Name)
				assert.Equal(t, got.Service, tt.service)
				assert.Equal(t, got.Verdict, tt.verdict)
				assert.Equal(t, got.Note, "")
				var out strings.Builder
				code := cmd.Run([]string{"explain", "-n", address, "--host", tt.host, "--path", tt.path, "--prompt", "0" + tt.prompt}, cmd.Environment{Out: &out, Err: &out})
				assert.Equal(t, code, cmd.ExitOK, "%s", out.String())
				assert.Assert(t, strings.Contains(out.String(), tt.verdict+": "), "%s", out.String())
			})
		}
	}
	assert.Equal(t, ran(), before)
}
