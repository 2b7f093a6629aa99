package assembler

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/admitter"
	"damaskpick.example/damaskpick/internal/control/applier"
	"damaskpick.example/damaskpick/internal/control/deduplicator"
	"damaskpick.example/damaskpick/internal/control/detector"
	"damaskpick.example/damaskpick/internal/control/lender"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
	"damaskpick.example/damaskpick/internal/control/warmer"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// renewalsPerRetention is how often the rule file in force and the claims of held endpoints are appended again within the log's
// retention.
const renewalsPerRetention = 4

// systems returns the systems in the order in which a tick runs them. See docs/design.md, section 5.
func (n *node) systems(settings loader.Settings, world *modeler.World) []modeler.System {
	renew := settings.Platform.LogRetention.Std() / renewalsPerRetention
	permits := warmer.New(warmer.Options{RenewInterval: renew, RequestTimeout: settings.Timeouts.Request.Std()})
	shares := lender.New(lender.Options{
		MayHandOver:       n.lifecycle.callersDone.Load,
		RequestsCancelled: func(node modeler.NodeID) bool { return permits.RequestsCancelled(time.Now(), world, node) },
	})
	nodes := detector.New(detector.Options{
		Ledger: shares, Seeds: settings.Peers, MayDepart: n.lifecycle.mayDepart,
		CompleteDigest: func(digest *modeler.Digest) {
			digest.Endpoints = warmer.Digests(world)
			digest.Quarantined = admitter.Quarantines(time.Now(), world)
		},
	})
	n.lifecycle.detector = nodes
	calls := deduplicator.New(deduplicator.Options{Retention: settings.Platform.LogRetention.Std()})
	n.lifecycle.pending = calls.Pending
	rules := applier.New(applier.Options{
		RenewInterval: renew, NewPublishID: newID,
		OnInvalid: func(version modeler.Version, err error) {
			n.log.Error().Int64("version", int64(version)).Err(err).Msg("published rule file is invalid")
		},
	})
	return []modeler.System{nodes, rules, shares, permits, calls, newAdmitter(settings, permits), n.lifecycle}
}

// newAttempt returns a unique attempt ID for a request.
func newAttempt(r modeler.Request) modeler.AttemptID { return admitter.NewAttemptID(r.ID, newID()) }

// newAdmitter returns the admission system with the routing policy of the settings.
func newAdmitter(settings loader.Settings, permits admitter.PermitGranter) modeler.System {
	weights := settings.Weights()
	switch settings.Policy.Routing {
	case loader.RoutingRoundRobin:
		return admitter.New(weights, permits, newAttempt,
			func(_ *admitter.PrefixCache, used func(modeler.EndpointID) uint64) router.RoundRobin {
				return router.RoundRobin{TimesChosen: used}
			})
	case loader.RoutingLeastLoaded:
		return admitter.New(weights, permits, newAttempt,
			func(*admitter.PrefixCache, func(modeler.EndpointID) uint64) router.LeastLoaded {
				return router.LeastLoaded{}
			})
	default:
		return admitter.New(weights, permits, newAttempt,
			func(cache *admitter.PrefixCache, _ func(modeler.EndpointID) uint64) router.LengthAware {
				return router.LengthAware{Weights: weights, DataCentre: settings.Node.DataCentre, CachedOn: cache.Get}
			})
	}
}
