package kcledger

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// conn is the connection of a caller.
type conn struct {
	net.Conn
	l *Ledger
	a *account

	mu sync.Mutex
	// ended is true once reads of the connection have been ended, writesEnded once
	// writes have been.
	ended, writesEnded bool
	close              sync.Once
}

// Read reads from the connection and charges headers.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.l.mu.Lock()
	c.l.book.receive(c.l.opts.Clock.Now(), c.a, int64(n))
	isHeader := c.a.phase == waiting
	c.l.mu.Unlock()
	if isHeader && !c.l.grow(c.a, headerFactor*int64(n), true) {
		c.l.record(eventRefused)
		return 0, ErrShort
	}
	return n, err
}

// Write writes to the connection. The bytes are charged meanwhile unless they are
// a part of what the connection holds already.
func (c *conn) Write(p []byte) (int, error) {
	l, a := c.l, c.a
	l.mu.Lock()
	extra := max(int64(len(p))-a.held, 0)
	l.book.keep(a, extra)
	a.writing = true
	l.mu.Unlock()
	n, err := c.writePieces(p)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.writing = false
	l.book.shrink(a, extra)
	l.announceRelease()
	return n, err
}

// writePieces writes in pieces, so that a caller that reads a long answer slowly but
// steadily does not look like one that does not read.
func (c *conn) writePieces(p []byte) (written int, err error) {
	for more := true; more; more = written < len(p) && err == nil {
		c.l.mu.Lock()
		c.a.writeAt = c.l.opts.Clock.Now()
		c.l.mu.Unlock()
		var n int
		n, err = c.Conn.Write(p[written:min(written+maxWritePiece, len(p))])
		written += n
	}
	return written, err
}

// SetWriteDeadline sets the deadline of writes unless they have been ended.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesEnded {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads unless they have been ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// end makes reads fail, and writes as well if the caller does not read its answer.
// A request that was read completely before is still served, and one whose body is
// being read is refused with an answer, which closing the connection would prevent.
func (c *conn) end(writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.writesEnded = true, writes
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	if writes {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// resume makes reads succeed again.
func (c *conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.ended = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// stateChanged follows the state that net/http reports. A connection is new or idle
// until its headers have been read.
func (c *conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.l.enter(c.a, running)
	case http.StateIdle:
		c.l.enter(c.a, waiting)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// CloseWrite ends the sending side, so that a caller that still sends can read the
// answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases its charge.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.close.Do(func() {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.l.book.remove(c.a)
		delete(c.l.conns, c.a)
		c.l.announceRelease()
	})
	return err
}
