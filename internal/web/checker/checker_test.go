package checker_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/web/checker"
)

// scan scans a text in pieces of the given size.
func scan(text string, size int) error {
	var scanner checker.Scanner
	for len(text) > 0 {
		n := min(size, len(text))
		if err := scanner.Scan([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// faultOf returns the fault of a HeadError, and zero for other errors.
func faultOf(err error) checker.Fault {
	var headErr checker.HeadError
	errors.As(err, &headErr)
	return headErr.Fault
}

// TestScanner guards against passing an invalid head, rejecting a valid one, and judging a head by the pieces in which it is read.
func TestScanner(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	tests := []struct {
		name, text string
		want       checker.Fault
	}{
		{"sound", sound, 0},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", 0},
		{"lines that end with a line feed", "HTTP/1.1 200 OK\nA: b\n\n", 0},
		{"lowest status", "HTTP/1.1 100 Continue\r\n\r\n" + sound, 0},
		{"highest status", "HTTP/1.1 599 Failed\r\n\r\n", 0},
		{"no reason", "HTTP/1.1 200\r\n\r\n", 0},
		{"reason beyond ASCII", "HTTP/1.1 200 \xe9t\xe9\tOK\r\n\r\n", 0},
		{"bytes behind the head", sound + "HTTP/1.1 000\r\n \x00:", 0},
		{"status 000", "HTTP/1.1 000 None\r\n\r\n", checker.StatusLine},
		{"status 099", "HTTP/1.1 099 Low\r\n\r\n", checker.StatusLine},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n", checker.StatusLine},
		{"status 600", "HTTP/1.1 600 High\r\n\r\n", checker.StatusLine},
		{"status with a sign", "HTTP/1.1 +20 Sign\r\n\r\n", checker.StatusLine},
		{"status of two digits", "HTTP/1.1 20 Short\r\n\r\n", checker.StatusLine},
		{"status of four digits", "HTTP/1.1 2000 Long\r\n\r\n", checker.StatusLine},
		{"empty status line", "\r\n" + sound, checker.StatusLine},
		{"no status line", "Content-Length: 2\r\n\r\n", checker.StatusLine},
		{"HTTP/2", "HTTP/2.0 200 OK\r\n\r\n", checker.StatusLine},
		{"version without a digit", "HTTP/1. 200 OK\r\n\r\n", checker.StatusLine},
		{"two spaces", "HTTP/1.1  200 OK\r\n\r\n", checker.StatusLine},
		{"control byte in the reason", "HTTP/1.1 200 O\rK\r\n\r\n", checker.StatusLine},
		{"invalid head behind an interim one", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 None\r\n", checker.StatusLine},
		{"length twice", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nContent-Length:2 \r\n\r\n", 0},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nTrailer: A, B\r\n\r\n", 0},
		{"304 with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", 0},
		{"204 of length 0", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 0},
		{"empty value", "HTTP/1.1 200 OK\r\nA:\r\nB: \xe9\t\r\n\r\n", 0},
		{"space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", checker.FieldName},
		{"space in the name", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", checker.FieldName},
		{"control byte in the name", "HTTP/1.1 200 OK\r\nA\x00: c\r\n\r\n", checker.FieldName},
		{"byte beyond ASCII in the name", "HTTP/1.1 200 OK\r\nA\xe9: c\r\n\r\n", checker.FieldName},
		{"empty name", "HTTP/1.1 200 OK\r\n: c\r\n\r\n", checker.FieldName},
		{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", checker.FieldName},
		{"folded line", "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", checker.FoldedLine},
		{"space before the first name", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", checker.FoldedLine},
		{"carriage return in the value", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", checker.FieldValue},
		{"zero byte in the value", "HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", checker.FieldValue},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", checker.Framing},
		{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n", checker.Framing},
		{"length with a space", "HTTP/1.1 200 OK\r\nContent-Length: 2 3\r\n\r\n", checker.Framing},
		{"empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", checker.Framing},
		{"length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", checker.Framing},
		{"chunks beside length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", checker.Framing},
		{"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", checker.Framing},
		{"another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", checker.Framing},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", checker.Framing},
		{"204 with a length", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n", checker.Framing},
		{"interim response with chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + sound, checker.Framing},
		{"length in a trailer", "HTTP/1.1 200 OK\r\nTrailer: A, content-length\r\n\r\n", checker.Framing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for size := 1; size <= len(tt.text); size++ {
				err := scan(tt.text, size)
				assert.Equal(t, faultOf(err), tt.want, "pieces of %d: %v", size, err)
				assert.Equal(t, err == nil, tt.want == 0, "pieces of %d: %v", size, err)
			}
		})
	}
}

// TestQuoted guards against an error that tells what a field holds, which may be a secret.
func TestQuoted(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"status", "HTTP/1.1 000 None", "HTTP/1.1 000 None"},
		{"name", "Set Cookie: secret", "Set Cookie"},
		{"value", "Set-Cookie: secret\x00", "Set-Cookie"},
		{"folded line", " secret", ""},
		{"no colon", "secret", ""},
		{"framing", "Content-Length: -1", "Content-Length: -1"},
		{"long name", strings.Repeat("x ", 100) + ": secret", strings.Repeat("x ", 40)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + tt.line + "\r\n"
			if strings.HasPrefix(tt.line, "HTTP/") {
				text = tt.line + "\r\n"
			}
			var headErr checker.HeadError
			assert.Assert(t, errors.As(scan(text, len(text)), &headErr))
			assert.Equal(t, headErr.Quoted, tt.want)
		})
	}
}

// TestLongLine guards against keeping a line without end.
func TestLongLine(t *testing.T) {
	assert.ErrorContains(t, scan("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 1<<20), 4<<10), "too long")
}

// FuzzScanner looks for a final head that the scanner passes and net/http rejects, or whose status the two read differently.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 204\r\n\r\n", "HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n c\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, head string) {
		end := strings.LastIndex(head, "\n")
		if end < 0 || scan(head, 7) != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			// The head may have no end.
			assert.Assert(t, !strings.Contains(strings.ReplaceAll(head, "\r\n", "\n"), "\n\n"), "%v", err)
			return
		}
		defer func() { _ = response.Body.Close() }()
		assert.Assert(t, response.StatusCode >= 100 && response.StatusCode <= 599, "%d", response.StatusCode)
	})
}
