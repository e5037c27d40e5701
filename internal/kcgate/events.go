package kcgate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/zeebo/errs"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// event is one server-sent event with its terminating blank line.
type event struct {
	raw   []byte
	id    int64
	hasID bool
	// hasField is false for comments and blank lines.
	hasField bool
}

// checkSequence checks that e directly follows the event with the id last: no
// event is missing and none is repeated.
func (e *event) checkSequence(last int64) error {
	if e.hasID && last >= 0 && e.id != last+1 {
		return errs.New("event %d came after event %d", e.id, last)
	}
	return nil
}

// maxNonEventBytes bounds the bytes between two events with an id that belong to
// neither, such as keep-alive comments.
const maxNonEventBytes = 16 << 10

type eventReader struct {
	br *bufio.Reader
	// hasIDs is true once an event had an id. From then on, events without an id
	// do not count as progress of the stream.
	hasIDs bool
	// nonEventBytes is the number of bytes since the last event that counted as
	// progress.
	nonEventBytes int
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{br: bufio.NewReaderSize(r, 2<<10)} }

// next returns the next complete event, or io.EOF if the stream ended after one.
// It fails if the stream ends within an event, or if more than maxNonEventBytes
// arrive without an event.
func (r *eventReader) next() (event, error) {
	e, err := r.read()
	if err != nil {
		return e, err
	}
	r.hasIDs = r.hasIDs || e.hasID
	if e.hasID || e.hasField && !r.hasIDs {
		r.nonEventBytes = 0
		return e, nil
	}
	if r.nonEventBytes += len(e.raw); r.nonEventBytes > maxNonEventBytes {
		return e, errs.New("no event in %d bytes of the stream", r.nonEventBytes)
	}
	return e, nil
}

func (r *eventReader) read() (event, error) {
	var e event
	start := 0
	for {
		part, err := r.br.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return e, errs.New("event is larger than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return e, io.ErrUnexpectedEOF
		}
		if err != nil {
			return e, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		start = len(e.raw)
		if len(line) == 0 {
			return e, nil
		}
		e.hasField = e.hasField || line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return e, errs.New("event id %q is not a number", value)
			}
			e.id, e.hasID = n, true
		}
	}
}
