package deduplicator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func callOf(attempt modeler.AttemptID) modeler.Call {
	return modeler.Call{Member: "m", Key: "k", KeyTime: noon, BodyHash: 1, Attempt: attempt, Deadline: noon.Add(10 * time.Second)}
}

func intent(a modeler.AttemptID) any  { return modeler.CallIntent{Call: callOf(a)} }
func aborted(a modeler.AttemptID) any { return modeler.CallAborted{Call: callOf(a)} }
func finished(a modeler.AttemptID) any {
	return modeler.CallFinished{Call: callOf(a), Outcome: answered}
}

var answered = modeler.CallOutcome{Ran: true, Known: true, Status: 201}

// TestTransitions guards against two owners of a key, a voided intent that acquires a key, and an abort that does not free the key.
func TestTransitions(t *testing.T) {
	cases := []struct {
		name    string
		records []any
		phase   keyPhase
		attempt modeler.AttemptID
	}{
		{"first intent acquires the key", []any{intent("a"), intent("b")}, owned, "a"},
		{"abort of the owner frees the key", []any{intent("a"), aborted("a")}, free, ""},
		{"next intent after the abort acquires the key", []any{intent("a"), aborted("a"), intent("b")}, owned, "b"},
		{"abort before its intent voids the intent", []any{aborted("a"), intent("a")}, free, ""},
		{"abort of another attempt changes nothing", []any{intent("a"), aborted("b")}, owned, "a"},
		{"voided intent stays voided after the key is free", []any{intent("a"), intent("b"), aborted("a"), intent("b")}, free, ""},
		{"outcome completes the key", []any{intent("a"), finished("a")}, done, "a"},
		{"intent after the outcome is voided", []any{intent("a"), finished("a"), intent("b")}, done, "a"},
		{"abort after the outcome changes nothing", []any{intent("a"), finished("a"), aborted("a")}, done, "a"},
		{"outcome without its intent", []any{finished("a")}, done, "a"},
		{"second outcome changes nothing", []any{finished("a"), finished("b")}, done, "a"},
		{"unknown record type is ignored", []any{intent("a"), struct{}{}}, owned, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Retention: time.Hour})
			run(d, 0, read(c.records...))
			state, _ := d.keys.Get(keyOf(callOf("")))
			assert.Equal(t, state.phase, c.phase)
			assert.Equal(t, state.attempt, c.attempt)
		})
	}
}

func read(values ...any) modeler.RecordsRead {
	e := modeler.RecordsRead{Stream: modeler.StreamCalls, AtEnd: true}
	for _, v := range values {
		e.Records = append(e.Records, modeler.Record{Time: noon, Value: v})
	}
	return e
}

func failed(record any, notAppended bool) modeler.AppendEnded {
	return modeler.AppendEnded{Stream: modeler.StreamCalls, Record: record, Failed: true, NotAppended: notAppended}
}

// intend returns the event for the call of attempt "a", modified by change if it is not nil.
func intend(change func(c *modeler.Call)) modeler.CallArrived {
	c := callOf("a")
	if change != nil {
		change(&c)
	}
	return modeler.CallArrived{Call: c}
}

// run runs one tick at noon plus after and returns a description of its effects.
func run(d *System, after time.Duration, events ...modeler.Event) string {
	world := modeler.NewWorld(modeler.Self{})
	world.FenceUntil = noon.Add(24 * time.Hour)
	tick := &modeler.Tick{Now: noon.Add(after), Events: events, Rand: rand.New(rand.NewPCG(1, 1))}
	d.Run(tick, world)
	var effects []string
	for _, effect := range tick.Effects() {
		switch e := effect.(type) {
		case modeler.AppendRecord:
			effects = append(effects, strings.TrimPrefix(fmt.Sprintf("%T", e.Record), "modeler."))
		case modeler.ReplyCall:
			switch {
			case e.Decision.Run:
				effects = append(effects, "Run")
			case e.Decision.Outcome != nil:
				effects = append(effects, fmt.Sprintf("Outcome %d %d", e.Decision.Outcome.Status, len(e.Decision.Outcome.Body)))
			default:
				effects = append(effects, fmt.Sprintf("%s %s", e.Decision.Refusal.Code, e.Decision.Refusal.Run))
			}
		}
	}
	return strings.Join(effects, ", ")
}

// TestAnswers guards against a wrong decision or a missing record in each state of a key, of an attempt and of the log.
func TestAnswers(t *testing.T) {
	const s = time.Second
	type tick struct {
		after time.Duration
		event modeler.Event
		want  string
	}
	up, down := read(), modeler.LogFailed{Stream: modeler.StreamCalls}
	known := func(known bool) modeler.CallFinished {
		return modeler.CallFinished{Call: callOf("b"), Outcome: modeler.CallOutcome{Ran: true, Known: known, Status: 201}}
	}
	otherBody := func(c *modeler.Call) { c.BodyHash = 2 }
	keyTime := func(age time.Duration) modeler.CallArrived {
		return intend(func(c *modeler.Call) { c.KeyTime, c.Key, c.Attempt = noon.Add(-age), age.String(), "d" })
	}
	ended := func(o modeler.CallOutcome) modeler.CallEnded { return modeler.CallEnded{Call: callOf("a"), Outcome: o} }
	large := modeler.CallOutcome{Ran: true, Known: true, Status: 201, Body: make([]byte, MaxBodyBytes+1)}
	gap := read(intent("b"))
	gap.Skipped = true
	again := intend(func(c *modeler.Call) { c.Attempt = "c" })
	cases := []struct {
		name  string
		ticks []tick
	}{
		{"stream not read yet", []tick{{0, intend(nil), "LogUnavailable NotRun"}}},
		{"end of the stream not read yet", []tick{{0, modeler.RecordsRead{Stream: modeler.StreamCalls}, ""}, {0, intend(nil), "LogUnavailable NotRun"}}},
		{"only another stream was read", []tick{{0, modeler.RecordsRead{Stream: modeler.StreamRules, AtEnd: true}, ""}, {0, intend(nil), "LogUnavailable NotRun"}}},
		{"log fails and recovers", []tick{{0, up, ""}, {0, down, ""}, {0, intend(nil), "LogUnavailable NotRun"}, {0, up, ""}, {0, intend(nil), "CallIntent"}}},
		{"recorded outcome while the log fails", []tick{{0, read(known(true)), ""}, {0, down, ""}, {0, intend(nil), "Outcome 201 0"}}},
		{"recorded outcome without a response", []tick{{0, read(known(false)), ""}, {0, intend(nil), "OutcomeUnknown Unknown"}}},
		{"key done with another body", []tick{{0, read(known(true)), ""}, {0, intend(otherBody), "KeyReused NotRun"}}},
		{"key owned", []tick{{0, read(intent("b")), ""}, {0, intend(nil), "CallInProgress Unknown"}, {0, intend(otherBody), "KeyReused NotRun"}}},
		{"key owned beyond the deadline", []tick{{0, read(intent("b")), ""}, {10 * s, intend(nil), "OutcomeUnknown Unknown"}}},
		{"deadline passed", []tick{{0, up, ""}, {10 * s, intend(nil), "DeadlineExceeded NotRun"}}},
		{"node fenced", []tick{{0, up, ""}, {25 * time.Hour, intend(func(c *modeler.Call) { c.Deadline = noon.Add(26 * time.Hour) }), "NodeFenced NotRun"}}},
		{"key at the age limit", []tick{{0, up, ""}, {0, keyTime(57 * time.Minute), "KeyExpired Unknown"}, {0, keyTime(57*time.Minute - 1), "CallIntent"}}},
		{"key in the future", []tick{{0, up, ""}, {0, keyTime(-time.Minute - 1), "KeyInvalid NotRun"}, {0, keyTime(-time.Minute), "CallIntent"}}},
		{"records dropped before they were read", []tick{{0, gap, ""}, {0, keyTime(-time.Minute), "KeyExpired Unknown"}}},
		{"records dropped before the intent was read", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, modeler.RecordsRead{
			Stream: modeler.StreamCalls, Skipped: true, Records: []modeler.Record{{Time: noon, Value: intent("a")}},
		}, "CallAborted"}, {s, nil, "KeyExpired Unknown"}}},
		{"run, replayed, recorded", []tick{
			{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, again, "CallInProgress Unknown"}, {0, read(intent("a")), "Run"}, {0, again, "CallInProgress Unknown"},
			{s, ended(answered), "CallFinished"}, {s, again, "Outcome 201 0"}, {5 * s, nil, ""}, {6 * s, nil, "CallFinished"},
			{6 * s, failed(finished("a"), false), ""}, {7 * s, nil, "CallFinished"}, {7 * s, read(finished("a")), ""}, {20 * s, nil, ""}, {20 * s, again, "Outcome 201 0"},
		}},
		{"body exceeds the limit", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, read(intent("a")), "Run"}, {0, ended(large), "CallFinished"}, {0, again, "Outcome 201 0"}}},
		{"another intent is first", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, read(intent("b"), intent("a")), "CallInProgress Unknown"}}},
		{"another outcome is first", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, read(intent("b"), known(true), intent("a")), "Outcome 201 0"}}},
		{"log refuses the intent", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, failed(intent("a"), true), "LogUnavailable NotRun"}}},
		{"acknowledgement of the intent lost", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, failed(intent("a"), false), ""}, {s, read(intent("a")), "Run"}}},
		{"intent late, abort read back", []tick{
			{0, up, ""}, {0, intend(nil), "CallIntent"}, {2*s - 1, nil, ""}, {2 * s, nil, "CallAborted"}, {2 * s, again, "LogUnavailable NotRun"},
			{2 * s, read(intent("a")), ""}, {2 * s, read(aborted("a")), "LogUnavailable NotRun"}, {2 * s, again, "CallIntent"},
		}},
		{"intent late, abort not read back", []tick{
			{0, up, ""}, {0, intend(nil), "CallIntent"}, {2 * s, nil, "CallAborted"}, {3 * s, nil, "LogUnavailable NotRun"}, {4 * s, read(intent("a")), ""},
			{7 * s, nil, "CallAborted"}, {7 * s, read(aborted("a")), ""}, {7 * s, again, "CallIntent"},
		}},
		{"intent read back after the deadline", []tick{{0, up, ""}, {0, intend(nil), "CallIntent"}, {10 * s, read(intent("a")), "DeadlineExceeded NotRun, CallAborted"}}},
		{"call not sent", []tick{
			{0, up, ""}, {0, intend(nil), "CallIntent"}, {0, read(intent("a")), "Run"}, {0, ended(modeler.CallOutcome{}), "CallAborted"}, {0, read(aborted("a")), ""}, {0, again, "CallIntent"},
		}},
		{"key expires after the retention", []tick{{0, read(known(true)), ""}, {59 * time.Minute, intend(nil), "Outcome 201 0"}, {61 * time.Minute, nil, ""}, {61 * time.Minute, intend(func(c *modeler.Call) { c.Deadline = noon.Add(2 * time.Hour) }), "KeyExpired Unknown"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Retention: time.Hour})
			for i, k := range c.ticks {
				var events []modeler.Event
				if k.event != nil {
					events = append(events, k.event)
				}
				assert.Equal(t, run(d, k.after, events...), k.want, "tick %d", i)
			}
		})
	}
}

// TestMemoryIsBounded guards against keys, bodies or list entries that are stored beyond the retention or exceed the budget.
func TestMemoryIsBounded(t *testing.T) {
	d := New(Options{Retention: time.Hour, BodyBudget: 250})
	for i := range 300 {
		c := callOf(modeler.AttemptID(fmt.Sprint("a", i)))
		c.Key, c.KeyTime = fmt.Sprint("k", i), noon.Add(time.Duration(i)*time.Minute)
		run(d, time.Duration(i)*time.Minute, read(modeler.CallFinished{Call: c, Outcome: modeler.CallOutcome{Known: true, Body: make([]byte, 100)}}))
		assert.Assert(t, d.keys.Len() <= 62 && d.bodyBytes <= 250 && len(d.bodyKeys) <= 62, "%d keys, %d bytes", d.keys.Len(), d.bodyBytes)
	}
	run(d, 24*time.Hour, read())
	assert.Equal(t, d.keys.Len()+d.bodyBytes+d.localAttempts.Len()+d.attempts.Len(), 0)
}
