package checker

import (
	"bytes"
	"errors"
)

// maxLineBytes bounds the part of a line that a Scanner keeps until the rest of the line is read.
const maxLineBytes = 64 << 10

// errLineTooLong is returned for a line of more than maxLineBytes.
var errLineTooLong = errors.New("line in the head of a response is too long")

// Scanner checks the bytes of a connection from the beginning of a head to its end, in the pieces in which they are read. It also checks the heads of the
// interim responses before. The zero value expects a head.
type Scanner struct {
	head Head
	// partial is the beginning of a line whose end was not read yet. It has at most maxLineBytes.
	partial []byte
}

// Scan checks the next bytes of a head. It ignores those that follow the head.
func (s *Scanner) Scan(data []byte) error {
	for len(data) > 0 && !s.head.ended {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		data = rest
		if len(s.partial)+len(line) > maxLineBytes {
			return errLineTooLong
		}
		if !complete || len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		if !complete {
			return nil
		}
		s.partial = s.partial[:0]
		var err error
		if s.head, err = s.head.WithLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
	}
	return nil
}
