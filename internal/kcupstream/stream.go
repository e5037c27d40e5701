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

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxFailedResumes bounds the resumes in a row that failed.
	maxFailedResumes = 5
	// resumeBackoffMs is the wait after the first failed resume; it doubles. A
	// restarting engine refuses connections at once.
	resumeBackoffMs = 50 * kcclock.Millisecond
)

// ErrUnknownRequest reports that the engine does not know the request any more, for
// example after a restart. The answer can only be started anew.
var ErrUnknownRequest = errors.New("the engine does not know the request")

// errStalled reports a connection without events for the idle time.
var errStalled = errors.New("connection is silent")

// Event is one event of a streamed answer.
type Event struct {
	// Offset grows by one per event and starts at 0.
	Offset int64
	Data   []byte
}

// StatusError is an answer of an engine that is not a stream.
type StatusError struct {
	Status int
	// Body may repeat parts of the prompt and must not be logged.
	Body []byte
}

// Error returns the status.
func (e *StatusError) Error() string { return "upstream answered status " + strconv.Itoa(e.Status) }

// Stream is a streamed answer that is resumed on a fresh connection when the
// connection breaks or goes silent.
type Stream struct {
	client     *Client
	target     Target
	requestID  string
	nextOffset int64
	conn       *streamConn
	idle       idleTimer
	// Resumes counts the resumes over the life of the stream.
	Resumes       int
	failedResumes int
}

// Stream starts a chat completion. The boolean is false only if no byte of the
// request can have left. A StatusError reports an answer that is no stream.
// A request whose connection failed is looked up at the engine; ErrUnknownRequest means
// that the engine does not know it.
func (c *Client) Stream(ctx context.Context, t Target, requestID string, body []byte) (*Stream, bool, error) {
	s := &Stream{client: c, target: t, requestID: requestID}
	s.idle = idleTimer{clock: c.opts.Clock, timeoutMs: c.opts.IdleTimeoutMs}
	sent, err := s.start(ctx, c.pooled, body)
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

func (s *Stream) start(ctx context.Context, client *http.Client, payload []byte) (bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.client.scheme+s.target.Addr+"/v1/chat/completions", newRequestBody(payload))
	if err != nil {
		return false, errs.Wrap(err)
	}
	req.ContentLength = int64(len(payload))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, s.requestID)
	err = s.open(ctx, client, req)
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
			// The engine answered the last open; it may need longer than the
			// idle time for the next token. The deadline bounds the wait.
			s.failedResumes = 0
		}
		if err := s.resume(ctx, err); err != nil {
			return Event{}, err
		}
	}
}

// Close ends the stream. It cancels the work at the engine unless the answer
// is complete, and does not wait for it.
func (s *Stream) Close(complete bool) {
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

// release closes a connection that does not end within the idle time after a
// complete answer.
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

// resume opens a fresh connection, because the old one may be silent for good
// while new ones work.
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
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.streamURL()+"?from="+strconv.FormatInt(s.nextOffset, 10), http.NoBody)
		if err != nil {
			return errs.Wrap(err)
		}
		if cause = s.open(ctx, s.client.unpooled, req); cause == nil {
			return nil
		}
		var status *StatusError
		switch {
		case errors.As(cause, &status) && status.Status == http.StatusNotFound:
			return fmt.Errorf("%s: %w", s.target.ID, ErrUnknownRequest)
		case status != nil || ctx.Err() != nil:
			return cause
		case errors.Is(cause, errStalled):
			continue // the wait for the headers was long enough
		}
		select {
		case <-s.client.opts.Clock.After(resumeBackoffMs << s.failedResumes):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// open sends req and starts to read the events of the answer. The wait for
// the response headers is bounded like any other silence.
func (s *Stream) open(ctx context.Context, client *http.Client, req *http.Request) error {
	// The connection outlives ctx, so that it can go back to the pool after
	// the end of the request; Close ends it.
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	type result struct {
		resp *http.Response
		err  error
	}
	results := make(chan result, 1)
	go func() {
		resp, err := client.Do(req.WithContext(connCtx)) //nolint:bodyclose // closed by the reader of the stream
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
		// The status is enough if the body does not come.
		readCtx, cancelRead := kcclock.WithTimeout(ctx, s.client.opts.Clock, s.client.opts.IdleTimeoutMs)
		stopAfterFunc := context.AfterFunc(readCtx, cancel)
		body, _ := io.ReadAll(io.LimitReader(res.resp.Body, maxEventBytes))
		stopAfterFunc()
		cancelRead()
		_ = res.resp.Body.Close()
		cancel()
		return &StatusError{Status: res.resp.StatusCode, Body: body}
	}
	s.conn = &streamConn{events: make(chan Event, eventBufferSize), cancel: cancel, ended: make(chan struct{})}
	go s.conn.run(connCtx, res.resp.Body, s.nextOffset)
	return nil
}

// await calls try until it reports true, ctx ends or the idle time passes.
// try must return when expired is closed or ctx ends.
func (s *Stream) awaitWithIdleTimeout(ctx context.Context, wait func(expired <-chan struct{}) bool) error {
	s.idle.reset()
	for !wait(s.idle.timerC()) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if isClosed(s.idle.timerC()) && s.idle.expired() {
			return fmt.Errorf("nothing from %s for %d ms: %w", s.target.ID, s.client.opts.IdleTimeoutMs, errStalled)
		}
	}
	return nil
}

// read returns the next event of the current connection.
func (s *Stream) nextEvent(ctx context.Context) (Event, error) {
	for {
		var ev Event
		var open bool
		cause := s.awaitWithIdleTimeout(ctx, func(expired <-chan struct{}) bool {
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
			return Event{}, s.conn.err
		}
		if isNext, err := s.checkEvent(ev); err != nil || isNext {
			return ev, err
		}
	}
}

// check reports whether ev is the next event of this stream. It is false for
// an event that was delivered before a resume.
func (s *Stream) checkEvent(ev Event) (bool, error) {
	if err := s.checkRequestID(ev); err != nil {
		return false, err
	}
	if ev.Offset > s.nextOffset {
		return false, errs.New("gap in stream %s: event %d after %d", s.requestID, ev.Offset, s.nextOffset-1)
	}
	return ev.Offset == s.nextOffset, nil
}

func (s *Stream) checkRequestID(ev Event) error {
	// Most engines write the id first; that saves decoding every event.
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
		return &StatusError{Status: http.StatusBadGateway, Body: head.Error}
	}
	if !s.matchesRequestID(head.ID) {
		s.client.opts.OnRetry(RetryMismatchedResponse)
		return errs.New("event %d of stream %s belongs to another request", ev.Offset, s.requestID)
	}
	return nil
}

// owns reports whether an event with the id belongs to the stream. Engines may
// put a prefix such as "chatcmpl-" before the request id.
func (s *Stream) matchesRequestID(id string) bool {
	prefix, ok := strings.CutSuffix(id, s.requestID)
	return ok && (prefix == "" || strings.HasSuffix(prefix, "-"))
}
