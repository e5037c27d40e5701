package kcdetour_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// serveTCP runs an upstream that handles each connection with a function, once a byte of
// a request has come.
func serveTCP(t *testing.T, handle func(c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			handle(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return ln.Addr().String()
}

// newRelay returns a relay that reaches upstreams, and the peer that it is for others.
func newRelay(tb testing.TB) (*kcdetour.Relay, kcdetour.Peer) {
	tb.Helper()
	log := slog.New(slog.DiscardHandler)
	r := &kcdetour.Relay{
		Clock: kcclock.System{}, Log: log, InstanceID: "7", Direct: dialTCP, Known: func(string) bool { return true },
		Reach: &kcdetour.Reach{Clock: kcclock.System{}, Log: log},
	}
	s := httptest.NewServer(r)
	tb.Cleanup(s.Close)
	return r, kcdetour.Peer{Addr: s.Listener.Addr().String(), ID: "7"}
}

// newDialer returns a dialer of an instance whose own connections fail.
func newDialer(clock kcclock.Clock, peers ...kcdetour.Peer) *kcdetour.Dialer {
	log := slog.New(slog.DiscardHandler)
	return &kcdetour.Dialer{
		Clock: clock, Log: log, Reach: &kcdetour.Reach{Clock: clock, Log: log}, TimeoutMs: 5000, DialPeer: dialTCP,
		Direct: func(context.Context, string) (net.Conn, error) { return nil, errRefused },
		Peers:  func() []kcdetour.Peer { return peers }, Upstreams: func() int { return 15 },
	}
}

// Guards against a response that breaks off and looks whole behind a tunnel, or is lost
// with its end, and against an upstream that works on for a caller that has left.
func TestTunnelPassesOnHowConnectionsEnd(t *testing.T) {
	left := make(chan error, 1)
	addrs := map[string]string{
		"end":   serveTCP(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "hello"); _ = c.Close() }),
		"reset": serveTCP(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "hello"); _ = c.SetLinger(0); _ = c.Close() }),
		"left": serveTCP(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "hello")
			_, err := c.Read(make([]byte, 1))
			left <- err
		}),
	}
	relay, peer := newRelay(t)
	for name, addr := range addrs {
		c, err := newDialer(kcclock.System{}, peer).Dial(t.Context(), addr)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_, _ = io.WriteString(c, "?")
		if name == "left" {
			_, _ = io.ReadFull(c, make([]byte, 5))
			_ = c.Close()
			if err := <-left; err == nil {
				t.Error("the upstream did not notice that the caller has left")
			}
			continue
		}
		got, err := io.ReadAll(c)
		if name == "end" && (err != nil || string(got) != "hello") {
			t.Errorf("end: %q, %v", got, err)
		}
		if name == "reset" && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("reset: %q, %v", got, err)
		}
		_ = c.Close()
	}
	relay.Drain(t.Context())
	if n := relay.Open(); n != 0 {
		t.Errorf("%d tunnels are open", n)
	}
}

// Guards against a relay that connects to anything, for anybody, or for others while it
// needs them itself.
func TestRelayRefusesTunnels(t *testing.T) {
	up := serveTCP(t, func(c *net.TCPConn) { _ = c.Close() })
	for name, c := range map[string]struct {
		change func(r *kcdetour.Relay)
		id     string
		status int
	}{
		"another instance":    {func(*kcdetour.Relay) {}, "8", http.StatusForbidden},
		"no instance":         {func(*kcdetour.Relay) {}, "", http.StatusForbidden},
		"no upstream":         {func(r *kcdetour.Relay) { r.Known = func(string) bool { return false } }, "7", http.StatusNotFound},
		"cut off itself":      {func(r *kcdetour.Relay) { r.CutOff = func() bool { return true } }, "7", http.StatusServiceUnavailable},
		"stopping":            {func(r *kcdetour.Relay) { r.Drain(t.Context()) }, "7", http.StatusServiceUnavailable},
		"upstream is refused": {func(r *kcdetour.Relay) { r.Direct = newDialer(kcclock.System{}).Direct }, "7", http.StatusBadGateway},
	} {
		r, peer := newRelay(t)
		c.change(r)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
			"http://"+peer.Addr+kcdetour.TunnelPath+up+"?instance="+c.id, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", name, resp.StatusCode, c.status)
		}
	}
}

// Guards against an instance that goes on through peers after its own connections work
// again, and against one that asks a single peer which is cut off as well.
func TestDialerReturnsToOwnConnections(t *testing.T) {
	up := serveTCP(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) })
	cut, cutPeer := newRelay(t)
	cut.CutOff = func() bool { return true }
	_, peer := newRelay(t)
	clock := kcclock.NewManual(10_000)
	d := newDialer(clock, cutPeer, peer)
	var own atomic.Bool
	d.Direct = func(ctx context.Context, addr string) (net.Conn, error) {
		if own.Load() {
			return dialTCP(ctx, addr)
		}
		return nil, errRefused
	}
	throughPeer := func() bool {
		t.Helper()
		c, err := d.Dial(t.Context(), up)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		via, ok := c.(interface{ Via() string })
		return ok && via.Via() == peer.Addr
	}
	for range 2 {
		if !throughPeer() {
			t.Error("no connection through the peer that is not cut off")
		}
	}
	own.Store(true)
	if !throughPeer() {
		t.Error("a connection of its own is tried at once again")
	}
	clock.Advance(600)
	// The two ways run side by side once; the faster one counts.
	for throughPeer() {
		clock.Advance(600)
	}
	if throughPeer() {
		t.Error("the instance goes back to the peer")
	}
}

// Guards against a rejection that waits for peers which cannot help either.
func TestPeersThatCannotHelpAreAskedOnceASecond(t *testing.T) {
	var asked atomic.Int32
	cut, peer := newRelay(t)
	cut.CutOff = func() bool { asked.Add(1); return true }
	clock := kcclock.NewManual(10_000)
	d := newDialer(clock, peer)
	for _, c := range []struct {
		pause kcclock.Millis
		want  int32
	}{{0, 1}, {0, 1}, {900, 1}, {200, 2}, {0, 2}} {
		clock.Advance(c.pause)
		if _, err := d.Dial(t.Context(), "127.0.0.1:1"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v, want the failure of the own connection", err)
		}
		if got := asked.Load(); got != c.want {
			t.Errorf("the peer was asked %d times, want %d", got, c.want)
		}
	}
}

// Guards against rejections that each wait for a peer which does not answer.
func TestPeersThatDoNotAnswerAreAskedOnceASecond(t *testing.T) {
	asked := make(chan struct{}, 1)
	silent := serveTCP(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }); asked <- struct{}{} })
	clock := kcclock.NewManual(10_000)
	d := newDialer(clock, kcdetour.Peer{Addr: silent, ID: "7"})
	for n, c := range []struct {
		pause kcclock.Millis
		want  bool
	}{{0, true}, {0, false}, {900, false}, {200, true}, {0, false}} {
		clock.Advance(c.pause)
		ended := make(chan error, 1)
		go func() {
			_, err := d.Dial(t.Context(), "127.0.0.1:1")
			ended <- err
		}()
		select {
		case err := <-ended:
			if c.want || !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("dial %d: the peer was not asked, %v", n, err)
			}
		case <-asked:
			if !c.want {
				t.Errorf("dial %d: the peer was asked", n)
			}
			clock.Advance(d.TimeoutMs)
			if err := <-ended; !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("dial %d: %v, want the failure of the own connection", n, err)
			}
		}
	}
}

// Guards against a dial of an upstream that is down, which waits for all peers.
func TestUpstreamThatIsDownIsRefused(t *testing.T) {
	var asked atomic.Int32
	var peers []kcdetour.Peer
	for range 5 {
		r, peer := newRelay(t)
		r.Direct = func(context.Context, string) (net.Conn, error) { asked.Add(1); return nil, errRefused }
		peers = append(peers, peer)
	}
	d := newDialer(kcclock.System{}, peers...)
	d.Direct = func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	if _, err := d.Dial(t.Context(), "127.0.0.1:1"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v, want connection refused", err)
	}
	if n := asked.Load(); n != 2 {
		t.Errorf("%d peers have tried, want 2", n)
	}
}
