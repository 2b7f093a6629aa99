//go:build review

package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// appendTime is the time that an append takes, one after the other, and readTime that of other calls.
const (
	appendTime = 4 * time.Millisecond
	readTime   = 4 * time.Millisecond
)

// store is the platform's store: the stand-in of the project behind the delays of the platform's pages. Parts of it can be down.
type store struct {
	*platformtest.Store
	address string

	appending sync.Mutex
	mu        sync.Mutex
	// down holds the topics whose calls get 503, and mute is set while no call gets an answer, as with `platform_down` silent.
	down map[string]bool
	mute chan struct{}
	// late is the append that gets no answer and is carried out later, nil for none.
	late *lateAppend
}

// lateAppend is the next append to a topic. It gets no answer, and is carried out after a delay.
type lateAppend struct {
	topic string
	delay time.Duration
	done  func()
}

func startStore(r *rig) (*store, error) {
	s := &store{Store: platformtest.NewStore(), down: map[string]bool{}}
	address, _, err := r.listen(s)
	s.address = address
	return s, err
}

// setDown makes calls to a topic fail with 503, or work again.
func (s *store) setDown(topic string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[topic] = down
}

// setMute makes the store silent, or ends that. Calls that arrived meanwhile, or were waiting for records when it began, never get an answer.
func (s *store) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mute && s.mute == nil {
		s.mute = make(chan struct{})
		return
	}
	s.mute = nil
}

// delayNext makes the next append to a topic get no answer and be carried out after a delay.
func (s *store) delayNext(topic string, delay time.Duration, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = &lateAppend{topic: topic, delay: delay, done: done}
}

// takeLate returns the late append if a call is it, and nil otherwise.
func (s *store) takeLate(r *http.Request) *lateAppend {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil || r.URL.Path != "/api/log-append" || r.URL.Query().Get("topic") != s.late.topic {
		return nil
	}
	late := s.late
	s.late = nil
	return late
}

// carryOutLate carries out a call after its delay, without an answer. The caller's connection stays open until the caller closes it.
func (s *store) carryOutLate(r *http.Request, late *lateAppend) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.AfterFunc(late.delay, func() {
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		s.Store.ServeHTTP(httptest.NewRecorder(), again)
		late.done()
	})
	<-r.Context().Done()
}

func (s *store) isMute() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute != nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	down := s.down[topic]
	s.mu.Unlock()
	if s.isMute() {
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late := s.takeLate(r); late != nil {
		s.carryOutLate(r, late)
		return
	}
	if r.URL.Path == "/api/log-append" {
		s.appending.Lock()
		time.Sleep(appendTime)
		s.appending.Unlock()
	} else {
		time.Sleep(readTime)
	}
	s.Store.ServeHTTP(&muting{ResponseWriter: w, store: s, request: r}, r)
}

// muting withholds the answers that are written while the store is silent.
type muting struct {
	http.ResponseWriter
	store   *store
	request *http.Request
}

// Write implements http.ResponseWriter.
func (m *muting) Write(data []byte) (int, error) {
	if m.store.isMute() {
		<-m.request.Context().Done()
		return 0, m.request.Context().Err()
	}
	return m.ResponseWriter.Write(data)
}
