package kcfeed_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an instance that probes an unavailable store for each topic
// separately, and against followers that do not notice its recovery.
func TestFollowersShareOutageProbes(t *testing.T) {
	for name, c := range map[string]struct {
		probesFirst bool
		// maxCalls bounds the calls in 8 s. The backoff grows to one call in 0.4 to
		// 1.2 s, or in 1 to 3 s for an instance that does not probe first.
		maxCalls int
		// recoveryMs is the time in which all topics have to be read again.
		recoveryMs kcclock.Millis
	}{
		"first": {true, 25, 1300},
		"other": {false, 14, 3100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &fakeStore{}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				outage := &kcfeed.OutageCoordinator{Clock: kcclock.System{}, ProbesFirst: func() bool { return c.probesFirst }}
				var followers []*kcfeed.Follower
				var wg sync.WaitGroup
				for _, topic := range []string{"a", "b", "c"} {
					f := kcfeed.New(kcfeed.Options{
						Reader: longPollStore{m}, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler), Topic: topic,
						LongPollMs: 1000, ReadSlackMs: 500, SnapshotTimeoutMs: 500, Apply: func([]kcfeed.Record, bool, bool) {},
						Outage: outage, PeerAvailable: func() bool { return false },
					})
					followers = append(followers, f)
					wg.Go(func() { f.Run(ctx) })
				}
				sleep(t, 3000)
				m.setFault(0, errors.New("down"))
				sleep(t, 1000)
				callsBefore := m.readCalls()
				sleep(t, 8000)
				if n := m.readCalls() - callsBefore; n > c.maxCalls {
					t.Errorf("%d calls of an unavailable store in 8 s, want at most %d", n, c.maxCalls)
				}
				m.setFault(0, nil)
				sleep(t, c.recoveryMs)
				for _, f := range followers {
					if age, _ := f.Age(kcclock.System{}.Now()); age > c.recoveryMs {
						t.Errorf("a topic is %d ms old %d ms after the recovery of the store", age, c.recoveryMs)
					}
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// sleep waits until d has passed on the clock of the test.
func sleep(t *testing.T, d kcclock.Millis) {
	t.Helper()
	if err := kcclock.Wait(context.Background(), kcclock.System{}, d); err != nil {
		t.Fatal(err)
	}
}

// longPollStore is a store that holds back the answers of reads for the whole
// wait.
type longPollStore struct{ *fakeStore }

func (w longPollStore) Read(ctx context.Context, topic string, from int64, wait kcclock.Millis) (kcfeed.Page, error) {
	page, err := w.fakeStore.Read(ctx, topic, from, wait)
	if err == nil && kcclock.Wait(ctx, kcclock.System{}, wait) == nil {
		page.WaitedMs = wait
	}
	return page, err
}
