package kcconn_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxReadBytes bounds what the test reads of a response.
const maxReadBytes = 1 << 20

// Guards against a response that breaks HTTP, breaks off or never ends and counts as
// complete, and against a sound one that is rejected.
func TestBrokenResponsesAreErrors(t *testing.T) {
	const body = "the body of the response"
	for _, c := range kcfault.Cases(t) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := kcfault.NewServer(t, c, "Id: {id}\r\n", body)
			p := newPool(t, kcclock.NewManual(1000))
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			req := &kcconn.Request{
				Method: http.MethodPost, Target: "/", Host: s.Addr, Header: http.Header{"Request-Id": {"q"}}, ID: "q",
			}
			if c.Early {
				req.Body = make([]byte, kcfault.UploadBytes)
			}
			resp, err := p.Do(ctx, s.Addr, req)
			got := ""
			if err == nil {
				var raw []byte
				raw, err = io.ReadAll(io.LimitReader(resp.Body, maxReadBytes))
				got = string(raw)
				resp.Finish()
			}
			complete := err == nil && len(got) < maxReadBytes
			if complete != c.Sound || c.Sound && (got != body || resp.StatusCode != http.StatusOK) {
				t.Errorf("%.80q, error %v: complete %v, want %v", got, err, complete, c.Sound)
			}
			var failure *kcconn.Error
			if errors.As(err, &failure) && !failure.MaybeSent {
				t.Errorf("%v: the request was sent", err)
			}
		})
	}
}
