package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

// completionRequest holds the fields of an OpenAI completion request that the stand-in reads.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
}

// heartbeatInterval is the time between the comments sent while a response is open.
const heartbeatInterval = 500 * time.Millisecond

// complete handles POST /v1/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !readJSON(w, r, &body) {
		return
	}
	attempt := r.Header.Get("X-Request-Id")
	if attempt == "" || !body.Stream {
		writeError(w, http.StatusBadRequest, "X-Request-Id and stream are required")
		return
	}
	request := batcher.Submit{
		Attempt: attempt, Node: r.Header.Get("X-Node-Id"), Priority: body.Priority, MaxTokens: body.MaxTokens,
		Prompt: batcher.NewPrompt(body.Prompt, e.owner.options.Parameters), ExpiresAt: expiryFromHeader(r),
	}
	fencingToken, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	box := newMailbox()
	admitted, ok := ask(e, r, func(reply chan<- admission) message {
		return submit{request: request, model: body.Model, fencingToken: fencingToken, box: box, reply: reply}
	})
	if !ok || admitted.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if admitted.status != http.StatusOK {
		if admitted.status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		writeError(w, admitted.status, admitted.message)
		return
	}
	e.stream(w, r, newStreamWriter(w, attempt, body.Model, admitted), box, request.ExpiresAt)
}

// expiryFromHeader returns the time at which the milliseconds in X-Request-Timeout run out, or the zero time without a valid header.
func expiryFromHeader(r *http.Request) time.Time {
	left, err := strconv.ParseInt(r.Header.Get("X-Request-Timeout"), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(milliseconds(left).duration())
}

// stream writes the response until the sequence ends or the client disconnects. If the response is incomplete, the handler aborts, which
// closes the connection without an end mark.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, out *streamWriter, box *mailbox, expiry time.Time) {
	done := false
	defer func() {
		if !done {
			e.cancelAbandoned(out.attempt)
			panic(http.ErrAbortHandler)
		}
	}()
	if !expiry.IsZero() {
		// Bounds how long a client that stops reading occupies its goroutine and connection.
		_ = http.NewResponseController(w).SetWriteDeadline(expiry.Add(time.Second))
	}
	if !sleep(r, out.headerDelay) || out.sendHeader(w) != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	var effects []batcher.Effect
	for {
		select {
		case <-r.Context().Done():
			return
		case <-heartbeat.C:
			out.writeHeartbeat()
		case <-box.ready:
			effects = box.take(effects)
			for _, effect := range effects {
				if !out.writeEffect(effect) {
					done = out.complete && out.flush() == nil
					return
				}
			}
		}
		if out.flush() != nil {
			return
		}
	}
}

// sleep waits for d and reports whether it elapsed before the client disconnected.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// cancelAbandoned cancels the attempt of a disconnected client unless KeepsAbandoned is set.
func (e *Engine) cancelAbandoned(attempt string) {
	if e.owner.options.KeepsAbandoned {
		return
	}
	select {
	case e.owner.inbox <- cancel{attempt: attempt, reply: make(chan bool, 1)}:
	case <-e.owner.stop:
	}
}

// streamWriter encodes the chunks of one response.
type streamWriter struct {
	control     *http.ResponseController
	w           http.ResponseWriter
	attempt     string
	admitted    admission
	headerDelay time.Duration
	// ownPrefix and wrongIDPrefix are the encoded start of a chunk with the attempt's ID and with a different ID.
	ownPrefix, wrongIDPrefix []byte
	buffer                   []byte
	// tokens counts the tokens so far, including those that a fault drops.
	tokens int
	// complete is set when the response body ends normally, so that the connection is not aborted.
	complete bool
}

func newStreamWriter(w http.ResponseWriter, attempt, model string, admitted admission) *streamWriter {
	prefix := func(id string) []byte {
		quotedID, _ := json.Marshal(id)
		quotedModel, _ := json.Marshal(model)
		created := strconv.FormatInt(time.Now().Unix(), 10)
		return []byte(`data: {"id":` + string(quotedID) + `,"object":"text_completion","created":` + created +
			`,"model":` + string(quotedModel) + `,"choices":[{"index":0,"logprobs":null,"text":"`)
	}
	return &streamWriter{
		control: http.NewResponseController(w), w: w, attempt: attempt, admitted: admitted, headerDelay: admitted.headerDelay,
		ownPrefix: prefix(attempt), wrongIDPrefix: prefix("other-" + attempt),
	}
}

// sendHeader writes and flushes the response header.
func (s *streamWriter) sendHeader(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Request-Id", s.attempt)
	h.Set("X-Boot-Id", s.admitted.bootID)
	h.Set("X-Phase", phaseName(s.admitted.cold))
	w.WriteHeader(http.StatusOK)
	return s.control.Flush()
}

func phaseName(cold bool) string {
	if cold {
		return "cold"
	}
	return "warm"
}

func (s *streamWriter) writeHeartbeat() { s.buffer = append(s.buffer, ": heartbeat\n\n"...) }

// faultyToken is the 1-based number of the token at which stream faults take effect.
const faultyToken = 2

// writeEffect encodes an effect and reports whether the stream continues.
func (s *streamWriter) writeEffect(effect batcher.Effect) bool {
	switch effect := effect.(type) {
	case batcher.Token:
		return s.writeToken(effect.Text)
	case batcher.Finished:
		s.writeFinish(effect)
	case batcher.Expired:
		s.buffer = append(s.buffer, `data: {"error":{"message":"request timeout","code":408}}`+"\n\n"...)
		_ = s.flush()
	}
	return false
}

func (s *streamWriter) writeToken(text string) bool {
	s.tokens++
	prefix := s.ownPrefix
	switch fault := s.admitted.fault; {
	case fault == droppedToken && s.tokens == faultyToken:
		return true
	case fault == truncated && s.tokens > faultyToken:
		s.complete = true // the body ends normally but without an end mark
		return false
	case fault == wrongID && s.tokens > faultyToken:
		prefix = s.wrongIDPrefix
	}
	s.buffer = append(s.buffer, prefix...)
	s.buffer = append(s.buffer, text...) // token text needs no JSON escaping
	s.buffer = append(s.buffer, `","finish_reason":null}]}`+"\n\n"...)
	return true
}

func (s *streamWriter) writeFinish(f batcher.Finished) {
	s.buffer = append(s.buffer, s.ownPrefix...)
	s.buffer = append(s.buffer, `","finish_reason":"`+f.Finish+`"}],"usage":{"prompt_tokens":`...)
	s.buffer = strconv.AppendInt(s.buffer, int64(f.Prompt), 10)
	s.buffer = append(s.buffer, `,"completion_tokens":`...)
	s.buffer = strconv.AppendInt(s.buffer, int64(f.Tokens), 10)
	s.buffer = append(s.buffer, `,"total_tokens":`...)
	s.buffer = strconv.AppendInt(s.buffer, int64(f.Prompt+f.Tokens), 10)
	s.buffer = append(s.buffer, `,"prompt_tokens_details":{"cached_tokens":`...)
	s.buffer = strconv.AppendInt(s.buffer, int64(f.Cached), 10)
	s.buffer = append(s.buffer, "}}}\n\ndata: [DONE]\n\n"...)
	s.complete = true
}

// flush sends the buffered data.
func (s *streamWriter) flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}
