package kcfault

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// unreadFloodBytes is what a server writes of a flood before it waits for the
	// client to read, if it does.
	unreadFloodBytes = 4 << 20
)

// Server responds to each request with the response of a case.
type Server struct {
	Case
	// Addr is host:port.
	Addr string
	// OnRequest, if set before the first request, is called at each one.
	OnRequest func()
	// AwaitReads, set before the first request, makes floods wait for the client, so
	// that the kernel never holds more than unreadFloodBytes of one. The client has to be
	// on the same machine.
	AwaitReads bool
	// body is the body of a sound response.
	body string
	// header holds further lines of the head of a sound response.
	header string

	requests, flooded atomic.Int64
	tb                testing.TB
}

// NewServer starts a server that runs until the end of the test. header holds the
// lines that the head of a sound response needs, body is its body.
func NewServer(tb testing.TB, c Case, header, body string) *Server {
	tb.Helper()
	s := &Server{Case: c, header: header, body: body, tb: tb}
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.accept(tb.Context(), ln)
	}()
	tb.Cleanup(func() { _ = ln.Close(); <-ended })
	return s
}

// accept serves connections until the listener is closed, and waits for their ends.
func (s *Server) accept(ctx context.Context, ln net.Listener) {
	ended := make(chan struct{})
	for running := 0; ; running++ {
		nc, err := ln.Accept()
		if err != nil {
			for range running {
				<-ended
			}
			return
		}
		go func() {
			s.serve(ctx, nc)
			ended <- struct{}{}
		}()
	}
}

// Requests returns the number of requests that have come.
func (s *Server) Requests() int64 { return s.requests.Load() }

// FloodedBytes returns the number of bytes of all floods that clients have taken.
func (s *Server) FloodedBytes() int64 { return s.flooded.Load() }

// serve answers the requests of one connection until ctx ends.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = nc.Close() })()
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
		if err != nil || !s.respond(ctx, nc, req) {
			return
		}
	}
}

// respond writes the response to a request and ends the connection as the case
// says. It reports whether the connection carries further requests.
func (s *Server) respond(ctx context.Context, nc net.Conn, req *http.Request) bool {
	if _, err := io.WriteString(nc, s.expand(s.Response, req)); err != nil {
		return false
	}
	end := s.End
	if s.Flood != "" {
		if err := s.flood(ctx, nc, s.expand(s.Flood, req)); err != nil {
			return false
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

// flood writes a text again and again until the client closes the connection.
func (s *Server) flood(ctx context.Context, nc net.Conn, text string) error {
	text = strings.Repeat(text, 1+floodBytes/len(text))
	unread := 0
	for n := 0; n < maxFloodBytes; n += len(text) {
		if _, err := io.WriteString(nc, text); err != nil {
			return err
		}
		s.flooded.Add(int64(len(text)))
		if unread += len(text); s.AwaitReads && unread >= unreadFloodBytes {
			if err := waitUntilRead(ctx, nc); err != nil {
				if ctx.Err() == nil {
					s.tb.Errorf("the bytes that a client has not read are not known: %v", err)
				}
				return err
			}
			unread = 0
		}
	}
	return nil
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
