package kcdetour

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// TunnelPath is the URL path of the relay. The address of the upstream follows it.
	TunnelPath = "/tunnel/"
	// instanceParam is the query parameter with the id of the instance that a request is
	// meant for.
	instanceParam = "instance"
	// failureHeader tells how the relay failed to reach the upstream.
	failureHeader = "Tunnel-Failure"

	// MaxTunnels bounds the tunnels that one instance passes on. Each takes two
	// descriptors, of the 4,100 of the known machines.
	MaxTunnels = 256
	// relayDialTimeoutMs bounds a connection for a peer, which waits for it: ten round
	// trips between regions.
	relayDialTimeoutMs = 250 * kcclock.Millisecond
	// closeIdleMs is when a tunnel without traffic is closed during a shutdown. Requests
	// that must not be repeated are not sent on connections that were idle for so long.
	closeIdleMs = 1600 * kcclock.Millisecond
	// sweepIntervalMs is the time between looks for such tunnels.
	sweepIntervalMs = 100 * kcclock.Millisecond
)

// Relay passes connections of peers on to upstreams.
type Relay struct {
	Clock kcclock.Clock
	Log   *slog.Logger
	// Count, if set, counts an event by name.
	Count func(name string)
	// InstanceID identifies this instance. Requests for another one are refused.
	InstanceID string
	// OnForeign, if set, is called with the address of a peer whose request was meant
	// for another instance.
	OnForeign func(addr string)
	// Direct opens a connection of this instance to an upstream.
	Direct func(ctx context.Context, addr string) (net.Conn, error)
	// Reach records these connections.
	Reach *Reach
	// UnackedTimeoutMs, if set, is how long data may stay unacknowledged by a peer before
	// its tunnel ends, as kcconn.NewDialer does.
	UnackedTimeoutMs kcclock.Millis
	// CutOff, if set, reports whether this instance needs peers itself.
	CutOff func() bool
	// Known reports whether an address is that of an upstream. No other one is
	// connected to.
	Known func(addr string) bool

	mu sync.Mutex
	// tunnels holds the open tunnels.
	tunnels  map[*passage]bool
	draining bool
}

// Open returns the number of open tunnels.
func (r *Relay) Open() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.tunnels))
}

// ServeHTTP opens a tunnel.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	addr := strings.TrimPrefix(req.URL.Path, TunnelPath)
	switch {
	case req.URL.Query().Get(instanceParam) != r.InstanceID:
		if r.OnForeign != nil {
			r.OnForeign(req.RemoteAddr)
		}
		r.refuse(w, http.StatusForbidden, "foreign")
	case !r.Known(addr):
		r.refuse(w, http.StatusNotFound, "unknown")
	case r.CutOff != nil && r.CutOff():
		r.refuse(w, http.StatusServiceUnavailable, "cutOff")
	case !r.mayOpen():
		r.refuse(w, http.StatusServiceUnavailable, "busy")
	default:
		r.open(w, req, addr)
	}
}

func (r *Relay) mayOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && len(r.tunnels) < MaxTunnels
}

func (r *Relay) refuse(w http.ResponseWriter, status int, reason string) {
	r.count("relay.refused." + reason)
	w.Header().Set(failureHeader, reason)
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// open connects to the upstream and passes bytes on until either side ends.
func (r *Relay) open(w http.ResponseWriter, req *http.Request, addr string) {
	ctx, cancel := kcclock.WithTimeout(req.Context(), r.Clock, relayDialTimeoutMs)
	defer cancel()
	far, err := r.Direct(ctx, addr)
	r.Reach.Record(addr, err)
	if err != nil {
		reason := "cutOff"
		if failure, _ := ClassifyFailure(err); r.Reach.LostMs() == 0 {
			reason = string(failure)
		}
		r.refuse(w, http.StatusBadGateway, reason)
		return
	}
	near, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = far.Close()
		r.Log.Error("cannot take over the connection of a peer", "peer", req.RemoteAddr, "error", err)
		return
	}
	p := newPassage(r.Clock, near, far, acceptsFrames(req))
	r.track(p)
	defer r.untrack(p)
	defer p.close()
	r.limitSilence(near)
	_ = near.SetDeadline(time.Time{})
	_, err = io.WriteString(near, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+p.protocol()+"\r\n\r\n")
	if err != nil {
		return // the peer has given up
	}
	r.count("relay.tunnels")
	r.count("relay.ended." + string(p.run()))
}

// limitSilence ends the tunnel of a peer that falls silent. Its upstream would work on
// for nobody.
func (r *Relay) limitSilence(near net.Conn) {
	tcp, ok := near.(*net.TCPConn)
	if !ok || r.UnackedTimeoutMs == 0 {
		return
	}
	if err := kcconn.LimitSilence(tcp, r.UnackedTimeoutMs); err != nil {
		r.Log.Warn("cannot limit the silence of a peer", "peer", near.RemoteAddr(), "error", err)
	}
}

func (r *Relay) track(p *passage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tunnels == nil {
		r.tunnels = make(map[*passage]bool)
	}
	r.tunnels[p] = true
	if r.draining && p.framed {
		p.stop()
	}
}

func (r *Relay) untrack(p *passage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tunnels, p)
}

// Drain refuses new tunnels, and waits until the open ones have ended or ctx is done.
// Peers that know frames are told to end them. Those of other peers are closed when they
// are without traffic.
func (r *Relay) Drain(ctx context.Context) {
	r.mu.Lock()
	told := r.draining
	r.draining = true
	for p := range r.tunnels {
		if p.framed && !told {
			p.stop()
		}
	}
	r.mu.Unlock()
	for r.closeIdle() > 0 && kcclock.Wait(ctx, r.Clock, sweepIntervalMs) == nil {
	}
}

// closeIdle closes the tunnels without frames and traffic, and returns the number of open
// ones.
func (r *Relay) closeIdle() int {
	now := int64(r.Clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.tunnels {
		if !p.framed && now-p.activeAt.Load() >= int64(closeIdleMs) {
			p.close()
		}
	}
	return len(r.tunnels)
}

func (r *Relay) count(name string) {
	if r.Count != nil {
		r.Count(name)
	}
}
