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

// Guards against instances that ask a store which is away for each topic on
// its own, and against followers that miss its return.
func TestFollowersShareOutageProbes(t *testing.T) {
	for name, c := range map[string]struct {
		first bool
		// most is the number of calls in 8 s: at first more often, then one in
		// 0.4 to 1.2 s, or in 1 to 3 s.
		most int
		// back is the time in which all topics are read again.
		back kcclock.Millis
	}{
		"first": {true, 25, 1300},
		"other": {false, 14, 3100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &fakeStore{}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				outage := &kcfeed.OutageCoordinator{Clock: kcclock.System{}, ProbesFirst: func() bool { return c.first }}
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
				before := m.readCalls()
				sleep(t, 8000)
				if n := m.readCalls() - before; n > c.most {
					t.Errorf("%d calls of a store that is away in 8 s, want at most %d", n, c.most)
				}
				m.setFault(0, nil)
				sleep(t, c.back)
				for _, f := range followers {
					if age, _ := f.Age(kcclock.System{}.Now()); age > c.back {
						t.Errorf("a topic is %d ms old %d ms after the return of the store", age, c.back)
					}
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// pass lets time pass.
func sleep(t *testing.T, d kcclock.Millis) {
	t.Helper()
	if err := kcclock.Wait(context.Background(), kcclock.System{}, d); err != nil {
		t.Fatal(err)
	}
}

// waiting is a store that holds empty reads back.
type longPollStore struct{ *fakeStore }

func (w longPollStore) Read(ctx context.Context, topic string, from int64, wait kcclock.Millis) (kcfeed.Page, error) {
	page, err := w.fakeStore.Read(ctx, topic, from, wait)
	if err == nil && kcclock.Wait(ctx, kcclock.System{}, wait) == nil {
		page.WaitedMs = wait
	}
	return page, err
}
