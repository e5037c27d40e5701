package kcinstance_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const helloRequest = `{"model":"auto","messages":[{"role":"user","content":"hello there"}]}`

// logBuffer collects log output. Tests can read it while the instance writes.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testInstance is a running instance with a stand-in platform of its own.
type testInstance struct {
	*kcstandin.Platform
	running             *kcinstance.Instance
	callerURL, adminURL string
	log                 *logBuffer
	// startStop starts a graceful stop and forceStop ends it at once. runResult
	// receives the result of Run.
	startStop, forceStop func()
	runResult            chan error
}

// startInstance runs an instance with the default settings and options as
// modified by change.
func startInstance(tb testing.TB, change func(*kcinstance.Options)) *testInstance {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p, err := kcstandin.StartPlatform(context.Background(), kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		tb.Fatal(err)
	}
	forced := make(chan struct{})
	i := &testInstance{
		Platform: p, log: &logBuffer{}, startStop: cancel,
		forceStop: sync.OnceFunc(func() { close(forced) }), runResult: make(chan error, 1),
	}
	opts := kcinstance.Options{
		Settings: kcsettings.Defaults(), Clock: kcclock.System{}, Log: slog.New(slog.NewTextHandler(i.log, nil)),
		RecordLog: p.Log, Lister: p.InstanceList, ForceStop: forced,
	}
	opts.Settings.Instance = kcsettings.Instance{ID: "entry", Zone: "zone-a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	opts.Settings.SessionKeys = kcsettings.DemoSessionKeys()
	opts.Settings.Rules = kcsettings.DemoRules()
	if change != nil {
		change(&opts)
	}
	inst, err := kcinstance.New(opts)
	if err != nil {
		tb.Fatal(err)
	}
	ready := make(chan *kcinstance.Instance, 1)
	go func() {
		i.runResult <- inst.Run(ctx, func(i *kcinstance.Instance) { ready <- i })
		close(i.runResult)
	}()
	select {
	case i.running = <-ready:
		i.callerURL, i.adminURL = "http://"+inst.CallerAddr, "http://"+inst.AdminAddr
	case err := <-i.runResult:
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		cancel()
		i.forceStop()
		<-i.runResult
		p.Close()
	})
	return i
}

// addUnusableVersions adds a version that the demo workspace may not use, a
// withdrawn version and a draining version.
func addUnusableVersions(r *kcrules.Rules) {
	secret, old, drained := r.Versions["small@1"], r.Versions["small@1"], r.Versions["small@1"]
	old.State, drained.State = kcrules.Withdrawn, kcrules.Draining
	r.Versions["secret@1"], r.Versions["small@0"], r.Versions["drained@1"] = secret, old, drained
}

// metricValue returns the value of a metric on the admin listener, or 0 if it is
// absent.
func (i *testInstance) metricValue(tb testing.TB, name string) int {
	tb.Helper()
	for line := range strings.Lines(httpGet(tb, i.adminURL+"/metrics")) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.Atoi(strings.TrimSpace(v))
			if err != nil {
				tb.Fatal(err)
			}
			return n
		}
	}
	return 0
}

func httpGet(tb testing.TB, url string) string {
	tb.Helper()
	resp, err := http.Get(url)
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return string(b)
}

// postChat sends a chat request. headers holds names and values alternately.
func (i *testInstance) postChat(ctx context.Context, tb testing.TB, body string, headers ...string) *http.Response {
	tb.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, i.callerURL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
	for n := 0; n+1 < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { resp.Body.Close() })
	return resp
}

// countClosedBills returns the number of closed bills in the log whose record
// contains the text.
func (i *testInstance) countClosedBills(tb testing.TB, text string) int {
	tb.Helper()
	n := 0
	for shard := range 8 {
		page, err := i.Log.Read(context.Background(), "bills-0"+strconv.Itoa(shard), 0, 1000, 0)
		if err != nil {
			tb.Fatal(err)
		}
		for _, rec := range page.Records {
			if rec.Kind == kcbill.KindBill && strings.Contains(string(rec.Body), text) &&
				strings.Contains(string(rec.Body), `"state":"closed"`) {
				n++
			}
		}
	}
	return n
}
