package streamer

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestChunkTemplate guards against a template that extracts another value than the text, so that wrong text would be delivered without an
// error.
func TestChunkTemplate(t *testing.T) {
	const usual = `{"id":"a","choices":[{"index":0,"text":"abcd","finish_reason":null}]}`
	cases := []struct{ first, next, want string }{
		{usual, strings.Replace(usual, "abcd", "wxyz!", 1), "wxyz!"},
		{usual, strings.Replace(usual, "abcd", `a\nb`, 1), ""},
		{usual, strings.Replace(usual, "abcd", `é`, 1), ""},
		{usual, strings.Replace(usual, `"id":"a"`, `"id":"b"`, 1), ""},
		{usual, strings.Replace(usual, "null", `"stop"`, 1), ""},
		{usual, usual[:20], ""},
		{`{"id":"a","meta":{"text":"abcd"},"choices":[{"text":"abcd"}]}`, `{"id":"a","meta":{"text":"wxyz"},"choices":[{"text":"abcd"}]}`, ""},
		{`{"id":"a","choices":[{"text": "abcd"}],"x":{"text":"abcd"}}`, `{"id":"a","choices":[{"text": "abcd"}],"x":{"text":"wxyz"}}`, ""},
	}
	for _, c := range cases {
		var body completionChunk
		assert.NilError(t, json.Unmarshal([]byte(c.first), &body))
		got, _ := newChunkTemplate([]byte(c.first), body).match([]byte(c.next))
		assert.Equal(t, got, c.want, c.next)
	}
}

// TestLines guards against lines that are split or joined at the end of the buffer, and against an incomplete last line that is returned as
// complete.
func TestLines(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := []struct {
		input string
		want  []string
		err   string
	}{
		{"a\n\nb\r\n", []string{"a", "", "b"}, "EOF"},
		{long + "\n" + long + "y\n", []string{long, long + "y"}, "EOF"},
		{"a\ndata: [DONE]", []string{"a"}, "EOF"},
		{strings.Repeat("x", maxLineBytes+10_000), nil, "line longer than 1048576 bytes"},
	}
	for _, c := range cases {
		reader := newLineReader(strings.NewReader(c.input))
		for _, want := range c.want {
			line, err := reader.next()
			assert.NilError(t, err)
			assert.Equal(t, string(line), want)
		}
		_, err := reader.next()
		assert.Error(t, err, c.err)
	}
	assert.Equal(t, newLineReader(strings.NewReader("")).reader.Buffered(), 0)
	_, err := newLineReader(strings.NewReader("")).next()
	assert.Equal(t, err, io.EOF)
}
