package main

import (
	"bytes"
	"io"
	"net"
	"sync"
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
		pc.copy(far, near, p.watch)
	}()
	farEnded := make(chan struct{})
	go func() {
		defer close(farEnded)
		pc.copy(near, far, func([]byte) {})
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

// copy forwards src to dst until src ends, and shows what it has forwarded.
func (c *proxyConn) copy(dst io.Writer, src io.Reader, show func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if n > 0 && !silent {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
			show(buf[:n])
		}
		if err != nil {
			return
		}
	}
}
