package tracer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/telemetry/tracer"
)

const log = `a time=2026-01-01T00:00:03.000Z level=info message=RequestEnded Request=r1 Status=Unknown Endpoint=e1
b time=2026-01-01T00:00:01.000Z level=info message=EndpointChanged Endpoint=e1 Draining=true
b time=2026-01-01T00:00:02.000Z level=info message=Placed Request=r1/0/x Endpoint=e1 Helpers=e2,e3
b time=2026-01-01T00:00:02.500Z level=info message=StoreLost Topic=Endpoints
b time=2026-01-01T00:00:02.600Z level=info message=EndpointJudged Request=r9/0/x Endpoint=e3
b time=2026-01-01T00:00:02.700Z level=info message=Placed Request=r12/0/x Endpoint=e1 Helpers=""
b time=2026-01-01T00:00:02.800Z level=info message=EndpointJudged Request=r9/0/x Endpoint=e7
c time=2026-01-01T00:00:02.850Z level=info message=EndpointJudged Request=r8/0/x Endpoint=e1
c time=2026-01-01T00:00:02.900Z level=info message=StoreLost Topic=Endpoints
b time=2026-01-01T00:00:09.000Z level=info message=StoreRegained Topic=Endpoints
no time
`

// TestTrace guards against lines of other requests in a trace, and against missing lines that explain the request.
func TestTrace(t *testing.T) {
	tests := []struct {
		request string
		own     int
		want    []string
	}{
		{"r1", 2, []string{"EndpointChanged", "Placed", "StoreLost", "EndpointJudged", "RequestEnded"}},
		{"r12", 1, []string{"EndpointChanged", "Placed"}},
		{"r", 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.request, func(t *testing.T) {
			var out strings.Builder
			own, err := tracer.Trace(&out, strings.NewReader(log), tt.request)
			assert.NilError(t, err)
			assert.Equal(t, own, tt.own)
			var messages []string
			for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				if _, rest, ok := strings.Cut(l, "message="); ok {
					messages = append(messages, strings.Fields(rest)[0])
				}
			}
			assert.DeepEqual(t, messages, tt.want)
		})
	}
}
