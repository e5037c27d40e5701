// Package kcconn sends HTTP/1.1 requests over a pool of persistent connections.
// It writes a request once, to one connection, and never retries it. Each error
// reports whether a byte of the request may have reached the server. The client
// of net/http gives neither guarantee: it retries some requests on its own.
package kcconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var errHeaderTooLarge = errs.New("the headers of the response are larger than %d bytes", maxHeaderBytes)

// Options configures a Pool.
type Options struct {
	Clock kcclock.Clock
	// DialTimeoutMs limits the time to open a connection.
	DialTimeoutMs kcclock.Millis
	// UnackedTimeoutMs is how long sent data may stay unacknowledged before the
	// connection is considered broken. An idle connection is at the first keep-alive
	// probe that is due after nothing has arrived for as long.
	UnackedTimeoutMs kcclock.Millis
	// IdleTimeoutMs is how long an idle connection is kept. A shorter timeout that
	// the server announces takes precedence.
	IdleTimeoutMs kcclock.Millis
	// MaxIdlePerAddr limits the number of idle connections per address.
	MaxIdlePerAddr int
	// RequestIDHeader is the header that carries the request id, in requests and
	// responses.
	RequestIDHeader string
	// ServerIDHeader, if set, is the header of answers to probes that names the server.
	ServerIDHeader string
	// Dial, if set, opens the connections. Otherwise NewDialer does.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnDial, if set, is called after each attempt to open a connection.
	OnDial func(addr string, err error)
	// OnUnframedEnd, if set, is called when the end of a response without framing was
	// checked. via is the address of the peer that has passed its connection on, or empty.
	OnUnframedEnd func(via string, upstream Liveness)
}

// Pool holds idle connections by address.
type Pool struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = NewDialer(opts.DialTimeoutMs, opts.UnackedTimeoutMs)
	}
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// NewDialer returns a function that opens TCP connections within dialTimeout. A
// connection breaks once sent data is unacknowledged for unackedTimeout, and an idle
// one at the first keep-alive probe that is due after nothing has arrived for as long.
func NewDialer(dialTimeout, unackedTimeout kcclock.Millis) func(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout.Duration(), KeepAliveConfig: keepAlive(unackedTimeout),
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unackedTimeout) },
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// LimitSilence makes a connection break as those of NewDialer do.
func LimitSilence(nc *net.TCPConn, unackedTimeout kcclock.Millis) error {
	raw, err := nc.SyscallConn()
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Combine(nc.SetKeepAliveConfig(keepAlive(unackedTimeout)), setUserTimeout(raw, unackedTimeout))
}

func keepAlive(unackedTimeout kcclock.Millis) net.KeepAliveConfig {
	// The kernel counts in seconds.
	interval := max((unackedTimeout.Duration()/3 + time.Second - 1).Truncate(time.Second), time.Second)
	// TCP_USER_TIMEOUT decides when the probes give up, whatever their number.
	probes := max((unackedTimeout.Duration()-1)/interval, 1)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: int(probes)}
}

func setUserTimeout(raw syscall.RawConn, unackedTimeout kcclock.Millis) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
	})
	return errs.Combine(err, setErr)
}

// peerIdleTimeoutShare is the share of the server's idle timeout after which an
// idle connection is no longer reused. The margin keeps a request from being
// sent while the server closes the connection.
const peerIdleTimeoutShare = 0.7

// takeIdle removes a usable idle connection to addr from the pool and returns
// it, or nil if there is none. Requests that must not run twice set
// MaxConnIdleMs and only get a connection that was idle for less.
func (p *Pool) takeIdle(addr string, req *Request) *conn {
	now := p.opts.Clock.Now()
	for {
		c := p.removeIdle(addr, req.ID)
		if c == nil {
			return nil
		}
		limit := p.opts.IdleTimeoutMs
		if c.peerIdleTimeoutMs > 0 {
			limit = min(limit, kcclock.Millis(peerIdleTimeoutShare*float64(c.peerIdleTimeoutMs)))
		}
		if req.MaxConnIdleMs > 0 {
			limit = min(limit, req.MaxConnIdleMs)
		}
		if now-c.idleSince < limit && c.isOpenAndEmpty() {
			return c
		}
		_ = c.Close()
	}
}

// removeIdle removes the connection to addr that was used last and that may carry
// the request with an id. It returns nil if there is none.
func (p *Pool) removeIdle(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.mayCarry(id) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.opts.Dial(ctx, addr)
	if p.opts.OnDial != nil {
		p.opts.OnDial(addr, err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr), nil
}

// Refuses reports whether no server listens at addr. A connection that is accepted
// is kept for the next request.
func (p *Pool) Refuses(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(c)
	return false
}

// Liveness returns whether the server at addr lives, as EndCheck does. probePath,
// if set, is the path of a request that the server answers without running anything.
// Without one, a connection that stays open is kept for the next request. An answer that
// names another server than serverID means that the server has ended.
func (p *Pool) Liveness(ctx context.Context, addr, probePath, serverID string) Liveness {
	var c *conn
	check := EndCheck{SettleMs: endSettleMs, Dial: func(ctx context.Context) (net.Conn, error) {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
		return c.Conn, nil
	}}
	if p.opts.ServerIDHeader != "" {
		check.IsServer = func(h http.Header) bool {
			id := h.Get(p.opts.ServerIDHeader)
			return id == "" || id == serverID
		}
	}
	if probePath != "" {
		check.Probe = []byte("GET " + probePath + " HTTP/1.1\r\nHost: " + addr + "\r\nConnection: close\r\n\r\n")
	}
	found, open := check.Run(ctx)
	if open != nil {
		p.putIdle(c)
	}
	return found
}

// putIdle adds a connection to the pool, or closes it if it has unread data, must not be
// used again or the pool is full.
func (p *Pool) putIdle(c *conn) {
	if c.br.Buffered() > 0 || !c.isAtRest() {
		_ = c.Close()
		return
	}
	c.idleSince = p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.opts.MaxIdlePerAddr {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes the idle connections to addresses for which keep returns false, those
// that were idle for too long, and those that the peers on their way want to end.
func (p *Pool) Prune(keep func(addr string) bool) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if keep(addr) && now-c.idleSince < p.opts.IdleTimeoutMs && !c.isEndedByPeer() {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, addr)
			continue
		}
		clear(list[len(remaining):])
		p.idle[addr] = remaining
	}
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Prune(func(string) bool { return false }) }
