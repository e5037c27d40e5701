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
}

// follows checks that no event is missing between last and e, and that e does
// not repeat one.
func (e *event) follows(last int64) error {
	if e.hasID && last >= 0 && e.id != last+1 {
		return errs.New("event %d came after event %d", e.id, last)
	}
	return nil
}

type eventReader struct{ br *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 2<<10)} }

// next returns the next whole event, or io.EOF if the stream ended after one.
// A stream that ends within an event is an error.
func (r *eventReader) next() (event, error) {
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
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return e, errs.New("the event id %q is no number", value)
			}
			e.id, e.hasID = n, true
		}
	}
}
