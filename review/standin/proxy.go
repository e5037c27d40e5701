package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to target. silence makes all connections that
// are open go silent for good: they stay open, and nothing passes any more. New
// ones work.
type proxy struct {
	addr, target string
	// pollSeen gets a value when a long poll of the list of runners has passed.
	pollSeen chan struct{}

	mu    sync.Mutex
	conns map[*proxyConn]bool
	// cut is true while nothing passes.
	cut bool
	// perSecond, if not 0, is the number of bytes a second that pass towards the
	// near side, over all connections. freeAt is when the link is free again.
	perSecond int
	freeAt    time.Time
}

type proxyConn struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{addr: ln.Addr().String(), target: target, pollSeen: make(chan struct{}, 1), conns: make(map[*proxyConn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// silence returns the number of connections that it has silenced.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	pc := &proxyConn{}
	p.mu.Lock()
	p.conns[pc] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, pc)
		p.mu.Unlock()
	}()
	nearEnded := make(chan struct{})
	go func() {
		defer close(nearEnded)
		pc.copy(far, near, func([]byte) {}, p.watch)
	}()
	farEnded := make(chan struct{})
	go func() {
		defer close(farEnded)
		pc.copy(near, far, func(b []byte) { p.pace(len(b)) }, func([]byte) {})
	}()
	select {
	case <-nearEnded:
	case <-farEnded:
		pc.mu.Lock()
		silent := pc.silent
		pc.mu.Unlock()
		if silent {
			<-nearEnded // the end of the far side does not pass either
		}
	}
}

// setCut cuts the link or mends it. Open connections stay silent.
func (p *proxy) setCut(cut bool) {
	if cut {
		p.silence()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// pace waits for as long as n bytes take on the link.
func (p *proxy) pace(n int) {
	p.mu.Lock()
	if p.perSecond == 0 {
		p.mu.Unlock()
		return
	}
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(n) * time.Second / time.Duration(p.perSecond))
	until := p.freeAt
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// watch looks for long polls of the list of runners.
func (p *proxy) watch(sent []byte) {
	if bytes.Contains(sent, []byte("topic=keyed.servers")) && bytes.Contains(sent, []byte("wait_ms=")) {
		select {
		case p.pollSeen <- struct{}{}:
		default:
		}
	}
}

// awaitPoll waits until the next long poll of the list of runners passes.
func (p *proxy) awaitPoll() {
	select {
	case <-p.pollSeen:
	default:
	}
	<-p.pollSeen
}

// copy forwards src to dst until src ends. It calls before and after with what it
// forwards.
func (c *proxyConn) copy(dst io.Writer, src io.Reader, before, after func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if n > 0 && !silent {
			before(buf[:n])
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
			after(buf[:n])
		}
		if err != nil {
			return
		}
	}
}
