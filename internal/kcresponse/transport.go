package kcresponse

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// MaxHeaderBytes limits the head of a response, together with the interim responses
// before it. It is four times the limit that servers usually set for requests.
const MaxHeaderBytes = 64 << 10

// Transport is an http.RoundTripper that returns an error in place of a response whose
// head breaks HTTP. A body without framing whose connection broke fails with an error.
type Transport struct {
	*http.Transport
	// MemoryOf, if set, returns what the heads of the responses to a request with a
	// context are charged to until their bodies are closed.
	MemoryOf func(context.Context) Memory
}

// NewTransport returns a transport that sends requests as base does. base must not be
// in use. The heads of responses are limited to MaxHeaderBytes.
func NewTransport(base *http.Transport) Transport {
	base.MaxResponseHeaderBytes = MaxHeaderBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
	return Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	interimBytes := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := unwrap(info.Conn)
			if c != nil && t.MemoryOf != nil {
				c.beginHead(t.MemoryOf(req.Context()))
			}
			used.Store(c)
		},
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			// net/http limits each interim response, not their sum.
			if interimBytes += headBytes(h); interimBytes > MaxHeaderBytes {
				return errs.New("the interim responses are larger than %d bytes", MaxHeaderBytes)
			}
			return CheckHead(&http.Response{StatusCode: code, Header: http.Header(h)})
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	var head HeadCharge
	c := used.Load()
	if c != nil {
		head = c.endHead()
	}
	if err != nil {
		head.Release()
		return nil, BoundError(err)
	}
	if err := CheckHead(resp); err != nil {
		head.Release()
		return nil, errs.Combine(err, resp.Body.Close())
	}
	if c != nil && !IsFramed(resp) {
		resp.Body = unframedBody{resp.Body, c}
	}
	if head.held > 0 {
		resp.Body = &chargedBody{ReadCloser: resp.Body, head: head}
	}
	return resp, nil
}

// chargedBody releases the charge for the head of its response when it is closed.
type chargedBody struct {
	io.ReadCloser
	head HeadCharge
}

// Close implements io.Closer.
func (b *chargedBody) Close() error {
	b.head.Release()
	return b.ReadCloser.Close()
}

// headBytes returns the size of the head of a response. Status lines count as the
// shortest one.
func headBytes(h textproto.MIMEHeader) int {
	n := len("HTTP/1.1 100\r\n\r\n")
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// IsFramed reports whether the body of a response has a length or is sent in chunks.
// Otherwise it ends when the connection closes, and its end does not show that it is
// complete.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// BrokenOffError returns the error for the end of a response without framing whose
// connection broke while the request was written. The failed write has taken the error
// of the socket, so reads end as if the server had closed the connection in order.
func BrokenOffError(writeErr error) error {
	return errs.New("the response without framing may be incomplete: %v", writeErr)
}

// conn records whether a write to a connection has failed, and charges heads.
type conn struct {
	net.Conn
	// writeMu is held during each write.
	writeMu  sync.Mutex
	writeErr error

	headMu sync.Mutex
	// head is charged from the request to the end of the head of its response.
	head HeadCharge
}

func (c *conn) beginHead(m Memory) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = HeadCharge{Memory: m}
}

// endHead returns the charge and stops charging.
func (c *conn) endHead() HeadCharge {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	head := c.head
	c.head = HeadCharge{}
	return head
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if chargeErr := c.head.Add(n); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// awaitWrite waits until no write is running and returns the error of the last one that
// failed.
func (c *conn) awaitWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}

func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *conn
}

// Read returns an error in place of io.EOF if the connection broke while the request
// was written. At the end of the body net/http closes the connection, which ends a
// write that is still running.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.conn.awaitWrite(); writeErr != nil {
			err = BrokenOffError(writeErr)
		}
	}
	return n, err
}
