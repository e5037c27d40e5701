// Package kcupstream sends requests to engines and plain services.
package kcupstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Target is the upstream instance that a call goes to.
type Target struct {
	ID string
	// Addr is host:port.
	Addr string
}

// Call is one request to a plain service.
type Call struct {
	Path        string
	ContentType string
	Body        []byte
	// RequestID is sent in X-Request-Id.
	RequestID string
	// IdempotencyKey is passed on if it is not empty.
	IdempotencyKey string
	// Repeatable calls may use a pooled connection; others always use a fresh
	// one, because the transport can write to a pooled connection that the
	// peer has already dropped, and the outcome is then unknown.
	Repeatable bool
	// Again is asked directly before a repeatable call is sent a second time;
	// nil permits it.
	AllowRetry func() bool
	TimeoutMs  kcclock.Millis
}

// Result is the outcome of a call.
type Result struct {
	// Sent is false only if no byte of the request can have left.
	Sent        bool
	Status      int
	ContentType string
	Body        []byte
	// Err is set if there is no whole answer.
	Err error
}

// Reasons for a repeat that are counted.
const (
	// RetryStreamResumed is a stream that was resumed on a fresh connection.
	RetryStreamResumed = "streamResumed"
	// RetryMismatchedResponse is an event that belongs to another request.
	RetryMismatchedResponse = "crossedAnswer"
	// RetryStalledConnection is a call that was sent again because its pooled connection
	// gave no answer.
	RetryStalledConnection = "pooledConnectionSilent"
)

// Options configures a Client.
type Options struct {
	Clock kcclock.Clock
	// Transport is cloned; nil means the defaults of net/http.
	Transport *http.Transport
	// TLS is used for every connection; nil means plain TCP.
	TLS *tls.Config
	// IdleTimeoutMs is the longest silence on a stream before it is resumed on a
	// fresh connection.
	IdleTimeoutMs kcclock.Millis
	// MaxResponseBytes bounds the body of an answer.
	MaxResponseBytes int64
	// Retried is told the reason of each repeat within the client; nil drops
	// it.
	OnRetry func(reason string)
	// Observe is told of every answer and of every failure that is not the
	// caller's doing; header is that of the answer.
	OnResult func(t Target, header http.Header, err error)
}

// Client sends calls to upstreams.
type Client struct {
	opts     Options
	scheme   string
	pooled   *http.Client
	unpooled *http.Client
	// cancels are the running cancellations at engines.
	background taskGroup
}

const (
	maxIdleConnsPerHost = 64
	// idleConnTimeout is short, because a connection that was idle for long is
	// the one most likely to have gone silent.
	idleConnTimeout = 30 * time.Second
	// HeaderRequestID names the request at an upstream.
	HeaderRequestID = "X-Request-Id"
)

// NewClient returns a client with its own connection pool.
func NewClient(opts Options) *Client {
	base := opts.Transport
	if base == nil {
		base = &http.Transport{DialContext: (&net.Dialer{Timeout: opts.IdleTimeoutMs.Duration()}).DialContext}
	}
	if opts.OnRetry == nil {
		opts.OnRetry = func(string) {}
	}
	c := &Client{opts: opts, scheme: "http://"}
	pooled := base.Clone()
	pooled.MaxIdleConnsPerHost = maxIdleConnsPerHost
	pooled.IdleConnTimeout = idleConnTimeout
	// The HTTP/2 transport repeats requests by itself when a peer goes away.
	pooled.Protocols = new(http.Protocols)
	pooled.Protocols.SetHTTP1(true)
	if opts.TLS != nil {
		c.scheme = "https://"
		pooled.TLSClientConfig = opts.TLS
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	c.pooled = &http.Client{Transport: pooled, CheckRedirect: noRedirect}
	c.unpooled = &http.Client{Transport: unpooled, CheckRedirect: noRedirect}
	return c
}

// noRedirect returns a redirect as the answer. Following it would send the
// request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Wait blocks until the cancellations at engines have ended or ctx ends.
func (c *Client) WaitBackground(ctx context.Context) { c.background.wait(ctx) }

// CloseIdleConnections closes the pooled connections that are not in use.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Do sends one call and reads the whole answer. A call that is not repeatable
// is sent at most once.
func (c *Client) Do(ctx context.Context, t Target, call Call) Result {
	ctx, cancel := kcclock.WithTimeout(ctx, c.opts.Clock, call.TimeoutMs)
	defer cancel()
	if !call.Repeatable {
		return c.doOnce(ctx, c.unpooled, t, call, nil)
	}
	stalled := make(chan struct{})
	res := c.doOnce(ctx, c.pooled, t, call, stalled)
	if res.Err == nil || ctx.Err() != nil || !isClosed(stalled) {
		return res
	}
	c.CloseIdleConnections() // other pooled connections may be silent as well
	if call.AllowRetry != nil && !call.AllowRetry() {
		return res
	}
	c.opts.OnRetry(RetryStalledConnection)
	return c.doOnce(ctx, c.unpooled, t, call, nil)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// doOnce sends the call. If silent is not nil and the call goes out on a
// connection that was used before, doOnce gives up and closes silent when no
// byte of the answer comes for the idle time.
func (c *Client) doOnce(ctx context.Context, client *http.Client, t Target, call Call, stalled chan struct{}) Result {
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	var progress atomic.Int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent.Store(true)
			if stalled != nil && info.Reused {
				go c.watchForStall(ctx, cancel, &progress, stalled)
			}
		},
		GotFirstResponseByte: func() { progress.Add(1) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+t.Addr+call.Path, newRequestBody(call.Body))
	if err != nil {
		return Result{Err: errs.Wrap(err)}
	}
	req.ContentLength = int64(len(call.Body))
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(HeaderRequestID, call.RequestID)
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	resp, err := client.Do(req)
	c.reportResult(callerCtx, t, resp, err)
	if err != nil {
		return Result{Sent: sent.Load(), Err: errs.Wrap(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	resp.Body = progressBody{resp.Body, &progress}
	return c.readResponse(t, call, resp)
}

func (c *Client) reportResult(callerCtx context.Context, t Target, resp *http.Response, err error) {
	switch {
	case c.opts.OnResult == nil || callerCtx.Err() != nil:
	case err != nil:
		c.opts.OnResult(t, nil, err)
	default:
		c.opts.OnResult(t, resp.Header, nil)
	}
}

func (c *Client) readResponse(t Target, call Call, resp *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > c.opts.MaxResponseBytes {
		err = errs.New("answer of %s is larger than %d bytes", t.ID, c.opts.MaxResponseBytes)
	}
	if id := resp.Header.Get(HeaderRequestID); err == nil && id != "" && id != call.RequestID {
		c.opts.OnRetry(RetryMismatchedResponse)
		body, err = nil, errs.New("answer of %s belongs to request %q", t.ID, id)
	}
	return Result{
		Sent: true, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Body: body, Err: errs.Wrap(err),
	}
}

// watch cancels a call whose answer makes no progress for the idle time.
func (c *Client) watchForStall(ctx context.Context, cancel func(), progress *atomic.Int64, stalled chan<- struct{}) {
	for seen := int64(-1); ; {
		n := progress.Load()
		if n == seen {
			close(stalled)
			cancel()
			return
		}
		seen = n
		select {
		case <-ctx.Done():
			return
		case <-c.opts.Clock.After(c.opts.IdleTimeoutMs):
		}
	}
}

// progressBody counts the reads that brought data.
type progressBody struct {
	io.ReadCloser
	progress *atomic.Int64
}

// Read reads the body.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress.Add(1)
	}
	return n, err
}

// nonReplayableBody hides the type of the reader and is never http.NoBody, so that
// net/http can neither derive GetBody nor take the body for empty. Otherwise
// it repeats a request that carries an Idempotency-Key header by itself when
// the connection fails.
type nonReplayableBody struct{ r *bytes.Reader }

func newRequestBody(b []byte) io.ReadCloser { return nonReplayableBody{bytes.NewReader(b)} }

// Read reads the body.
func (o nonReplayableBody) Read(p []byte) (int, error) { return o.r.Read(p) }

// Close does nothing.
func (o nonReplayableBody) Close() error { return nil }

// refused reports whether err is an answer of the upstream itself.
func isStatusError(err error) bool {
	var status *StatusError
	return errors.As(err, &status)
}
