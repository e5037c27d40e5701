package kcinstance_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// watched tells of every read of the configuration that failed.
type watched struct {
	kclog.Log
	failed chan struct{}
}

func (w *watched) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	page, err := w.Log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		select {
		case w.failed <- struct{}{}:
		default:
		}
	}
	return page, err
}

// Guards against an instance that serves with the rules of its settings file
// before it knows what was published.
func TestNotReadyBeforeTheLogWasRead(t *testing.T) {
	p, err := kcstandin.StartPlatform(t.Context(), kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Log.SetFaults(kcstandin.LogFaults{Down: true})
	store := &watched{Log: p.Log, failed: make(chan struct{})}
	set := kcsettings.Defaults()
	set.Instance = kcsettings.Instance{ID: "entry", Zone: "zone-a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	set.SessionKeys = kcsettings.DemoSessionKeys()
	set.Rules = kcsettings.DemoRules()
	inst, err := kcinstance.New(kcinstance.Options{
		Settings: set, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler), Store: store, Lister: p.InstanceList,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- inst.Run(ctx, func(*kcinstance.Instance) { close(ready) }) }()
	// The second failure comes after the instance had its chance to be ready.
	for range 2 {
		select {
		case <-store.failed:
		case <-ready:
			t.Fatal("ready without the log")
		}
	}
	p.Log.SetFaults(kcstandin.LogFaults{})
	<-ready
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
