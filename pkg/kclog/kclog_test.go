package kclog_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

func newRecord(id string) kclog.NewRecord { return kclog.Encode(id, "test", struct{}{}) }

// noJitter reduces a backoff of 1 ms to 0, so that no test has to advance the
// clock for it.
func noJitter() float64 { return 0 }

func readRecords(t *testing.T, log kclog.Log) []kclog.Record {
	t.Helper()
	page, err := log.Read(t.Context(), "s", 0, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	return page.Records
}

// Guards against a record that is appended again or reported as failed after
// the answer to its append was lost, and against wrong offsets within a batch.
func TestAppenderFindsRecordsAfterLostAnswer(t *testing.T) {
	clock := kcclock.NewManual(0)
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	log.SetFaults(kcstandin.LogFaults{LoseAnswers: 1})
	a := kclog.NewAppender(kclog.AppenderOptions{Log: log, Clock: clock, MaxDelayMs: 5, MaxBatch: 10, Attempts: 1})
	offsets := make([]int64, 10)
	var wg sync.WaitGroup
	for i := range offsets {
		wg.Go(func() {
			var err error
			if offsets[i], err = a.Append(t.Context(), "s", []kclog.NewRecord{newRecord(fmt.Sprint(i))}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	recs := readRecords(t, log)
	if len(recs) != 10 || log.Appends() != 1 {
		t.Fatalf("%d records in %d appends, want 10 in 1", len(recs), log.Appends())
	}
	for i, off := range offsets {
		if recs[off].ID != fmt.Sprint(i) {
			t.Errorf("record %d: offset %d holds %s", i, off, recs[off].ID)
		}
	}
}

type readFailingLog struct{ kclog.Log }

func (readFailingLog) Read(context.Context, string, int64, int, kcclock.Millis) (kclog.Page, error) {
	return kclog.Page{}, kclog.ErrUnavailable
}

// Guards against ErrUnavailable, "nothing was appended", after an attempt that
// took effect. The request would then be refused with notRun although it may
// have run.
func TestAppenderReportsLostAnswerIfReadBackFails(t *testing.T) {
	clock := kcclock.NewManual(0)
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	probe := kclog.NewAppender(kclog.AppenderOptions{Log: log, Clock: clock, Attempts: 1})
	if _, err := probe.Append(t.Context(), "s", []kclog.NewRecord{newRecord("a")}); err != nil {
		t.Fatal(err)
	}
	lostAnswerLog := &lostAnswerThenDown{Log: log}
	a := kclog.NewAppender(kclog.AppenderOptions{Log: lostAnswerLog, Clock: clock, Attempts: 2, BackoffMs: 1, Jitter: noJitter})
	_, err := a.Append(t.Context(), "s", []kclog.NewRecord{newRecord("b")})
	if !errors.Is(err, kclog.ErrAnswerLost) || errors.Is(err, kclog.ErrUnavailable) {
		t.Fatalf("error %v, want ErrAnswerLost", err)
	}
	down := kclog.NewAppender(kclog.AppenderOptions{Log: readFailingLog{log}, Clock: clock, Attempts: 1})
	if _, err := down.Append(t.Context(), "s", []kclog.NewRecord{newRecord("c")}); !errors.Is(err, kclog.ErrUnavailable) {
		t.Fatalf("error %v, want ErrUnavailable", err)
	}
}

// lostAnswerThenDown loses the answer of each append and fails every read after
// the first append.
type lostAnswerThenDown struct {
	kclog.Log
	appended bool
}

func (l *lostAnswerThenDown) Append(ctx context.Context, stream string, recs []kclog.NewRecord) (int64, error) {
	l.appended = true
	_, _ = l.Log.Append(ctx, stream, recs)
	return 0, kclog.ErrAnswerLost
}

func (l *lostAnswerThenDown) Read(
	ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis,
) (kclog.Page, error) {
	if l.appended {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against calls that keep using a stalled connection and time out while
// new connections work.
func TestClientReplacesStalledConnection(t *testing.T) {
	clock := kcclock.NewManual(0)
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	mux := http.NewServeMux()
	log.Register(mux)
	ended, hung := make(chan struct{}), make(chan struct{}, 10)
	var mu sync.Mutex
	stalledAddr := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if stalledAddr == "" && r.Method == http.MethodPost {
			stalledAddr = r.RemoteAddr // only this append gets a response on this connection
		} else if stalledAddr == r.RemoteAddr {
			mu.Unlock()
			hung <- struct{}{}
			<-ended
			return
		}
		mu.Unlock()
		mux.ServeHTTP(w, r)
	}))
	defer srv.Close()
	defer close(ended)
	client := &kclog.Client{BaseURL: srv.URL, HTTP: &http.Client{Transport: &http.Transport{}}, Clock: clock, TimeoutMs: 100}
	a := kclog.NewAppender(kclog.AppenderOptions{Log: client, Clock: clock, BackoffMs: 1, Jitter: noJitter})
	if _, err := a.Append(t.Context(), "s", []kclog.NewRecord{newRecord("a")}); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := a.Append(t.Context(), "s", []kclog.NewRecord{newRecord("b")})
		result <- err
	}()
	select {
	case <-hung:
		clock.Advance(100)
	case err := <-result:
		t.Fatalf("the stalled connection was not used; error %v", err)
	}
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if n := len(readRecords(t, log)); n != 2 {
		t.Fatalf("%d records, want 2", n)
	}
}

// Guards against requests that wait for a log that is down, and against an
// outage that the instance never leaves.
func TestGuardFailsFastAndProbes(t *testing.T) {
	clock := kcclock.NewManual(0)
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	g := kclog.NewGuard(kclog.GuardOptions{Log: log, Clock: clock, Jitter: func() float64 { return 1 }})
	log.SetFaults(kcstandin.LogFaults{Down: true})
	for range 3 {
		_, _ = g.Read(t.Context(), "s", 0, 1, 0)
	}
	log.SetFaults(kcstandin.LogFaults{})
	if _, err := g.Read(t.Context(), "s", 0, 1, 0); !g.Down() || g.Outages() != 1 || err == nil {
		t.Fatalf("down %v, outages %d, error %v; want a fast failure", g.Down(), g.Outages(), err)
	}
	clock.Advance(100)
	if _, err := g.Read(t.Context(), "s", 0, 1, 0); err != nil || g.Down() {
		t.Fatalf("the probe after the outage failed: %v", err)
	}
}

// Guards against an instance that exceeds its share of the append rate.
func TestBudgetLimitsAppendRate(t *testing.T) {
	clock := kcclock.NewManual(0)
	b := kclog.NewBudget(clock, 1, func() float64 { return 100 })
	for i, want := range []kcclock.Millis{0, 11, 21} {
		taken := make(chan error, 1)
		go func() { taken <- b.Take(context.Background()) }()
		if i > 0 {
			clock.AwaitWaiters(1)
			clock.Advance(want - clock.Now() - 1)
			select {
			case <-taken:
				t.Fatalf("token %d was available before %d ms", i, want)
			default:
			}
			clock.Advance(1)
		}
		if err := <-taken; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a reader that does not learn that records were trimmed before
// it read them, and against an error when the stream is already trimmed at the
// first read.
func TestFollowerReportsGap(t *testing.T) {
	clock := kcclock.NewManual(0)
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock, RetentionMs: 100})
	var got []string
	f := kclog.NewFollower(kclog.FollowerOptions{
		Log: log, Clock: clock, Stream: "s", From: kclog.FromOldest, Limit: 1,
		Fold: func(r kclog.Record) { got = append(got, r.ID) },
		Gap:  func(from, to int64) { got = append(got, fmt.Sprintf("gap %d-%d", from, to)) },
	})
	put := func(id string) {
		if _, err := log.Append(t.Context(), "s", []kclog.NewRecord{newRecord(id)}); err != nil {
			t.Fatal(err)
		}
	}
	catchUp := func() {
		if err := f.CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	put("0")
	clock.Advance(101)
	put("1")
	put("2")
	catchUp()
	put("3")
	clock.Advance(101)
	put("4")
	catchUp()
	if want := []string{"1", "2", "gap 3-4", "4"}; !slices.Equal(got, want) {
		t.Fatalf("folded %v, want %v", got, want)
	}
}

// Guards against two goroutines that run the same shared read. They closed its
// channel twice when a call arrived just after the end of the previous read.
func TestFollowerSharesReads(t *testing.T) {
	clock := kcclock.NewManual(0)
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	folded := 0
	f := kclog.NewFollower(kclog.FollowerOptions{
		Log: log, Clock: clock, Stream: "s", Fold: func(kclog.Record) { folded++ },
	})
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for n := range 500 {
				if i == 0 {
					_, _ = log.Append(t.Context(), "s", []kclog.NewRecord{newRecord(fmt.Sprint(n))})
				}
				if err := f.CatchUp(t.Context()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if folded != 500 {
		t.Fatalf("%d records folded, want 500", folded)
	}
}
