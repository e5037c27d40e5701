package kcconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Request is one request as it is written.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	// Header holds no Host, Content-Length or Connection.
	Header http.Header
	Body   []byte
	// ID, if set, must be on the answer.
	ID string
	// MaxConnIdleMs, if set, bounds the idle time of a kept connection that may
	// carry the request.
	MaxConnIdleMs kcclock.Millis
}

// Error is a failed request.
type Error struct {
	// Sent is true if a byte of the request may have reached the other side.
	MaybeSent bool
	// Dial is true if no connection could be opened.
	DialFailed bool
	Err        error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is an answer whose body has not been read.
type Response struct {
	*http.Response
	// Kept is true if the answer came on a connection that had been used.
	ReusedConn bool

	pool            *Pool
	conn            *conn
	stopCancelWatch func() bool
	finished        bool
}

const (
	// maxStrayResponses is the number of answers to other requests that are skipped.
	// Upstreams were seen to send one; more are a sign that the framing broke.
	maxStrayResponses = 2
	// maxStrayResponseBytes bounds such an answer.
	maxStrayResponseBytes = 256 << 10
	// responseAfterWriteErrorMs is how long an answer is awaited after a failed write. The
	// other side may have answered before it closed the connection.
	responseAfterWriteErrorMs = 300 * kcclock.Millisecond
)

// Do sends req to addr and returns the head of the answer. The connection is
// closed when ctx ends, also while the body is read. The caller must call
// Finish or Abort.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c := p.takeIdle(addr, req.MaxConnIdleMs)
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, &Error{DialFailed: true, Err: err}
		}
	}
	stopCancelWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error) (*Response, error) {
		stopCancelWatch()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{MaybeSent: true, Err: err}
	}
	if err := c.writeRequest(req); err != nil {
		if ctx.Err() != nil {
			return fail(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(responseAfterWriteErrorMs.Duration()))
		resp, readErr := p.readResponse(c, req) //nolint:bodyclose // Finish or Abort ends it
		if readErr != nil {
			return fail(err)
		}
		resp.Close = true
		return &Response{Response: resp, ReusedConn: reused, pool: p, conn: c, stopCancelWatch: stopCancelWatch}, nil
	}
	resp, err := p.readResponse(c, req) //nolint:bodyclose // Finish or Abort ends it
	if err != nil {
		return fail(err)
	}
	return &Response{Response: resp, ReusedConn: reused, pool: p, conn: c, stopCancelWatch: stopCancelWatch}, nil
}

func (c *conn) writeRequest(req *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	if err := req.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	_, err := c.Write(b.Bytes())
	return err
}

// answer returns the answer that carries the id of the request. An answer that
// another request on the connection left behind is skipped.
func (p *Pool) readResponse(c *conn, req *Request) (*http.Response, error) {
	for range maxStrayResponses + 1 {
		resp, err := c.readResponseHeader(req.Method)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(p.opts.RequestIDHeader)
		if req.ID == "" || id == req.ID || id == "" && resp.StatusCode >= http.StatusBadRequest {
			return resp, nil
		}
		if resp.ContentLength < 0 || resp.ContentLength > maxStrayResponseBytes || resp.Close {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errs.New("the answer carries the id of another request")
}

// Finish returns the connection to the pool if the body has arrived and was read
// to its end, and the other side keeps it open; otherwise it closes the
// connection. It does not wait.
func (r *Response) Finish() {
	if r.finished {
		return
	}
	r.finished = true
	stopped := r.stopCancelWatch()
	// Reads that end at the close of the connection report no length.
	_ = r.conn.SetReadDeadline(time.Now())
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	if _, err := r.Body.Read(make([]byte, 1)); !stopped || !errors.Is(err, io.EOF) || r.Close || !framed {
		_ = r.conn.Close()
		return
	}
	if r.conn.SetDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return
	}
	r.conn.peerIdleTimeoutMs = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.pool.putIdle(r.conn)
}

// Abort closes the connection, which tells the other side to stop.
func (r *Response) Abort() {
	if r.finished {
		return
	}
	r.finished = true
	r.stopCancelWatch()
	_ = r.conn.Close()
}

// SetReadTimeout bounds the next reads of the body to d from now.
func (r *Response) SetReadTimeout(d kcclock.Millis) error {
	return r.conn.SetReadDeadline(time.Now().Add(d.Duration()))
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, 0 if there is none.
func keepAliveTimeout(h string) kcclock.Millis {
	for part := range strings.SplitSeq(h, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && n > 0 {
			return kcclock.Millis(n * float64(kcclock.Second))
		}
	}
	return 0
}
