package kcinstance_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// gated returns an engine that sends one event and the rest once the returned
// function is called.
func gated() (e *engine, release func()) {
	gate := make(chan struct{})
	return newEngine(func(w http.ResponseWriter, r *http.Request, id string) {
		event(w, id, 0, "first")
		select {
		case <-gate:
		case <-r.Context().Done():
			return
		}
		event(w, id, 1, "last")
		done(w)
	}, nil), func() { close(gate) }
}

// startStream returns a stream after its first line.
func startStream(t *testing.T, i *instance) (*http.Response, *bufio.Reader) {
	t.Helper()
	resp := i.chat(t.Context(), t, customStream)
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return resp, r
}

// awaitStopping sends requests until one is refused because of the stop.
func awaitStopping(t *testing.T, i *instance) string {
	t.Helper()
	for {
		resp := i.chat(t.Context(), t, hello)
		if body := read(t, resp); resp.StatusCode != http.StatusOK {
			return body
		}
	}
}

// Guards against a stop that cuts a stream, drops a bill, takes new requests or
// reports ready.
func TestGracefulStop(t *testing.T) {
	e, release := gated()
	i := startOne(t, withEngines(t, e))
	_, r := startStream(t, i)
	i.stop()
	if body := awaitStopping(t, i); !strings.Contains(body, `"code":"stopping","execution":"notRun"`) {
		t.Errorf("refusal %s", body)
	}
	if resp, err := http.Get(i.admin + "/readyz"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness %v, error %v", resp, err)
	}
	release()
	rest, err := io.ReadAll(r)
	if err != nil || !strings.Contains(string(rest), "last") || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("stream %q, error %v", rest, err)
	}
	if err := <-i.ended; err != nil {
		t.Error(err)
	}
	log := i.log.String()
	want := strings.Count(log, "version=custom@1") + strings.Count(log, "version=small@1")
	if i.bills(t, "") != want {
		t.Errorf("%d bills in the log, want %d", i.bills(t, ""), want)
	}
}

// Guards against requests that fail because the load balancer has not noticed
// yet that the instance is leaving.
func TestServesWhileLoadBalancerNotices(t *testing.T) {
	i := startOne(t, func(o *kcinstance.Options) { o.Settings.Timing.LameDuckMs = kcclock.Hour })
	i.stop()
	for {
		resp, err := http.Get(i.admin + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if resp := i.chat(t.Context(), t, hello); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, connection closes %v", resp.StatusCode, resp.Close)
	}
	i.force()
	if err := <-i.ended; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that does not end at a second signal or at the limit,
// or that does not say which requests it cut.
func TestStopCutsAtLimit(t *testing.T) {
	for name, end := range map[string]func(*instance){
		"second signal": func(i *instance) { i.force() },
		"limit":         func(*instance) {},
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := gated()
			i := startOne(t, func(o *kcinstance.Options) {
				withEngines(t, e)(o)
				o.Settings.Timing.ShutdownTimeoutMs = 300
				if name == "second signal" {
					o.Settings.Timing.ShutdownTimeoutMs = kcclock.Hour
				}
			})
			resp, _ := startStream(t, i)
			i.stop()
			end(i)
			if err := <-i.ended; err == nil {
				t.Error("no error although a request was cut")
			}
			if want := "msg=requestsCut requestIds=" + resp.Header.Get("Kingcuprail-Request-Id"); !strings.Contains(i.log.String(), want) {
				t.Errorf("no %q in the log:\n%s", want, i.log)
			}
			if id := <-e.cancelled; !strings.HasPrefix(id, resp.Header.Get("Kingcuprail-Request-Id")) {
				t.Errorf("cancelled %s at the engine", id)
			}
		})
	}
}
