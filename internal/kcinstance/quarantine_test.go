package kcinstance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
)

const crashingMessage = "crashing message"

// newCrashingEngines returns engines that end when they begin to answer a prompt
// with the crashing message. crashingRuns counts these requests.
func newCrashingEngines(n int, crashingRuns *atomic.Int64) []*testEngine {
	var engines []*testEngine
	for range n {
		e := newTestEngine(nil, nil)
		e.chat = func(w http.ResponseWriter, r *http.Request, id string) {
			if r.Header.Get("X-Crashing") == "" {
				writeEvent(w, id, 0, "fine")
				writeDone(w)
				return
			}
			crashingRuns.Add(1)
			_ = http.NewResponseController(w).Flush()
			_ = e.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		engines = append(engines, e)
	}
	return engines
}

// ServeHTTP marks requests whose body holds the crashing message.
type crashingMarker struct{ next http.Handler }

func (d crashingMarker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if bytes.Contains(body, []byte(crashingMessage)) {
		r.Header.Set("X-Crashing", "1")
	}
	d.next.ServeHTTP(w, r)
}

// Guards against a message that crashes one engine after the other, in requests
// that differ in their last message.
func TestMessageThatCrashesEnginesIsNotSentOn(t *testing.T) {
	var crashingRuns atomic.Int64
	engines := newCrashingEngines(8, &crashingRuns)
	i := startInstance(t, func(o *kcinstance.Options) {
		withEngines(t, engines...)(o)
		for _, e := range engines {
			e.server.Config.Handler = crashingMarker{e}
		}
	})
	send := func(system string, n int) *http.Response {
		t.Helper()
		const format = `{"model":"custom","stream":true,"messages":[{"role":"system","content":%q},{"role":"user","content":"%d"}]}`
		body := fmt.Sprintf(format, system, n)
		resp := i.postChat(context.Background(), t, body, "Kingcuprail-Max-Wait-Ms", "2000")
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp
	}
	for n := range 6 {
		if resp := send("fine message", n); resp.StatusCode != http.StatusOK {
			t.Errorf("sound request %d: status %d", n, resp.StatusCode)
		}
		resp := send(crashingMessage, n)
		if resp.StatusCode == http.StatusOK {
			t.Errorf("request %d with the crashing message: status 200", n)
		}
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Errorf("request %d is rejected without a time to come back", n)
		}
	}
	if n := crashingRuns.Load(); n > 3 {
		t.Errorf("%d requests with the crashing message reached engines, want 3 at most", n)
	}
}

// Guards against sound requests that are refused because engines crashed under them
// for another reason than what they hold.
func TestRequestsUnderUnrelatedCrashesAreServed(t *testing.T) {
	var chats atomic.Int64
	var engines []*testEngine
	for range 6 {
		e := newTestEngine(nil, nil)
		e.chat = func(w http.ResponseWriter, _ *http.Request, id string) {
			if n := chats.Add(1); n == 3 || n == 8 {
				_ = http.NewResponseController(w).Flush()
				_ = e.server.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, id, 0, "fine")
			writeDone(w)
		}
		engines = append(engines, e)
	}
	i := startInstance(t, withEngines(t, engines...))
	refused := 0
	const requests = 20
	for n := range requests {
		const format = `{"model":"custom","stream":true,"messages":[{"role":"system","content":"s"},{"role":"user","content":"%d"}]}`
		resp := i.postChat(context.Background(), t, fmt.Sprintf(format, n), "Kingcuprail-Max-Wait-Ms", "30000")
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || !bytes.Contains(body, []byte("fine")) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d sound requests were not served", refused, requests)
	}
}
