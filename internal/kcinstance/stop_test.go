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

// newGatedEngine returns an engine that sends one event at once and the rest
// after release is called.
func newGatedEngine() (e *testEngine, release func()) {
	gate := make(chan struct{})
	return newTestEngine(func(w http.ResponseWriter, r *http.Request, id string) {
		writeEvent(w, id, 0, "first")
		select {
		case <-gate:
		case <-r.Context().Done():
			return
		}
		writeEvent(w, id, 1, "last")
		writeDone(w)
	}, nil), func() { close(gate) }
}

// startStream starts a stream and returns it after its first line was read.
func startStream(t *testing.T, i *testInstance) (*http.Response, *bufio.Reader) {
	t.Helper()
	resp := i.postChat(t.Context(), t, customStreamRequest)
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return resp, r
}

// awaitStopping sends requests until one is refused because the instance is
// stopping. It returns the body of the refusal.
func awaitStopping(t *testing.T, i *testInstance) string {
	t.Helper()
	for {
		resp := i.postChat(t.Context(), t, helloRequest)
		if body := readBody(t, resp); resp.StatusCode != http.StatusOK {
			return body
		}
	}
}

// Guards against a graceful stop that interrupts a stream, loses a bill, accepts
// new requests or reports ready.
func TestGracefulStop(t *testing.T) {
	e, release := newGatedEngine()
	i := startInstance(t, withEngines(t, e))
	_, r := startStream(t, i)
	i.startStop()
	if body := awaitStopping(t, i); !strings.Contains(body, `"code":"stopping","execution":"notRun"`) {
		t.Errorf("refusal %s", body)
	}
	if resp, err := http.Get(i.adminURL + "/readyz"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness %v, error %v", resp, err)
	}
	release()
	rest, err := io.ReadAll(r)
	if err != nil || !strings.Contains(string(rest), "last") || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("stream %q, error %v", rest, err)
	}
	if err := <-i.runResult; err != nil {
		t.Error(err)
	}
	log := i.log.String()
	want := strings.Count(log, "version=custom@1") + strings.Count(log, "version=small@1")
	if i.countClosedBills(t, "") != want {
		t.Errorf("%d bills in the log, want %d", i.countClosedBills(t, ""), want)
	}
}

// Guards against requests that fail in the lame duck period, while the load
// balancer may still send requests to the instance.
func TestServesDuringLameDuck(t *testing.T) {
	i := startInstance(t, func(o *kcinstance.Options) { o.Settings.Timing.LameDuckMs = kcclock.Hour })
	i.startStop()
	for {
		resp, err := http.Get(i.adminURL + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if resp := i.postChat(t.Context(), t, helloRequest); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, connection closes %v", resp.StatusCode, resp.Close)
	}
	i.forceStop()
	if err := <-i.runResult; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that does not end at a second signal or at the shutdown
// timeout, or that does not log which requests it interrupted.
func TestStopInterruptsRequestsAtLimit(t *testing.T) {
	for name, end := range map[string]func(*testInstance){
		"second signal": func(i *testInstance) { i.forceStop() },
		"limit":         func(*testInstance) {},
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := newGatedEngine()
			i := startInstance(t, func(o *kcinstance.Options) {
				withEngines(t, e)(o)
				o.Settings.Timing.ShutdownTimeoutMs = 300
				if name == "second signal" {
					o.Settings.Timing.ShutdownTimeoutMs = kcclock.Hour
				}
			})
			resp, _ := startStream(t, i)
			i.startStop()
			end(i)
			if err := <-i.runResult; err == nil {
				t.Error("no error although a request was interrupted")
			}
			if want := "msg=requestsCut requestIds=" + resp.Header.Get("Kingcuprail-Request-Id"); !strings.Contains(i.log.String(), want) {
				t.Errorf("no %q in the log:\n%s", want, i.log)
			}
			if id := <-e.cancelledIDs; !strings.HasPrefix(id, resp.Header.Get("Kingcuprail-Request-Id")) {
				t.Errorf("cancelled %s at the engine", id)
			}
		})
	}
}
