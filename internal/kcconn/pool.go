// Package kcconn sends HTTP/1.1 requests over kept connections. A request is
// written to one connection once and never repeated, and each failure tells
// whether a byte of the request may have reached the other side. The client of
// net/http repeats some requests unseen.
package kcconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var errHeaderTooLarge = errs.New("the headers of the answer are larger than %d bytes", maxHeaderBytes)

// Options configures a Pool.
type Options struct {
	Clock kcclock.Clock
	// DialTimeoutMs bounds the time to open a connection.
	DialTimeoutMs kcclock.Millis
	// UnackedTimeoutMs is how long sent bytes may stay unacknowledged and how long an
	// idle connection may stay without an answer to a keep-alive probe before
	// it counts as broken.
	UnackedTimeoutMs kcclock.Millis
	// IdleTimeoutMs is how long a connection is kept if the other side does not say.
	IdleTimeoutMs kcclock.Millis
	// MaxIdlePerAddr bounds the kept connections per address.
	MaxIdlePerAddr int
	// RequestIDHeader is the header that carries the id of a request and its answer.
	RequestIDHeader string
	// OnDial, if set, is told about each new connection.
	OnDial func(addr string, err error)
}

// Pool keeps connections per address.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	probeInterval := max(opts.UnackedTimeoutMs.Duration()/3, time.Second)
	return &Pool{
		opts: opts,
		idle: make(map[string][]*conn),
		dialer: net.Dialer{
			Timeout:         opts.DialTimeoutMs.Duration(),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 3},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var setErr error
				err := raw.Control(func(fd uintptr) {
					setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(opts.UnackedTimeoutMs))
				})
				return errs.Combine(err, setErr)
			},
		},
	}
}

// peerIdleTimeoutShare is the part of the time that the other side keeps a connection
// for which it is used, so that a request does not cross its close.
const peerIdleTimeoutShare = 0.7

// kept returns a kept connection that is still usable. Requests that may not
// run twice are only given one that was used within maxConnIdleMs, 0 means any.
func (p *Pool) takeIdle(addr string, maxConnIdleMs kcclock.Millis) *conn {
	now := p.opts.Clock.Now()
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		limit := p.opts.IdleTimeoutMs
		if c.peerIdleTimeoutMs > 0 {
			limit = min(limit, kcclock.Millis(peerIdleTimeoutShare*float64(c.peerIdleTimeoutMs)))
		}
		if maxConnIdleMs > 0 {
			limit = min(limit, maxConnIdleMs)
		}
		if now-c.idleSince < limit && c.isOpenAndEmpty() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if p.opts.OnDial != nil {
		p.opts.OnDial(addr, err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr), nil
}

func (p *Pool) putIdle(c *conn) {
	if c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince, c.reused = p.opts.Clock.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.opts.MaxIdlePerAddr {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Keep closes the connections to addresses for which keep returns false and
// those that were idle for too long.
func (p *Pool) Prune(keep func(addr string) bool) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if keep(addr) && now-c.idleSince < p.opts.IdleTimeoutMs {
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

// Close closes all idle connections.
func (p *Pool) Close() { p.Prune(func(string) bool { return false }) }
