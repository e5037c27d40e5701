package kcdetour_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// serveScriptedPeer runs a peer that sends head with its first response and, after the
// first byte of a request, rest. It keeps the connection open.
func serveScriptedPeer(t *testing.T, head, rest string) kcdetour.Peer {
	t.Helper()
	return kcdetour.Peer{ID: "7", Addr: serveTCP(t, func(c *net.TCPConn) {
		t.Cleanup(func() { _ = c.Close() })
		br := bufio.NewReader(c)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, head)
		if rest != "" {
			_, _ = br.ReadByte()
			_, _ = io.WriteString(c, rest)
		}
	})}
}

// Guards against a request that is sent on a tunnel whose upstream has ended its
// connection right after a response with a length.
func TestTunnelAfterTheEndOfItsUpstreamIsNotReused(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 5\r\n\r\nhello"
	peer := serveScriptedPeer(t, upgraded+"kingcuprail-tunnel/2\r\n\r\n", "\x00"+string(rune(len(response)))+response+"\x00\x00")
	p := newDetouredPool(kcclock.System{}, peer)
	defer p.Close()
	if err := fetchThrough(t.Context(), p, "127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := fetchThrough(ctx, p, "127.0.0.1:1")
	var failure *kcconn.Error
	if errors.As(err, &failure) && failure.MaybeSent {
		t.Errorf("the request was sent on the ended tunnel: %v", err)
	}
}

// Guards against a peer that counts as unhelpful because an upstream closes a new
// connection in order, as at its limit of connections, or because the peer begins to
// stop: the first frame comes together with the head of the response.
func TestFramesRightBehindTheHeadBelongToTheTunnel(t *testing.T) {
	for name, frame := range map[string]string{"end of the upstream": "\x00\x00", "stop notice": "\xff\xff"} {
		peer := serveScriptedPeer(t, upgraded+"kingcuprail-tunnel/2\r\n\r\n"+frame, "")
		c, err := newDialer(kcclock.System{}, peer).Dial(t.Context(), "127.0.0.1:1")
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		_ = c.Close()
	}
}

// Guards against an instance that loses its way to all upstreams for a second because one
// of them closes new connections in order.
func TestUpstreamThatClosesConnectionsCostsNoOtherOneItsPeers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	up := serveTCP(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) })
	lost := 0
	const rounds = 100
	for range rounds {
		_, peer := newRelay(t)
		d := newDialer(kcclock.System{}, peer)
		if c, err := d.Dial(t.Context(), ln.Addr().String()); err == nil {
			_ = c.Close()
		}
		c, err := d.Dial(t.Context(), up)
		if err != nil {
			lost++
			continue
		}
		_ = c.Close()
	}
	if lost > 0 {
		t.Errorf("%d of %d times no tunnel to the other upstream", lost, rounds)
	}
}

// Guards against idle tunnels that count as broken at a relay that stops.
func TestStopOfRelayCountsIdleTunnelsAsEndedByPeers(t *testing.T) {
	up := serveTCP(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 5\r\n\r\nhello")
		t.Cleanup(func() { _ = c.Close() })
	})
	clock := kcclock.NewManual(10_000)
	relay, peer := newRelay(t)
	relay.Clock = clock
	var mu sync.Mutex
	counts := map[string]int{}
	relay.Count = func(name string) {
		mu.Lock()
		defer mu.Unlock()
		counts[name]++
	}
	p := newDetouredPool(clock, peer)
	if err := fetchThrough(t.Context(), p, up); err != nil {
		t.Fatal(err)
	}
	sweepOnce(relay)
	for relay.Open() > 0 {
		p.Prune(func(string) bool { return true })
		pause(t)
	}
	mu.Lock()
	defer mu.Unlock()
	if counts["relay.ended.peer"] != 1 {
		t.Errorf("%v, want relay.ended.peer", counts)
	}
}

// Guards against an upstream that counts as alive because the tunnels through which it is
// asked end without its end.
func TestEndOfTunnelsDoesNotShowThatTheUpstreamLives(t *testing.T) {
	peer := serveTunnel(t, "kingcuprail-tunnel/2", nil)
	p := newDetouredPool(kcclock.System{}, peer)
	defer p.Close()
	if found := p.Liveness(t.Context(), "127.0.0.1:1", "/healthz", ""); found == kcconn.Lives {
		t.Errorf("%v, want that it could not be asked", found)
	}
}

// Guards against a whole response that a relay loses because its peer does not read for
// longer than the limit on silence.
func TestSlowReaderLosesNoResponseBehindARelay(t *testing.T) {
	const size = 24 << 20
	up := serveTCP(t, func(c *net.TCPConn) {
		go func() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 25165824\r\n\r\n"+strings.Repeat("x", size))
		}()
		t.Cleanup(func() { _ = c.Close() })
	})
	relay, peer := newRelay(t)
	relay.UnackedTimeoutMs = 2500
	p := newDetouredPool(kcclock.System{}, peer)
	defer p.Close()
	resp, err := p.Do(t.Context(), up, &kcconn.Request{Method: http.MethodGet, Target: "/", Host: up, ID: "q"})
	if err != nil {
		t.Fatal(err)
	}
	_ = kcclock.Wait(t.Context(), kcclock.System{}, 4000)
	if n, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("%d of %d bytes, %v", n, size, err)
	}
	resp.Abort()
}

// Guards against a whole response with a length that a relay drops because its upstream
// resets the connection after it.
func TestResetAfterWholeResponseLosesNothingOfIt(t *testing.T) {
	const size = 1 << 20
	up := serveTCP(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", size))
		_ = kcclock.Wait(t.Context(), kcclock.System{}, 300) // the relay has read everything
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	_, peer := newRelay(t)
	p := newDetouredPool(kcclock.System{}, peer)
	defer p.Close()
	resp, err := p.Do(t.Context(), up, &kcconn.Request{Method: http.MethodGet, Target: "/", Host: up, ID: "q"})
	if err != nil {
		t.Fatal(err)
	}
	_ = kcclock.Wait(t.Context(), kcclock.System{}, 600)
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Abort()
	if err != nil {
		t.Errorf("%d of %d bytes, %v", n, size, err)
	}
}

// Guards against a whole response without framing that counts as broken because the peer
// on its way has begun to stop and no other one can be asked.
func TestWholeResponseThroughAStoppingPeerIsWhole(t *testing.T) {
	answer := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/healthz" {
			return
		}
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: q\r\n\r\nhel")
		<-answer
		_, _ = io.WriteString(nc, "lo")
		_ = nc.Close()
	})}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Close() }()
	up := ln.Addr().String()
	relay, peer := newRelay(t)
	p := newDetouredPool(kcclock.System{}, peer)
	defer p.Close()
	resp, err := p.Do(t.Context(), up, &kcconn.Request{Method: http.MethodGet, Target: "/", Host: up, ID: "q"})
	if err != nil {
		t.Fatal(err)
	}
	sweepOnce(relay)
	close(answer)
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		err = resp.CheckEnd(t.Context(), "/healthz", "")
	}
	if err != nil || string(body) != "hello" {
		t.Errorf("%q, %v%s", body, err, resp.Path())
	}
	resp.Finish()
}

// Guards against an upstream that counts as crashed, and the prompt of its request as the
// cause, because an instance that is cut off finds no peer that helps: what refuses then
// is its own way, not the upstream.
func TestRefusalOfTheOwnWayIsNoRefusalOfTheUpstream(t *testing.T) {
	up := serveTCP(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) })
	relay, peer := newRelay(t)
	p := newDetouredPool(kcclock.System{}, peer)
	defer p.Close()
	if p.Refuses(t.Context(), up) {
		t.Fatal("the upstream is not reached through the peer")
	}
	sweepOnce(relay)
	if p.Refuses(t.Context(), up) {
		t.Error("the upstream counts as crashed while its peer stops")
	}
	if found := p.Liveness(t.Context(), up, "/healthz", ""); found == kcconn.Ended {
		t.Errorf("%s, want that it could not be asked", found)
	}
}

// Guards against a tunnel that breaks because its relay is told to stop twice.
func TestSecondStopOfRelayBreaksNoTunnel(t *testing.T) {
	broken := 0
	const rounds = 1500
	up := serveTCP(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) })
	for range rounds {
		relay, peer := newRelay(t)
		c, err := newDialer(kcclock.System{}, peer).Dial(t.Context(), up)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() { defer close(done); sweepOnce(relay) }()
		sweepOnce(relay)
		<-done
		for range 3 {
			pause(t)
		}
		if relay.Open() == 0 {
			broken++
		}
		_ = c.Close()
	}
	if broken > 0 {
		t.Errorf("%d of %d tunnels are broken", broken, rounds)
	}
}
