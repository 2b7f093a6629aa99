package handler

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

// TestAppendJSONString guards against encoded text that decodes to something other than the output of encoding/json does.
func TestAppendJSONString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) + rapid.String().Draw(t, "text")
		reference, err := json.Marshal(text)
		assert.NilError(t, err)
		var want, got string
		assert.NilError(t, json.Unmarshal(reference, &want))
		assert.NilError(t, json.Unmarshal(appendJSONString(nil, text), &got))
		assert.Equal(t, got, want)
	})
}

// discardWriter is a response writer that discards the body and counts its bytes.
type discardWriter struct {
	header http.Header
	n      int
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Write(p []byte) (int, error) { d.n += len(p); return len(p), nil }
func (d *discardWriter) Flush()                      {}

// chunkByReflection is a chunk for encoding/json, the slower alternative to eventWriter.writeText.
type chunkByReflection struct {
	commonFields
	Choices []completionChoice `json:"choices"`
}

// BenchmarkChunk measures the time per chunk: encoding alone, by hand and by reflection, and with the write to a loopback connection.
func BenchmarkChunk(b *testing.B) {
	common := commonFields{ID: "cmpl-01936b7e-0000-7000-8000-000000000001", Object: "text_completion", Created: 1, Model: "m"}
	newWriter := func(w http.ResponseWriter) *eventWriter {
		h := &Handler{Options: Options{Timeouts: loader.Timeouts{CallerWrite: loader.Duration(DefaultCallerWrite)}}}
		return newEventWriter(&httpExchange{Handler: h, writer: w, controller: http.NewResponseController(w)}, completionFormat, common, false)
	}
	b.Run("encode", func(b *testing.B) {
		w := newWriter(&discardWriter{header: http.Header{}})
		b.ReportAllocs()
		for b.Loop() {
			assert.NilError(b, w.writeText(" word"))
		}
	})
	b.Run("encode by reflection", func(b *testing.B) {
		out := &discardWriter{header: http.Header{}}
		b.ReportAllocs()
		for b.Loop() {
			encoded, err := json.Marshal(chunkByReflection{commonFields: common, Choices: []completionChoice{{Text: " word"}}})
			assert.NilError(b, err)
			_, _ = out.Write(append(append([]byte("data: "), encoded...), "\n\n"...))
		}
	})
	b.Run("loopback", func(b *testing.B) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			events := newWriter(w)
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, events.writeText(" word"))
			}
		}))
		defer server.Close()
		response, err := http.Get(server.URL)
		assert.NilError(b, err)
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
	})
}

// TestChunkShape guards against hand-written chunk JSON that differs from the published format.
func TestChunkShape(t *testing.T) {
	recorder := httptest.NewRecorder()
	common := commonFields{ID: "i", Object: "text_completion", Created: 1, Model: `m"<`}
	w := newEventWriter(&httpExchange{Handler: &Handler{}, writer: recorder, controller: http.NewResponseController(recorder)}, completionFormat, common, false)
	assert.NilError(t, w.writeText("a\n"))
	data, found := bytes.CutPrefix(recorder.Body.Bytes(), []byte("data: "))
	assert.Assert(t, found)
	var got map[string]any
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.DeepEqual(t, got, map[string]any{
		"id": "i", "object": "text_completion", "created": 1.0, "model": `m"<`,
		"choices": []any{map[string]any{"index": 0.0, "text": "a\n", "logprobs": nil, "finish_reason": nil}},
	})
}
