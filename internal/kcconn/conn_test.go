package kcconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// peer accepts connections, reads one request after the other and writes what
// answer returns. It closes a connection after an empty answer.
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

// ask sends a request and returns the body of its answer.
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

// Guards against a new connection for each request, and against one that is
// used although it may be gone: idle for too long by the own limit, by that of
// the other side or by that of the request.
func TestIdleConnectionsAreReused(t *testing.T) {
	for name, c := range map[string]struct {
		response      string
		idleMs        kcclock.Millis
		maxConnIdleMs kcclock.Millis
		conns         int32
	}{
		"soon":               {response: okResponse, idleMs: 3000, conns: 1},
		"own limit":          {response: okResponse, idleMs: 4000, conns: 2},
		"limit of the peer":  {response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok", idleMs: 1500, conns: 2},
		"fresh request":      {response: okResponse, idleMs: 1500, maxConnIdleMs: 1000, conns: 2},
		"closed by the peer": {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", conns: 2},
		"bytes left over":    {response: okResponse + "extra", conns: 2},
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

// Guards against a failure that does not tell whether the request was sent.
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
			t.Errorf("%s: %d connections: the request was sent again unseen", name, conns.Load())
		}
	}
}

// Guards against a body that is cut off and looks whole.
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

// Guards against interim answers without end, which keep a request waiting.
func TestInterimResponsesAreBounded(t *testing.T) {
	addr, _ := startServer(t, func(int) string { return strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 8000) + okResponse })
	p := newPool(t, kcclock.System{})
	if body, err := send(p, addr, kcconn.Request{}); err == nil {
		t.Errorf("the answer %q after 8,000 interim ones", body)
	}
}
