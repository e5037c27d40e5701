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
	"time"

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
	// lifetime ends connections whose client never closes them, so that a failing
	// test ends.
	lifetime = 30 * time.Second
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

	requests atomic.Int64
	conns    sync.WaitGroup
}

// NewServer starts a server that runs until the end of the test. header holds the
// lines that the head of a sound response needs, body is its body.
func NewServer(tb testing.TB, c Case, header, body string) *Server {
	tb.Helper()
	s := &Server{Case: c, header: header, body: body}
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
	s.conns.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(nc) })
		}
	})
	tb.Cleanup(func() { _ = ln.Close(); s.conns.Wait() })
	return s
}

// Requests returns the number of requests that have come.
func (s *Server) Requests() int64 { return s.requests.Load() }

// serve answers the requests of one connection.
func (s *Server) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(lifetime))
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
	for flood := strings.Repeat(s.expand(s.Flood, req), 1+floodBytes/max(len(s.Flood), 1)); s.Flood != ""; {
		if _, err := io.WriteString(nc, flood); err != nil {
			return false
		}
	}
	switch s.End {
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

// floodBytes is the size of one write of a flood.
const floodBytes = 16 << 10

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
