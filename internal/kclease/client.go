package kclease

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// ErrFenced means that the engine has seen an order with a higher fencing
// token, so this lease is no longer valid.
var ErrFenced = errors.New("lease: the engine has seen an order of a newer lease")

// maxEngineStateBytes bounds the response body with the state of an engine,
// which lists a few versions and adapters.
const maxEngineStateBytes = 1 << 20

// EngineState is the state that an engine reports.
type EngineState struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	Versions []string `json:"versions"`
	Loading  []string `json:"loading"`
	Adapters []string `json:"adapters"`
	Fence    int64    `json:"fence"`
}

// Satisfies reports whether the engine is in the state that o asks for and has
// nothing left to load.
func (s EngineState) Satisfies(o Order) bool {
	return len(s.Loading) == 0 && (o.Role == "" || o.Role == s.Role) &&
		equalSets(s.Versions, o.Versions) && equalSets(s.Adapters, o.Adapters)
}

func equalSets(a, b []string) bool {
	return slices.Equal(slices.Compact(slices.Sorted(slices.Values(a))), slices.Compact(slices.Sorted(slices.Values(b))))
}

// EngineClient sends orders to engines and reads their state.
type EngineClient interface {
	// SendOrder sends an order to the engine at addr. The error wraps ErrFenced if
	// the engine rejected the order for its fencing token. After any other error
	// the engine may have accepted it.
	SendOrder(ctx context.Context, addr string, o Order) error
	// ReadState reads the state of the engine at addr.
	ReadState(ctx context.Context, addr string) (EngineState, error)
}

// HTTPEngineClient is an EngineClient over HTTP.
type HTTPEngineClient struct {
	HTTP  *http.Client
	Clock kcclock.Clock
	// TimeoutMs bounds one call.
	TimeoutMs kcclock.Millis
}

// SendOrder sends an order to the engine at addr.
func (e *HTTPEngineClient) SendOrder(ctx context.Context, addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errs.Wrap(err)
	}
	return e.doRequest(ctx, http.MethodPost, addr, "/v1/orders", body, nil)
}

// ReadState reads the state of the engine at addr.
func (e *HTTPEngineClient) ReadState(ctx context.Context, addr string) (EngineState, error) {
	var s EngineState
	err := e.doRequest(ctx, http.MethodGet, addr, "/v1/state", nil, &s)
	return s, err
}

func (e *HTTPEngineClient) doRequest(ctx context.Context, method, addr, path string, body []byte, answer any) error {
	ctx, cancel := kcclock.WithTimeout(ctx, e.Clock, e.TimeoutMs)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.HTTP.Do(req)
	if err != nil {
		// The pooled connection may be dead without a reset, while a new one would
		// work.
		e.HTTP.CloseIdleConnections()
		return errs.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode != http.StatusOK:
		return errs.New("engine at %s: %s: status %d", addr, path, resp.StatusCode)
	case answer == nil:
		return nil
	}
	return errs.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxEngineStateBytes)).Decode(answer))
}
