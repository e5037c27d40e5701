// Package kcevent reads streams of server-sent events and checks that they are whole
// and in order.
package kcevent

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// firstEventBytes is the size of the buffer that an event is first read into.
	firstEventBytes = 512
)

// Event is one server-sent event with its terminating blank line.
type Event struct {
	// Raw is the text of the event.
	Raw   []byte
	ID    int64
	HasID bool
	// hasField is false for comments and blank lines.
	hasField bool
	// hasData is true if the event has a field with data.
	hasData bool
}

// CheckSequence checks that e directly follows the event with the id last: no
// event is missing and none is repeated.
func (e *Event) CheckSequence(last int64) error {
	if e.HasID && last >= 0 && e.ID != last+1 {
		return errs.New("event %d came after event %d", e.ID, last)
	}
	return nil
}

// maxNonEventBytes bounds the bytes between two events with an id that belong to
// neither, such as keep-alive comments.
const maxNonEventBytes = 16 << 10

// Reader reads the events of a stream.
type Reader struct {
	br *bufio.Reader
	// hasIDs is true once an event had an id. From then on, events without an id
	// do not count as progress of the stream.
	hasIDs bool
	// NonEventBytes is the number of bytes since the last event that counted as
	// progress.
	NonEventBytes int
	memory        kcresponse.Memory
	// held is what is charged for the last event.
	held int64
}

// NewReader returns a reader of the events after the one with the id last, -1
// for all of them. The caller must call Release after the last event.
func NewReader(r io.Reader, last int64, memory kcresponse.Memory) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, 2<<10), hasIDs: last >= 0, memory: memory}
}

// Release releases the memory of the last event, which must not be used any more.
func (r *Reader) Release() { _ = r.charge(0) }

// charge replaces what is charged for the current event.
func (r *Reader) charge(n int64) error {
	if n > kcresponse.UnchargedBytes {
		if err := r.memory.Hold(n); err != nil {
			return err
		}
	} else {
		n = 0
	}
	if r.held > 0 {
		r.memory.Release(r.held)
	}
	r.held = n
	return nil
}

// add appends a part to an event.
func (r *Reader) add(raw, part []byte) ([]byte, error) {
	n := len(raw) + len(part)
	if n > maxEventBytes {
		return raw, errs.New("event is larger than %d bytes", maxEventBytes)
	}
	if n > cap(raw) {
		size := min(max(2*cap(raw), n, firstEventBytes), maxEventBytes)
		if err := r.charge(int64(size)); err != nil {
			return raw, err
		}
		raw = append(make([]byte, 0, size), raw...)
	}
	return append(raw, part...), nil
}

// Next returns the next complete event, or io.EOF if the stream ended after one. The
// event is valid until the next call of Next or Release.
// It fails if the stream ends within an event, if it holds anything else than
// events, such as another response, or if more than maxNonEventBytes arrive without
// an event.
func (r *Reader) Next() (Event, error) {
	e, err := r.read()
	if err != nil {
		return e, err
	}
	if r.hasIDs && e.hasData && !e.HasID {
		return e, errs.New("data without an event id")
	}
	r.hasIDs = r.hasIDs || e.HasID
	if e.HasID || e.hasField && !r.hasIDs {
		r.NonEventBytes = 0
		return e, nil
	}
	if r.NonEventBytes += len(e.Raw); r.NonEventBytes > maxNonEventBytes {
		return e, errs.New("no event in %d bytes of the stream", r.NonEventBytes)
	}
	return e, nil
}

func (r *Reader) read() (Event, error) {
	var e Event
	r.Release()
	start := 0
	for {
		part, err := r.br.ReadSlice('\n')
		var addErr error
		if e.Raw, addErr = r.add(e.Raw, part); addErr != nil {
			return e, addErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
			return e, io.ErrUnexpectedEOF
		}
		if err != nil {
			return e, err
		}
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		start = len(e.Raw)
		if len(line) == 0 {
			return e, nil
		}
		if line[0] == ':' {
			continue
		}
		name, ok := fieldName(line)
		if !ok {
			return e, errs.New("a line of the stream is no field of an event")
		}
		e.hasField, e.hasData = true, e.hasData || name == "data"
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return e, errs.New("event id %q is not a number", value)
			}
			e.ID, e.HasID = n, true
		}
	}
}

// fieldName returns the name of the field that a line of an event holds. Names
// other than those of server-sent events are in lower case.
func fieldName(line []byte) (name string, ok bool) {
	before, _, hasColon := bytes.Cut(line, []byte(":"))
	name = string(before)
	switch name {
	case "data", "event", "id", "retry":
		return name, true
	}
	isOther := func(c rune) bool { return (c < 'a' || c > 'z') && c != '-' }
	return name, hasColon && name != "" && strings.IndexFunc(name, isOther) < 0
}
