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

// readFailureLog signals every failed read of the log.
type readFailureLog struct {
	kclog.Log
	readFailed chan struct{}
}

func (w *readFailureLog) Read(
	ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis,
) (kclog.Page, error) {
	page, err := w.Log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		select {
		case w.readFailed <- struct{}{}:
		default:
		}
	}
	return page, err
}

// Guards against an instance that becomes ready with the rules of its settings
// file before it has read the published configuration.
func TestNotReadyBeforeConfigIsRead(t *testing.T) {
	p, err := kcstandin.StartPlatform(t.Context(), kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Log.SetFaults(kcstandin.LogFaults{Down: true})
	store := &readFailureLog{Log: p.Log, readFailed: make(chan struct{})}
	set := kcsettings.Defaults()
	set.Instance = kcsettings.Instance{ID: "entry", Zone: "zone-a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	set.SessionKeys = kcsettings.DemoSessionKeys()
	set.Rules = kcsettings.DemoRules()
	inst, err := kcinstance.New(kcinstance.Options{
		Settings: set, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler), RecordLog: store, Lister: p.InstanceList,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- inst.Run(ctx, func(*kcinstance.Instance) { close(ready) }) }()
	// After the first failed read the instance could have become ready, so wait
	// for a second one.
	for range 2 {
		select {
		case <-store.readFailed:
		case <-ready:
			t.Fatal("the instance became ready without reading the log")
		}
	}
	p.Log.SetFaults(kcstandin.LogFaults{})
	<-ready
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
