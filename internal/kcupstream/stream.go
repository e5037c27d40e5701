package kcupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxFailedResumes bounds the consecutive failed resumes.
	maxFailedResumes = 5
	// resumeBackoffMs is the base of the exponential backoff between failed
	// resumes. A restarting engine refuses connections immediately, so without
	// a wait the resumes would be used up at once.
	resumeBackoffMs = 50 * kcclock.Millisecond
)

// ErrUnknownRequest reports that the engine does not know the request, for
// example after a restart. The stream cannot be resumed; the request can only
// be started again.
var ErrUnknownRequest = errors.New("the engine does not know the request")

// errStalled reports that no data arrived for the idle timeout.
var errStalled = errors.New("connection stalled")

// Event is one event of a streamed response.
type Event struct {
	// Offset grows by one per event and starts at 0.
	Offset int64
	Data   []byte
	// charged is what the event is charged with until the next one is taken.
	charged int64
}

// StatusError is an error response of an engine: a response with a status other
// than 200, or an error event within a stream.
type StatusError struct {
	Status int
	// Body may repeat parts of the prompt and must not be logged.
	Body []byte
	// unattributed is true for an error response without the id of the request on a
	// connection that was used before. It may be a late second response to an
	// earlier request.
	unattributed bool
}

// Error implements the error interface. It leaves out the body.
func (e *StatusError) Error() string { return "upstream returned status " + strconv.Itoa(e.Status) }

// Stream is a streamed response that is resumed on a new connection when its
// connection breaks or stalls.
type Stream struct {
	client     *Client
	target     Target
	requestID  string
	nextOffset int64
	conn       *streamConn
	idle       idleTimer
	// release releases the charge for the last event.
	release func()
	// Resumes counts the resumes over the life of the stream.
	Resumes       int
	failedResumes int
}

// Stream starts a chat completion. The boolean is false only if no byte of the
// request can have been sent. A StatusError reports an error response. If the
// connection fails after the request may have been sent, Stream tries to resume
// the request at the engine; ErrUnknownRequest then means that the engine does
// not know it.
func (c *Client) Stream(ctx context.Context, t Target, requestID string, body []byte) (*Stream, bool, error) {
	s := &Stream{client: c, target: t, requestID: requestID, release: func() {}}
	s.idle = idleTimer{clock: c.opts.Clock, timeoutMs: c.opts.IdleTimeoutMs}
	sent, err := s.start(ctx, c.pooled, body)
	if isUnattributed(err) {
		err = s.confirm(ctx, err)
	}
	if err == nil {
		return s, true, nil
	}
	if !sent || isStatusError(err) {
		return nil, sent, err
	}
	if ctx.Err() == nil {
		err = s.resume(ctx, err)
	}
	if errors.Is(err, ErrUnknownRequest) {
		// The request never arrived, so its pooled connection was dead; others
		// may be as well.
		c.CloseIdleConnections()
	}
	if err != nil {
		s.Close(false)
		return nil, true, err
	}
	return s, true, nil
}

// confirm asks the engine on a new connection whether it runs the request, after
// an error response that may belong to another one. It returns nil if the engine
// does, and the error if it does not know the request.
func (s *Stream) confirm(ctx context.Context, refusal error) error {
	req, err := s.resumeRequest(ctx)
	if err != nil {
		return err
	}
	err = s.open(ctx, s.client.unpooled, req, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return refusal
	}
	s.client.opts.OnRetry(RetryMismatchedResponse)
	return err
}

func (s *Stream) start(ctx context.Context, httpClient *http.Client, payload []byte) (bool, error) {
	var sent, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { sent.Store(true); reused.Store(info.Reused) },
	})
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, s.client.scheme+s.target.Addr+"/v1/chat/completions", newRequestBody(payload),
	)
	if err != nil {
		return false, errs.Wrap(err)
	}
	req.ContentLength = int64(len(payload))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, s.requestID)
	err = s.open(ctx, httpClient, req, &reused)
	return sent.Load(), err
}

// Next returns the next event, or io.EOF after the last. A StatusError means
// that the engine ended the stream with an error event.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	for {
		ev, err := s.nextEvent(ctx)
		if err == nil {
			s.nextOffset, s.failedResumes = ev.Offset+1, 0
			return ev, nil
		}
		if ctx.Err() != nil || errors.Is(err, io.EOF) || isStatusError(err) {
			return Event{}, err
		}
		if errors.Is(err, errStalled) {
			// The engine answered the last request; its next token may take
			// longer than the idle timeout. The deadline of the request bounds
			// the wait.
			s.failedResumes = 0
		}
		if err := s.resume(ctx, err); err != nil {
			return Event{}, err
		}
	}
}

// Close ends the stream and returns at once. Unless the response is complete,
// it cancels the request at the engine in the background.
func (s *Stream) Close(complete bool) {
	s.release()
	if complete {
		s.closeAfterCompletion()
		return
	}
	if s.conn != nil {
		s.conn.cancel()
	}
	s.client.background.run(func() {
		ctx, cancel := kcclock.WithTimeout(context.Background(), s.client.opts.Clock, s.client.opts.IdleTimeoutMs)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.streamURL(), http.NoBody)
		if err != nil {
			return
		}
		if resp, err := s.client.unpooled.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	})
}

// closeAfterCompletion closes the connection of a complete response in the
// background if it does not end within the idle timeout.
func (s *Stream) closeAfterCompletion() {
	if isClosed(s.conn.ended) {
		return
	}
	s.client.background.run(func() {
		select {
		case <-s.conn.ended:
		case <-s.client.opts.Clock.After(s.client.opts.IdleTimeoutMs):
			s.conn.cancel()
		}
	})
}

func (s *Stream) streamURL() string {
	return s.client.scheme + s.target.Addr + "/v1/streams/" + s.requestID
}

// resume requests the remaining events on a new connection, because the old one
// may stay stalled while new ones work.
func (s *Stream) resume(ctx context.Context, cause error) error {
	if s.conn != nil {
		s.conn.cancel()
	}
	for {
		s.failedResumes++
		s.Resumes++
		if s.failedResumes > maxFailedResumes {
			return fmt.Errorf("stream %s at %s ended after %d resumes: %w", s.requestID, s.target.ID, s.failedResumes-1, cause)
		}
		s.client.opts.OnRetry(RetryStreamResumed)
		req, err := s.resumeRequest(ctx)
		if err != nil {
			return err
		}
		if cause = s.open(ctx, s.client.unpooled, req, nil); cause == nil {
			return nil
		}
		var status *StatusError
		switch {
		case errors.As(cause, &status) && status.Status == http.StatusNotFound:
			return fmt.Errorf("%s: %w", s.target.ID, ErrUnknownRequest)
		case status != nil || ctx.Err() != nil:
			return cause
		case errors.Is(cause, errStalled):
			continue // the wait for the response headers serves as the backoff
		}
		select {
		case <-s.client.opts.Clock.After(resumeBackoffMs << s.failedResumes):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Stream) resumeRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(
		ctx, http.MethodGet, s.streamURL()+"?from="+strconv.FormatInt(s.nextOffset, 10), http.NoBody,
	)
	return req, errs.Wrap(err)
}

// open sends req and starts to read the events of the response. The wait for
// the response headers is bounded by the idle timeout. reused tells once the
// request is sent whether its connection was used before; nil means a new one.
func (s *Stream) open(ctx context.Context, httpClient *http.Client, req *http.Request, reused *atomic.Bool) error {
	// The connection outlives ctx, so that it can return to the pool after the
	// end of the request. Close ends it.
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	type result struct {
		resp *http.Response
		err  error
	}
	results := make(chan result, 1)
	go func() {
		resp, err := httpClient.Do(req.WithContext(connCtx)) //nolint:bodyclose // closed by the reader of the stream
		results <- result{resp, err}
	}()
	var res result
	cause := s.awaitWithIdleTimeout(ctx, func(expired <-chan struct{}) bool {
		select {
		case res = <-results:
			return true
		case <-expired:
		case <-ctx.Done():
		}
		return false
	})
	if cause != nil {
		cancel()
		if res = <-results; res.err == nil {
			_ = res.resp.Body.Close()
		}
		s.client.reportResult(ctx, s.target, nil, cause)
		return cause
	}
	s.client.reportResult(ctx, s.target, res.resp, res.err)
	if res.err != nil {
		cancel()
		return errs.Wrap(res.err)
	}
	if res.resp.StatusCode != http.StatusOK {
		// The body is optional: the status is returned even if the body does
		// not arrive within the idle timeout.
		readCtx, cancelRead := kcclock.WithTimeout(ctx, s.client.opts.Clock, s.client.opts.IdleTimeoutMs)
		stopAfterFunc := context.AfterFunc(readCtx, cancel)
		body, _ := io.ReadAll(io.LimitReader(res.resp.Body, maxErrorBytes))
		stopAfterFunc()
		cancelRead()
		_ = res.resp.Body.Close()
		cancel()
		return &StatusError{
			Status: res.resp.StatusCode, Body: body,
			// Failing servers often leave out the id, and after a server error the request
			// goes to another engine.
			unattributed: !s.isAttributed(res.resp, reused) &&
				(res.resp.StatusCode < http.StatusInternalServerError || res.resp.Header.Get(HeaderRequestID) != ""),
		}
	}
	s.conn = &streamConn{
		events: make(chan Event, eventBufferSize), cancel: cancel, ended: make(chan struct{}), memory: kcledger.CallerOf(ctx),
		unattributed: !s.isAttributed(res.resp, reused),
	}
	go s.conn.run(connCtx, res.resp.Body, s.nextOffset)
	return nil
}

// isAttributed reports whether a response belongs to the stream as its head and its
// connection show. It may be a late second response to an earlier request otherwise.
// reused is that of open.
func (s *Stream) isAttributed(resp *http.Response, reused *atomic.Bool) bool {
	return reused == nil || !reused.Load() || resp.Header.Get(HeaderRequestID) == s.requestID
}

// awaitWithIdleTimeout calls wait until it reports true, ctx is done or the
// idle timeout passes. wait must return when expired is closed or ctx is done.
func (s *Stream) awaitWithIdleTimeout(ctx context.Context, wait func(expired <-chan struct{}) bool) error {
	s.idle.reset()
	return s.awaitProgress(ctx, wait)
}

// awaitProgress is awaitWithIdleTimeout with the idle timeout that runs already.
func (s *Stream) awaitProgress(ctx context.Context, wait func(expired <-chan struct{}) bool) error {
	for !wait(s.idle.timerC()) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if isClosed(s.idle.timerC()) && s.idle.expired() {
			return fmt.Errorf("no data from %s for %d ms: %w", s.target.ID, s.client.opts.IdleTimeoutMs, errStalled)
		}
	}
	return nil
}

// nextEvent returns the next event of the current connection that was not
// delivered before. Events that were do not extend the idle timeout.
func (s *Stream) nextEvent(ctx context.Context) (Event, error) {
	s.idle.reset()
	for {
		var ev Event
		var open bool
		cause := s.awaitProgress(ctx, func(expired <-chan struct{}) bool {
			select {
			case ev, open = <-s.conn.events:
				return true
			case <-expired:
			case <-ctx.Done():
			}
			return false
		})
		if cause != nil {
			return Event{}, cause
		}
		if !open {
			return Event{}, s.endOfConn()
		}
		s.release()
		memory := s.conn.memory
		s.release = func() { memory.Release(ev.charged) }
		if isNext, err := s.checkEvent(ev); err != nil || isNext {
			return ev, err
		}
	}
}

// endOfConn returns the error that has ended the events of the current connection. The
// end marker alone does not show to which stream it belongs.
func (s *Stream) endOfConn() error {
	if s.conn.unattributed && errors.Is(s.conn.err, io.EOF) {
		s.client.opts.OnRetry(RetryMismatchedResponse)
		return errs.New("the end of stream %s may belong to another request", s.requestID)
	}
	return s.conn.err
}

// checkEvent reports whether ev is the next event of this stream. It returns
// false for an event that was delivered before a resume, and an error for an
// event after a gap.
func (s *Stream) checkEvent(ev Event) (bool, error) {
	if err := s.checkRequestID(ev); err != nil {
		return false, err
	}
	s.conn.unattributed = false
	if ev.Offset > s.nextOffset {
		return false, errs.New("gap in stream %s: event %d after %d", s.requestID, ev.Offset, s.nextOffset-1)
	}
	return ev.Offset == s.nextOffset, nil
}

func (s *Stream) checkRequestID(ev Event) error {
	// Most engines write the id first. Such an event is only validated, not
	// decoded.
	if rest, ok := bytes.CutPrefix(ev.Data, []byte(`{"id":"`)); ok {
		id, _, _ := bytes.Cut(rest, []byte(`"`))
		if s.matchesRequestID(string(id)) && json.Valid(ev.Data) {
			return nil
		}
	}
	var head struct {
		ID    string          `json:"id"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(ev.Data, &head); err != nil {
		return errs.New("event %d of stream %s is not JSON", ev.Offset, s.requestID)
	}
	if len(head.Error) > 0 && head.ID == "" && !bytes.Equal(head.Error, []byte("null")) {
		if s.conn.unattributed {
			s.client.opts.OnRetry(RetryMismatchedResponse)
			return errs.New("the error of stream %s may belong to another request", s.requestID)
		}
		return &StatusError{Status: http.StatusBadGateway, Body: head.Error}
	}
	if !s.matchesRequestID(head.ID) {
		s.client.opts.OnRetry(RetryMismatchedResponse)
		return errs.New("event %d of stream %s belongs to another request", ev.Offset, s.requestID)
	}
	return nil
}

// matchesRequestID reports whether an event with the id belongs to the stream.
// Engines may put a prefix such as "chatcmpl-" before the request id.
func (s *Stream) matchesRequestID(id string) bool {
	prefix, ok := strings.CutSuffix(id, s.requestID)
	return ok && (prefix == "" || strings.HasSuffix(prefix, "-"))
}
