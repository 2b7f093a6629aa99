package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes bounds the length of a line of a stream. A chunk holds one token and is far shorter.
const maxLineBytes = 1 << 20

// lineReader reads the lines of a stream of server-sent events.
type lineReader struct {
	reader *bufio.Reader
	// long holds a line that is longer than the buffer of reader.
	long []byte
}

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next line without its line ending. The result is valid until the next call. A last line without a line ending is
// dropped, because it may be incomplete.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = l.readLong(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLong reads the rest of a line that begins with start and returns the whole line.
func (l *lineReader) readLong(start []byte) ([]byte, error) {
	l.long = append(l.long[:0], start...)
	for {
		part, err := l.reader.ReadSlice('\n')
		l.long = append(l.long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return l.long, err
		}
		if len(l.long) > maxLineBytes {
			return nil, fmt.Errorf("line longer than %d bytes", maxLineBytes)
		}
	}
}
