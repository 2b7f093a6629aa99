package streamer

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// chunkTemplate holds the bytes of a JSON chunk before and after its text. A chunk that matches the template differs only in the text, so it
// need not be decoded. JSON decoding would cost more than all other work on a token.
type chunkTemplate struct {
	before, after []byte
}

var textKey = []byte(`"text":"`)

// probeText is inserted into a template to check that JSON decoding finds it as the text of the chunk.
const probeText = "probe"

// newChunkTemplate returns the template of a decoded chunk, or an empty one, which matches nothing, if the text cannot be located.
func newChunkTemplate(data []byte, decoded completionChunk) chunkTemplate {
	at := bytes.Index(data, textKey)
	if at < 0 {
		return chunkTemplate{}
	}
	start := at + len(textKey)
	length := bytes.IndexByte(data[start:], '"')
	if length < 0 || !isPlain(data[start:start+length]) {
		return chunkTemplate{}
	}
	t := chunkTemplate{before: bytes.Clone(data[:start]), after: bytes.Clone(data[start+length:])}
	var probed completionChunk
	if json.Unmarshal(append(append(bytes.Clone(t.before), probeText...), t.after...), &probed) != nil {
		return chunkTemplate{}
	}
	if len(probed.Choices) == 0 || probed.Choices[0].Text != probeText {
		return chunkTemplate{}
	}
	probed.Choices[0].Text = decoded.Choices[0].Text
	if !reflect.DeepEqual(probed, decoded) {
		return chunkTemplate{}
	}
	return t
}

// match returns the text of a chunk. It reports false if the chunk does not match the template or its text needs unescaping.
func (t chunkTemplate) match(data []byte) (string, bool) {
	start, end := len(t.before), len(data)-len(t.after)
	if start == 0 || end <= start || !bytes.Equal(data[:start], t.before) || !bytes.Equal(data[end:], t.after) {
		return "", false
	}
	text := data[start:end]
	if !isPlain(text) {
		return "", false
	}
	return string(text), true
}

// isPlain reports whether the bytes of a JSON string are printable ASCII without escapes, so that they equal the decoded text.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b == '"' || b == '\\' || b < 0x20 || b >= 0x80 {
			return false
		}
	}
	return true
}
