package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// copyBufferSize is the size in bytes of the pieces in which a long answer is forwarded.
const copyBufferSize = 16 << 10

// forwardLong forwards an answer that is longer than maxBufferedBytes as it arrives, so that its length does not matter for the memory of the node. begin is
// what was read of it. Once it has begun, no other endpoint can answer: if it breaks off, so does the answer to the caller.
func (f *Forwarder) forwardLong(
	ctx context.Context, p *progress, guard *silenceGuard, response *dialer.Response, begin []byte, sink Sink,
) (modeler.Outcome, bool) {
	guard.stop()
	if guard.replacement() != nil {
		f.countPossibleRun(p)
		return modeler.Silent, false
	}
	p.possibleRuns++
	p.headerSent, p.longBegun = true, true
	p.result.First = time.Since(p.call.Arrived)
	if err := sink.Begin(response.StatusCode, endToEndHeader(response.Header), int(response.Length)); err != nil {
		return modeler.Abandoned, false
	}
	length := 0
	for buffer, data := make([]byte, copyBufferSize), begin; ; {
		if length += len(data); length > maxAnswerBytes {
			p.mayHaveRun = true
			return f.rejectAnswer(p, LongAnswer, nil), false
		}
		if _, err := sink.Write(data); err != nil {
			return modeler.Abandoned, false
		}
		n, err := response.Body.Read(buffer)
		if data = buffer[:n]; n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			p.result.Status, p.result.Code = Delivered, response.StatusCode
			p.succeeded = response.StatusCode < http.StatusMultipleChoices && !response.Unframed
			return modeler.Answered, true
		}
		if err != nil {
			p.mayHaveRun = true
			if time.Until(p.deadline) < minAttemptTime {
				// A slow caller may have used up the time.
				return modeler.Abandoned, false
			}
			return f.classifyError(ctx, p, err, modeler.Broken), false
		}
	}
}
