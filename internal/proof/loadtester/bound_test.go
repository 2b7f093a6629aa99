package loadtester

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fluidJob is work that may be done in arbitrary parts, by any number of engines at once, from release to end.
type fluidJob struct {
	release, end time.Duration
	work         time.Duration
	// gain is the value of all the work; a part of the work has a part of the value.
	gain float64
}

// feasible reports whether engines that together do rate seconds of work a second can complete the jobs. It plays them by earliest end, which
// completes all jobs if any order does.
func feasible(jobs []fluidJob, rate float64) bool {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b fluidJob) int { return cmp.Compare(a.release, b.release) })
	var open []fluidJob
	now := time.Duration(0)
	for i := 0; i < len(jobs) || len(open) > 0; {
		if len(open) == 0 && now < jobs[i].release {
			now = jobs[i].release
		}
		for ; i < len(jobs) && jobs[i].release <= now; i++ {
			at, _ := slices.BinarySearchFunc(open, jobs[i], func(a, b fluidJob) int { return cmp.Compare(a.end, b.end) })
			open = slices.Insert(open, at, jobs[i])
		}
		done := now + time.Duration(float64(open[0].work)/rate)
		if i < len(jobs) && jobs[i].release < done {
			open[0].work -= time.Duration(float64(jobs[i].release-now) * rate)
			now = jobs[i].release
			continue
		}
		if done > open[0].end {
			return false
		}
		now, open = done, open[1:]
	}
	return true
}

// fluidBound returns an upper bound of the gain that any schedule earns. Parts of jobs are accepted by decreasing gain per work as long as the
// accepted parts are feasible, which is optimal for fluid jobs.
func fluidBound(jobs []fluidJob, rate float64) float64 {
	slices.SortStableFunc(jobs, func(a, b fluidJob) int {
		return cmp.Compare(b.gain/b.work.Seconds(), a.gain/a.work.Seconds())
	})
	var accepted []fluidJob
	total := 0.0
	for _, job := range jobs {
		low, high := 0.0, 1.0
		fits := func(part float64) bool {
			partly := job
			partly.work = time.Duration(part * float64(job.work))
			return feasible(append(slices.Clone(accepted), partly), rate)
		}
		if fits(1) {
			low = 1
		} else {
			for range 6 {
				if middle := (low + high) / 2; fits(middle) {
					low = middle
				} else {
					high = middle
				}
			}
			// The part that fits lies between low and high; the larger one keeps the result an upper bound.
			total += (high - low) * job.gain
		}
		total += low * job.gain
		job.work = time.Duration(low * float64(job.work))
		if low > 0 {
			accepted = append(accepted, job)
		}
	}
	return total
}

// bound returns an upper bound of the worth that any placement earns under a pattern, as a share of the worth of all requests. It is the smaller
// one of two relaxations: the engines as one that reads all prompts without disturbing those who write, and the slots as one pool that each
// request occupies for the shortest time. Requests of a class that arrive in the same interval are one fluid job.
func bound(p pattern, arrivals []arrival) float64 {
	const interval = 200 * time.Millisecond
	profile := newFleet(site{stride: p.site.stride}, 0, steady).service.Engine
	type key struct {
		class string
		slice time.Duration
	}
	reads, slots := map[key]fluidJob{}, map[key]fluidJob{}
	owed, late := 0.0, 0.0
	for _, a := range arrivals {
		k := key{a.class.name, a.at / interval}
		release := k.slice * interval
		gain := a.size() * (a.class.worth - a.class.lateWorth)
		owed, late = owed+a.size()*a.class.worth, late+a.size()*a.class.lateWorth
		read := profile.PrefillTime(a.prompt)
		writing := time.Duration(a.events) * profile.BasePassTime()
		due := release + interval + a.class.target
		reads[k] = fluidJob{release, due, reads[k].work + read, reads[k].gain + gain}
		slots[k] = fluidJob{release, due + writing, slots[k].work + writing, slots[k].gain + gain}
	}
	list := func(jobs map[key]fluidJob) []fluidJob {
		all := make([]fluidJob, 0, len(jobs))
		for _, job := range jobs {
			all = append(all, job)
		}
		slices.SortFunc(all, func(a, b fluidJob) int {
			return cmp.Or(cmp.Compare(a.release, b.release), cmp.Compare(a.work, b.work))
		})
		return all
	}
	engines := float64(p.site.engines)
	gain := min(fluidBound(list(reads), engines), fluidBound(list(slots), engines*float64(p.site.slots)))
	return (late + gain) / owed
}

// TestFluidBound guards against a bound that is below what a schedule earns.
func TestFluidBound(t *testing.T) {
	tests := []struct {
		name string
		jobs []fluidJob
		want float64
	}{
		{"none", nil, 0},
		{"fits", []fluidJob{{0, 2 * time.Second, time.Second, 1}, {0, time.Second, time.Second, 1}}, 2},
		{"the denser one first", []fluidJob{{0, time.Second, time.Second, 1}, {0, time.Second, time.Second, 3}}, 3},
		{"makes room in an earlier window", []fluidJob{{0, time.Second, 500 * time.Millisecond, 3}, {0, 2 * time.Second, 1500 * time.Millisecond, 6}}, 9},
		{"half of a job", []fluidJob{{0, time.Second, 2 * time.Second, 4}}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := fluidBound(tt.jobs, 1)
			assert.Assert(t, got >= tt.want && got < tt.want+0.2, "%v", got)
		})
	}
}
