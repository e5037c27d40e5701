package kcdetour_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxReadBytes bounds what the test reads of a response.
	maxReadBytes = 1 << 20
	// earlyRounds is how often responses are played that race with their requests.
	earlyRounds = 20
)

// Guards against a response that breaks off behind a relay and counts as complete, and
// against a sound one that is rejected there.
func TestBrokenResponsesAreErrorsBehindARelay(t *testing.T) {
	_, peer := newRelay(t)
	for protocol, dial := range map[string]func(ctx context.Context, addr string) (net.Conn, error){
		"frames":    newDialer(kcclock.System{}, peer).Dial,
		"no frames": func(ctx context.Context, addr string) (net.Conn, error) { return requestBareTunnel(ctx, peer, addr) },
	} {
		for _, c := range kcfault.Cases(t) {
			t.Run(protocol+", "+c.Name, func(t *testing.T) {
				t.Parallel()
				rounds := 1
				if c.Early {
					rounds = earlyRounds
				}
				for range rounds {
					playBroken(t, c, dial)
				}
			})
		}
	}
}

func playBroken(t *testing.T, c kcfault.Case, dial func(ctx context.Context, addr string) (net.Conn, error)) {
	t.Helper()
	const body = "the body of the response"
	s := kcfault.NewServer(t, c, "Id: {id}\r\n", body)
	p := kcconn.NewPool(kcconn.Options{Clock: kcclock.System{}, IdleTimeoutMs: 4000, RequestIDHeader: "Id", Dial: dial})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req := &kcconn.Request{
		Method: http.MethodPost, Target: "/", Host: s.Addr, Header: http.Header{"Request-Id": {"q"}}, ID: "q",
	}
	if c.Early {
		req.Body = make([]byte, kcfault.UploadBytes)
	}
	resp, err := p.Do(ctx, s.Addr, req)
	got := ""
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(io.LimitReader(resp.Body, maxReadBytes))
		got = string(raw)
		resp.Finish()
	}
	if complete := err == nil && len(got) < maxReadBytes; complete != c.Sound || c.Sound && got != body {
		t.Errorf("%.80q, error %v: complete %v, want %v", got, err, complete, c.Sound)
	}
}
