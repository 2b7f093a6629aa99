package invoker

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the header fields that apply to one connection only (RFC 9110, section 7.6.1). Expect is among them, because the
// whole body is already available when a call is sent.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// withoutHopByHop returns a copy of a header without hopByHopHeaders and without the fields that Connection lists. Package net/http deletes
// Connection from a response that contains the option close, so the fields that it lists are not removed then.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
