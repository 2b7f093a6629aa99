package logger

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestLine guards against lines that a key=value parser cannot split, and against values that inject a second line.
func TestLine(t *testing.T) {
	for _, c := range []struct {
		name string
		log  func(zerolog.Logger)
		want string
	}{
		{"message only", func(l zerolog.Logger) { l.Info().Msg("started") }, "level=info message=started"},
		{"no message", func(l zerolog.Logger) { l.Warn().Int("port", 80).Send() }, "level=warn port=80"},
		{"order and types",
			func(l zerolog.Logger) {
				l.Error().Str("member", "m").Int64("tokens", -5).Bool("died", true).Stringer("after", 1500*time.Millisecond).Err(errors.New("no answer")).Msg("attempt failed")
			},
			`level=error message="attempt failed" member=m tokens=-5 died=true after=1.5s error="no answer"`},
		{"quoting",
			func(l zerolog.Logger) {
				l.Info().Str("empty", "").Str("equals", "a=b").Str("quote", `a"b`).Str("accent", "szél").Str("comma", "a,b}").Msg("x")
			},
			`level=info message=x empty="" equals="a=b" quote="a\"b" accent="szél" comma=a,b}`},
		{"injected line", func(l zerolog.Logger) { l.Info().Str("path", "a\nlevel=error").Msg("x\r\ny") },
			`level=info message="x\r\ny" path="a\nlevel=error"`},
		{"nested", func(l zerolog.Logger) { l.Info().Strs("nodes", []string{"a", "b,c"}).Int("n", 1).Msg("x") },
			`level=info message=x nodes="[\"a\",\"b,c\"]" n=1`},
		{"below the level", func(l zerolog.Logger) { l.Debug().Msg("x") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			log, err := New(&out, "")
			assert.NilError(t, err)
			c.log(log)
			got := out.String()
			if c.want == "" {
				assert.Equal(t, got, "")
				return
			}
			stamp, rest, _ := strings.Cut(strings.TrimPrefix(got, "time="), " ")
			_, err = time.Parse(timeFormat, stamp)
			assert.NilError(t, err)
			assert.Equal(t, rest, c.want+"\n")
		})
	}
}

// TestLevels guards against an invalid level that is accepted.
func TestLevels(t *testing.T) {
	for _, c := range []struct {
		level string
		ok    bool
	}{{"debug", true}, {"error", true}, {"", true}, {"loud", false}, {"trace", false}, {"panic", false}, {"disabled", false}} {
		_, err := New(io.Discard, c.level)
		assert.Equal(t, err == nil, c.ok, "%q: %v", c.level, err)
	}
}

// BenchmarkLine compares lineWriter with zerolog's ConsoleWriter.
func BenchmarkLine(b *testing.B) {
	line, err := New(io.Discard, "info")
	assert.NilError(b, err)
	console := zerolog.New(zerolog.ConsoleWriter{
		Out: io.Discard, NoColor: true, TimeFormat: timeFormat,
		FormatPartValueByName: func(value any, name string) string { return name + "=" + value.(string) },
	}).With().Timestamp().Logger()
	for _, c := range []struct {
		name string
		log  zerolog.Logger
	}{{"line", line}, {"console", console}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.log.Info().Str("request", "01936b7e-0000-7000-8000-000000000001").Str("member", "szelfogo").Str("class", "Short").
					Str("code", "").Int64("tokens", 212).Int("attempts", 1).Msg("request ended")
			}
		})
	}
}
