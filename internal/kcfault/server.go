package kcfault

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes is small, so that an upload which the server does not read
	// fills the buffers of the kernel and blocks the client.
	receiveBufferBytes = 4 << 10
	// earlyBytes is what the server reads of a request before an early response. It
	// is above the size of all request headers in tests.
	earlyBytes = 32 << 10
	// UploadBytes is the size of a request body that does not fit into the buffers of
	// the kernel.
	UploadBytes = 4000 << 10
	// maxFloodBytes ends a flood with a reset, so that a test whose client keeps all of
	// it fails within the memory of the machine.
	maxFloodBytes = 256 << 20
	// floodBytes is the size of one write of a flood.
	floodBytes = 16 << 10
)

// Server responds to each request with the response of a case.
type Server struct {
	Case
	// Addr is host:port.
	Addr string
	// OnRequest, if set before the first request, is called at each one.
	OnRequest func()
	// body is the body of a sound response.
	body string
	// header holds further lines of the head of a sound response.
	header string

	requests, flooded atomic.Int64

	mu sync.Mutex
	// conns are the open connections. It is nil once the server has ended.
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// NewServer starts a server that runs until the end of the test. header holds the
// lines that the head of a sound response needs, body is its body.
func NewServer(tb testing.TB, c Case, header, body string) *Server {
	tb.Helper()
	s := &Server{Case: c, header: header, body: body, conns: make(map[net.Conn]struct{})}
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	ln, err := cfg.Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s.Addr = ln.Addr().String()
	s.running.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if s.add(nc) {
				s.running.Go(func() { s.serve(nc) })
			}
		}
	})
	tb.Cleanup(func() { _ = ln.Close(); s.closeConns(); s.running.Wait() })
	return s
}

// add keeps an open connection. It closes the connection and returns false if the
// server has ended.
func (s *Server) add(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		_ = nc.Close()
		return false
	}
	s.conns[nc] = struct{}{}
	return true
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		_ = nc.Close()
	}
	s.conns = nil
}

func (s *Server) remove(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
}

// Requests returns the number of requests that have come.
func (s *Server) Requests() int64 { return s.requests.Load() }

// FloodedBytes returns the number of bytes of all floods that clients have taken.
func (s *Server) FloodedBytes() int64 { return s.flooded.Load() }

// serve answers the requests of one connection.
func (s *Server) serve(nc net.Conn) {
	defer s.remove(nc)
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if s.OnRequest != nil {
			s.OnRequest()
		}
		if s.Early && req.ContentLength > earlyBytes {
			_, err = io.CopyN(io.Discard, req.Body, earlyBytes)
		} else {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil || !s.respond(nc, req) {
			return
		}
	}
}

// respond writes the response to a request and ends the connection as the case
// says. It reports whether the connection carries further requests.
func (s *Server) respond(nc net.Conn, req *http.Request) bool {
	if _, err := io.WriteString(nc, s.expand(s.Response, req)); err != nil {
		return false
	}
	end := s.End
	if s.Flood != "" {
		flood := s.expand(s.Flood, req)
		flood = strings.Repeat(flood, 1+floodBytes/len(flood))
		for n := 0; n < maxFloodBytes; n += len(flood) {
			if _, err := io.WriteString(nc, flood); err != nil {
				return false
			}
			s.flooded.Add(int64(len(flood)))
		}
		end = Reset
	}
	switch end {
	case Reset:
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Hold:
		_, _ = nc.Read(make([]byte, 1)) // until the client closes
	case Keep:
		return true
	case Close:
	}
	return false
}

// expand replaces the placeholders in a part of a response.
func (s *Server) expand(text string, req *http.Request) string {
	id := req.Header.Get("Request-Id")
	if id == "" {
		id = req.Header.Get("X-Request-Id")
	}
	half := s.body[:len(s.body)/2]
	text = strings.NewReplacer(
		"{header}", s.header, "{body}", s.body, "{half}", half, "{length}", strconv.Itoa(len(s.body)),
		"{hexLength}", strconv.FormatInt(int64(len(s.body)), 16), "{hexHalf}", strconv.FormatInt(int64(len(half)), 16),
	).Replace(text)
	return strings.ReplaceAll(text, "{id}", id)
}
