package handler

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// removedHeaders are not forwarded between caller and service: hop-by-hop headers, the caller's credential, and headers that this
// system sets itself.
var removedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Authorization", "Idempotency-Key", "X-Idempotency-Key",
	"X-Request-Id", "X-Node-Id", "X-Fencing-Token", "X-Request-Timeout", "X-Boot-Id",
}

// serveService serves requests with any method to /services/NAME/PATH.
func (x *httpExchange) serveService() error {
	call, err := x.serviceCall()
	if err != nil {
		return err
	}
	answer, err := x.Forwarder.Call(x.request.Context(), call)
	if err != nil {
		return err
	}
	if answer.Status < http.StatusOK || answer.Status > 999 {
		return fmt.Errorf("service %s returned invalid status %d", call.Service, answer.Status)
	}
	header := x.writer.Header()
	maps.Copy(header, filterHeaders(answer.Header))
	if answer.Replayed {
		header.Set("Idempotent-Replayed", "true")
	}
	x.extendWriteDeadline()
	x.writer.WriteHeader(answer.Status)
	if _, err := x.writer.Write(answer.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.Log.Info().Str("request", string(x.id)).Err(err).Msg("response not delivered")
	}
	return nil
}

func (x *httpExchange) serviceCall() (forwarder.ServiceCall, error) {
	timeout, err := x.timeout()
	if err != nil {
		return forwarder.ServiceCall{}, err
	}
	body, err := x.readBody()
	if err != nil {
		return forwarder.ServiceCall{}, err
	}
	service := x.request.PathValue("service")
	return forwarder.ServiceCall{
		Request: x.id, Member: x.member, Service: service, Method: x.request.Method, Path: "/" + x.request.PathValue("path"), Target: x.requestTarget(),
		Header: filterHeaders(x.request.Header), Body: body, Key: x.request.Header.Get("Idempotency-Key"), Timeout: timeout,
	}, nil
}

// requestTarget returns the path and query for the service, escaped as in the caller's request.
func (x *httpExchange) requestTarget() string {
	// The route pattern guarantees the prefix and three slashes.
	parts := strings.SplitN(x.request.URL.EscapedPath(), "/", 4)
	target := "/" + parts[3]
	if query := x.request.URL.RawQuery; query != "" {
		target += "?" + query
	}
	return target
}

// isAmbiguousPath reports whether a service could resolve the path to a path other than the one that the rules are matched against. A
// call that must run only once could then be repeated.
func isAmbiguousPath(path string) bool {
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, segment := range segments {
		if segment == "." || segment == ".." || (segment == "" && i < len(segments)-1) {
			return true
		}
	}
	return strings.Contains(path, `\`)
}

// filterHeaders returns a copy of header without removedHeaders and the headers that Connection lists.
func filterHeaders(header map[string][]string) http.Header {
	filtered := http.Header(header).Clone()
	if filtered == nil {
		return http.Header{}
	}
	for _, list := range filtered.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			filtered.Del(strings.TrimSpace(name))
		}
	}
	for name := range filtered {
		if slices.Contains(removedHeaders, http.CanonicalHeaderKey(name)) {
			delete(filtered, name)
		}
	}
	return filtered
}
