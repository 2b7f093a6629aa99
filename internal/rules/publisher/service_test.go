package publisher_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

const text = "fleet tokens=1000 # a\nshare x percent=10 # a\nshare y percent=10 # a\n"

func edit(old, replacement string) string { return strings.Replace(text, old, replacement, 1) }

func publish(id string, base modeler.Version, text string) modeler.RulesPublished {
	return modeler.RulesPublished{PublishID: id, Base: base, Author: "op-" + id, Text: text}
}

// appendFault is the fault of one append.
type appendFault struct {
	// before holds records of other operators that are stored ahead of the record.
	before []modeler.RulesPublished
	// lost drops the record; late stores it only at the second read after the append; unacknowledged stores it. All three make the
	// append return an error.
	lost, late, unacknowledged bool
}

// fakeLog keeps the rules stream in memory. Faults apply to appends in order.
type fakeLog struct {
	mu      sync.Mutex
	records []modeler.Record
	// trimmed counts the oldest records that are no longer kept.
	trimmed     int
	faults      []appendFault
	late        []modeler.RulesPublished
	reads       int
	appends     int
	unavailable bool
}

var errLog = errors.New("log unavailable")

func (l *fakeLog) store(values ...modeler.RulesPublished) {
	for _, v := range values {
		l.records = append(l.records, modeler.Record{Offset: int64(len(l.records) + 1), Value: v})
	}
}

func (l *fakeLog) Append(_ context.Context, _ modeler.Stream, record any) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	var fault appendFault
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	l.store(fault.before...)
	switch {
	case fault.late:
		l.late, l.reads = append(l.late, record.(modeler.RulesPublished)), 0
	case !fault.lost:
		l.store(record.(modeler.RulesPublished))
	}
	if fault.lost || fault.late || fault.unacknowledged {
		return 0, errLog
	}
	return int64(len(l.records)), nil
}

func (l *fakeLog) Read(_ context.Context, _ modeler.Stream, from int64, limit int) ([]modeler.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, 0, errLog
	}
	if l.reads++; l.reads >= 2 {
		l.store(l.late...)
		l.late = nil
	}
	start := min(max(int(from)-1, l.trimmed), len(l.records))
	return append([]modeler.Record(nil), l.records[start:min(start+limit, len(l.records))]...), int64(len(l.records) + 1), nil
}

// TestPublish guards against an accepted draft that is not in effect, a false conflict, a draft that takes effect twice, and a
// conflict without the rules that differ.
func TestPublish(t *testing.T) {
	first := publish("p1", 0, text)
	competing := publish("p9", 1, edit("x percent=10", "x percent=20"))
	draft := publisher.Draft{PublishID: "p2", Base: 1, Author: "op-p2", Text: edit("x percent=10", "x percent=30")}
	mine := publish("p2", 1, draft.Text)
	conflict := []string{"share x: share x percent=30 / share x percent=20"}
	tests := []struct {
		name        string
		log         []modeler.RulesPublished
		trimmed     int
		faults      []appendFault
		known       modeler.Version
		want        publisher.Outcome
		version     modeler.Version
		conflicts   []string
		wantAppends int
	}{
		{"first in order", []modeler.RulesPublished{first}, 0, nil, 1, publisher.Accepted, 2, nil, 1},
		{"node lags behind the base", []modeler.RulesPublished{first}, 0, nil, 0, publisher.Accepted, 2, nil, 1},
		{"another operator is first", []modeler.RulesPublished{first}, 0, []appendFault{{before: []modeler.RulesPublished{competing}}}, 1, publisher.Conflicting, 2, conflict, 1},
		{"another operator was first, node lags", []modeler.RulesPublished{first, competing}, 0, nil, 1, publisher.Conflicting, 2, conflict, 0},
		{"another operator was first, node knows", []modeler.RulesPublished{first, competing}, 0, nil, 2, publisher.Conflicting, 2, conflict, 0},
		{"acknowledgement lost", []modeler.RulesPublished{first}, 0, []appendFault{{unacknowledged: true}}, 1, publisher.Accepted, 2, nil, 1},
		{"appended late without acknowledgement", []modeler.RulesPublished{first}, 0, []appendFault{{late: true}}, 1, publisher.Accepted, 2, nil, 1},
		{"never appended", []modeler.RulesPublished{first}, 0, []appendFault{{lost: true}}, 1, publisher.Unknown, 0, nil, 1},
		{"never appended, unlike the record of another operator", []modeler.RulesPublished{first}, 0, []appendFault{{lost: true, before: []modeler.RulesPublished{competing}}}, 1, publisher.Conflicting, 2, conflict, 1},
		{"repeated after it was appended", []modeler.RulesPublished{first, mine}, 0, nil, 2, publisher.Accepted, 2, nil, 0},
		{"repeated after it was replaced", []modeler.RulesPublished{first, mine, publish("p3", 2, text)}, 0, nil, 3, publisher.Accepted, 2, nil, 0},
		{"appended twice", []modeler.RulesPublished{first, mine, mine}, 0, nil, 1, publisher.Accepted, 2, nil, 0},
		{"renewals do not count", []modeler.RulesPublished{first, {PublishID: "r", Base: 1, Renews: 1, Text: text}}, 0, nil, 1, publisher.Accepted, 3, nil, 1},
		{"base no longer kept but in effect", []modeler.RulesPublished{first, {PublishID: "r", Base: 1, Renews: 1, Text: text}}, 1, nil, 1, publisher.Accepted, 3, nil, 1},
		{"base replaced and no longer kept", []modeler.RulesPublished{first, competing}, 1, nil, 2, publisher.Unknown, 0, nil, 0},
		{"all records gone, base in effect", []modeler.RulesPublished{first}, 1, nil, 1, publisher.Accepted, 2, nil, 1},
		{"all records gone, node knows no version", []modeler.RulesPublished{first}, 1, nil, 0, publisher.Unknown, 0, nil, 0},
		{"node misses versions no longer kept", []modeler.RulesPublished{first, competing, publish("p3", 2, text)}, 2, nil, 1, publisher.Unknown, 0, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := &fakeLog{faults: tt.faults, trimmed: tt.trimmed}
			log.store(tt.log...)
			known := modeler.Rules{}
			if tt.known > 0 {
				known = modeler.Rules{Version: tt.known, Text: tt.log[tt.known-1].Text}
			}
			options := publisher.Options{Timeout: time.Minute, Pause: time.Millisecond}
			if tt.want == publisher.Unknown {
				options.Timeout = 30 * time.Millisecond
			}
			service := publisher.New(log, func() modeler.Rules { return known }, options)
			result, err := service.Publish(t.Context(), draft)
			assert.NilError(t, err)
			assert.Equal(t, result.Outcome, tt.want, "%v", result.Cause)
			assert.Equal(t, result.Version, tt.version)
			var conflicts []string
			for _, c := range result.Conflicts {
				conflicts = append(conflicts, c.Identity+": "+c.Ours.Text+" / "+c.Theirs.Text)
			}
			assert.DeepEqual(t, conflicts, tt.conflicts)
			assert.Equal(t, log.appends, tt.wantAppends)
		})
	}
}

// TestPublishRefuses guards against invalid drafts that are appended to the log.
func TestPublishRefuses(t *testing.T) {
	records := []modeler.RulesPublished{publish("p1", 0, text), publish("void", 0, text), publish("p2", 1, text)}
	good := publisher.Draft{PublishID: "p3", Base: 3, Author: "op", Text: text}
	tests := []struct {
		name  string
		known modeler.Version
		draft func(publisher.Draft) publisher.Draft
		want  string
	}{
		{"faulty file", 3, func(d publisher.Draft) publisher.Draft { d.Text = "endpoint e out"; return d }, "1:15: endpoint: needs a comment that says who asked: # NAME"},
		{"no publish id", 3, func(d publisher.Draft) publisher.Draft { d.PublishID = ""; return d }, "the draft cannot be published: the publish id is empty"},
		{"no author", 3, func(d publisher.Draft) publisher.Draft { d.Author = ""; return d }, "the draft cannot be published: the author is empty"},
		{"base beyond the end of the log", 3, func(d publisher.Draft) publisher.Draft { d.Base = 9; return d }, "the draft cannot be published: the base 9 was never in effect"},
		{"base of an ignored record", 3, func(d publisher.Draft) publisher.Draft { d.Base = 2; return d }, "the draft cannot be published: the base 2 was never in effect"},
		{"base of an ignored record, node lags", 1, func(d publisher.Draft) publisher.Draft { d.Base = 2; return d }, "the draft cannot be published: the base 2 was never in effect"},
		{"publish id of another draft", 3, func(d publisher.Draft) publisher.Draft { d.PublishID, d.Base = "p2", 1; return d }, "the draft cannot be published: the publish id was used for another draft"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := &fakeLog{}
			log.store(records...)
			known := modeler.Rules{Version: tt.known, Text: text}
			_, err := publisher.New(log, func() modeler.Rules { return known }, publisher.Options{}).Publish(t.Context(), tt.draft(good))
			var findings collector.FindingsError
			assert.Assert(t, errors.As(err, &findings) || errors.As(err, new(publisher.DraftError)), "%v", err)
			assert.Assert(t, strings.HasPrefix(err.Error(), tt.want), "%v", err)
			assert.Equal(t, log.appends, 0)
		})
	}
}

// TestPublishWithLogDown guards against an outcome that says not published while an earlier attempt may have been appended.
func TestPublishWithLogDown(t *testing.T) {
	service := publisher.New(&fakeLog{unavailable: true}, func() modeler.Rules { return modeler.Rules{} }, publisher.Options{})
	result, err := service.Publish(t.Context(), publisher.Draft{PublishID: "p", Author: "op", Text: text})
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, publisher.Unknown)
	assert.ErrorIs(t, result.Cause, errLog)
}

// TestPublishRace guards against two drafts with the same base that are both reported as accepted.
func TestPublishRace(t *testing.T) {
	log := &fakeLog{faults: []appendFault{{unacknowledged: true}, {late: true}, {}, {unacknowledged: true}}}
	service := publisher.New(log, func() modeler.Rules { return modeler.Rules{} }, publisher.Options{Timeout: time.Minute, Pause: time.Millisecond})
	ids := []string{"a", "b", "c", "d", "e", "f"}
	results := make([]publisher.Result, len(ids))
	var group errgroup.Group
	for i, id := range ids {
		group.Go(func() (err error) {
			results[i], err = service.Publish(t.Context(), publisher.Draft{PublishID: id, Author: "op-" + id, Text: edit("percent=10", "percent=1"+string(rune('1'+i)))})
			return err
		})
	}
	assert.NilError(t, group.Wait())
	accepted := 0
	for _, r := range results {
		assert.Equal(t, r.Version, modeler.Version(1))
		if r.Outcome == publisher.Accepted {
			accepted++
		} else {
			assert.Equal(t, r.Outcome, publisher.Conflicting)
		}
	}
	assert.Equal(t, accepted, 1)
}
