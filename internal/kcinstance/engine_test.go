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

// Requests for the model "custom", which only the engines of a test serve.
const (
	customRequest       = `{"model":"custom","messages":[{"role":"user","content":"x"}]}`
	customStreamRequest = `{"model":"custom","stream":true,"messages":[{"role":"user","content":"x"}]}`
)

// engineHandler handles a request to a testEngine. id is the id of the attempt.
type engineHandler func(w http.ResponseWriter, r *http.Request, id string)

// testEngine is an engine whose behavior a test defines.
type testEngine struct {
	chat, resume engineHandler
	chatRequests atomic.Int64
	server       *httptest.Server
	// cancelledIDs receives the id of each cancelled attempt.
	cancelledIDs chan string
}

func newTestEngine(chat, resume engineHandler) *testEngine {
	return &testEngine{chat: chat, resume: resume, cancelledIDs: make(chan string, 16)}
}

func (e *testEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := strings.TrimPrefix(r.URL.Path, "/v1/streams/")
	switch r.Method {
	case http.MethodPost:
		e.chatRequests.Add(1)
		e.chat(w, r, r.Header.Get("X-Request-Id"))
	case http.MethodGet:
		if e.resume == nil {
			http.NotFound(w, r)
			return
		}
		e.resume(w, r, id)
	case http.MethodDelete:
		e.cancelledIDs <- id
	}
}

// withEngines returns options that add the engines to the member list, with the
// ids "a", "b" and so on, and let the demo workspace use the model "custom".
func withEngines(t *testing.T, engines ...*testEngine) func(*kcinstance.Options) {
	t.Helper()
	return func(o *kcinstance.Options) {
		r := &o.Settings.Rules
		v := r.Versions["small@1"]
		v.OutputPrice++ // makes the model "auto" prefer small@1
		r.Versions["custom@1"] = v
		w := r.Workspaces["demo"]
		w.AllowedModels = append(w.AllowedModels, "custom")
		r.Workspaces["demo"] = w
		for n, e := range engines {
			srv := httptest.NewServer(e)
			e.server = srv
			t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
			o.Lister.(*kcstandin.InstanceList).Put(kcmember.Member{
				ID: string(rune('a' + n)), Role: kcmember.RoleEngine, Addr: srv.Listener.Addr().String(),
				Zone: "zone-a", Region: "region-1", Versions: []string{"custom@1"},
			})
		}
	}
}

// writeEvent writes one chunk with the given text.
func writeEvent(w http.ResponseWriter, id string, n int, text string) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", n, id, text)
	_ = http.NewResponseController(w).Flush()
}

func writeDone(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }
