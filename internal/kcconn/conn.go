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
	// maxHeadBytes bounds the status line and the headers of an answer: four
	// times the usual limit of servers for requests.
	maxHeadBytes = 64 << 10
	// readBuffer holds a usual head or some events.
	readBuffer = 4 << 10
)

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	addr string
	head *headLimit
	br   *bufio.Reader
	// idleAt is when the connection was returned to the pool.
	idleAt kcclock.Millis
	// idleMs is how long the upstream keeps it open; 0 if it did not say.
	idleMs kcclock.Millis
	reused bool
}

func newConn(nc net.Conn, addr string) *conn {
	h := &headLimit{r: nc}
	return &conn{Conn: nc, addr: addr, head: h, br: bufio.NewReaderSize(h, readBuffer)}
}

// headLimit bounds the bytes that are read while left is not negative.
type headLimit struct {
	r    io.Reader
	left int
}

// Read reads from the connection.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	if len(p) > h.left {
		p = p[:h.left]
	}
	n, err := h.r.Read(p)
	h.left -= n
	return n, err
}

// readHead reads the next answer up to its body. Interim answers are skipped;
// together with the head they are bounded.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.left = maxHeadBytes
	defer func() { c.head.left = -1 }()
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
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
