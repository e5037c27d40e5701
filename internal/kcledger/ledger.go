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
type Caller struct {
	c *conn
	// request is the number of the request on its connection. Charges end with it.
	request uint64
}

// CallerOf returns the caller of the request with a context, which must not have ended.
func CallerOf(ctx context.Context) *Caller {
	c, _ := ctx.Value(contextKey{}).(*conn)
	if c == nil {
		return nil
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return &Caller{c, c.a.requests}
}

// hasEnded reports whether the request has ended, and its charges with it.
func (k *Caller) hasEnded() bool {
	k.c.l.mu.Lock()
	defer k.c.l.mu.Unlock()
	return k.c.a.requests != k.request
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
	return k.readAnswer(r, most, false)
}

// ReadWholeAnswer reads an answer of an upstream that is not passed on before its end.
// If the ledger has no room, it waits, and returns what it has read if there is none
// after that.
func (k *Caller) ReadWholeAnswer(r io.Reader, most int64) (body []byte, whole bool, err error) {
	return k.readAnswer(r, most, true)
}

func (k *Caller) readAnswer(r io.Reader, most int64, wait bool) (body []byte, whole bool, err error) {
	r = io.LimitReader(r, most+1)
	if k == nil {
		body, err = io.ReadAll(r)
		return body, err == nil && int64(len(body)) <= most, err
	}
	body, full, err := k.read(r, most, wait)
	return body, !full && err == nil && int64(len(body)) <= most, err
}

// Hold charges bytes that are needed in addition, such as copies of a body. It
// returns ErrShort if there is no room. It does nothing after the end of the request.
func (k *Caller) Hold(n int64) error {
	if k == nil || n == 0 || k.hasEnded() || k.c.l.grow(k.c.a, n, true) {
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

// Release releases bytes that Hold has charged. It does nothing after the end of the
// request, since the next one on the connection has charges of its own.
func (k *Caller) Release(n int64) {
	if k != nil && n > 0 && !k.hasEnded() {
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
