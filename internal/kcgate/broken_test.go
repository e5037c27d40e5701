package kcgate_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// soundHeader is what the head of a sound response of an engine holds.
const soundHeader = "Request-Id: {id}\r\nStamp: s\r\n"

// upload sends the request that a case needs to the fixture and reads the whole
// response.
func (f *fixture) upload(t *testing.T, c kcfault.Case) (status int, got string, err error) {
	t.Helper()
	body, patience := []byte("body"), "9000"
	if c.Early {
		body = make([]byte, kcfault.UploadBytes)
	}
	if c.Flood != "" {
		patience = "800"
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/a/x", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = f.host
	req.Header = http.Header{"Request-Id": {"q1"}, "Api-Key": {"key"}, "Deadline-Ms": {patience}}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// maxLogBytes is the size of all log lines of one request, with three attempts.
const maxLogBytes = 4 << 10

// Guards against a broken response of an engine that a caller gets as complete, and
// against a sound one that it does not get.
func TestBrokenResponsesAreNotForwarded(t *testing.T) {
	for name, kind := range map[string]kctable.RequestType{
		"once": kctable.NonIdempotent, "again": kctable.Idempotent, "stream": kctable.Streaming,
	} {
		body := "the body of the response"
		if kind == kctable.Streaming {
			body = event(1) + event(2) + event(3) + event(4) // the first half ends after an event
		}
		for _, c := range kcfault.Cases(t) {
			t.Run(name+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				s := kcfault.NewServer(t, c, soundHeader, body)
				f := newFixture(t, []kctable.Route{route("a", kind)})
				f.gate.Table().Limits.MaxBodyBytes = kcfault.UploadBytes
				f.listUpstreams(s.Addr)
				status, got, err := f.upload(t, c)
				complete := err == nil && status < http.StatusBadRequest
				if complete != c.Sound || c.Sound && got != body {
					t.Errorf("status %d, %.80q, error %v: complete %v, want %v\n%s", status, got, err, complete, c.Sound, f.logs)
				}
				if n := len(f.logs.String()); n > maxLogBytes {
					t.Errorf("%d bytes of logs for one request", n)
				}
				promisesNothing := status == http.StatusBadGateway || status == http.StatusGatewayTimeout
				if err == nil && !c.Sound && s.Requests() > 0 && !promisesNothing {
					t.Errorf("status %d: want one that promises nothing", status)
				}
			})
		}
	}
}

// Guards against a broken response to the resume of a stream that ends it as if it were
// complete.
func TestBrokenResponsesDoNotCompleteResumedStream(t *testing.T) {
	rest := event(2) + event(3)
	for _, c := range kcfault.Cases(t) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			first := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
				stream(w, req, "", event(1))
				return false
			})
			s := kcfault.NewServer(t, c, soundHeader, rest)
			f := newFixture(t, []kctable.Route{route("a", kctable.Streaming)})
			f.gate.Table().Limits.MaxBodyBytes = kcfault.UploadBytes
			f.listUpstreams(first.ln.Addr().String())
			first.onRequest = func() { f.listUpstreams(first.ln.Addr().String(), s.Addr) }
			_, got, err := f.upload(t, c)
			if complete := err == nil; complete != c.Sound || !strings.HasPrefix(event(1)+rest, got) || c.Sound && got != event(1)+rest {
				t.Errorf("%.80q, error %v: complete %v, want %v\n%s", got, err, complete, c.Sound, f.logs)
			}
		})
	}
}

// Guards against an early rejection that is lost because the connection broke while the
// request was written: the upstream says that it has not run the request.
func TestEarlyRejectionIsRetriedElsewhere(t *testing.T) {
	for name, framing := range map[string]string{"no framing": "", "length": "Content-Length: 2\r\n"} {
		t.Run(name, func(t *testing.T) {
			rejecting := kcfault.NewServer(t, kcfault.Case{
				Early: true, End: kcfault.Reset,
				Response: "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n" + framing + "\r\nno",
			}, "", "")
			next := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return replyOK(req, w) })
			f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)})
			f.gate.Table().Limits.MaxBodyBytes = kcfault.UploadBytes
			f.listUpstreams(rejecting.Addr)
			rejecting.OnRequest = func() { f.listUpstreams(rejecting.Addr, next.ln.Addr().String()) }
			if status, got, err := f.upload(t, rejecting.Case); status != http.StatusOK || got != "ok" {
				t.Errorf("status %d, %q, %v: want the response of the other upstream\n%s", status, got, err, f.logs)
			}
		})
	}
}
