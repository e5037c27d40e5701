package kcinstance_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

func readBody(tb testing.TB, resp *http.Response) string {
	tb.Helper()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return string(b)
}

// Guards against a request that fails when its connection to the engine breaks
// although no part of the response had reached the caller. The request must be
// retried, also if there is only one engine.
func TestLostEngineRunIsRetried(t *testing.T) {
	for _, engines := range []int{1, 2} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			var runs atomic.Int64
			chat := func(w http.ResponseWriter, _ *http.Request, id string) {
				writeEvent(w, id, 0, "first ")
				if runs.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				writeEvent(w, id, 1, "second")
				writeDone(w)
			}
			all := []*testEngine{newTestEngine(chat, nil), newTestEngine(chat, nil)}[:engines]
			i := startInstance(t, withEngines(t, all...))
			resp := i.postChat(t.Context(), t, customRequest)
			if body := readBody(t, resp); resp.StatusCode != http.StatusOK || !strings.Contains(body, `"first second"`) {
				t.Errorf("status %d: %s", resp.StatusCode, body)
			}
			if n := i.metricValue(t, "retries.runLost"); n != 1 {
				t.Errorf("retries.runLost is %d", n)
			}
		})
	}
}

// Guards against a stream that is restarted after a part of it has reached the
// caller, and against a truncated stream that ends without an error event.
func TestLostEngineRunInStreamIsReported(t *testing.T) {
	e := newTestEngine(func(w http.ResponseWriter, _ *http.Request, id string) {
		writeEvent(w, id, 0, "first")
		panic(http.ErrAbortHandler)
	}, nil)
	i := startInstance(t, withEngines(t, e, newTestEngine(e.chat, nil)))
	body := readBody(t, i.postChat(t.Context(), t, customStreamRequest))
	if strings.Count(body, "first") != 1 || !strings.Contains(body, `"code":"upstreamFailed","execution":"unknown"`) ||
		strings.Contains(body, "[DONE]") {
		t.Errorf("stream %s", body)
	}
}

// Guards against a stream that shows the caller the id of an attempt instead of
// the request id, or that drops fields unknown to the router.
func TestStreamKeepsUnknownFields(t *testing.T) {
	const chunk = `data: {"id":%q,"x":1,"choices":[{"index":0,"delta":{"tool_calls":[{}]},"logprobs":{"content":[]}}]}` + "\n\n"
	e := newTestEngine(func(w http.ResponseWriter, _ *http.Request, id string) {
		_, _ = fmt.Fprintf(w, "id: 0\n"+chunk, "chatcmpl-"+id)
		writeDone(w)
	}, nil)
	i := startInstance(t, withEngines(t, e))
	resp := i.postChat(t.Context(), t, customStreamRequest)
	want := fmt.Sprintf(chunk+"data: [DONE]\n\n", "chatcmpl-"+resp.Header.Get("Kingcuprail-Request-Id"))
	if got := readBody(t, resp); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Guards against an engine that continues to generate after the caller has
// closed its connection.
func TestCallerDisconnectCancelsAtEngine(t *testing.T) {
	e := newTestEngine(func(w http.ResponseWriter, r *http.Request, id string) {
		writeEvent(w, id, 0, "first")
		<-r.Context().Done()
	}, nil)
	i := startInstance(t, withEngines(t, e))
	ctx, cancel := context.WithCancel(t.Context())
	resp := i.postChat(ctx, t, customStreamRequest)
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	if id := <-e.cancelledIDs; id != resp.Header.Get("Kingcuprail-Request-Id")+"-0" {
		t.Errorf("cancelled %s", id)
	}
}

// Guards against a caller that never reads its response. The request must end
// and be cancelled, and until then the router must buffer a bounded amount.
func TestCallerThatNeverReadsIsCancelled(t *testing.T) {
	var written atomic.Int64
	e := newTestEngine(func(w http.ResponseWriter, r *http.Request, id string) {
		text := strings.Repeat("x", 16<<10)
		for n := 0; r.Context().Err() == nil; n++ {
			writeEvent(w, id, n, text)
			written.Add(int64(len(text)))
		}
	}, nil)
	i := startInstance(t, func(o *kcinstance.Options) {
		withEngines(t, e)(o)
		o.Settings.Limits.WriteTimeoutMs = 100
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(i.callerURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, rawRequest("CHAT", "", customStreamRequest))
	<-e.cancelledIDs
	// The buffers of the four loopback sockets hold at most a few MiB each.
	if n := written.Load(); n > 64<<20 {
		t.Errorf("the engine sent %d bytes to a caller that reads nothing", n)
	}
	if resp := i.postChat(t.Context(), t, helloRequest); resp.StatusCode != http.StatusOK {
		t.Errorf("a valid request got status %d", resp.StatusCode)
	}
}

// Guards against a non-streaming response that takes unbounded memory, and
// against its retry at another engine.
func TestOversizedResponseIsNotRetried(t *testing.T) {
	e := newTestEngine(func(w http.ResponseWriter, _ *http.Request, id string) {
		writeEvent(w, id, 0, strings.Repeat("x", 2000))
		writeDone(w)
	}, nil)
	i := startInstance(t, func(o *kcinstance.Options) {
		withEngines(t, e, newTestEngine(e.chat, nil))(o)
		o.Settings.Limits.MaxResponseBytes = 1000
	})
	resp := i.postChat(t.Context(), t, customRequest)
	if body := readBody(t, resp); resp.StatusCode != http.StatusBadGateway || !strings.Contains(body, "larger than 1000 bytes") {
		t.Errorf("status %d: %s", resp.StatusCode, body)
	}
	if n := i.metricValue(t, "retries.upstreamFailed"); n != 0 {
		t.Errorf("%d retries, want none", n)
	}
}

// Guards against a request that continues past its deadline, before or after
// the start of the response, and against the execution notRun for a request
// that was sent to an engine.
func TestDeadlineEndsRequest(t *testing.T) {
	e := newTestEngine(func(w http.ResponseWriter, r *http.Request, id string) {
		writeEvent(w, id, 0, "first")
		<-r.Context().Done()
	}, func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() })
	i := startInstance(t, withEngines(t, e))
	const failure = `"code":"deadlineExceeded","execution":"unknown"`
	resp := i.postChat(t.Context(), t, customRequest, "Kingcuprail-Max-Wait-Ms", "50")
	if body := readBody(t, resp); resp.StatusCode != http.StatusGatewayTimeout || !strings.Contains(body, failure) {
		t.Errorf("status %d: %s", resp.StatusCode, body)
	}
	resp = i.postChat(t.Context(), t, customStreamRequest, "Kingcuprail-Max-Wait-Ms", "50")
	if body := readBody(t, resp); resp.StatusCode != http.StatusOK || !strings.Contains(body, failure) {
		t.Errorf("status %d: %s", resp.StatusCode, body)
	}
}

// Guards against a service tier that does not set the deadline.
func TestServiceTierSetsDeadline(t *testing.T) {
	e := newTestEngine(func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }, nil)
	i := startInstance(t, func(o *kcinstance.Options) {
		withEngines(t, e)(o)
		o.Settings.Limits.TierMaxWaitMs.Priority = 30
	})
	resp := i.postChat(t.Context(), t, strings.Replace(customRequest, "{", `{"service_tier":"priority",`, 1))
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards against a log that contains prompts, API keys or session tokens, and
// against request lines without the request id.
func TestLogOmitsPromptsAndSecrets(t *testing.T) {
	e := newTestEngine(func(w http.ResponseWriter, r *http.Request, _ string) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":{"message":"cannot parse secret-prompt"}}`)
	}, nil)
	i := startInstance(t, withEngines(t, e))
	resp := i.postChat(t.Context(), t, strings.ReplaceAll(helloRequest, "hello", "secret-prompt"))
	session := resp.Header.Get("Kingcuprail-Session")
	readBody(t, resp)
	for _, body := range []string{
		strings.ReplaceAll(customRequest, `"x"`, `"secret-prompt"`), `{"model":"secret-prompt","messages":[{"role":"user"}]}`,
		`{"secret-prompt`, `{"model":"auto","messages":"secret-prompt"}`,
	} {
		readBody(t, i.postChat(t.Context(), t, body))
	}
	readBody(t, i.postChat(t.Context(), t, helloRequest, "Kingcuprail-Session", session))
	readBody(t, i.postChat(t.Context(), t, helloRequest, "Authorization", "Bearer secret-key"))
	_ = httpGet(t, i.callerURL+"/secret-prompt?key=secret-key")
	i.startStop()
	if err := <-i.runResult; err != nil {
		t.Error(err)
	}
	log := i.log.String()
	for _, secret := range []string{"secret-prompt", "secret-key", kcsettings.DemoAPIKey, session} {
		if strings.Contains(log, secret) {
			t.Errorf("the log contains %q:\n%s", secret, log)
		}
	}
	if n := strings.Count(log, "msg=request requestId="); n != 8 {
		t.Errorf("%d request lines, want 8:\n%s", n, log)
	}
}
