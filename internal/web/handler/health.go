package handler

import (
	"io"
	"net/http"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// serveHealth serves GET /healthz, which succeeds while the process runs.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// serveReady serves GET /readyz, which succeeds while the node may start new work.
func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := notReadyReason(h.Snapshot())
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, reason+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReadyReason returns why the node may not start new work, or an empty string if it may.
func notReadyReason(snapshot *modeler.Snapshot) string {
	switch {
	case snapshot == nil:
		return "starting"
	case snapshot.Leaving:
		return "leaving"
	case snapshot.Fenced:
		return "neither the log nor a peer vouches for this node"
	case snapshot.Rules.Version == 0:
		return "no rule file yet"
	}
	return ""
}
