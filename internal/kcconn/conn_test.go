package kcconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// startServer accepts connections, reads one request after the other and writes
// what response returns for the n-th request. It closes a connection after an
// empty response. It returns its address and the number of connections so far.
func startServer(t *testing.T, response func(n int) string) (addr string, conns *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns = new(atomic.Int32)
	var n atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					s := response(int(n.Add(1)))
					if _, err = io.WriteString(c, s); err != nil || s == "" {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

func newPool(t *testing.T, clock kcclock.Clock) *kcconn.Pool {
	t.Helper()
	p := kcconn.NewPool(kcconn.Options{
		Clock: clock, DialTimeoutMs: 1000, UnackedTimeoutMs: 3000, IdleTimeoutMs: 4000, MaxIdlePerAddr: 2, RequestIDHeader: "Id",
	})
	t.Cleanup(p.Close)
	return p
}

// send sends a request and returns the body of the response.
func send(p *kcconn.Pool, addr string, req kcconn.Request) (string, error) {
	req.Method, req.Target, req.Host, req.Header = http.MethodPost, "/", addr, http.Header{}
	resp, err := p.Do(context.Background(), addr, &req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish()
	return string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against opening a new connection for each request, and against reusing
// one that the server may have closed: one that was idle for longer than the
// limit of the pool, of the server or of the request permits.
func TestIdleConnectionsAreReused(t *testing.T) {
	for name, c := range map[string]struct {
		response      string
		idleMs        kcclock.Millis
		maxConnIdleMs kcclock.Millis
		conns         int32
	}{
		"within the limits": {response: okResponse, idleMs: 3000, conns: 1},
		"limit of the pool": {response: okResponse, idleMs: 4000, conns: 2},
		"Keep-Alive header": {
			response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok", idleMs: 1500, conns: 2,
		},
		"limit of request":  {response: okResponse, idleMs: 1500, maxConnIdleMs: 1000, conns: 2},
		"Connection: close": {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", conns: 2},
		"unread data":       {response: okResponse + "extra", conns: 2},
	} {
		clock := kcclock.NewManual(1000)
		p := newPool(t, clock)
		addr, conns := startServer(t, func(int) string { return c.response })
		for range 2 {
			if body, err := send(p, addr, kcconn.Request{MaxConnIdleMs: c.maxConnIdleMs}); err != nil || body != "ok" {
				t.Errorf("%s: %q %v", name, body, err)
			}
			clock.Advance(c.idleMs)
		}
		if got := conns.Load(); got != c.conns {
			t.Errorf("%s: %d connections, want %d", name, got, c.conns)
		}
	}
}

// Guards against an error that does not report whether the request may have been
// sent, and against a hidden retry.
func TestErrorsReportWhetherTheRequestWasSent(t *testing.T) {
	p := newPool(t, kcclock.NewManual(1000))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := ln.Addr().String()
	_ = ln.Close()
	var failure *kcconn.Error
	if _, err = send(p, closedAddr, kcconn.Request{}); !errors.As(err, &failure) || failure.MaybeSent {
		t.Errorf("closed port: %v", err)
	}
	for name, response := range map[string]string{
		"closed": "", "no HTTP": "hello\r\n\r\n",
		"another id": "HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		addr, conns := startServer(t, func(n int) string {
			if n > 1 {
				return ""
			}
			return response
		})
		if _, err := send(p, addr, kcconn.Request{ID: "q"}); !errors.As(err, &failure) || !failure.MaybeSent {
			t.Errorf("%s: %v", name, err)
		}
		if conns.Load() != 1 {
			t.Errorf("%s: %d connections: the request was retried", name, conns.Load())
		}
	}
}

// Guards against a truncated body that is accepted as complete.
func TestTruncatedBodiesAreErrors(t *testing.T) {
	p := newPool(t, kcclock.NewManual(1000))
	for _, head := range []string{"Content-Length: 9\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			}
			_ = c.Close()
		}()
		if body, err := send(p, ln.Addr().String(), kcconn.Request{}); err == nil {
			t.Errorf("%q is read as %q", head, body)
		}
		_ = ln.Close()
	}
}

// Guards against an unlimited number of interim (1xx) responses, which would
// keep a request waiting.
func TestInterimResponsesAreBounded(t *testing.T) {
	addr, _ := startServer(t, func(int) string { return strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 8000) + okResponse })
	p := newPool(t, kcclock.System{})
	if body, err := send(p, addr, kcconn.Request{}); err == nil {
		t.Errorf("the response %q after 8,000 interim ones was accepted", body)
	}
}

// Guards against taking a late second copy of an error for the response to the
// next request on the connection. An error that says "not run" would have that
// request run a second time at another upstream.
func TestLateErrorIsNotTakenForNextRequest(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	answers := []string{
		// A new connection has served no other request, so that its first response
		// is that of the request.
		rejection,
		"HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 2\r\n\r\nok",
		rejection,
	}
	addr, conns := startServer(t, func(n int) string { return answers[n-1] })
	p := newPool(t, kcclock.NewManual(1000))
	if _, err := send(p, addr, kcconn.Request{ID: "first"}); err != nil {
		t.Errorf("the response to the first request: %v", err)
	}
	if body, err := send(p, addr, kcconn.Request{ID: "second"}); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
	_, err := send(p, addr, kcconn.Request{ID: "third"})
	var connErr *kcconn.Error
	if !errors.As(err, &connErr) || !connErr.MaybeSent {
		t.Errorf("%v: want an error after the request may have been sent", err)
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections, want one that is used again", conns.Load())
	}
}

// Guards against a response to an earlier request that is taken for the one to a
// repeat with the same id, and against a guard that opens connections which
// nothing needs.
func TestRepeatTakesNoConnectionOfItsFailure(t *testing.T) {
	const refused = "HTTP/1.1 503 Busy\r\nId: %\r\nContent-Length: 0\r\n\r\n"
	const ok = "HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		response string
		ids      []string
		conns    int32
	}{
		"repeat of a refused request":  {refused, []string{"a", "a"}, 2},
		"repeat after other requests":  {refused, []string{"a", "b", "c", "a", "b", "c"}, 2},
		"repeat of an answered one":    {ok, []string{"a", "a"}, 2},
		"repeat after other answers":   {ok, []string{"a", "b", "c", "a", "b", "c"}, 2},
		"many answers":                 {ok, manyIDs(200), 1},
		"repeat after many answers":    {ok, append(manyIDs(100), manyIDs(100)[99], manyIDs(100)[50]), 2},
		"other requests":               {refused, []string{"a", "b", "c"}, 1},
		"more refusals than are known": {refused, manyIDs(100), 2},
	} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			addr, conns := startServer(t, func(int) string {
				return strings.ReplaceAll(c.response, "%", c.ids[n.Add(1)-1])
			})
			p := newPool(t, kcclock.NewManual(1000))
			for _, id := range c.ids {
				if _, err := send(p, addr, kcconn.Request{ID: id}); err != nil {
					t.Errorf("%s: %v", id, err)
				}
			}
			if conns.Load() != c.conns {
				t.Errorf("%d connections, want %d", conns.Load(), c.conns)
			}
		})
	}
}

func manyIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, "id"+strings.Repeat("x", i))
	}
	return ids
}

// Guards against a connection that was kept after a check of the server and counts as
// unused although it carries a request: the race detector sees it.
func TestKeptConnectionIsMarkedOnce(t *testing.T) {
	addr, _ := startServer(t, func(int) string { return okResponse })
	p := newPool(t, kcclock.System{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				if p.Refuses(t.Context(), addr) {
					t.Error("the server refuses a connection")
				}
			}
		})
		wg.Go(func() {
			for range 50 {
				if body, err := send(p, addr, kcconn.Request{}); err != nil || body != "ok" {
					t.Errorf("%q, %v", body, err)
				}
			}
		})
	}
	wg.Wait()
}
