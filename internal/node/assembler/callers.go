package assembler

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"damaskpick.example/damaskpick/internal/backing/appender"
	"damaskpick.example/damaskpick/internal/control/modeler"
	operator "damaskpick.example/damaskpick/internal/operator/handler"
	"damaskpick.example/damaskpick/internal/rules/publisher"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/telemetry/collector"
	"damaskpick.example/damaskpick/internal/telemetry/reporter"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
	"damaskpick.example/damaskpick/internal/web/accountant"
	"damaskpick.example/damaskpick/internal/web/charger"
	"damaskpick.example/damaskpick/internal/web/handler"
	"damaskpick.example/damaskpick/internal/web/listener"
)

// startCallers builds the components that serve callers: the forwarder, its metrics, and the server for callers and operators.
func (n *node) startCallers(settings loader.Settings, c clients, cleanups *cleanupStack) error {
	metrics := collector.New(collector.Options{Snapshot: n.loop.Snapshot})
	n.reporter = reporter.New(metrics, time.Now())
	n.forwarder = forwarder.New(forwarder.Options{
		Control:  n.loop,
		Engines:  engines{client: c.engines, node: n.self.ID},
		Services: services{client: c.services, node: n.self.ID},
		Observer: metrics, RequestTimeout: settings.Timeouts.Request.Std(), Log: n.log,
	})
	charges := charger.New(accountant.New(accountant.Options{
		Bytes: settings.Limits.HeldBytes, Connections: settings.Limits.Connections, Now: time.Now,
	}), int64(settings.Limits.HeaderBytes))
	callers, err := handler.New(handler.Options{
		Forwarder: n.forwarder, Snapshot: n.loop.Snapshot, Credentials: settings.Credentials,
		Limits: settings.Limits, Timeouts: settings.Timeouts, Log: n.log, Metrics: metrics, Report: n.reporter, OnRefusal: metrics.Refused,
		Charger: charges,
	})
	if err != nil {
		return fmt.Errorf("create handler for callers: %w", err)
	}
	server, stop, err := listener.Listen(listener.Options{
		Address: settings.Listen.Callers, Handler: n.routes(callers, c), Keys: settings.TLS.Callers,
		HeaderBytes: settings.Limits.HeaderBytes, Charger: charges, Log: n.log,
	})
	if err != nil {
		return fmt.Errorf("listen on address for callers: %w", err)
	}
	n.callers = server
	cleanups.add(stop)
	return nil
}

// routes returns a handler that serves the operators' paths and passes all other requests to the callers' handler.
func (n *node) routes(callers *handler.Handler, c clients) http.Handler {
	currentRules := func() modeler.Rules { return n.loop.Snapshot().Rules }
	operators := operator.New(operator.Options{
		Operator:  callers.Operator,
		Snapshot:  func() modeler.Snapshot { return *n.loop.Snapshot() },
		Publisher: publisher.New(rulesLog{c.log}, currentRules, publisher.Options{}),
	})
	// A ServeMux would redirect paths with empty or dot segments, which the callers' handler has to reject.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/status", "/rules":
			operators.ServeHTTP(w, r)
		default:
			callers.ServeHTTP(w, r)
		}
	})
}

// rulesLog implements publisher.Log over the log client.
type rulesLog struct{ client *appender.Client }

// Append implements publisher.Log.
func (l rulesLog) Append(ctx context.Context, stream modeler.Stream, record any) (int64, error) {
	return l.client.Append(ctx, stream, record)
}

// Read implements publisher.Log.
func (l rulesLog) Read(ctx context.Context, stream modeler.Stream, from int64, limit int) ([]modeler.Record, int64, error) {
	page, err := l.client.Read(ctx, stream, from, limit, 0)
	return page.Records, page.Next, err
}
