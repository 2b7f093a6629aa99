package batcher

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the size of a token of text, in bytes. The last token of a prompt may be shorter.
const BytesPerToken = 4

// Prompt holds the length and the hashes of a prompt; the text itself is not kept. It is immutable.
type Prompt struct {
	// Tokens is the length of the text, in tokens.
	Tokens int
	// Blocks holds, for each complete block, the hash of the text from the start of the prompt to the end of the block.
	Blocks []uint64
	// digest is the hash state after the whole text.
	digest xxhash.Digest
	// containsPoison is set when the text contains Parameters.Poison.
	containsPoison bool
}

// NewPrompt hashes a text. It takes about a millisecond per million tokens, so it should not run on the goroutine that owns an
// engine.
func NewPrompt(text string, p Parameters) Prompt {
	size := p.BlockTokens * BytesPerToken
	prompt := Prompt{
		Tokens:         (len(text) + BytesPerToken - 1) / BytesPerToken,
		Blocks:         make([]uint64, 0, len(text)/size),
		containsPoison: p.Poison != "" && strings.Contains(text, p.Poison),
	}
	prompt.digest.Reset()
	for rest := text; rest != ""; {
		n := min(size, len(rest))
		_, _ = prompt.digest.WriteString(rest[:n])
		rest = rest[n:]
		if n == size {
			prompt.Blocks = append(prompt.Blocks, prompt.digest.Sum64())
		}
	}
	return prompt
}

// nextToken returns the token that follows the text hashed by digest, the hash that selected it, and the digest of the text with
// the token appended. The token depends only on the bytes of the text, so a request that continues a partial output generates the
// same tokens as an uninterrupted one.
func nextToken(digest xxhash.Digest) (string, uint64, xxhash.Digest) {
	const vowels, consonants = "aeiou", "bcdfghjklmnprstvwxz"
	hash := digest.Sum64()
	text := string([]byte{
		consonants[hash%uint64(len(consonants))],
		vowels[(hash>>16)%uint64(len(vowels))],
		consonants[(hash>>32)%uint64(len(consonants))],
		' ',
	})
	_, _ = digest.WriteString(text)
	return text, hash, digest
}
