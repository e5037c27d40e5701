package kcgate_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

// serveEndingPeer runs a peer that ends in the middle of each response.
func serveEndingPeer(t *testing.T) kcdetour.Peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			if _, err := http.ReadRequest(br); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: kingcuprail-tunnel/2\r\n\r\n")
			}
			if req, err := http.ReadRequest(br); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				part := "HTTP/1.1 200 OK\r\nRequest-Id: " + req.Header.Get("Request-Id") + "\r\nStamp: s\r\nContent-Length: 10\r\n\r\nhel"
				_, _ = io.WriteString(c, "\x00"+string(rune(len(part)))+part)
			}
			_ = c.Close()
		}
	}()
	return kcdetour.Peer{Addr: ln.Addr().String(), ID: "7"}
}

// Guards against upstreams that count as faulty because a peer on the way to them has
// ended with several requests: the next ones are rejected although another peer helps.
func TestEndOfPeerIsNoFaultOfUpstreams(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return replyOK(req, w) })
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
	log := slog.New(slog.DiscardHandler)
	direct := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	relay := httptest.NewServer(&kcdetour.Relay{
		Clock: kcclock.System{}, Log: log, InstanceID: "7", Direct: direct, Known: func(string) bool { return true },
		Reach: &kcdetour.Reach{Clock: kcclock.System{}, Log: log},
	})
	t.Cleanup(relay.Close)
	var peer atomic.Pointer[kcdetour.Peer]
	ending := serveEndingPeer(t)
	peer.Store(&ending)
	detours := &kcdetour.Dialer{
		Clock: kcclock.System{}, Log: log, Reach: &kcdetour.Reach{Clock: kcclock.System{}, Log: log}, TimeoutMs: 2000, DialPeer: direct,
		Direct: func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut off") },
		Peers:  func() []kcdetour.Peer { return []kcdetour.Peer{*peer.Load()} }, Upstreams: func() int { return 1 },
	}
	pool := kcconn.NewPool(kcconn.Options{
		Clock: f.clock, IdleTimeoutMs: 4000, MaxIdlePerAddr: 4, RequestIDHeader: kcplatform.HeaderRequestID, Dial: detours.Dial,
	})
	t.Cleanup(pool.Close)
	gate := kcgate.New(kcgate.Options{
		Deployment: kctable.Deployment{
			Instance: "i", Zone: "z", Regions: map[string]string{"z": "r"},
			Bounds: kctable.Bounds{RetryRatio: 0.9, SessionIdleMs: 5000, MaxExposureShare: 0.15, GraceMs: 8000, KeyRevokeMs: 5000},
		},
		Codec: kcplatform.Codec{}, Pool: pool, Clock: f.clock, WallClock: f.clock, Log: log, Metrics: kcmetric.New(),
		ConfigAge: f.configAge, RolloutStateAge: f.configAge,
	})
	gate.SetTable(f.gate.Table())
	f.gate = gate
	f.listUpstreams(e.ln.Addr().String())
	gate.Rollouts.MarkStatesLoaded()
	gate.Quarantine.MarkSynced()
	f.serve(t, gate)
	const requests = 3
	for n := range requests {
		resp, body, err := f.request(t, "/a/x")
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("request %d: %v %q %v, want 502", n, resp, body, err)
		}
	}
	peer.Store(&kcdetour.Peer{Addr: relay.Listener.Addr().String(), ID: "7"})
	if resp, body, err := f.request(t, "/a/x"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v %q %v, want the response through the other peer", resp, body, err)
	}
}
