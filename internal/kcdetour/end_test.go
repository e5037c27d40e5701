package kcdetour_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const upgraded = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "

// serveTunnel runs a peer that accepts each request for a tunnel and sends the parts of
// a script on it.
func serveTunnel(t *testing.T, protocol string, parts []string) kcdetour.Peer {
	t.Helper()
	return kcdetour.Peer{ID: "7", Addr: serveTCP(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, upgraded+protocol+"\r\n\r\n")
		_, _ = br.ReadByte() // the dialer reads nothing behind the head before it sends
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
		}
	})}
}

// Guards against a tunnel that ends with its peer as if the upstream had ended its
// connection.
func TestEndOfPeerIsNotTheEndOfTheUpstream(t *testing.T) {
	script, err := txtar.ParseFile("testdata/tunnelEnds.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range script.Files {
		protocol, rest, _ := strings.Cut(string(f.Data), "\n")
		var parts []string
		for line := range strings.Lines(rest) {
			part, err := strconv.Unquote(strings.TrimSpace(line))
			if err != nil {
				t.Fatal(err)
			}
			parts = append(parts, part)
		}
		data, end, _ := strings.Cut(f.Name, ", ")
		for _, oneByOne := range []bool{false, true} {
			c, err := newDialer(kcclock.System{}, serveTunnel(t, protocol, parts)).Dial(t.Context(), "127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, "?")
			var r io.Reader = c
			if oneByOne {
				r = iotest.OneByteReader(c)
			}
			got, err := io.ReadAll(r)
			if string(got) != data || (err == nil) != strings.HasPrefix(end, "whole") {
				t.Errorf("%s: got %q, %v", f.Name, got, err)
			}
			_ = c.Close()
		}
	}
}

// Guards against whole responses that are lost behind a peer without frames while another
// one could pass them on.
func TestPeersWithoutFramesAreAskedLast(t *testing.T) {
	up := serveTCP(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) })
	bare := serveTunnel(t, "kingcuprail-tunnel", nil)
	_, framed := newRelay(t)
	d := newDialer(kcclock.System{}, bare, framed)
	for n, want := range []kcdetour.Peer{bare, framed, framed} {
		c, err := d.Dial(t.Context(), up)
		if err != nil {
			t.Fatal(err)
		}
		if via := c.(interface{ Via() string }).Via(); via != want.Addr {
			t.Errorf("dial %d leads through %s, want %s", n, via, want.Addr)
		}
		_ = c.Close()
	}
}

// requestBareTunnel asks a relay for a tunnel as builds without frames do.
func requestBareTunnel(ctx context.Context, peer kcdetour.Peer, upstream string) (net.Conn, error) {
	c, err := dialTCP(ctx, peer.Addr)
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(c, "GET "+kcdetour.TunnelPath+upstream+"?instance="+peer.ID+
		" HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: kingcuprail-tunnel\r\n\r\n")
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, errs.New("status %d", resp.StatusCode)
	}
	return c, resp.Body.Close()
}

// Guards against an instance that ends while it passes on a connection for one without
// frames, and whose kernel then closes the tunnel in order.
func TestEndOfRelayResetsTunnelsWithoutFrames(t *testing.T) {
	whole := serveTCP(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "hello"); _ = c.Close() })
	part := serveTCP(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "hel"); t.Cleanup(func() { _ = c.Close() }) })
	clock := kcclock.NewManual(10_000)
	relay, peer := newRelay(t)
	relay.Clock = clock
	c, err := requestBareTunnel(t.Context(), peer, whole)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "?")
	if got, err := io.ReadAll(c); err != nil || string(got) != "hello" {
		t.Errorf("the upstream has ended: %q, %v", got, err)
	}
	c, err = requestBareTunnel(t.Context(), peer, part)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "?")
	if _, err := io.ReadFull(c, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	clock.Advance(2000)
	drained := make(chan struct{})
	go func() { defer close(drained); relay.Drain(t.Context()) }()
	if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the relay has ended: %q, %v", got, err)
	}
	for {
		select {
		case <-drained:
			return
		default:
			clock.Advance(100)
		}
	}
}
