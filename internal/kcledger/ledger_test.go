package kcledger_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// startServer serves with a small ledger. It answers with the size of the body, or
// with 503 if there was no room for it.
func startServer(t *testing.T, limits kcledger.Limits) (addr string, counts func(string) int) {
	t.Helper()
	var mu sync.Mutex
	seen := make(map[string]int)
	l := kcledger.New(kcledger.Options{
		Limits: limits, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler), Gauge: func(string, func() int64) {},
		Count: func(name string) {
			mu.Lock()
			defer mu.Unlock()
			seen[name]++
		},
	})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := kcledger.CallerOf(r.Context()).ReadBody(r.Body, 8<<20)
		if errors.Is(err, kcledger.ErrShort) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	l.Attach(s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l.Listener(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String(), func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		return seen[name]
	}
}

// openBody sends a request whose body lacks its last byte.
func openBody(t *testing.T, addr string, size int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size-1))
	return c
}

// Guards against a caller that is ended for another one without an answer, and
// against the other one that is refused although there is room by then.
func TestEndedCallerGetsAnswer(t *testing.T) {
	addr, counts := startServer(t, kcledger.Limits{LedgerBytes: 8 << 20, MaxConns: 10})
	stalled := openBody(t, addr, 4<<20)
	_ = kcclock.Wait(t.Context(), kcclock.System{}, kcclock.Second)
	resp, err := http.Post("http://"+addr, "", strings.NewReader(strings.Repeat("b", 4<<20)))
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	if string(body) != fmt.Sprint(4<<20) {
		t.Errorf("the caller that sends got %d %q", resp.StatusCode, body)
	}
	answer, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the caller that does not send got %v, %v", answer, err)
	}
	if counts("memory.callersEnded") != 1 || counts("memory.refused") != 1 {
		t.Error("the ended caller was not counted")
	}
}

// Guards against a body that is refused in calm, and against bytes that are not
// released when a request ends: the ledger has room for one body at a time.
func TestBodiesOneAfterAnother(t *testing.T) {
	addr, _ := startServer(t, kcledger.Limits{LedgerBytes: 8 << 20, MaxConns: 10})
	for range 20 {
		resp, err := http.Post("http://"+addr, "", strings.NewReader(strings.Repeat("b", 4<<20)))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != fmt.Sprint(4<<20) {
			t.Fatalf("got %d %q", resp.StatusCode, body)
		}
	}
}

// Guards against a request without a connection, as that of a job, that is refused.
func TestCallerOutsideLedgerIsNotBounded(t *testing.T) {
	var k *kcledger.Caller
	if body, err := k.ReadBody(strings.NewReader("body"), 1); err != nil || string(body) != "body" {
		t.Errorf("%q, %v", body, err)
	}
	if body, whole, err := k.ReadAnswer(strings.NewReader("answer"), 3); err != nil || whole || string(body) != "answ" {
		t.Errorf("%q, %v, %v", body, whole, err)
	}
	if err := k.Hold(1); err != nil {
		t.Error(err)
	}
}

// Guards against a response that is read to its end after its request, and whose release
// then takes the charge of the next request on the connection.
func TestReleaseAfterTheRequestChangesNothing(t *testing.T) {
	var used func() int64
	l := kcledger.New(kcledger.Options{
		Limits: kcledger.Limits{LedgerBytes: 8 << 20, MaxConns: 10}, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler),
		Count: func(string) {},
		Gauge: func(name string, read func() int64) {
			if name == "memory.ledgerBytes" {
				used = read
			}
		},
	})
	const n = 100 << 10
	var earlier *kcledger.Caller
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := kcledger.CallerOf(r.Context())
		if err := caller.Hold(n); err != nil {
			t.Error(err)
		}
		if earlier == nil {
			earlier = caller
			return
		}
		before := used()
		earlier.Release(n)
		if err := earlier.Hold(n); err != nil {
			t.Error(err)
		}
		if got := used(); got != before {
			t.Errorf("%d bytes are charged, want %d", got, before)
		}
		caller.Release(n)
		if got := used(); got != before-n {
			t.Errorf("%d bytes are charged after the release, want %d", got, before-n)
		}
	})}
	l.Attach(s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l.Listener(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	t.Cleanup(client.CloseIdleConnections)
	for range 2 {
		resp, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
