package kcupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	soundHeader = "X-Request-Id: {id}\r\n"
	// brokenTimeoutMs ends a call whose response never ends.
	brokenTimeoutMs = 10 * kcclock.Second
	// resumeTimeoutMs ends the resumes of a stream whose responses are all broken.
	resumeTimeoutMs = 500 * kcclock.Millisecond
	// maxErrorText is the size of the text of an error, which is logged.
	maxErrorText = 1 << 10
	// brokenMaxBytes is below what a flood sends until then.
	brokenMaxBytes = 1 << 20
)

func newBrokenClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient(Options{Clock: kcclock.System{}, IdleTimeoutMs: kcclock.Second, MaxResponseBytes: brokenMaxBytes})
	t.Cleanup(func() { c.WaitBackground(context.Background()); c.CloseIdleConnections() })
	return c
}

// Guards against a broken response of a service that counts as complete, and against a
// sound one that is rejected.
func TestBrokenServiceResponsesAreErrors(t *testing.T) {
	const body = "the body of the response"
	for name, repeatable := range map[string]bool{"once": false, "again": true} {
		for _, c := range kcfault.Cases(t) {
			t.Run(name+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				s, client := kcfault.NewServer(t, c, soundHeader, body), newBrokenClient(t)
				call := Call{Path: "/x", RequestID: "q", TimeoutMs: brokenTimeoutMs, Repeatable: repeatable}
				if c.Early {
					call.Body = make([]byte, kcfault.UploadBytes)
				}
				res := client.Do(t.Context(), Target{ID: "s", Addr: s.Addr}, call)
				if c.Sound && c.Early && res.Err != nil && res.Sent {
					return // net/http may return the error of the write in place of the response
				}
				if complete := res.Err == nil; complete != c.Sound || !res.Sent {
					t.Errorf("%d %.80q, error %v, sent %v: complete %v, want %v", res.Status, res.Body, res.Err, res.Sent, complete, c.Sound)
				}
				if res.Err != nil && len(res.Err.Error()) > maxErrorText {
					t.Errorf("the text of the error has %d bytes", len(res.Err.Error()))
				}
				if c.Sound && (string(res.Body) != body || res.Status != http.StatusOK) {
					t.Errorf("%d %.80q, want the whole body", res.Status, res.Body)
				}
			})
		}
	}
}

// Guards against a broken stream that counts as complete, and against a sound one that
// does not.
func TestBrokenStreamsAreErrors(t *testing.T) {
	const (
		first  = "id: 0\ndata: {\"id\":\"q\",\"n\":0}\n\n"
		second = "id: 1\ndata: {\"id\":\"q\"}\n\ndata: [DONE]\n\n"
	)
	for _, c := range kcfault.Cases(t) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s, client := kcfault.NewServer(t, c, soundHeader, first+second), newBrokenClient(t)
			body := []byte("{}")
			if c.Early {
				body = make([]byte, kcfault.UploadBytes)
			}
			timeout := brokenTimeoutMs
			if !c.Sound {
				timeout = resumeTimeoutMs
			}
			ctx, cancel := kcclock.WithTimeout(t.Context(), kcclock.System{}, timeout)
			defer cancel()
			stream, _, err := client.Stream(ctx, Target{ID: "s", Addr: s.Addr}, "q", body)
			events := 0
			for ; err == nil; events++ {
				_, err = stream.Next(ctx)
			}
			if stream != nil {
				stream.Close(errors.Is(err, io.EOF))
			}
			if complete := errors.Is(err, io.EOF) && events == 3; complete != c.Sound && (!complete || !c.Whole) {
				t.Errorf("%d events, %v: complete %v, want %v", events, err, complete, c.Sound)
			}
		})
	}
}
