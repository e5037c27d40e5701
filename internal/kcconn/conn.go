package kcconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxHeaderBytes bounds the status line and the headers of an answer: four
	// times the usual limit of servers for requests.
	maxHeaderBytes = 64 << 10
	// readBufferBytes holds a usual head or some events.
	readBufferBytes = 4 << 10
)

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	addr        string
	headerLimit *headerLimitReader
	br          *bufio.Reader
	// idleSince is when the connection was returned to the pool.
	idleSince kcclock.Millis
	// peerIdleTimeoutMs is how long the upstream keeps it open; 0 if it did not say.
	peerIdleTimeoutMs kcclock.Millis
	reused            bool
}

func newConn(nc net.Conn, addr string) *conn {
	h := &headerLimitReader{r: nc}
	return &conn{Conn: nc, addr: addr, headerLimit: h, br: bufio.NewReaderSize(h, readBufferBytes)}
}

// headerLimitReader bounds the bytes that are read while left is not negative.
type headerLimitReader struct {
	r         io.Reader
	remaining int
}

// Read reads from the connection.
func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.r.Read(p)
	}
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.r.Read(p)
	h.remaining -= n
	return n, err
}

// readResponseHeader reads the next answer up to its body. Interim answers are skipped;
// together with the head they are bounded.
func (c *conn) readResponseHeader(method string) (*http.Response, error) {
	c.headerLimit.remaining = maxHeaderBytes
	defer func() { c.headerLimit.remaining = -1 }()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// quiet reports whether the connection is open and holds no bytes. Bytes that
// arrive while no request waits belong to no request, so the connection cannot
// be used any more.
func (c *conn) isOpenAndEmpty() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
