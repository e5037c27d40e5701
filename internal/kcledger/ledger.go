// Package kcledger bounds the memory that callers can make a process hold. One
// ledger of bytes per process covers connections, headers and bodies that are
// being read, bodies that are kept for another attempt, and answers that are held
// for callers. When it is short, the slowest and the newest callers whose requests
// have not run are ended first.
package kcledger

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// connBytes is the charge of a connection: two goroutines, the buffers of
	// net/http and of the connection to an upstream, and the records of a request.
	connBytes = 32 << 10
	// headerFactor is the memory of a byte of headers. Headers of 6 bytes take 5
	// bytes of memory for each when they are parsed and 3 for each copy.
	headerFactor = 8
	// firstBufferBytes is the size of the buffer that a body is first read into.
	firstBufferBytes = 4 << 10
	// maxWritePiece is the part of an answer that is written at once. A caller that
	// takes longer than stuckMs for it reads less than 16 KB a second.
	maxWritePiece = 32 << 10
	// waitMs is how long a caller that the ledger has no room for waits, so that a
	// short burst refuses nobody. It is twice the time after which others count as
	// slow.
	waitMs = 2 * slowMs
	// retryMs is the time between two tries while no bytes are released.
	retryMs = 20 * kcclock.Millisecond
	// logIntervalMs bounds the log lines of each kind.
	logIntervalMs = kcclock.Second
)

// ErrShort is returned for a request that the ledger has no room for. It has not
// run.
var ErrShort = errors.New("no memory is left for the request")

// Events that are counted and logged.
const (
	eventRefused     = "memory.refused"
	eventCallerEnded = "memory.callersEnded"
	eventConnEnded   = "connections.ended"
	eventConnRefused = "connections.refused"
)

// Options configures a Ledger.
type Options struct {
	Limits Limits
	Clock  kcclock.Clock
	Log    *slog.Logger
	// Count counts an event.
	Count func(name string)
	// Gauge registers a gauge.
	Gauge func(name string, read func() int64)
}

// Ledger bounds what the callers of a process hold.
type Ledger struct {
	opts Options

	mu   sync.Mutex
	book *book
	// released is closed and replaced when bytes are released and waiters, the
	// callers that wait for that, is above 0.
	released chan struct{}
	waiters  int
	conns    map[*account]*conn
	events   map[string]*eventLog
}

// eventLog bounds the log lines of one event.
type eventLog struct {
	loggedAt   kcclock.Millis
	suppressed int
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	l := &Ledger{
		opts: opts, book: newBook(opts.Limits.LedgerBytes, connBytes, opts.Limits.MaxConns), released: make(chan struct{}),
		conns: make(map[*account]*conn), events: make(map[string]*eventLog),
	}
	opts.Gauge("memory.ledgerBytes", func() int64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.book.used
	})
	opts.Gauge("memory.ledgerLimitBytes", func() int64 { return opts.Limits.LedgerBytes })
	opts.Gauge("connections.open", func() int64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return int64(len(l.book.accounts))
	})
	opts.Gauge("connections.limit", func() int64 { return int64(opts.Limits.MaxConns) })
	return l
}

// Attach makes a server keep the ledger. The server must serve a listener that
// Listener returns.
func (l *Ledger) Attach(s *http.Server) {
	onState := s.ConnState
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := unwrap(nc); c != nil {
			c.stateChanged(state)
		}
		if onState != nil {
			onState(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, unwrap(nc))
	}
}

type contextKey struct{}

func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Caller is the caller of a request. A nil Caller, that of a request that did not
// arrive on a connection of the ledger, is not bounded.
type Caller struct{ c *conn }

// CallerOf returns the caller of the request with a context.
func CallerOf(ctx context.Context) *Caller {
	if c, _ := ctx.Value(contextKey{}).(*conn); c != nil {
		return &Caller{c}
	}
	return nil
}

// ReadBody reads a body to its end. The buffer grows with what arrives; most is
// the largest size that the body can have. The charge is kept until the request
// has ended. It returns ErrShort if the ledger has no room, or the caller was
// ended for others.
func (k *Caller) ReadBody(r io.Reader, most int64) ([]byte, error) {
	if k == nil {
		return io.ReadAll(r)
	}
	l, a := k.c.l, k.c.a
	l.enter(a, reading)
	body, full, err := k.read(r, most, true)
	if full || err != nil && l.hasEnded(a) {
		l.shrink(a, int64(cap(body)))
		l.record(eventRefused)
		return nil, ErrShort
	}
	l.enter(a, running)
	return body, err
}

// ReadAnswer reads an answer of an upstream up to a size. If the ledger has no
// room, it returns what it has read so far, and the rest is to be passed on as it
// arrives: an answer is never refused.
func (k *Caller) ReadAnswer(r io.Reader, most int64) (body []byte, whole bool, err error) {
	r = io.LimitReader(r, most+1)
	if k == nil {
		body, err = io.ReadAll(r)
		return body, err == nil && int64(len(body)) <= most, err
	}
	body, full, err := k.read(r, most, false)
	return body, !full && err == nil && int64(len(body)) <= most, err
}

// Hold charges bytes that are needed in addition, such as copies of a body. It
// returns ErrShort if there is no room.
func (k *Caller) Hold(n int64) error {
	if k == nil || n == 0 || k.c.l.grow(k.c.a, n, true) {
		return nil
	}
	k.c.l.record(eventRefused)
	return ErrShort
}

// Keep charges bytes of an answer that is held for the caller. It is never refused.
func (k *Caller) Keep(n int64) {
	if k == nil {
		return
	}
	k.c.l.mu.Lock()
	defer k.c.l.mu.Unlock()
	k.c.l.book.keep(k.c.a, n)
}

// Release releases bytes that Hold has charged.
func (k *Caller) Release(n int64) {
	if k != nil {
		k.c.l.shrink(k.c.a, n)
	}
}

// read reads until the end of r, until the ledger is full, or until there is more
// than most.
func (k *Caller) read(r io.Reader, most int64, wait bool) (body []byte, full bool, err error) {
	l, a := k.c.l, k.c.a
	for {
		if len(body) == cap(body) {
			old := int64(cap(body))
			// One byte more than the largest size lets the reader meet the end.
			next := min(max(2*old, firstBufferBytes), max(most, old)+1)
			if !l.grow(a, next, wait) {
				return body, true, nil
			}
			body = append(make([]byte, 0, next), body...)
			l.shrink(a, old)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) || err == nil && int64(len(body)) > most {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// grow charges bytes. If no caller may be ended for them, it waits up to waitMs if
// wait is set. Bytes of callers that have been ended are always waited for.
func (l *Ledger) grow(a *account, n int64, wait bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { a.queued = false }()
	begin := l.opts.Clock.Now()
	for !a.ended {
		now := l.opts.Clock.Now()
		v, victims := l.book.grow(now, a, n)
		l.endLocked(victims...)
		if v == granted {
			if a.queued {
				a.progressAt = now
			}
			return true
		}
		if now-begin >= waitMs || v == short && !wait {
			return false
		}
		a.queued = true
		l.awaitReleaseLocked()
	}
	return false
}

// endLocked ends callers that the book has chosen.
func (l *Ledger) endLocked(victims ...*account) {
	for _, a := range victims {
		l.conns[a].end(a.phase == running)
		if a.phase == reading || a.held > 0 {
			l.recordLocked(eventCallerEnded)
		} else {
			l.recordLocked(eventConnEnded)
		}
	}
}

// awaitReleaseLocked waits until bytes are released, or retryMs if none are. It
// unlocks the mutex meanwhile.
func (l *Ledger) awaitReleaseLocked() {
	released := l.released
	l.waiters++
	l.mu.Unlock()
	select {
	case <-released:
	case <-l.opts.Clock.After(retryMs):
	}
	l.mu.Lock()
	l.waiters--
}

func (l *Ledger) shrink(a *account, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.shrink(a, n)
	l.announceRelease()
}

func (l *Ledger) enter(a *account, p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.enter(l.opts.Clock.Now(), a, p)
	if c := l.conns[a]; c != nil && p == running {
		c.resume()
	}
	l.announceRelease()
}

func (l *Ledger) hasEnded(a *account) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.ended
}

// announceRelease wakes the callers that wait for bytes.
func (l *Ledger) announceRelease() {
	if l.waiters == 0 {
		return
	}
	close(l.released)
	l.released = make(chan struct{})
}

func (l *Ledger) record(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(event)
}

// recordLocked counts an event and logs it, at most once in logIntervalMs.
func (l *Ledger) recordLocked(event string) {
	l.opts.Count(event)
	e, now := l.events[event], l.opts.Clock.Now()
	suppressed := 0
	if e != nil {
		if now-e.loggedAt < logIntervalMs {
			e.suppressed++
			return
		}
		suppressed = e.suppressed
	}
	l.events[event] = &eventLog{loggedAt: now}
	l.opts.Log.Warn("callers exceed the memory or the connections", "event", event, "notLogged", suppressed,
		"ledgerBytes", l.book.used, "limitBytes", l.opts.Limits.LedgerBytes,
		"connections", len(l.book.accounts), "maxConnections", l.opts.Limits.MaxConns)
}

// Listener returns a listener that accepts the connections of ln within the
// ledger.
func (l *Ledger) Listener(ln net.Listener) net.Listener { return &listener{ln, l} }

type listener struct {
	net.Listener
	l *Ledger
}

// Accept returns the next connection. If there is no room for one, it ends the
// connection that has been silent for longest, and waits. Callers that connect
// meanwhile wait in the queue of the operating system.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.l.open(nc); c != nil {
			return c, nil
		}
		ln.l.record(eventConnRefused)
		_ = nc.Close()
	}
}

// open charges a new connection, and waits for room up to waitMs.
func (l *Ledger) open(nc net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	begin := l.opts.Clock.Now()
	for {
		now := l.opts.Clock.Now()
		a, victim := l.book.open(now)
		if a != nil {
			c := &conn{Conn: nc, l: l, a: a}
			l.conns[a] = c
			return c
		}
		if victim != nil {
			l.endLocked(victim)
		}
		if now-begin >= waitMs {
			return nil
		}
		l.awaitReleaseLocked()
	}
}

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
