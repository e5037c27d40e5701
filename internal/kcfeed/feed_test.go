package kcfeed_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// memory is a store that answers at once and counts its calls.
type memory struct {
	mu      sync.Mutex
	records []kcfeed.Record
	first   int64
	fail    error
	reads   int
	// wait is the one of the last read, waits holds those of all.
	wait  kcclock.Millis
	waits []kcclock.Millis
}

func (m *memory) add(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, kcfeed.Record{Key: key, Value: []byte(value), Offset: int64(len(m.records))})
}

func (m *memory) set(first int64, fail error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.first, m.fail = first, fail
}

func (m *memory) calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

func (m *memory) Newest(context.Context, string) (kcfeed.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := kcfeed.Page{End: int64(len(m.records))}
	newest := map[string]kcfeed.Record{}
	for _, r := range m.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, m.fail
}

func (m *memory) Read(_ context.Context, _ string, from int64, wait kcclock.Millis) (kcfeed.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	m.wait, m.waits = wait, append(m.waits, wait)
	if m.fail != nil {
		return kcfeed.Page{}, m.fail
	}
	if from < m.first {
		return kcfeed.Page{}, kcfeed.ErrTrimmed
	}
	return kcfeed.Page{Records: m.records[from:], End: int64(len(m.records))}, nil
}

// applied is one call of Apply.
type applied struct {
	values        string
	whole, lapsed bool
}

type follow struct {
	*kcfeed.Follower
	got  chan applied
	stop context.CancelFunc
	done chan struct{}
}

func newFollow(t *testing.T, reader kcfeed.Reader, clock kcclock.Clock) *follow {
	t.Helper()
	f := &follow{got: make(chan applied, 100), done: make(chan struct{})}
	f.Follower = kcfeed.New(kcfeed.Options{
		Reader: reader, Clock: clock, Log: slog.New(slog.DiscardHandler), Topic: "t", WaitMs: 30, PauseMs: 100, CallMs: 1000,
		Apply: func(records []kcfeed.Record, whole, lapsed bool) {
			a := applied{whole: whole, lapsed: lapsed}
			for _, r := range records {
				a.values += string(r.Value)
			}
			f.got <- a
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { defer close(f.done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-f.done })
	return f
}

// until advances the clock until the follower applies something.
func (f *follow) until(clock *kcclock.Manual) applied {
	for {
		select {
		case a := <-f.got:
			return a
		default:
			clock.Advance(50)
		}
	}
}

// Guards against records that are lost when the store drops its history, and
// against an outage that the owner is not told of.
func TestFollowerReadsOnAfterTrouble(t *testing.T) {
	clock, m := kcclock.NewManual(1000), &memory{}
	m.add("a", "1")
	f := newFollow(t, m, clock)
	if got := f.until(clock); got != (applied{values: "1", whole: true}) {
		t.Errorf("start: %+v", got)
	}
	m.add("a", "2")
	if got := f.until(clock); got != (applied{values: "2"}) {
		t.Errorf("change: %+v", got)
	}
	m.set(0, errors.New("down"))
	m.add("a", "3")
	for calls := m.calls(); m.calls() < calls+2; {
		clock.Advance(50)
	}
	m.set(3, nil)
	if got := f.until(clock); got != (applied{values: "3", whole: false, lapsed: true}) &&
		got != (applied{values: "3", whole: true, lapsed: true}) {
		t.Errorf("after an outage: %+v", got)
	}
}

// Guards against state that counts as newer than what the store confirmed.
func TestFollowerKnowsItsAge(t *testing.T) {
	clock, m := kcclock.NewManual(1000), &memory{}
	m.add("a", "1")
	f := newFollow(t, m, clock)
	f.until(clock)
	m.set(0, errors.New("down"))
	calls := m.calls()
	for m.calls() < calls+2 {
		clock.Advance(10)
	}
	before, _ := f.Age(clock.Now())
	clock.Advance(5000)
	if age, known := f.Age(clock.Now()); !known || age < before+5000 {
		t.Errorf("age %d, known %v, after an outage of 5 s", age, known)
	}
}

// Guards against a call that a silent store holds for the time of a long read,
// so that its return is noticed seconds later.
func TestFollowerDoesNotWaitAtALostStore(t *testing.T) {
	clock, m := kcclock.NewManual(1000), &memory{}
	m.add("a", "1")
	f := newFollow(t, m, clock)
	f.until(clock)
	last := func() kcclock.Millis {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.wait
	}
	for m.calls() < 2 {
		clock.Advance(10)
	}
	if last() == 0 {
		t.Error("a read of a store that answers does not wait")
	}
	m.set(0, errors.New("silent"))
	for calls := m.calls(); m.calls() < calls+3; {
		clock.Advance(10)
	}
	if last() != 0 {
		t.Errorf("a read of a lost store waits for %d ms", last())
	}
}

// Guards against state that counts as old after each change, because the answer
// that brought the change was asked for a whole wait before.
func TestFollowerConfirmsAfterAChange(t *testing.T) {
	clock, m := kcclock.NewManual(1000), &memory{}
	m.add("a", "1")
	f := newFollow(t, m, clock)
	f.until(clock)
	for m.calls() < 2 {
		clock.Advance(10)
	}
	m.add("a", "2")
	f.until(clock)
	for calls := m.calls(); m.calls() < calls+2; {
		clock.Advance(10)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The first read follows the read of all keys, which brought records too.
	if got := slices.Compact(slices.Clone(m.waits)); len(got) < 4 || !slices.Equal(got[:4], []kcclock.Millis{0, 30, 0, 30}) {
		t.Errorf("waits of the reads: %v, want one without a wait after each change", m.waits)
	}
}

// relayed is a peer that serves what its follower has read.
func relayed(t *testing.T, f *kcfeed.Follower, clock kcclock.Clock) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: &kcfeed.Relay{Clock: clock, Followers: map[string]*kcfeed.Follower{"t": f}}}
	served := make(chan struct{})
	go func() { defer close(served); _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close(); <-served })
	return ln.Addr().String()
}

// Guards against an instance that asks the store although a peer knows enough,
// and against one that believes a peer whose knowledge is old.
func TestPeerReaderPrefersAFreshPeer(t *testing.T) {
	clock, m := kcclock.NewManual(1000), &memory{}
	m.add("a", "1")
	f := newFollow(t, m, clock)
	f.until(clock)
	m.add("b", "2")
	f.until(clock)
	f.stop()
	<-f.done
	calls, now := m.calls(), clock.Now()
	age, _ := f.Age(now)
	pool := kcconn.NewPool(kcconn.Options{Clock: clock, DialMs: 1000, UnackedMs: 3000, IdleMs: 4000, MaxIdle: 1})
	t.Cleanup(pool.Close)
	addr := relayed(t, f.Follower, clock)
	p := &kcfeed.PeerReader{
		Store: m, Pool: pool, Clock: clock, Peer: func() (string, bool) { return addr, true }, MaxAgeMs: age + 2000, DirectMs: 500,
	}
	page, err := p.Read(context.Background(), "t", 1, 0)
	if err != nil || page.End != 2 || len(page.Records) != 1 || string(page.Records[0].Value) != "2" {
		t.Fatalf("%+v, %v: want the record of the peer", page, err)
	}
	if page.AgeMs < age {
		t.Errorf("age %d, the peer's is %d", page.AgeMs, age)
	}
	if m.calls() != calls {
		t.Error("the store was asked")
	}
	clock.Advance(2500)
	if _, err = p.Read(context.Background(), "t", 1, 0); err != nil || m.calls() != calls+1 {
		t.Errorf("%v, %d calls of the store with an old peer, want 1", err, m.calls()-calls)
	}
	// The first record is not kept by the peer any more: the store has it.
	clock.Advance(600)
	if page, err = p.Read(context.Background(), "t", 0, 0); err != nil || len(page.Records) != 2 {
		t.Errorf("%+v, %v: want both records", page, err)
	}
}
