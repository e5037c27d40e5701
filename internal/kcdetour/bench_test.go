package kcdetour_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// BenchmarkDial compares opening a connection with and without the ways through peers,
// which are not used while connections open in time.
func BenchmarkDial(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
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
	d := newDialer(kcclock.Boot{})
	d.Direct = dialTCP
	type dialFunc func(ctx context.Context, addr string) (net.Conn, error)
	for name, dial := range map[string]dialFunc{"direct": dialTCP, "dialer": d.Dial} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c, err := dial(b.Context(), ln.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
		})
	}
}

// BenchmarkRequest compares requests on connections of the pool, with responses of a few
// packets: own ones and tunnels with and without frames.
func BenchmarkRequest(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Request-Id"))
		_, _ = w.Write(make([]byte, 16<<10))
	}))
	defer up.Close()
	_, peer := newRelay(b)
	for name, dial := range map[string]func(ctx context.Context, addr string) (net.Conn, error){
		"own": dialTCP, "frames": newDialer(kcclock.System{}, peer).Dial,
		"no frames": func(ctx context.Context, addr string) (net.Conn, error) { return requestBareTunnel(ctx, peer, addr) },
	} {
		b.Run(name, func(b *testing.B) {
			p := kcconn.NewPool(kcconn.Options{
				Clock: kcclock.System{}, IdleTimeoutMs: 4000, MaxIdlePerAddr: 4, RequestIDHeader: "Id", Dial: dial,
			})
			defer p.Close()
			for b.Loop() {
				if err := fetchThrough(b.Context(), p, up.Listener.Addr().String()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
