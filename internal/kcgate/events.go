package kcgate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/zeebo/errs"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// event is one server-sent event with its final blank line.
type event struct {
	raw   []byte
	id    int64
	hasID bool
	// hasField is false for comments and blank lines.
	hasField bool
}

// follows checks that no event is missing between last and e, and that e does
// not repeat one.
func (e *event) checkSequence(last int64) error {
	if e.hasID && last >= 0 && e.id != last+1 {
		return errs.New("event %d came after event %d", e.id, last)
	}
	return nil
}

// maxNonEventBytes bounds the bytes between two numbered events that belong to
// neither, such as comments that keep the connection open.
const maxNonEventBytes = 16 << 10

type eventReader struct {
	br *bufio.Reader
	// numbered is true once an event had an id. Events without one tell nothing
	// of the progress of the stream from then on.
	hasIDs bool
	// noise is the number of bytes since the last event that tells of it.
	nonEventBytes int
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{br: bufio.NewReaderSize(r, 2<<10)} }

// next returns the next whole event, or io.EOF if the stream ended after one.
// A stream that ends within an event is an error, and so is one without an
// event in too many bytes.
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
			return e, errs.New("the event is larger than %d bytes", maxEventBytes)
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
				return e, errs.New("the event id %q is no number", value)
			}
			e.id, e.hasID = n, true
		}
	}
}
