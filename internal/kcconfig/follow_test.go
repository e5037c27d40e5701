package kcconfig_test

import (
	"context"
	"slices"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// slowStore delays each read by the next of delays on top of its wait. It
// cancels the run when no delay is left.
type slowStore struct {
	kclog.Log
	clock     *kcclock.Manual
	delays    []kcclock.Millis
	waits     []kcclock.Millis
	cancelRun func()
}

func (s *slowStore) Read(_ context.Context, _ string, _ int64, _ int, wait kcclock.Millis) (kclog.Page, error) {
	s.waits = append(s.waits, wait)
	if len(s.delays) == 0 {
		s.cancelRun()
		return kclog.Page{}, kclog.ErrUnavailable
	}
	s.clock.Advance(wait + s.delays[0])
	s.delays = s.delays[1:]
	return kclog.Page{}, nil
}

// Guards against an instance that treats a slow log service as down, because it
// uses the same long poll as with a fast one.
func TestReadsDoNotWaitOnASlowStore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	store := &slowStore{clock: kcclock.NewManual(1000), delays: []kcclock.Millis{10, 10, 1400, 1400, 10}, cancelRun: cancel}
	r := kcconfig.NewReader(kcconfig.ReaderOptions{Clock: store.clock, Store: store})
	<-r.Run(ctx)
	if want := []kcclock.Millis{0, 1000, 1000, 0, 0, 1000}; !slices.Equal(store.waits, want) {
		t.Fatalf("waits %v, want %v", store.waits, want)
	}
}

// silentStore never answers and reports the start of each read.
type silentStore struct {
	kclog.Log
	readStarted chan struct{}
}

func (s *silentStore) Read(ctx context.Context, _ string, _ int64, _ int, _ kcclock.Millis) (kclog.Page, error) {
	s.readStarted <- struct{}{}
	<-ctx.Done()
	return kclog.Page{}, ctx.Err()
}

// Guards against changes that are never read, because a slow log service always
// answers after the timeout. The test hangs if a read ends too early.
func TestReadTimeoutGrows(t *testing.T) {
	clock := kcclock.NewManual(1000)
	store := &silentStore{readStarted: make(chan struct{})}
	r := kcconfig.NewReader(kcconfig.ReaderOptions{Clock: clock, Store: store})
	for _, timeout := range []kcclock.Millis{2000, 4000, 8000, 16_000, 16_000} {
		ended := make(chan error, 1)
		go func() {
			_, err := r.Poll(t.Context(), 0)
			ended <- err
		}()
		<-store.readStarted
		clock.Advance(timeout - 1)
		clock.AwaitWaiters(1)
		clock.Advance(1)
		if err := <-ended; err == nil {
			t.Fatal("a read without an answer succeeded")
		}
	}
}
