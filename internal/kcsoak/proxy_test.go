package kcsoak

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// link is what a proxy does to one direction of its connections.
type link struct {
	// delayMs holds each piece back.
	delayMs kcclock.Millis
	// silent drops what comes, without an end of the connection.
	silent bool
}

// proxy passes connections on through loopback and disturbs them.
type proxy struct {
	addr   string
	target string

	mu sync.Mutex
	// there is the direction to the target, back the other one.
	there, back link
	conns       map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: ln.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-ended; p.reset() })
	return p
}

func (p *proxy) set(there, back link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.there, p.back = there, back
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset instead of an end
		}
		_ = c.Close()
	}
}

func (p *proxy) keep(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *proxy) serve(c net.Conn) {
	defer p.keep(c, false)
	defer func() { _ = c.Close() }()
	p.keep(c, true)
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.keep(d, true)
	defer p.keep(d, false)
	defer func() { _ = d.Close() }()
	ended := make(chan struct{}, 2)
	go func() { p.copy(d, c, &p.there); ended <- struct{}{} }()
	go func() { p.copy(c, d, &p.back); ended <- struct{}{} }()
	<-ended
}

// copy passes on what comes from src, as its link says at that moment.
func (p *proxy) copy(dst io.Writer, src io.Reader, l *link) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		now := *l
		p.mu.Unlock()
		if now.delayMs > 0 {
			_ = kcclock.Wait(context.Background(), kcclock.System{}, now.delayMs)
		}
		if n > 0 && !now.silent {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
