package kcconn

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxHeaderBytes limits the status line and the headers of a response.
	maxHeaderBytes = kcresponse.MaxHeaderBytes
	// readBufferBytes is enough for a typical response header or a few events.
	readBufferBytes = 4 << 10
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	addr        string
	headerLimit *headerLimitReader
	br          *bufio.Reader
	// idleSince is when the connection was returned to the pool.
	idleSince kcclock.Millis
	// peerIdleTimeoutMs is how long the upstream keeps the idle connection open,
	// or 0 if it did not say.
	peerIdleTimeoutMs kcclock.Millis
	// reused is true if the connection has carried a request.
	reused bool
	// failedIDs holds the hashes of the ids of the requests that the connection
	// has carried and that got another response than a success.
	failedIDs []uint64
	// answeredIDs holds those of the last requests that got a success, at most
	// maxAnsweredIDs. Once it is full, oldestAnswered is the index of the oldest one.
	answeredIDs    []uint64
	oldestAnswered int
}

const (
	// maxFailedIDs limits the number of failed requests on one connection.
	maxFailedIDs = 64
	// maxAnsweredIDs limits the number of answered requests that a connection knows.
	// Unlike failed ones, callers rarely send them again.
	maxAnsweredIDs = 64
)

// recordFailed records a request that its caller may send again with the same
// id. It returns false if the connection must not carry further requests, because
// it holds the ids of too many.
func (c *conn) recordFailed(id string) bool {
	c.failedIDs = append(c.failedIDs, xxhash.Sum64String(id))
	return len(c.failedIDs) < maxFailedIDs
}

// recordAnswered records a request that got a success. It forgets the oldest one if
// there are too many.
func (c *conn) recordAnswered(id string) {
	hash := xxhash.Sum64String(id)
	if len(c.answeredIDs) < maxAnsweredIDs {
		c.answeredIDs = append(c.answeredIDs, hash)
		return
	}
	c.answeredIDs[c.oldestAnswered] = hash
	c.oldestAnswered = (c.oldestAnswered + 1) % maxAnsweredIDs
}

// mayCarry reports whether responses to a request can be told from those to
// earlier ones on the connection: an upstream may write the response to an earlier
// request once more.
func (c *conn) mayCarry(id string) bool {
	if id == "" {
		return true
	}
	hash := xxhash.Sum64String(id)
	return !slices.Contains(c.failedIDs, hash) && !slices.Contains(c.answeredIDs, hash)
}

func newConn(nc net.Conn, addr string) *conn {
	h := &headerLimitReader{nc: nc, remaining: -1}
	return &conn{Conn: nc, addr: addr, headerLimit: h, br: bufio.NewReaderSize(h, readBufferBytes)}
}

// headerLimitReader reads from nc. It limits the number of bytes to remaining
// while that is not negative.
type headerLimitReader struct {
	nc        net.Conn
	remaining int
	charge    kcresponse.HeadCharge
	// onTimeout, if set, is called when a read has timed out. The read goes on for
	// the time that it returns, and fails if that is 0.
	onTimeout func() kcclock.Millis
}

// Read reads from the connection. It returns errHeaderTooLarge once the limit is
// used up.
func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.read(p)
	}
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.read(p)
	h.remaining -= n
	if chargeErr := h.charge.Add(n); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

func (h *headerLimitReader) read(p []byte) (int, error) {
	for {
		n, err := h.nc.Read(p)
		if n > 0 || h.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		d := h.onTimeout()
		if d <= 0 || h.nc.SetReadDeadline(time.Now().Add(d.Duration())) != nil {
			return n, err
		}
	}
}

// readResponseHeader reads the next response up to its body. It skips interim
// (1xx) responses, which count toward the limit on the header. A head that breaks
// HTTP is an error: what follows it on the connection belongs to no request.
func (c *conn) readResponseHeader(method string) (*http.Response, error) {
	c.headerLimit.remaining = maxHeaderBytes
	defer func() { c.headerLimit.remaining = -1 }()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, kcresponse.BoundError(err)
		}
		if err := kcresponse.CheckHead(resp); err != nil {
			return nil, err
		}
		if !kcresponse.IsInterim(resp) {
			return resp, nil
		}
	}
}

// isAtRest reports whether the connection may carry another request, as far as one that
// leads through a peer tells.
func (c *conn) isAtRest() bool {
	t, ok := c.Conn.(interface{ AtRest() bool })
	return !ok || t.AtRest()
}

// isEndedByPeer reports whether the peer that passes an idle connection on has ended it or
// asks for its end.
func (c *conn) isEndedByPeer() bool { return viaOf(c.Conn) != "" && !c.isOpenAndEmpty() }

// isOpenAndEmpty reports whether the connection is open and has no unread data.
// Data that arrives while the connection is idle belongs to no request, so a
// connection with such data must not be reused.
func (c *conn) isOpenAndEmpty() bool {
	if c.br.Buffered() > 0 || !c.isAtRest() {
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
