package kcupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// eventBufferSize bounds the events that are read ahead of a slow caller. A
	// full buffer stops the reading, and TCP flow control then slows the engine
	// down (backpressure).
	eventBufferSize = 4
	// maxEventBytes bounds one line of an event.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds the body of an error response, of which only a message is
	// used.
	maxErrorBytes = 64 << 10
	// maxTrailingBytes bounds what is read after the end marker of a response.
	maxTrailingBytes = 4 << 10
	doneMarker       = "[DONE]"
)

// lineBufferPool reuses the line buffers of responses. The scanner allocates a
// larger buffer for lines that do not fit.
var lineBufferPool = sync.Pool{New: func() any { return new([4096]byte) }}

// streamConn is one connection that carries the events of a stream.
type streamConn struct {
	events chan Event
	err    error // set before events is closed
	cancel context.CancelFunc
	// ended is closed once the connection is back in the pool or closed.
	ended chan struct{}
	// memory is charged for lines of events.
	memory kcresponse.Memory
	// unattributed is true until the head or an event has shown that the response belongs
	// to the stream. On a connection that was not used before, it is false.
	unattributed bool
}

// run reads server-sent events until the response ends or ctx is done. Closing
// events signals the end to the reader.
func (c *streamConn) run(ctx context.Context, body io.ReadCloser, from int64) {
	defer close(c.ended)
	defer c.cancel()
	defer func() { _ = body.Close() }()
	c.err = c.scanEvents(ctx, body, from)
	close(c.events)
	if errors.Is(c.err, io.EOF) {
		// The transport returns a connection to the pool only after the body
		// was read to its end.
		_, _ = io.CopyN(io.Discard, body, maxTrailingBytes)
	}
}

func (c *streamConn) scanEvents(ctx context.Context, body io.Reader, from int64) error {
	charged := &lineCharge{r: body, memory: c.memory}
	defer charged.release()
	sc := bufio.NewScanner(charged)
	buf := lineBufferPool.Get().(*[4096]byte)
	defer lineBufferPool.Put(buf)
	sc.Buffer(buf[:0], maxEventBytes)
	for offset := from; sc.Scan(); {
		field, value, _ := bytes.Cut(sc.Bytes(), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case string(field) == "id":
			n, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				return errs.New("event id is not a decimal offset")
			}
			offset = n
		case string(field) != "data":
		case string(value) == doneMarker:
			return io.EOF
		default:
			ev, err := c.newEvent(offset, value)
			if err != nil {
				return err
			}
			select {
			case c.events <- ev:
				offset++
			case <-ctx.Done():
				c.memory.Release(ev.charged)
				return ctx.Err()
			}
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// newEvent returns an event with a copy of data. A large one is charged.
func (c *streamConn) newEvent(offset int64, data []byte) (Event, error) {
	ev := Event{Offset: offset}
	if len(data) > kcresponse.UnchargedBytes {
		ev.charged = int64(len(data))
		if err := c.memory.Hold(ev.charged); err != nil {
			return ev, err
		}
	}
	ev.Data = bytes.Clone(data)
	return ev, nil
}

// lineCopies is the memory of a line of an event, in its sizes: the buffers of the scanner
// before and after it has grown.
const lineCopies = 2

// lineCharge charges the longest line that was read so far, since the scanner keeps its
// buffer. Lines of ordinary events are not charged.
type lineCharge struct {
	r      io.Reader
	memory kcresponse.Memory
	// line is the number of bytes since the last end of a line, longest that of the
	// longest line that is charged.
	line, longest int
}

// Read implements io.Reader.
func (c *lineCharge) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	for part := p[:n]; ; {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			c.line += len(part)
		} else {
			c.line += end
		}
		if c.line > max(c.longest, kcresponse.UnchargedBytes) {
			// Doubles, so that a long line is charged in few steps.
			next := min(max(2*c.longest, c.line), maxEventBytes)
			if holdErr := c.memory.Hold(int64(lineCopies * (next - c.longest))); holdErr != nil {
				return 0, holdErr
			}
			c.longest = next
		}
		if end < 0 {
			return n, err
		}
		c.line, part = 0, part[end+1:]
	}
}

func (c *lineCharge) release() { c.memory.Release(int64(lineCopies * c.longest)) }

// idleTimer bounds each of many short waits with one clock timer, so that an
// event that arrives in time does not cost a timer of its own.
type idleTimer struct {
	clock     kcclock.Clock
	timeoutMs kcclock.Millis
	startedAt kcclock.Millis
	timer     <-chan struct{}
}

// reset starts a new wait.
func (t *idleTimer) reset() { t.startedAt = t.clock.Now() }

// timerC returns a channel that is closed at the earliest time at which the
// current wait may have expired.
func (t *idleTimer) timerC() <-chan struct{} {
	if t.timer == nil {
		t.timer = t.clock.After(t.startedAt + t.timeoutMs - t.clock.Now())
	}
	return t.timer
}

// expired reports whether the current wait has expired. It must be called after
// the channel of timerC was closed; the next call of timerC sets a new timer.
func (t *idleTimer) expired() bool {
	t.timer = nil
	return t.clock.Now()-t.startedAt >= t.timeoutMs
}
