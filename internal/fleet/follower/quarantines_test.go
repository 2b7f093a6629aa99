package follower_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/follower"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// keyedStore is a store with one keyed topic, whose first calls fail.
type keyedStore struct {
	mu       sync.Mutex
	failures int
	values   map[string][]byte
	// end, if set, is called by the first listing.
	end   context.CancelFunc
	calls int
	// appends counts the calls of Append that succeeded.
	appends int
}

func (s *keyedStore) call() error {
	s.calls++
	if s.failures > 0 {
		s.failures--
		return errors.New("busy")
	}
	return nil
}

func (s *keyedStore) Read(context.Context, string, modeler.Position, time.Duration) (modeler.Page, error) {
	return modeler.Page{}, errors.New("not expected")
}

func (s *keyedStore) Newest(context.Context, string) (modeler.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		defer s.end()
	}
	var page modeler.Page
	for key, value := range s.values {
		page.Records = append(page.Records, modeler.Record{Key: key, Value: value})
	}
	return page, s.call()
}

func (s *keyedStore) Append(_ context.Context, _, key string, value []byte) (modeler.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return 0, err
	}
	s.appends++
	if len(value) == 0 {
		delete(s.values, key)
	} else {
		s.values[key] = value
	}
	return 0, nil
}

func (s *keyedStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *keyedStore) keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values)
}

// TestQuarantinesOutliveTheirWriter guards against a quarantine that a node which starts later does not know, or knows in part, and against records that
// stay in the store for good.
func TestQuarantinesOutliveTheirWriter(t *testing.T) {
	request := modeler.Suspect{Fingerprint: 1 << 63, Count: 3}
	part := modeler.Suspect{
		Fingerprint: 8, Count: 4, SharedPart: true, Companions: []modeler.Fingerprint{8, 9}, Requests: []modeler.Fingerprint{1, 2, 3},
		Quarantines: 2, Probe: modeler.ProbeReport{Quarantine: 2, Number: 3, ID: "r/0/a", State: modeler.ProbeBroke},
	}
	minute := func(s modeler.Suspect) modeler.SaveQuarantine {
		return modeler.SaveQuarantine{Suspect: s, Until: time.Now().Add(time.Minute)}
	}
	tests := []struct {
		name     string
		failures int
		effects  []modeler.Effect
		foreign  string
		want     []modeler.Suspect
		// kept is the number of records that the store holds in the end.
		kept int
	}{
		{"request", 0, []modeler.Effect{minute(request)}, "", []modeler.Suspect{request}, 1},
		{"shared part", 0, []modeler.Effect{minute(part)}, "", []modeler.Suspect{part}, 1},
		{"the store fails at first", 1, []modeler.Effect{minute(request)}, "", []modeler.Suspect{request}, 1},
		{"the newest one", 0, []modeler.Effect{minute(modeler.Suspect{Fingerprint: 8}), minute(part)}, "", []modeler.Suspect{part}, 1},
		{"lifted", 0, []modeler.Effect{minute(part), minute(request), modeler.DeleteQuarantine{Fingerprint: 8}}, "", []modeler.Suspect{request}, 1},
		{
			"ended", 0, []modeler.Effect{modeler.SaveQuarantine{Suspect: part, Until: time.Now().Add(-time.Second)}, minute(request)}, "",
			[]modeler.Suspect{request}, 1,
		},
		{
			"beside a record of an earlier version", 0, []modeler.Effect{minute(request)},
			fmt.Sprintf(`{"Count":4,"SharedPart":true,"Confirmed":true,"UntilUnixMilli":%d}`, time.Now().Add(time.Minute).UnixMilli()),
			[]modeler.Suspect{
				{Fingerprint: 0xf00, Count: 4, SharedPart: true, Probe: modeler.ProbeReport{Quarantine: 1, Number: 1, State: modeler.ProbeBroke}}, request,
			}, 2,
		},
		{"beside a record of another writer", 0, []modeler.Effect{minute(request)}, `{"Count":`, []modeler.Suspect{request}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := &keyedStore{failures: tt.failures, values: map[string][]byte{}}
			if tt.foreign != "" {
				store.values["f00"] = []byte(tt.foreign)
			}
			events := make(chan modeler.Event, 8)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			run := func(q *follower.Quarantines) {
				running.Go(func() { assert.Check(t, errors.Is(q.Run(ctx), context.Canceled)) })
			}
			defer running.Wait()
			defer cancel()
			post := func(e modeler.Event) { events <- e }
			writer, reader := follower.NewQuarantines(store, "t", post), follower.NewQuarantines(store, "t", post)
			keys := map[modeler.Fingerprint]bool{}
			for _, effect := range tt.effects {
				switch effect := effect.(type) {
				case modeler.SaveQuarantine:
					keys[effect.Suspect.Fingerprint] = true
					writer.Save(effect)
				case modeler.DeleteQuarantine:
					keys[effect.Fingerprint] = true
					writer.Delete(effect)
				}
			}
			// All effects are queued before the writer runs, so that it writes each key once.
			run(writer)
			deadline := time.After(10 * time.Second)
			poll := time.NewTicker(10 * time.Millisecond)
			defer poll.Stop()
			for store.written() < len(keys) {
				select {
				case <-poll.C:
				case <-deadline:
					t.Fatal("nothing was written")
				}
			}
			reader.Fetch()
			run(reader)
			select {
			case event := <-events:
				got := event.(modeler.QuarantinesRead).Suspects
				assert.Equal(t, len(got), len(tt.want))
				for i := range got {
					assert.Assert(t, got[i].QuarantinedFor > 50*time.Second && got[i].QuarantinedFor <= time.Minute)
					got[i].QuarantinedFor = 0
				}
				assert.DeepEqual(t, got, tt.want)
			case <-deadline:
				t.Fatal("nothing was read")
			}
			for store.keys() != tt.kept {
				select {
				case <-poll.C:
				case <-deadline:
					t.Fatalf("the store holds %d records", store.keys())
				}
			}
		})
	}
}

// TestQuarantineCallsAreBounded guards against a call to the store for each broken attempt.
func TestQuarantineCallsAreBounded(t *testing.T) {
	store := &keyedStore{values: map[string][]byte{}}
	q := follower.NewQuarantines(store, "t", func(modeler.Event) {})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	for i := range 1000 {
		q.Fetch()
		q.Save(modeler.SaveQuarantine{Suspect: modeler.Suspect{Fingerprint: modeler.Fingerprint(i % 2)}, Until: time.Now().Add(time.Minute)})
	}
	assert.Assert(t, errors.Is(q.Run(ctx), context.DeadlineExceeded))
	assert.Equal(t, store.calls, 3)
}

// TestQuarantineAfterRead guards against a quarantine that is lost because its node stops in the second after a read of the quarantines.
func TestQuarantineAfterRead(t *testing.T) {
	store := &keyedStore{values: map[string][]byte{}}
	read := make(chan struct{}, 1)
	store.end = func() { read <- struct{}{} }
	q := follower.NewQuarantines(store, "t", func(modeler.Event) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- q.Run(ctx) }()
	q.Fetch()
	<-read
	q.Save(modeler.SaveQuarantine{Suspect: modeler.Suspect{Fingerprint: 8}, Until: time.Now().Add(time.Minute)})
	deadline := time.After(500 * time.Millisecond)
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for store.written() == 0 {
		select {
		case <-poll.C:
		case <-deadline:
			t.Fatal("not written within half a second")
		}
	}
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
}

// FuzzQuarantineRecord guards against a record of another writer that ends the node.
func FuzzQuarantineRecord(f *testing.F) {
	f.Add("8", []byte(`{"Count":3,"SharedPart":true,"Companions":["8","9"],"Requests":["1"],"UntilUnixMilli":99999999999999}`))
	f.Add("", []byte(`{}`))
	f.Add("zz", []byte(`null`))
	f.Add("8", []byte(`{"UntilUnixMilli":1e400,"Companions":["x"]}`))
	f.Add("8", []byte(`{"UntilUnixMilli":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		store := &keyedStore{values: map[string][]byte{key: value}}
		q := follower.NewQuarantines(store, "t", func(e modeler.Event) {
			for _, suspect := range e.(modeler.QuarantinesRead).Suspects {
				assert.Assert(t, suspect.QuarantinedFor > 0 && suspect.QuarantinedFor <= 24*time.Hour)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		store.end = cancel
		q.Fetch()
		assert.Assert(t, errors.Is(q.Run(ctx), context.Canceled))
	})
}
