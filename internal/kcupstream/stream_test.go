package kcupstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"go.uber.org/goleak"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const idleTimeoutMs = 2000

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedEngine is an engine that handles each connection as the next line of
// its script for the method says.
type scriptedEngine struct {
	clock kcclock.Manual

	mu             sync.Mutex
	retryCount     int
	deliveredCount int
	sentCount      int
	lines          []string
	cancelledPaths []string
}

func (s *scriptedEngine) nextSteps(method string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, line := range s.lines {
		if rest, ok := strings.CutPrefix(line, method+" "); ok {
			s.lines = slices.Delete(s.lines, i, i+1)
			return strings.Fields(rest)
		}
	}
	return []string{"503"}
}

func (s *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodDelete {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelledPaths = append(s.cancelledPaths, r.URL.Path)
		return
	}
	s.mu.Lock()
	retriesBefore := s.retryCount
	s.mu.Unlock()
	for _, step := range s.nextSteps(r.Method) {
		switch step {
		case "404", "503":
			w.WriteHeader(map[string]int{"404": 404, "503": 503}[step])
		case "break":
			panic(http.ErrAbortHandler)
		case "silent":
			s.advancePastIdleTimeout(r.Context(), retriesBefore)
		case "repeating":
			s.repeatEvent(w, retriesBefore)
		case "done":
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		case "unframed":
			w.Header().Set("Connection", "close")
			w.Header().Set("Transfer-Encoding", "identity")
			continue
		case "half":
			_, _ = io.WriteString(w, "id: 1\ndata: {\"id\":\"chatcmpl-req\",\"n\"")
		case "halfLine":
			_, _ = io.WriteString(w, "id: 1\ndata: {\"id\":\"chatcmpl-req\",\"n\":1}")
		case "crossed":
			_, _ = io.WriteString(w, "id: 1\ndata: {\"id\":\"other\"}\n\n")
		case "error":
			_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"x\"}}\n\n")
		default:
			s.increment(&s.sentCount)
			_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"id\":\"chatcmpl-req\",\"n\":%s}\n\n", step, step)
		}
		if step != "404" && step != "503" {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func (s *scriptedEngine) increment(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// advancePastIdleTimeout advances the clock until the client abandons the
// connection. The lock keeps the clock from moving after that.
func (s *scriptedEngine) advancePastIdleTimeout(ctx context.Context, retriesBefore int) {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.retryCount != retriesBefore {
			s.mu.Unlock()
			return
		}
		if s.deliveredCount == s.sentCount {
			s.clock.Advance(idleTimeoutMs)
		}
		s.mu.Unlock()
		runtime.Gosched()
	}
}

func (s *scriptedEngine) undelivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deliveredCount != s.sentCount
}

// repeatEvent sends event 0 again and again, twice in each idle timeout, until the
// client abandons the connection. It gives up after a hundred idle timeouts.
func (s *scriptedEngine) repeatEvent(w http.ResponseWriter, retriesBefore int) {
	for s.undelivered() {
		runtime.Gosched()
	}
	for range 200 {
		s.clock.AwaitWaiters(1) // the client waits for the next event
		s.mu.Lock()
		abandoned := s.retryCount != retriesBefore
		if !abandoned {
			s.clock.Advance(idleTimeoutMs / 2)
		}
		s.mu.Unlock()
		if abandoned {
			return
		}
		_, _ = io.WriteString(w, "id: 0\ndata: {\"id\":\"chatcmpl-req\",\"n\":0}\n\n")
		_ = http.NewResponseController(w).Flush()
		for range 100_000 {
			runtime.Gosched() // the client reads the event
		}
	}
}

func (s *scriptedEngine) start(t *testing.T) (*Client, Target) {
	t.Helper()
	srv := httptest.NewServer(s)
	c := NewClient(Options{
		Clock: &s.clock, IdleTimeoutMs: idleTimeoutMs, MaxResponseBytes: 1 << 20,
		OnRetry: func(string) { s.increment(&s.retryCount) },
	})
	t.Cleanup(func() { c.WaitBackground(context.Background()); c.CloseIdleConnections(); srv.Close() })
	return c, Target{ID: "engine", Addr: srv.Listener.Addr().String()}
}

func (s *scriptedEngine) readAll(ctx context.Context, c *Client, t Target) []string {
	stream, _, err := c.Stream(ctx, t, "req", []byte("{}"))
	var got []string
	for err == nil {
		var ev Event
		if ev, err = stream.Next(ctx); err == nil {
			s.increment(&s.deliveredCount)
			text := fmt.Sprint(ev.Offset)
			if want := fmt.Sprintf(`{"id":"chatcmpl-req","n":%d}`, ev.Offset); string(ev.Data) != want {
				text = fmt.Sprintf("%d=%s", ev.Offset, ev.Data)
			}
			got = append(got, text)
		}
	}
	if stream != nil {
		stream.Close(errors.Is(err, io.EOF))
	}
	var status *StatusError
	switch {
	case errors.As(err, &status):
		return append(got, "status", fmt.Sprint(status.Status))
	case errors.Is(err, ErrUnknownRequest):
		return append(got, "lost")
	default:
		return append(got, err.Error())
	}
}

// Guards against responses that are truncated, repeated, mixed with events of
// another request or never end because a connection broke or stalled.
func TestStreamCases(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/streams.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) {
			lines := strings.Split(strings.TrimSpace(string(f.Data)), "\n")
			s := &scriptedEngine{lines: lines[:len(lines)-1]}
			c, target := s.start(t)
			got := strings.Join(s.readAll(t.Context(), c, target), " ")
			if want := strings.TrimPrefix(lines[len(lines)-1], "want "); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if len(s.lines) > 0 {
				t.Errorf("connections that the client did not open: %q", s.lines)
			}
		})
	}
}

// Guards against work that continues at the engine after the caller has left.
func TestCloseCancelsAtEngine(t *testing.T) {
	s := &scriptedEngine{lines: []string{"POST 0 1 done"}}
	c, target := s.start(t)
	stream, _, err := c.Stream(t.Context(), target, "req", []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	stream.Close(false)
	c.WaitBackground(t.Context())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.cancelledPaths, []string{"/v1/streams/req"}) {
		t.Errorf("cancelled %q", s.cancelledPaths)
	}
}

// Guards against a new connection per response. The transport does not reuse a
// connection if the body is not read past the end marker.
func TestCompleteResponseReturnsConnectionToPool(t *testing.T) {
	s := &scriptedEngine{lines: []string{"POST 0 done", "POST 0 done", "POST 0 done"}}
	var conns atomic.Int64
	srv := httptest.NewUnstartedServer(s)
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	c := NewClient(Options{Clock: &s.clock, IdleTimeoutMs: idleTimeoutMs})
	defer c.CloseIdleConnections()
	target := Target{ID: "engine", Addr: srv.Listener.Addr().String()}
	for range 3 {
		if got := s.readAll(t.Context(), c, target); len(got) != 2 {
			t.Fatal(got)
		}
		c.WaitBackground(t.Context()) // the connection is back in the pool
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three responses, want 1", n)
	}
}
