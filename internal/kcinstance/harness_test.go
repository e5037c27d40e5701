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

const hello = `{"model":"auto","messages":[{"role":"user","content":"hello there"}]}`

// logBuffer is a log that tests read while the instance writes.
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

// instance is one running instance before a platform of its own.
type instance struct {
	*kcstandin.Platform
	inst       *kcinstance.Instance
	url, admin string
	log        *logBuffer
	// stop starts the graceful stop, force ends it and ended has the result.
	stop, force func()
	ended       chan error
}

// startOne runs an instance with the settings and options that change makes.
func startOne(tb testing.TB, change func(*kcinstance.Options)) *instance {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p, err := kcstandin.StartPlatform(context.Background(), kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		tb.Fatal(err)
	}
	forced := make(chan struct{})
	i := &instance{
		Platform: p, log: &logBuffer{}, stop: cancel,
		force: sync.OnceFunc(func() { close(forced) }), ended: make(chan error, 1),
	}
	opts := kcinstance.Options{
		Settings: kcsettings.Defaults(), Clock: kcclock.System{}, Log: slog.New(slog.NewTextHandler(i.log, nil)),
		Store: p.Log, Lister: p.InstanceList, Force: forced,
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
		i.ended <- inst.Run(ctx, func(i *kcinstance.Instance) { ready <- i })
		close(i.ended)
	}()
	select {
	case i.inst = <-ready:
		i.url, i.admin = "http://"+inst.CallerAddr, "http://"+inst.AdminAddr
	case err := <-i.ended:
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		cancel()
		i.force()
		<-i.ended
		p.Close()
	})
	return i
}

// addVersions adds a version that the demo workspace may not use, a withdrawn
// and a draining one.
func addVersions(r *kcrules.Rules) {
	secret, old, drained := r.Versions["small@1"], r.Versions["small@1"], r.Versions["small@1"]
	old.State, drained.State = kcrules.Withdrawn, kcrules.Draining
	r.Versions["secret@1"], r.Versions["small@0"], r.Versions["drained@1"] = secret, old, drained
}

// metric returns the value of a figure on the admin listener, 0 if it is absent.
func (i *instance) metric(tb testing.TB, name string) int {
	tb.Helper()
	for line := range strings.Lines(get(tb, i.admin+"/metrics")) {
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

func get(tb testing.TB, url string) string {
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

// chat sends a chat request with further headers in pairs.
func (i *instance) chat(ctx context.Context, tb testing.TB, body string, headers ...string) *http.Response {
	tb.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, i.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
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

// bills counts the bills in the log whose record holds the text.
func (i *instance) bills(tb testing.TB, text string) int {
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
