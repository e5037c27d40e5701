package kcdetour

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// headStartMs is how long a connection of this instance may take before a peer is
	// asked as well: four round trips between regions.
	headStartMs = 100 * kcclock.Millisecond
	// nextPeerMs is the time after which another peer is asked, maxPeers the number of
	// peers for one connection: some peers may be cut off too.
	nextPeerMs = 100 * kcclock.Millisecond
	maxPeers   = 4
	// probeIntervalMs is the time between connections of this instance to an upstream
	// that it reaches through peers.
	probeIntervalMs = 500 * kcclock.Millisecond
	// unhelpfulMs is how long a peer is not asked that cannot help.
	unhelpfulMs = 1000 * kcclock.Millisecond
	// minDetoured is the least number of upstreams that must be reached through peers only
	// before the instance counts as cut off, cutOffShare their least share.
	minDetoured = 2
	cutOffShare = 0.5
	// minRefusals is the number of peers that must find that an upstream refuses
	// connections.
	minRefusals = 2
	// maxHeadBytes bounds the response of a peer to the request for a tunnel.
	maxHeadBytes = 4 << 10
)

// Peer is an instance that may pass connections on.
type Peer struct {
	Addr string
	// ID identifies the instance that is expected at Addr.
	ID string
}

// Dialer opens connections to upstreams: connections of its own or, while these fail,
// tunnels through a peer. A tunnel carries the bytes as they are, so that nothing of a
// request depends on the way that its connection takes. It ends with io.EOF only if the
// upstream has ended its connection in order. A peer passes a tunnel on to the upstream
// only, never to another peer.
type Dialer struct {
	Clock kcclock.Clock
	Log   *slog.Logger
	// Count, if set, counts an event by name.
	Count func(name string)
	// Reach records the connections of this instance.
	Reach *Reach
	// Direct opens a connection of this instance to an upstream, DialPeer one to a peer.
	Direct, DialPeer func(ctx context.Context, addr string) (net.Conn, error)
	// TimeoutMs bounds all ways to an upstream together.
	TimeoutMs kcclock.Millis
	// Peers returns the peers, those to be asked first at the front.
	Peers func() []Peer
	// Upstreams returns the number of upstreams.
	Upstreams func() int
	// OnDetour, if set, is called with an upstream that from now on is reached through
	// peers, OnCutOff when most likely none is reached in another way.
	OnDetour func(addr string)
	OnCutOff func()

	mu sync.Mutex
	// detours holds the upstreams that are reached through peers, ownAt when those that
	// are not were last connected to without one.
	detours map[string]*detour
	ownAt   map[string]kcclock.Millis
	// unhelpfulUntil holds the peers that could not help lately.
	unhelpfulUntil map[string]kcclock.Millis
	// bare holds the peers whose last tunnel had no frames. Responses without framing
	// cannot be told to be whole behind these.
	bare   kcset.Set[string]
	cutOff bool
}

// detour is the state of an upstream that is reached through peers.
type detour struct {
	since kcclock.Millis
	// probeAt is when a connection of this instance is tried next.
	probeAt kcclock.Millis
}

// way is the outcome of one way to an upstream.
type way struct {
	conn net.Conn
	err  error
	// peer is empty for a connection of this instance.
	peer Peer
	// startedAt is when the way was begun.
	startedAt kcclock.Millis
}

// Dial opens a connection to an upstream.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := kcclock.WithTimeout(ctx, d.Clock, d.TimeoutMs)
	defer cancel()
	a := &dialing{d: d, addr: addr, startedAt: d.Clock.Now(), results: make(chan way)}
	detoured, probe := d.route(addr)
	if probe {
		a.startDirect(ctx)
	}
	next := headStartMs
	if detoured {
		next = 0
	}
	conn, err := a.run(ctx, next)
	cancel()
	a.drain()
	return conn, err
}

// route reports whether an upstream is reached through peers, and whether a connection
// of this instance is to be tried now.
func (d *Dialer) route(addr string) (detoured, probe bool) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.detours[addr]
	if state == nil {
		return false, true
	}
	if probe = now >= state.probeAt; probe {
		state.probeAt = now + probeIntervalMs
	}
	return true, probe
}

// CutOff reports whether the instance reaches its upstreams through peers only.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// dialing is one call of Dial.
type dialing struct {
	d         *Dialer
	addr      string
	startedAt kcclock.Millis
	results   chan way
	// running is the number of ways whose outcome is not read yet.
	running int
	// direct is true once a connection of this instance was started, directErr how it
	// failed.
	direct    bool
	directErr error
	peers     []Peer
	asked     int
	// refusals is the number of peers to which the upstream refuses connections.
	refusals int
}

// down reports whether the upstream itself is down, as far as peers can tell. One of
// them may be cut off without knowing it.
func (a *dialing) down() bool { return a.refusals >= minRefusals }

func (a *dialing) startDirect(ctx context.Context) {
	a.direct = true
	a.start(func() way {
		conn, err := a.d.Direct(ctx, a.addr)
		return way{conn: conn, err: err}
	})
}

func (a *dialing) start(open func() way) {
	a.running++
	startedAt := a.d.Clock.Now()
	go func() {
		w := open()
		w.startedAt = startedAt
		a.results <- w
	}()
}

// askPeer starts a tunnel through the next peer. It returns false if there is none.
func (a *dialing) askPeer(ctx context.Context) bool {
	if a.peers == nil {
		a.peers = a.d.helpfulPeers()
	}
	if a.asked >= min(len(a.peers), maxPeers) || a.down() {
		return false
	}
	peer := a.peers[a.asked]
	a.asked++
	a.start(func() way {
		conn, err := a.d.openTunnel(ctx, peer, a.addr)
		return way{conn: conn, err: err, peer: peer}
	})
	return true
}

// run returns the first connection that is opened. next is the time until the first
// peer is asked.
func (a *dialing) run(ctx context.Context, next kcclock.Millis) (net.Conn, error) {
	for {
		var timer <-chan struct{}
		switch {
		case next > 0:
			timer = a.d.Clock.After(next)
		case a.askPeer(ctx):
			next = nextPeerMs
			continue
		case !a.direct && a.running == 0:
			a.startDirect(ctx)
		}
		if a.running == 0 || a.down() {
			return nil, a.failure(ctx)
		}
		select {
		case w := <-a.results:
			a.running--
			if w.err == nil {
				a.d.opened(a, w)
				return w.conn, nil
			}
			a.failed(ctx, w)
			next = 0
		case <-timer:
			next = 0
		}
	}
}

// failed records a way that has failed.
func (a *dialing) failed(ctx context.Context, w way) {
	if w.peer.Addr == "" {
		a.directErr = w.err
		a.d.Reach.Record(a.addr, w.err)
		return
	}
	a.d.count("upstream.detourFailed")
	switch {
	case errors.Is(w.err, errUpstreamRefuses):
		a.refusals++
	case errors.Is(w.err, errUpstreamUnreached):
	case ctx.Err() == nil, a.d.Clock.Now()-w.startedAt >= nextPeerMs:
		a.d.recordUnhelpful(w.peer)
	}
}

// failure returns the error of a connection that could not be opened in any way.
func (a *dialing) failure(ctx context.Context) error {
	switch {
	case a.down():
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case a.directErr != nil:
		return a.directErr
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: context.Cause(ctx)}
}

// drain reads the outcome of the ways that are still running, whose context has ended.
func (a *dialing) drain() {
	for ; a.running > 0; a.running-- {
		if w := <-a.results; w.err == nil {
			_ = w.conn.Close()
		}
	}
}

// opened records a connection that was opened.
func (d *Dialer) opened(a *dialing, w way) {
	if w.peer.Addr == "" {
		d.Reach.Record(a.addr, nil)
		d.endDetour(a.addr)
		return
	}
	d.count("upstream.detours")
	if a.direct && a.directErr == nil {
		d.Reach.Record(a.addr, os.ErrDeadlineExceeded)
	}
	d.beginDetour(a, w.peer)
}

func (d *Dialer) beginDetour(a *dialing, peer Peer) {
	upstreams := d.Upstreams()
	now := d.Clock.Now()
	d.mu.Lock()
	if d.detours[a.addr] != nil || d.ownAt[a.addr] >= a.startedAt {
		d.mu.Unlock()
		return
	}
	if d.detours == nil {
		d.detours = make(map[string]*detour)
	}
	d.detours[a.addr] = &detour{since: now, probeAt: now + probeIntervalMs}
	n := len(d.detours)
	cutOff := !d.cutOff && n >= minDetoured && float64(n) >= cutOffShare*float64(upstreams)
	d.cutOff = d.cutOff || cutOff
	d.mu.Unlock()
	d.Log.Warn("upstream is reached through a peer", "address", a.addr, "peer", peer.Addr, "error", a.directErr, "detours", n)
	if d.OnDetour != nil {
		d.OnDetour(a.addr)
	}
	if cutOff {
		d.Log.Warn("cut off from upstreams, connecting through peers", "detours", n)
		if d.OnCutOff != nil {
			d.OnCutOff()
		}
	}
}

func (d *Dialer) endDetour(addr string) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ownAt == nil {
		d.ownAt = make(map[string]kcclock.Millis)
	}
	d.ownAt[addr] = now
	state := d.detours[addr]
	if state == nil {
		return
	}
	delete(d.detours, addr)
	d.cutOff = false
	d.Log.Info("upstream is reached without a peer again", "address", addr, "detourMs", now-state.since, "detours", len(d.detours))
}

// Prune forgets the upstreams for which keep returns false.
func (d *Dialer) Prune(keep func(addr string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	drop := func(addr string) bool { return !keep(addr) }
	maps.DeleteFunc(d.detours, func(addr string, _ *detour) bool { return drop(addr) })
	maps.DeleteFunc(d.ownAt, func(addr string, _ kcclock.Millis) bool { return drop(addr) })
	d.cutOff = d.cutOff && len(d.detours) > 0
}

// helpfulPeers returns the peers that may help, those without frames last. While no
// instance reaches the upstreams, that is none for most of the time, and a request is
// rejected at once.
func (d *Dialer) helpfulPeers() []Peer {
	list, now := d.Peers(), d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var bare []Peer
	helpful := make([]Peer, 0, len(list))
	for _, p := range list {
		if now < d.unhelpfulUntil[p.Addr] {
			continue
		}
		delete(d.unhelpfulUntil, p.Addr)
		if d.bare.Has(p.Addr) {
			bare = append(bare, p)
			continue
		}
		helpful = append(helpful, p)
	}
	return append(helpful, bare...)
}

// recordProtocol records whether a peer sends frames.
func (d *Dialer) recordProtocol(p Peer, framed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case framed:
		delete(d.bare, p.Addr)
	case d.bare == nil:
		d.bare = kcset.New(p.Addr)
	default:
		d.bare.Add(p.Addr)
	}
}

func (d *Dialer) recordUnhelpful(p Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unhelpfulUntil == nil {
		d.unhelpfulUntil = make(map[string]kcclock.Millis)
	}
	d.unhelpfulUntil[p.Addr] = d.Clock.Now() + unhelpfulMs
}

func (d *Dialer) count(name string) {
	if d.Count != nil {
		d.Count(name)
	}
}

// errUpstreamRefuses means that a peer reaches the machine of the upstream, where nothing
// listens at its address.
var errUpstreamRefuses = errs.New("the upstream refuses connections of the peer")

// errUpstreamUnreached means that a peer, which is not cut off as far as it knows, does
// not reach the upstream either.
var errUpstreamUnreached = errs.New("the peer does not reach the upstream")

// openTunnel opens a connection to an upstream through a peer.
func (d *Dialer) openTunnel(ctx context.Context, peer Peer, addr string) (net.Conn, error) {
	nc, err := d.DialPeer(ctx, peer.Addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close()
		return nil, errs.New("the connection to peer %s is no TCP connection", peer.Addr)
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.SetDeadline(time.Now()) })
	t, err := requestTunnel(tcp, peer, addr)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	d.recordProtocol(peer, t.framed)
	return t, nil
}

// requestTunnel asks a peer for a tunnel and reads its response. Frames may follow at
// once.
func requestTunnel(tcp *net.TCPConn, peer Peer, addr string) (*tunnel, error) {
	query := url.Values{instanceParam: {peer.ID}}
	_, err := io.WriteString(tcp, "GET "+TunnelPath+addr+"?"+query.Encode()+" HTTP/1.1\r\nHost: "+peer.Addr+
		"\r\nConnection: Upgrade\r\nUpgrade: "+framedProtocol+", "+bareProtocol+"\r\n\r\n")
	if err != nil {
		return nil, err
	}
	br := bufio.NewReader(io.LimitReader(tcp, maxHeadBytes))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close() // of the head alone: the connection is closed or becomes the tunnel
	if resp.StatusCode == http.StatusSwitchingProtocols {
		ahead, err := br.Peek(br.Buffered())
		framed := resp.Header.Get("Upgrade") == framedProtocol
		return &tunnel{Conn: tcp, tcp: tcp, peer: peer.Addr, framed: framed, ahead: bytes.Clone(ahead)}, err
	}
	switch Failure(resp.Header.Get(failureHeader)) {
	case Refused:
		return nil, errUpstreamRefuses
	case TimedOut, Reset, Other:
		return nil, errUpstreamUnreached
	}
	return nil, errs.New("the peer answered with status %d (%s)", resp.StatusCode, resp.Header.Get(failureHeader))
}
