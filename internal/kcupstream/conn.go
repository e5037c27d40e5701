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

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// eventBufferSize bounds the events that are read ahead of a slow caller. A
	// full buffer stops the reading, and TCP passes that on to the engine.
	eventBufferSize = 4
	// maxEventBytes bounds one event line.
	maxEventBytes = 1 << 20
	// maxTrailingBytes bounds what is read after the end of an answer.
	maxTrailingBytes = 4 << 10
	doneMarker       = "[DONE]"
)

// lineBufferPool saves a buffer per answer. Lines that do not fit get a larger one
// from the scanner.
var lineBufferPool = sync.Pool{New: func() any { return new([4096]byte) }}

// streamConn is one connection that carries events.
type streamConn struct {
	events chan Event
	err    error // valid once events is closed
	cancel context.CancelFunc
	// ended is closed once the connection is back in the pool or closed.
	ended chan struct{}
}

// run reads server-sent events until the answer ends. Its owner learns of the
// end by the closed channel events.
func (c *streamConn) run(ctx context.Context, body io.ReadCloser, from int64) {
	defer close(c.ended)
	defer c.cancel()
	defer func() { _ = body.Close() }()
	c.err = c.scanEvents(ctx, body, from)
	close(c.events)
	if errors.Is(c.err, io.EOF) {
		// Only a body that was read to its end returns the connection to the
		// pool.
		_, _ = io.CopyN(io.Discard, body, maxTrailingBytes)
	}
}

func (c *streamConn) scanEvents(ctx context.Context, body io.Reader, from int64) error {
	sc := bufio.NewScanner(body)
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
				return errs.New("event id is no offset")
			}
			offset = n
		case string(field) != "data":
		case string(value) == doneMarker:
			return io.EOF
		default:
			select {
			case c.events <- Event{Offset: offset, Data: bytes.Clone(value)}:
				offset++
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// idleTimer bounds a wait. It keeps one timer over many short waits, so that
// an event that arrives in time costs no timer of its own.
type idleTimer struct {
	clock     kcclock.Clock
	timeoutMs kcclock.Millis
	startedAt kcclock.Millis
	timer     <-chan struct{}
}

// begin starts a new wait.
func (t *idleTimer) reset() { t.startedAt = t.clock.Now() }

// wait returns a channel that is closed at the earliest time at which the
// current wait may have expired.
func (t *idleTimer) timerC() <-chan struct{} {
	if t.timer == nil {
		t.timer = t.clock.After(t.startedAt + t.timeoutMs - t.clock.Now())
	}
	return t.timer
}

// expired reports whether the wait is over after the channel was closed.
func (t *idleTimer) expired() bool {
	t.timer = nil
	return t.clock.Now()-t.startedAt >= t.timeoutMs
}
