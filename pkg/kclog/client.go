package kclog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Client is an HTTP client of the log service.
type Client struct {
	// BaseURL is the URL of the service without a trailing slash.
	BaseURL string
	// HTTP sends the requests.
	HTTP *http.Client
	// Clock measures TimeoutMs; nil means the system clock.
	Clock kcclock.Clock
	// TimeoutMs bounds one call, in addition to the time that a read waits for
	// records; 0 means 2 s.
	TimeoutMs kcclock.Millis
}

const (
	defaultTimeoutMs = 2 * kcclock.Second
	// maxResponseBytes bounds a response of the log. It holds more than a hundred of the
	// largest records; a page of more is read in parts.
	maxResponseBytes = 8 << 20
	// maxDrainBytes bounds what is read after a response so that its connection can be
	// used again.
	maxDrainBytes = 64 << 10
)

// do sends req within the timeout. A call that times out may be on a stalled
// connection. The cancellation closes this connection and do closes the idle
// ones, so the next call dials.
func (c *Client) do(req *http.Request, wait kcclock.Millis) (*http.Response, context.CancelFunc, error) {
	var clock kcclock.Clock = kcclock.System{}
	if c.Clock != nil {
		clock = c.Clock
	}
	timeout := c.TimeoutMs
	if timeout <= 0 {
		timeout = defaultTimeoutMs
	}
	ctx, cancel := kcclock.WithTimeout(req.Context(), clock, timeout+max(wait, 0))
	resp, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		cancel()
		c.HTTP.CloseIdleConnections()
		return nil, nil, errs.Wrap(err)
	}
	return resp, cancel, nil
}

// Append adds recs to stream and returns the offset of the first.
func (c *Client) Append(ctx context.Context, stream string, recs []NewRecord) (int64, error) {
	body, err := json.Marshal(struct {
		Records []NewRecord `json:"records"`
	}{recs})
	if err != nil {
		return 0, errs.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, cancel, err := c.do(req, 0)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return 0, fmt.Errorf("%w: stream %s: %w", ErrUnavailable, stream, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: stream %s: %w", ErrAnswerLost, stream, err)
	}
	defer cancel()
	defer drainAndClose(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: stream %s: status %d", ErrUnavailable, stream, resp.StatusCode)
	default:
		return 0, fmt.Errorf("%w: stream %s: status %d", ErrAnswerLost, stream, resp.StatusCode)
	}
	var answer struct {
		FirstOffset int64 `json:"firstOffset"`
	}
	if err := decode(resp, &answer); err != nil {
		return 0, fmt.Errorf("%w: stream %s: %w", ErrAnswerLost, stream, err)
	}
	return answer.FirstOffset, nil
}

// Read returns at most limit records of stream, starting at offset from. It
// waits up to wait milliseconds if there are none yet. It returns fewer records if
// limit records are too large for one response.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (Page, error) {
	for {
		page, err := c.readPage(ctx, stream, from, limit, wait)
		var tooLarge *http.MaxBytesError
		if limit <= 1 || !errors.As(err, &tooLarge) {
			return page, err
		}
		limit /= 2
	}
}

func (c *Client) readPage(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (Page, error) {
	q := url.Values{
		"from":   {strconv.FormatInt(from, 10)},
		"max":    {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(int64(wait), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+q.Encode(), http.NoBody)
	if err != nil {
		return Page{}, errs.Wrap(err)
	}
	resp, cancel, err := c.do(req, wait)
	if err != nil {
		return Page{}, fmt.Errorf("%w: stream %s: %w", ErrUnavailable, stream, err)
	}
	defer cancel()
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("%w: stream %s: status %d", ErrUnavailable, stream, resp.StatusCode)
	}
	var page Page
	if err := decode(resp, &page); err != nil {
		return Page{}, fmt.Errorf("%w: stream %s: %w", ErrUnavailable, stream, err)
	}
	return page, nil
}

func (c *Client) recordsURL(stream string) string {
	return c.BaseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// decode decodes the JSON body of a response.
func decode(resp *http.Response, into any) error {
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponseBytes)).Decode(into)
}

// drainAndClose reads the rest of a small body, without which the connection is not
// reused, and closes it.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}
