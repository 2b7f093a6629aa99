package striker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/operator/presenter"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// startsBetween returns how many requests the engines started between two times. A zero time is no bound.
func (h *harness) startsBetween(engines []*launcher.Process, from, to time.Time) (count int) {
	h.Helper()
	for _, e := range engines {
		for _, start := range h.history(e).Starts {
			if start.At.After(from) && (to.IsZero() || start.At.Before(to)) {
				count++
			}
		}
	}
	return count
}

// engines returns the engines of a data centre.
func (h *harness) engines(dataCentre string) (found []*launcher.Process) {
	for _, e := range h.fleet.Engines {
		if string(e.DataCentre) == dataCentre {
			found = append(found, e)
		}
	}
	return found
}

// postJSON sends value as JSON to a stand-in.
func (h *harness) postJSON(url string, value any) {
	h.Helper()
	body, err := json.Marshal(value)
	assert.NilError(h, err)
	response, err := h.client.Post(url, "application/json", bytes.NewReader(body))
	assert.NilError(h, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	assert.Assert(h, response.StatusCode < 300, "%s: status %d", url, response.StatusCode)
}

func (h *harness) setFaults(p *launcher.Process, faults any) {
	h.Helper()
	assert.NilError(h, h.fleet.SetFaults(h.ctx, p, faults))
}

// newWorkLimit bounds the time in which a data centre that was taken out of service, or a leaving endpoint, still gets new work.
const newWorkLimit = 3 * time.Second

// rulesLimit bounds the time until an accepted rule file is in effect on all nodes.
const rulesLimit = 5 * time.Second

// publish publishes the rules of the layout with lines appended. It returns the new version and when it was accepted.
func (h *harness) publish(n *launcher.Process, id string, lines ...string) (int64, time.Time) {
	h.Helper()
	rules, err := h.operators[n.Name].Rules(h.ctx)
	assert.NilError(h, err)
	text := h.fleet.Layout.Rules() + strings.Join(lines, "")
	p, err := h.operators[n.Name].Publish(h.ctx, presenter.Draft{Base: rules.Version, Text: text, PublishID: id})
	assert.NilError(h, err)
	assert.Equal(h, p.Outcome, "Accepted", "%+v", p)
	return p.Version, time.Now()
}

// waitInEffect waits until all nodes report at least a version and returns how long that took.
func (h *harness) waitInEffect(version int64) time.Duration {
	h.Helper()
	return h.waitUntil(rulesLimit, fmt.Sprintf("version %d is in effect everywhere", version), func() error {
		for _, n := range h.fleet.Nodes {
			status, err := h.status(n)
			if err != nil {
				return err
			}
			if status.Rules.Version < version {
				return fmt.Errorf("%s has version %d", n.Name, status.Rules.Version)
			}
		}
		return nil
	})
}

// lastStart returns the time of the last request start on the engines before a time.
func (h *harness) lastStart(engines []*launcher.Process, before time.Time) (last time.Time) {
	h.Helper()
	for _, e := range engines {
		for _, start := range h.history(e).Starts {
			if start.At.Before(before) && start.At.After(last) {
				last = start.At
			}
		}
	}
	return last
}

// outDataCentre is the data centre that the scenarios take out of service.
const outDataCentre = "bud-a"

// dataCentreOut takes a data centre out of service under load and brings it back.
func dataCentreOut(h *harness) { h.takeDataCentreOut() }

// dataCentreOutDuringLogOutage does the same while two nodes cannot reach the log, one of which holds an engine of the data centre.
func dataCentreOutDuringLogOutage(h *harness) {
	names := []string{h.holder("engine-1").Name}
	for _, n := range h.fleet.Nodes {
		if string(n.DataCentre) != outDataCentre {
			names = append(names, n.Name)
			break
		}
	}
	h.setFaults(h.fleet.Log, map[string]any{"OutageFor": names})
	h.note("log cut off from %s", strings.Join(names, " and "))
	h.pause(time.Second)
	h.takeDataCentreOut(names...)
}

func (h *harness) takeDataCentreOut(cutOff ...string) {
	h.Helper()
	at := slices.IndexFunc(h.fleet.Nodes, func(n *launcher.Process) bool { return !slices.Contains(cutOff, n.Name) })
	publisher := h.fleet.Nodes[at]
	engines := h.engines(outDataCentre)
	wait := h.startLoad(13*time.Second, func(p *generator.Plan) { p.Rate = 40 })
	h.pause(2 * time.Second)
	version, out := h.publish(publisher, "out", "datacentre "+outDataCentre+" out # Anna, power works\n")
	h.note("out in effect everywhere after %s", round(h.waitInEffect(version)))
	h.pause(6*time.Second - time.Since(out))
	returned := time.Now()
	last := h.lastStart(engines, returned)
	h.note("last start %s after the publication", round(last.Sub(out)))
	assert.Assert(h, h.startsBetween(engines, time.Time{}, out) > 0, "the load did not reach the data centre before it was taken out")
	assert.Equal(h, h.startsBetween(engines, out.Add(newWorkLimit), returned), 0, "requests started later than the target")
	version, back := h.publish(publisher, "back")
	cold := h.waitUntil(rulesLimit, "the engines are back and cold", func() error { return h.checkBackAndCold(version) })
	h.note("back and cold after %s", round(cold))
	h.checkSamples(wait(), nil)
	h.note("%d starts after the return", h.startsBetween(engines, back, time.Time{}))
	assert.Assert(h, h.startsBetween(engines, back, time.Time{}) > 0, "no work after the return")
}

// checkBackAndCold returns an error unless the holder of every engine of the data centre reports the engine as in service and in a cold
// start. An engine is warm again after a few requests; useLongColdStarts makes that take longer than pollInterval, so that the cold phase
// is not missed. The scenario fails if an engine runs more requests than its cold limit.
func (h *harness) checkBackAndCold(version int64) error {
	for _, e := range h.engines(outDataCentre) {
		holder := h.holder(e.Name)
		status, err := h.status(holder)
		if err != nil {
			return err
		}
		at := slices.IndexFunc(status.Endpoints, func(endpoint presenter.EndpointStatus) bool { return endpoint.ID == e.Name })
		endpoint := status.Endpoints[at]
		if status.Rules.Version < version || endpoint.Out || endpoint.Phase != "Cold" {
			return fmt.Errorf("%s shows %s with version %d, out %t, %s", holder.Name, e.Name, status.Rules.Version, endpoint.Out, endpoint.Phase)
		}
		assert.Assert(h, endpoint.Running <= loader.DefaultColdLimit, "%s runs %d in a cold start", e.Name, endpoint.Running)
	}
	return nil
}

// useLongColdStarts makes a cold start last long enough to be observed.
func useLongColdStarts(l *launcher.Layout) { l.Policy.WarmCompletions = 8 }

// endpointLeaves marks an engine as leaving in the instance list while it runs long answers.
func endpointLeaves(h *harness) {
	wait := h.startLoad(8*time.Second, func(p *generator.Plan) { p.Rate, p.MeanOutput, p.MaxOutput = 25, 300, 600 })
	h.pause(2 * time.Second)
	leavingEngine := h.fleet.Engines[0]
	type instance struct{ Name, Address, Kind, DataCentre, State string }
	h.waitUntil(5*time.Second, "the leaving engine runs a request", func() error {
		running, err := h.running(leavingEngine)
		if err == nil && len(running.Requests) == 0 {
			err = errors.New("nothing runs there")
		}
		return err
	})
	h.postJSON(h.fleet.Instances.URL()+"/instances", map[string]any{"Instances": []instance{
		{leavingEngine.Name, leavingEngine.Address, "engine", string(leavingEngine.DataCentre), "leaving"},
	}})
	left := time.Now()
	running, err := h.running(leavingEngine)
	assert.NilError(h, err)
	h.checkSamples(wait(), nil)
	leavingEngines := []*launcher.Process{leavingEngine}
	h.note("%d running when it began to leave, last start %s after", len(running.Requests),
		round(h.lastStart(leavingEngines, time.Now()).Sub(left)))
	assert.Equal(h, h.startsBetween(leavingEngines, left.Add(newWorkLimit), time.Time{}), 0, "requests started later than the target")
}

// versionHistory holds the newest rules version that a node reported and a message for each report of an older one.
type versionHistory struct {
	newest  int64
	reverts []string
}

// watchVersions polls the rules version of every node until stop is closed. The returned function waits for that and returns a message for
// each version that decreased.
func (h *harness) watchVersions(stop <-chan struct{}) func() []string {
	seen := make([]versionHistory, len(h.fleet.Nodes))
	var group sync.WaitGroup
	for i, n := range h.fleet.Nodes {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				rules, err := h.operators[n.Name].Rules(h.ctx)
				if err == nil && rules.Version < seen[i].newest {
					seen[i].reverts = append(seen[i].reverts, fmt.Sprintf("%s: %d after %d", n.Name, rules.Version, seen[i].newest))
				}
				if err == nil {
					seen[i].newest = max(seen[i].newest, rules.Version)
				}
			}
		})
	}
	return func() (reverts []string) {
		group.Wait()
		for _, v := range seen {
			reverts = append(reverts, v.reverts...)
		}
		return reverts
	}
}

// operatorsRace has two operators publish from the same base version at once, four times. One must be accepted, the other get a conflict.
func operatorsRace(h *harness) {
	stop := make(chan struct{})
	reverts := h.watchVersions(stop)
	wait := h.startLoad(6*time.Second, nil)
	var slowest time.Duration
	for race := range 4 {
		base, err := h.operators[h.fleet.Nodes[0].Name].Rules(h.ctx)
		assert.NilError(h, err)
		results := make(chan presenter.Publication, 2)
		for i, n := range []*launcher.Process{h.fleet.Nodes[race%2], h.fleet.Nodes[3+race%3]} {
			go func() {
				draft := presenter.Draft{
					Base: base.Version, PublishID: fmt.Sprintf("race-%d-%d", race, i),
					Text: h.fleet.Layout.Rules() + fmt.Sprintf("endpoint engine-%d out # operator %d in round %d\n", 1+i, i, race),
				}
				p, err := h.operators[n.Name].Publish(h.ctx, draft)
				if err != nil {
					p.Reason = err.Error()
				}
				results <- p
			}()
		}
		first, second := <-results, <-results
		outcomes := []string{first.Outcome, second.Outcome}
		slices.Sort(outcomes)
		assert.DeepEqual(h, outcomes, []string{"Accepted", "Conflict"})
		assert.Equal(h, first.Version, second.Version, "the conflict names another version than the accepted one")
		slowest = max(slowest, h.waitInEffect(first.Version))
	}
	h.checkSamples(wait(), refusedNotRun)
	close(stop)
	assert.DeepEqual(h, reverts(), []string(nil))
	h.note("4 races, in effect everywhere after at most %s", round(slowest))
}
