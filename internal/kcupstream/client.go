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

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Target is the upstream that a call goes to.
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
	// Repeatable calls may use a pooled connection. Other calls always dial,
	// because the transport can write to a pooled connection that the peer has
	// already closed, and the outcome is then unknown.
	Repeatable bool
	// AllowRetry is called directly before a repeatable call is sent a second
	// time; the retry is skipped if it returns false. nil allows the retry.
	AllowRetry func() bool
	TimeoutMs  kcclock.Millis
}

// Result is the outcome of a call.
type Result struct {
	// Sent is false only if no byte of the request can have been sent.
	Sent        bool
	Status      int
	ContentType string
	Body        []byte
	// Err is set if there is no complete response.
	Err error
	// unframed is true for a response whose end only its connection shows.
	unframed bool
}

// Reasons passed to Options.OnRetry.
const (
	// RetryStreamResumed is an attempt to resume a stream on a new connection.
	RetryStreamResumed = "streamResumed"
	// RetryMismatchedResponse is a response or an event that belongs to another
	// request.
	RetryMismatchedResponse = "crossedAnswer"
	// RetryStalledConnection is a call that was sent again because its pooled
	// connection had stalled.
	RetryStalledConnection = "pooledConnectionSilent"
)

// Options configures a Client.
type Options struct {
	Clock kcclock.Clock
	// Transport is cloned; nil means a transport that limits the dial time to
	// IdleTimeoutMs.
	Transport *http.Transport
	// TLS is used for every connection; nil means plain TCP.
	TLS *tls.Config
	// IdleTimeoutMs is the longest time without data on a connection. After it
	// a stream is resumed on a new connection.
	IdleTimeoutMs kcclock.Millis
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes int64
	// OnRetry is called with the reason of each retry within the client and of
	// each mismatched response; nil ignores them.
	OnRetry func(reason string)
	// OnResult is called for every response and for every failure that the
	// caller did not cause by ending its context; nil ignores them. header is
	// that of the response.
	OnResult func(t Target, header http.Header, err error)
}

// Client sends calls to upstreams.
type Client struct {
	opts   Options
	scheme string
	// dial opens a connection as calls do.
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	pooled   *http.Client
	unpooled *http.Client
	// withoutIDs holds addresses whose responses carry no request id. Their calls
	// use new connections only.
	withoutIDs *lru.Cache[string, struct{}]
	// background runs the cancellations at engines and the wait for connections
	// that end after a complete stream.
	background taskGroup
}

const (
	maxIdleConnsPerHost = 64
	// idleConnTimeout is short, because the longer a connection was idle, the
	// likelier it has stalled unnoticed.
	idleConnTimeout = 30 * time.Second
	// maxAddrsWithoutIDs bounds the remembered addresses. A forgotten one costs a
	// call that is sent again.
	maxAddrsWithoutIDs = 4096
	// HeaderRequestID carries the request id to the upstream and back.
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
	c := &Client{opts: opts, scheme: "http://", dial: base.DialContext}
	if c.dial == nil {
		c.dial = (&net.Dialer{Timeout: opts.IdleTimeoutMs.Duration()}).DialContext
	}
	c.withoutIDs, _ = lru.New[string, struct{}](maxAddrsWithoutIDs) // the size is positive
	pooled := base.Clone()
	pooled.MaxIdleConnsPerHost = maxIdleConnsPerHost
	pooled.IdleConnTimeout = idleConnTimeout
	// HTTP/2 is disabled: its transport retries requests by itself when the
	// peer closes the connection.
	pooled.Protocols = new(http.Protocols)
	pooled.Protocols.SetHTTP1(true)
	if opts.TLS != nil {
		c.scheme = "https://"
		pooled.TLSClientConfig = opts.TLS
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	c.pooled, c.unpooled = newHTTPClient(pooled), newHTTPClient(unpooled)
	return c
}

// newHTTPClient returns a client that charges responses to the callers of the requests.
func newHTTPClient(base *http.Transport) *http.Client {
	t := kcresponse.NewTransport(base)
	t.MemoryOf = func(ctx context.Context) kcresponse.Memory { return kcledger.CallerOf(ctx) }
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

// noRedirect returns a redirect as the response. Following it would send the
// request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// WaitBackground blocks until the background tasks, such as cancellations at
// engines, have ended or ctx is done.
func (c *Client) WaitBackground(ctx context.Context) { c.background.wait(ctx) }

// CloseIdleConnections closes the pooled connections that are not in use.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Do sends one call and reads the whole response. A call that is not repeatable
// is sent at most once. A repeatable call whose reused connection stalls is
// sent once more on a new connection.
func (c *Client) Do(ctx context.Context, t Target, call Call) Result {
	began := c.opts.Clock.Now()
	res := c.send(ctx, t, call)
	if !res.unframed || res.Err != nil {
		return res
	}
	ctx, cancel := kcclock.WithTimeout(ctx, c.opts.Clock, max(call.TimeoutMs-(c.opts.Clock.Now()-began), minEndCheckMs))
	defer cancel()
	if found := c.liveness(ctx, t.Addr); found != kcconn.Lives {
		res.Body, res.Err = nil, errs.New("response of %s without framing may be incomplete: its server: %s", t.ID, found)
	}
	return res
}

// send is Do without the check of responses without framing.
func (c *Client) send(ctx context.Context, t Target, call Call) Result {
	ctx, cancel := kcclock.WithTimeout(ctx, c.opts.Clock, call.TimeoutMs)
	defer cancel()
	if !call.Repeatable {
		return c.doOnce(ctx, c.unpooled, t, call, nil)
	}
	if c.withoutIDs.Contains(t.Addr) {
		return c.doOnce(ctx, c.unpooled, t, call, nil)
	}
	stalled := make(chan struct{})
	res := c.doOnce(ctx, c.pooled, t, call, stalled)
	reason := RetryStalledConnection
	switch {
	case res.Err == nil || ctx.Err() != nil:
		return res
	case errors.Is(res.Err, errUnattributed):
		reason = RetryMismatchedResponse
	case isClosed(stalled):
		c.CloseIdleConnections() // other pooled connections may have stalled as well
	default:
		return res
	}
	if call.AllowRetry != nil && !call.AllowRetry() {
		return res
	}
	c.opts.OnRetry(reason)
	return c.doOnce(ctx, c.unpooled, t, call, nil)
}

// errUnattributed means that a response on a connection that was used before does
// not carry the id of its request. It may be a late second response to an earlier
// one.
var errUnattributed = errors.New("the response on a used connection does not carry the request id")

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// doOnce sends the call once. If stalled is not nil and the call uses a
// connection that was used before, doOnce closes stalled and cancels the call
// when no data arrives for the idle timeout.
func (c *Client) doOnce(ctx context.Context, httpClient *http.Client, t Target, call Call, stalled chan struct{}) Result {
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent, reused atomic.Bool
	var progress atomic.Int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent.Store(true)
			reused.Store(info.Reused)
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
	resp, err := httpClient.Do(req)
	c.reportResult(callerCtx, t, resp, err)
	if err != nil {
		return Result{Sent: sent.Load(), Err: errs.Wrap(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	resp.Body = progressBody{resp.Body, &progress}
	if id := resp.Header.Get(HeaderRequestID); call.RequestID != "" && id != call.RequestID {
		if id == "" {
			c.withoutIDs.Add(t.Addr, struct{}{})
		}
		if reused.Load() {
			// The response to this request may follow. The connection is closed, since the
			// body stays unread.
			return Result{Sent: true, Err: errUnattributed}
		}
	}
	res := c.readResponse(callerCtx, t, call, resp)
	// net/http removes the length of a body that it decompresses, which shows its own end
	// unless nothing has come.
	res.unframed = !kcresponse.IsFramed(resp) && (!resp.Uncompressed || len(res.Body) == 0)
	return res
}

const (
	// endSettleMs is how long a new connection to a service has to stay open before the
	// end of a response without framing counts as its end.
	endSettleMs = 250 * kcclock.Millisecond
	// minEndCheckMs is the least time for that check, also if less is left of the time of
	// the call. Otherwise no response without framing could complete a short call.
	minEndCheckMs = 2 * endSettleMs
)

// liveness returns whether the server at addr lives.
func (c *Client) liveness(ctx context.Context, addr string) kcconn.Liveness {
	check := kcconn.EndCheck{SettleMs: endSettleMs, Dial: func(ctx context.Context) (net.Conn, error) {
		return c.dial(ctx, "tcp", addr)
	}}
	found, open := check.Run(ctx)
	if open != nil {
		_ = open.Close()
	}
	return found
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

// readResponse reads the body of a response. It stays charged to the caller of the
// request.
func (c *Client) readResponse(ctx context.Context, t Target, call Call, resp *http.Response) Result {
	body, whole, err := kcledger.CallerOf(ctx).ReadWholeAnswer(resp.Body, c.opts.MaxResponseBytes)
	switch {
	case err == nil && int64(len(body)) > c.opts.MaxResponseBytes:
		err = errs.New("response of %s exceeds %d bytes", t.ID, c.opts.MaxResponseBytes)
	case err == nil && !whole:
		err = errs.New("response of %s: %v", t.ID, kcledger.ErrShort)
	}
	if err != nil {
		kcledger.CallerOf(ctx).Release(int64(cap(body)))
	}
	if id := resp.Header.Get(HeaderRequestID); err == nil && id != "" && id != call.RequestID {
		c.opts.OnRetry(RetryMismatchedResponse)
		body, err = nil, errs.New("response of %s belongs to request %q", t.ID, id)
	}
	return Result{
		Sent: true, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Body: body, Err: errs.Wrap(err),
	}
}

// watchForStall closes stalled and cancels the call when its response makes no
// progress for the idle timeout.
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

// progressBody counts the reads that returned data.
type progressBody struct {
	io.ReadCloser
	progress *atomic.Int64
}

// Read implements io.Reader.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress.Add(1)
	}
	return n, err
}

// nonReplayableBody hides the type of its reader and is never http.NoBody, so
// that net/http can neither derive GetBody nor treat the body as empty.
// Otherwise net/http retries a request with an Idempotency-Key header by itself
// when the connection fails.
type nonReplayableBody struct{ r *bytes.Reader }

func newRequestBody(b []byte) io.ReadCloser { return nonReplayableBody{bytes.NewReader(b)} }

// Read implements io.Reader.
func (o nonReplayableBody) Read(p []byte) (int, error) { return o.r.Read(p) }

// Close does nothing.
func (o nonReplayableBody) Close() error { return nil }

// isStatusError reports whether err is an error that the upstream itself
// returned.
func isStatusError(err error) bool {
	var status *StatusError
	return errors.As(err, &status)
}

func isUnattributed(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.unattributed
}
