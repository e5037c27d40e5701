package kcdetour_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// sweepOnce lets a relay that stops look at its tunnels once.
func sweepOnce(relay *kcdetour.Relay) {
	done, cancel := context.WithCancel(context.Background())
	cancel()
	relay.Drain(done)
}

// pause lets the other side of a connection go on.
func pause(t *testing.T) {
	t.Helper()
	if err := kcclock.Wait(t.Context(), kcclock.System{}, 1); err != nil {
		t.Fatal(err)
	}
}

// endIdleTunnels sweeps the pool of a peer until a relay passes nothing on.
func endIdleTunnels(t *testing.T, relay *kcdetour.Relay, p *kcconn.Pool) {
	t.Helper()
	for relay.Open() > 0 {
		p.Prune(func(string) bool { return true })
		pause(t)
	}
}

// Guards against a planned stop that ends a request whose upstream is at work and silent.
func TestStopOfRelayEndsNoRequest(t *testing.T) {
	answer := make(chan struct{})
	up := serveTCP(t, func(c *net.TCPConn) {
		<-answer
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 5\r\n\r\nhello")
		t.Cleanup(func() { _ = c.Close() })
	})
	clock := kcclock.NewManual(10_000)
	relay, peer := newRelay(t)
	relay.Clock = clock
	p := newDetouredPool(clock, peer)
	ended := make(chan error, 1)
	go func() { ended <- fetchThrough(t.Context(), p, up) }()
	for relay.Open() == 0 {
		pause(t)
	}
	clock.Advance(2000)
	sweepOnce(relay)
	close(answer)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	endIdleTunnels(t, relay, p)
}

// Guards against a planned stop that waits for idle connections of peers.
func TestStopOfRelayEndsIdleTunnels(t *testing.T) {
	up := serveTCP(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 5\r\n\r\nhello")
		t.Cleanup(func() { _ = c.Close() })
	})
	clock := kcclock.NewManual(10_000)
	relay, peer := newRelay(t)
	relay.Clock = clock
	p := newDetouredPool(clock, peer)
	if err := fetchThrough(t.Context(), p, up); err != nil {
		t.Fatal(err)
	}
	if relay.Open() != 1 {
		t.Fatal("the pool does not keep the connection")
	}
	sweepOnce(relay)
	endIdleTunnels(t, relay, p)
}

func newDetouredPool(clock kcclock.Clock, peer kcdetour.Peer) *kcconn.Pool {
	return kcconn.NewPool(kcconn.Options{
		Clock: clock, IdleTimeoutMs: 4000, MaxIdlePerAddr: 4, RequestIDHeader: "Id", Dial: newDialer(clock, peer).Dial,
	})
}

func fetchThrough(ctx context.Context, p *kcconn.Pool, addr string) error {
	resp, err := p.Do(ctx, addr, &kcconn.Request{
		Method: http.MethodGet, Target: "/", Host: addr, Header: http.Header{"Request-Id": {"q"}}, ID: "q",
	})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Finish()
	return err
}
