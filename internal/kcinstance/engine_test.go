package kcinstance_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// custom asks for the model that only engines of a test serve.
const (
	custom       = `{"model":"custom","messages":[{"role":"user","content":"x"}]}`
	customStream = `{"model":"custom","stream":true,"messages":[{"role":"user","content":"x"}]}`
)

// answer is what an engine of a test does with a request.
type answer func(w http.ResponseWriter, r *http.Request, id string)

// engine is an engine whose answers a test defines.
type engine struct {
	chat, resume answer
	served       atomic.Int64
	// cancelled gets the id of each cancelled request.
	cancelled chan string
}

func newEngine(chat, resume answer) *engine {
	return &engine{chat: chat, resume: resume, cancelled: make(chan string, 16)}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := strings.TrimPrefix(r.URL.Path, "/v1/streams/")
	switch r.Method {
	case http.MethodPost:
		e.served.Add(1)
		e.chat(w, r, r.Header.Get("X-Request-Id"))
	case http.MethodGet:
		if e.resume == nil {
			http.NotFound(w, r)
			return
		}
		e.resume(w, r, id)
	case http.MethodDelete:
		e.cancelled <- id
	}
}

// withEngines lists engines of the custom model, named "a", "b" and so on.
func withEngines(t *testing.T, engines ...*engine) func(*kcinstance.Options) {
	t.Helper()
	return func(o *kcinstance.Options) {
		r := &o.Settings.Rules
		v := r.Versions["small@1"]
		v.OutputPrice++ // auto prefers small@1
		r.Versions["custom@1"] = v
		w := r.Workspaces["demo"]
		w.Allow = append(w.Allow, "custom")
		r.Workspaces["demo"] = w
		for n, e := range engines {
			srv := httptest.NewServer(e)
			t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
			o.Lister.(*kcstandin.List).Put(kcmember.Member{
				ID: string(rune('a' + n)), Role: kcmember.RoleEngine, Addr: srv.Listener.Addr().String(),
				Zone: "zone-a", Region: "region-1", Versions: []string{"custom@1"},
			})
		}
	}
}

// event writes one chunk with the given text.
func event(w http.ResponseWriter, id string, n int, text string) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", n, id, text)
	_ = http.NewResponseController(w).Flush()
}

func done(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }
