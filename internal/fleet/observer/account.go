package observer

import (
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/web/accountant"
)

// WatchAccount adds the gauges of the account of callers' connections. It must be called once, before the metrics are served.
func (o *Observer) WatchAccount(usage func() accountant.Usage) {
	o.set.NewGauge("damaskpick_held_bytes", func() float64 { return float64(usage().Held) })
	o.set.NewGauge("damaskpick_held_bytes_limit", func() float64 { return float64(usage().Capacity) })
	o.set.NewGauge("damaskpick_caller_connections", func() float64 { return float64(usage().Connections) })
	o.set.NewGauge("damaskpick_gave_way_total", func() float64 { return float64(usage().Ended) })
	o.set.NewGauge("damaskpick_held_refused_total", func() float64 { return float64(usage().Refused) })
}

// GaveWay writes a log line for a connection that was asked to give way, at most one a second.
func (o *Observer) GaveWay(row accountant.Row) {
	if !o.gaveWayLines.Allow() {
		return
	}
	o.options.Events.Warn().Str("Address", row.Address).Int64("Held", row.Held).Int64("Received", row.Received).
		Str("Phase", row.Phase.String()).Msg(string(modeler.LogEventConnectionGaveWay))
}
