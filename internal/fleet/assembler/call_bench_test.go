package assembler_test

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// BenchmarkCall measures an ordinary call with a body of a few bytes or of 16 KiB through a node to an endpoint that answers at once. Caller, node
// and endpoint share the process.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{20, 16 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			s := newSiteWith(b, []*platformtest.Endpoint{{ID: "plain-1", Service: platformtest.PlainService, DataCentre: "dc-a", Slots: 64}})
			n := s.start(b, "n1", "dc-a")
			body := bytes.Repeat([]byte("x"), size)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request, err := platformtest.NewRequest(b.Context(), "http://"+n.settings.Listen.Callers+"/stock/1", strconv.Itoa(i))
				assert.NilError(b, err)
				request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
				response, err := client.Do(request)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(b, err)
				assert.NilError(b, response.Body.Close())
			}
		})
	}
}
