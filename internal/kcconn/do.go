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

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Request is one HTTP request.
type Request struct {
	Method string
	// Target is the path and the query of the URL.
	Target string
	Host   string
	// Header must not contain Host, Content-Length or Connection.
	Header http.Header
	Body   []byte
	// ID, if set, is the request id. Responses with another id are skipped. The
	// request takes no connection that has carried a request with the same id, unless
	// that one was answered maxAnsweredIDs successes ago.
	ID string
	// MaxConnIdleMs, if set, is the longest time that a reused connection may have
	// been idle.
	MaxConnIdleMs kcclock.Millis
	// Memory, if set, is charged for large headers of the response until it is finished
	// or aborted. A response whose headers have no room in it is an error.
	Memory kcresponse.Memory
}

// Error describes a failed request.
type Error struct {
	// MaybeSent is true if a byte of the request may have reached the server.
	MaybeSent bool
	// DialFailed is true if no connection could be opened.
	DialFailed bool
	Err        error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is a response whose body has not been read. The caller must call
// Finish or Abort.
type Response struct {
	*http.Response
	// ReusedConn is true if the connection had carried an earlier request.
	ReusedConn bool

	pool            *Pool
	conn            *conn
	requestID       string
	stopCancelWatch func() bool
	finished        bool
	// serverAtEnd is what CheckEnd has found, empty for responses with framing.
	serverAtEnd Liveness
}

const (
	// maxStrayResponses is the number of responses to other requests that are
	// skipped on a connection. Upstreams have been seen to send one. More indicate
	// that the framing of the connection is broken.
	maxStrayResponses = 2
	// maxStrayResponseBytes limits the body of a skipped response.
	maxStrayResponseBytes = 256 << 10
	// strayResponseMs limits the time for the body of a skipped response. One that broke
	// off would take the response to the request for its rest, and wait for more.
	strayResponseMs = 300 * kcclock.Millisecond
	// responseAfterWriteErrorMs is how long to wait for a response after a failed
	// write. The server may have responded before it closed the connection.
	responseAfterWriteErrorMs = 300 * kcclock.Millisecond
)

// Do sends req to addr and returns the response with its body unread. The
// connection is closed when ctx is done, also while the body is being read. The
// caller must call Finish or Abort.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c := p.takeIdle(addr, req)
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, &Error{DialFailed: true, Err: err}
		}
	}
	c.headerLimit.charge.Memory = req.Memory
	stopCancelWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error) (*Response, error) {
		stopCancelWatch()
		_ = c.Close()
		c.headerLimit.charge.Release()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{MaybeSent: true, Err: err}
	}
	newResponse := func(resp *http.Response) *Response {
		return &Response{
			Response: resp, ReusedConn: reused, pool: p, conn: c, requestID: req.ID, stopCancelWatch: stopCancelWatch,
		}
	}
	if err := c.writeRequest(req); err != nil {
		if ctx.Err() != nil {
			return fail(err)
		}
		deadline := time.Now().Add(responseAfterWriteErrorMs.Duration())
		_ = c.SetReadDeadline(deadline)
		resp, readErr := p.readResponse(c, req, deadline) //nolint:bodyclose // Finish or Abort ends it
		if readErr != nil {
			return fail(err)
		}
		resp.Close = true
		if !kcresponse.IsFramed(resp) {
			resp.Body = brokenOffBody{resp.Body, err}
		}
		return newResponse(resp), nil
	}
	resp, err := p.readResponse(c, req, time.Time{}) //nolint:bodyclose // Finish or Abort ends it
	if err != nil {
		return fail(err)
	}
	return newResponse(resp), nil
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

// readResponse returns the response that carries the id of the request, which no
// earlier request on the connection had as far as is known. It skips responses to
// earlier requests. An error response without an id is taken for the response to this
// request only on a new connection: on one that was used before, it may be a late second
// response to an earlier request. deadline is the deadline for reads, or 0.
func (p *Pool) readResponse(c *conn, req *Request, deadline time.Time) (*http.Response, error) {
	for range maxStrayResponses + 1 {
		resp, err := c.readResponseHeader(req.Method)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(p.opts.RequestIDHeader)
		if req.ID == "" || id == req.ID || id == "" && resp.StatusCode >= http.StatusBadRequest && !c.reused {
			return resp, nil
		}
		if id == "" || !kcresponse.IsFramed(resp) || resp.ContentLength > maxStrayResponseBytes || resp.Close {
			break
		}
		if err := c.skipBody(resp, deadline); err != nil {
			return nil, err
		}
	}
	return nil, errs.New("the response does not carry the id of the request")
}

// skipBody reads the body of a response to another request. deadline is that of
// readResponse.
func (c *conn) skipBody(resp *http.Response, deadline time.Time) error {
	limit := time.Now().Add(strayResponseMs.Duration())
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	if err := c.SetReadDeadline(limit); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayResponseBytes+1))
	if err != nil {
		return err
	}
	if n > maxStrayResponseBytes {
		return errs.New("the response to another request is larger than %d bytes", maxStrayResponseBytes)
	}
	return c.SetReadDeadline(deadline)
}

// Finish returns the connection to the pool if the body was read to its end and
// the server keeps the connection open. Otherwise it closes the connection. It
// does not wait for the rest of the body.
func (r *Response) Finish() {
	if r.finished {
		return
	}
	r.finished = true
	r.conn.headerLimit.charge.Release()
	stopped := r.stopCancelWatch()
	r.OnReadTimeout(nil)
	_ = r.conn.SetReadDeadline(time.Now()) // the read below must not block
	if _, err := r.Body.Read(make([]byte, 1)); !stopped || !errors.Is(err, io.EOF) || r.Close || !r.Framed() {
		_ = r.conn.Close()
		return
	}
	if r.conn.SetDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return
	}
	switch isSuccess := r.StatusCode >= 200 && r.StatusCode < 300; {
	case r.requestID == "":
	case isSuccess:
		r.conn.recordAnswered(r.requestID)
	case !r.conn.recordFailed(r.requestID):
		_ = r.conn.Close()
		return
	}
	r.conn.reused = true
	r.conn.peerIdleTimeoutMs = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.pool.putIdle(r.conn)
}

// Framed reports whether the body has a length or is sent in chunks. Otherwise it
// ends when the connection closes, and its end does not show that it is complete.
func (r *Response) Framed() bool { return kcresponse.IsFramed(r.Response) }

// brokenOffBody is the body of a response without framing on a connection that broke
// while the request was written.
type brokenOffBody struct {
	io.ReadCloser
	writeErr error
}

// Read returns an error in place of io.EOF.
func (b brokenOffBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = kcresponse.BrokenOffError(b.writeErr)
	}
	return n, err
}

// Abort closes the connection, which cancels the request at the server.
func (r *Response) Abort() {
	if r.finished {
		return
	}
	r.finished = true
	r.conn.headerLimit.charge.Release()
	r.stopCancelWatch()
	_ = r.conn.Close()
}

// SetReadTimeout makes reads of the body fail after d from now.
func (r *Response) SetReadTimeout(d kcclock.Millis) error {
	return r.conn.SetReadDeadline(time.Now().Add(d.Duration()))
}

// OnReadTimeout sets a function that is called when a read of the body has timed out.
// The read goes on for the time that it returns, and fails if that is 0.
func (r *Response) OnReadTimeout(f func() kcclock.Millis) { r.conn.headerLimit.onTimeout = f }

// keepAliveTimeout returns the timeout of a Keep-Alive header, or 0 if it has
// none.
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
