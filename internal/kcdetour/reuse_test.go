package kcdetour_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// reusePeer is a peer that sends the frames of a script on its tunnels.
type reusePeer struct {
	conns atomic.Int32

	mu sync.Mutex
	// words is what the peer sends after the next request.
	words string
	n     int
	// copied is the frame with the response before, on the tunnel copiedOn, of which sent
	// bytes were sent once more.
	copied   string
	copiedOn net.Conn
	sent     int
}

func (p *reusePeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	p.conns.Add(1)
	_, _ = io.WriteString(c, upgraded+"kingcuprail-tunnel/2\r\n\r\n")
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, p.frames(c, req.Header.Get("Id")))
	}
}

// frames returns what the script tells for the next request.
func (p *reusePeer) frames(c net.Conn, id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n++
	body := strconv.Itoa(p.n)
	response := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if p.copiedOn != c {
		p.copied, p.copiedOn, p.sent = "", c, 0
	}
	text, previous := "", p.copied
	take := func(end int) { text += previous[p.sent:end]; p.sent = end }
	for word := range strings.SplitSeq(p.words, "+") {
		switch word {
		case "response":
			text += frame(response)
			p.copied, p.sent = frame(response), 0
			previous = p.copied
		case "split":
			for i := range len(response) {
				text += frame(response[i : i+1])
			}
		case "end":
			text += frame("")
		case "head":
			take(1)
		case "half":
			take(len(previous) / 2)
		case "rest", "copy":
			take(len(previous))
		}
	}
	return text
}

func frame(s string) string {
	return string(binary.BigEndian.AppendUint16(nil, uint16(len(s)))) + s //nolint:gosec // short
}

// Guards against a request that is sent on a tunnel whose upstream has ended, or that has
// begun to send something which belongs to no request.
func TestTunnelsAreReusedAtRest(t *testing.T) {
	script, err := txtar.ParseFile("testdata/tunnelReuse.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range script.Files {
		t.Run(f.Name, func(t *testing.T) { playReuse(t, string(f.Data)) })
	}
}

func playReuse(t *testing.T, script string) {
	t.Helper()
	var p reusePeer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { p.serve(c) })
		}
	})
	clock := kcclock.NewManual(10_000)
	d := newDialer(clock, kcdetour.Peer{ID: "7", Addr: ln.Addr().String()})
	pool := kcconn.NewPool(kcconn.Options{Clock: clock, IdleTimeoutMs: 4000, MaxIdlePerAddr: 2, RequestIDHeader: "Id", Dial: d.Dial})
	t.Cleanup(func() { pool.Close(); _ = ln.Close(); wg.Wait() })
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "conns":
			if got := strconv.Itoa(int(p.conns.Load())); got != words[1] {
				t.Errorf("%s tunnels, want %s", got, words[1])
			}
		case len(words) == 3:
			p.mu.Lock()
			p.words = words[1]
			p.mu.Unlock()
			if got := sendThrough(t.Context(), pool, words[0]); got != words[2] {
				t.Errorf("%s: got %q, want %q", words[0], got, words[2])
			}
		}
	}
}

// sendThrough sends a request and returns the body of its response, or "error".
func sendThrough(ctx context.Context, pool *kcconn.Pool, id string) string {
	const addr = "127.0.0.1:1"
	resp, err := pool.Do(ctx, addr, &kcconn.Request{
		Method: http.MethodPost, Target: "/", Host: addr, ID: id, Header: http.Header{"Id": {id}},
	})
	if err != nil {
		return "error"
	}
	defer resp.Finish()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "error"
	}
	return string(body)
}
