package kcledger

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const testSize = 32 << 20

func openAccount(t *testing.T, b *book, now kcclock.Millis) *account {
	t.Helper()
	a, _ := b.open(now)
	if a == nil {
		t.Fatal("no room for a connection")
	}
	return a
}

// startBody opens a connection whose body has grown to n bytes.
func startBody(t *testing.T, b *book, now kcclock.Millis, n int64) *account {
	t.Helper()
	a := openAccount(t, b, now)
	b.enter(now, a, running)
	b.enter(now, a, reading)
	if v, victims := b.grow(now, a, n); v != granted || len(victims) > 0 {
		t.Fatalf("%d bytes: verdict %d, %d victims", n, v, len(victims))
	}
	return a
}

// Guards against ending a caller that sends for one that came later, and against
// refusing an older one while a newer one holds its memory.
func TestNewestGivesWayWhileAllSend(t *testing.T) {
	b := newBook(testSize, connBytes, 100)
	older, newest := startBody(t, b, 0, 12<<20), startBody(t, b, 10, 12<<20)
	asking := openAccount(t, b, 20)
	b.enter(20, asking, reading)
	if v, victims := b.grow(20, asking, 8<<20); v != short || len(victims) > 0 {
		t.Errorf("the newest caller: verdict %d, %d victims", v, len(victims))
	}
	v, victims := b.grow(20, older, 8<<20)
	if v != pending || len(victims) != 1 || victims[0] != newest {
		t.Fatalf("the oldest caller: verdict %d, victims %v", v, victims)
	}
	b.remove(newest)
	if v, _ := b.grow(20, older, 8<<20); v != granted {
		t.Errorf("after the newest has left: verdict %d", v)
	}
}

// Guards against callers that stop sending and keep the memory of others: the
// longest silent one gives way first, even to a newer one.
func TestLongestSilentGivesWayFirst(t *testing.T) {
	b := newBook(testSize, connBytes, 100)
	second, first := startBody(t, b, 0, 12<<20), startBody(t, b, 10, 12<<20)
	b.receive(100, second, progressBytes)
	asking := openAccount(t, b, 1000)
	b.enter(1000, asking, reading)
	if v, victims := b.grow(1000, asking, 8<<20); v != pending || len(victims) != 1 || victims[0] != first {
		t.Errorf("verdict %d, victims %v", v, victims)
	}
}

// Guards against a caller that waits for the ledger and therefore counts as slow.
func TestQueuedCallerIsNotSlow(t *testing.T) {
	b := newBook(testSize, connBytes, 100)
	queued := startBody(t, b, 0, 12<<20)
	queued.queued = true
	if queued.slow(1000) {
		t.Error("a caller that waits for the ledger counts as slow")
	}
}

// Guards against large requests that take the part of the small ones, and against
// ending small requests to make room for a large one.
func TestSmallRequestsKeepTheirPart(t *testing.T) {
	b := newBook(testSize, connBytes, 500)
	large := startBody(t, b, 0, testSize-testSize/smallShare-connBytes)
	for range 16 {
		startBody(t, b, 5, smallBytes)
	}
	if v, victims := b.grow(10, large, 1<<20); v != short || len(victims) > 0 {
		t.Errorf("a large request in the part of the small ones: verdict %d, %d victims", v, len(victims))
	}
}

// Guards against ending a request that may have run, unless its caller does not
// read the answer.
func TestRunningRequestIsEndedOnlyIfNotRead(t *testing.T) {
	b := newBook(testSize, connBytes, 100)
	a := startBody(t, b, 0, 24<<20)
	b.enter(10, a, running)
	asking := openAccount(t, b, 10_000)
	b.enter(10_000, asking, reading)
	if v, victims := b.grow(10_000, asking, 8<<20); v != short || len(victims) > 0 {
		t.Errorf("beside a request that runs: verdict %d, %d victims", v, len(victims))
	}
	a.writing, a.writeAt = true, 8000
	if v, victims := b.grow(10_000, asking, 8<<20); v != pending || len(victims) != 1 {
		t.Errorf("beside an answer that is not read: verdict %d, %d victims", v, len(victims))
	}
}

// Guards against silent connections that keep others out, and against closing the
// connection of a caller that has been served before one that has not.
func TestSilentConnectionsGiveWay(t *testing.T) {
	b := newBook(testSize, connBytes, 3)
	served, silent, busy := openAccount(t, b, 0), openAccount(t, b, 10), openAccount(t, b, 20)
	b.enter(20, served, running)
	b.enter(30, served, waiting)
	b.enter(30, busy, running)
	for _, want := range []struct {
		now    kcclock.Millis
		victim *account
	}{{100, nil}, {2000, silent}, {2000, nil}} {
		if a, victim := b.open(want.now); a != nil || victim != want.victim {
			t.Errorf("at %d: opened %v, victim %v, want %v", want.now, a, victim, want.victim)
		}
	}
	b.remove(silent)
	next, _ := b.open(2000)
	if next == nil {
		t.Fatal("no room after the silent connection was closed")
	}
	b.enter(2000, next, running)
	if _, victim := b.open(4000); victim != served {
		t.Error("an idle connection keeps a new one out")
	}
}

// Guards against books that do not balance, which would refuse everybody in the
// end, against more than the size of the ledger, and against ending requests that
// run.
func TestBookBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook(1<<20, 1<<10, 20)
		var list []*account
		for now := kcclock.Millis(0); now < 60*200; now += 200 {
			if a, _ := b.open(now); a != nil {
				list = append(list, a)
			}
			if len(list) == 0 {
				continue
			}
			a := list[rapid.IntRange(0, len(list)-1).Draw(t, "account")]
			n := rapid.Int64Range(1, 300<<10).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				b.enter(now, a, phase(rapid.IntRange(0, 2).Draw(t, "phase")))
			case 1:
				b.shrink(a, n)
			case 2:
				b.receive(now, a, n)
			case 3:
				b.remove(a)
			default:
				_, victims := b.grow(now, a, n)
				for _, v := range victims {
					if v.phase == running {
						t.Fatal("a request that runs was ended")
					}
				}
			}
			checkBalance(t, b)
		}
	})
}

func checkBalance(t *rapid.T, b *book) {
	var used, ending int64
	conns := 0
	for a := range b.accounts {
		used += a.held + b.connBytes
		if a.ended {
			ending, conns = ending+a.held, conns+1
		}
	}
	if used != b.used || ending != b.ending || conns != b.endingConns || used > b.size {
		t.Fatalf("used %d, by accounts %d of %d; ending %d, by accounts %d", b.used, used, b.size, b.ending, ending)
	}
}

// crowdOutcome is what ordinary callers received beside a crowd.
type crowdOutcome struct{ small, smallServed, large, largeServed int }

// simulatedCaller is a caller of simulateCrowd.
type simulatedCaller struct {
	a    *account
	left int64
	// step is what it sends in 50 ms. served is nil for a caller of the crowd, which
	// stays until leaveAt.
	step    int64
	leaveAt kcclock.Millis
	// waitUntil is when it is refused if the ledger has no room for it.
	waitUntil kcclock.Millis
	served    *int
}

// simulateCrowd lets two callers of a crowd come in each 50 ms, send 1 to 4 MiB at
// once and stop, an ordinary caller with 8 KiB, and each second one with 2 MiB that
// takes 200 ms. If ending is false, it serves in the order of arrival and ends
// nobody. Callers wait for room as those of a Ledger do.
func simulateCrowd(ending bool) crowdOutcome {
	const crowdMs = 20 * kcclock.Second
	b := newBook(testSize, connBytes, 2000)
	var out crowdOutcome
	var callers []*simulatedCaller
	for now := kcclock.Millis(0); now < crowdMs; now += 50 {
		arrive := func(size, step int64, served *int) {
			if a, _ := b.open(now); a != nil {
				b.enter(now, a, reading)
				callers = append(callers, &simulatedCaller{a, size, step, now + crowdMs, now + waitMs, served})
			}
		}
		for n := range int64(2) {
			size := (1 + (int64(now)/50+n)%4) << 20
			arrive(size, size, nil)
		}
		out.small++
		arrive(8<<10, 8<<10, &out.smallServed)
		if now%kcclock.Second == 0 {
			out.large++
			arrive(2<<20, 512<<10, &out.largeServed)
		}
		var staying []*simulatedCaller
		for _, c := range callers {
			if c.advance(now, b, ending) {
				staying = append(staying, c)
			} else {
				b.remove(c.a)
			}
		}
		callers = staying
	}
	return out
}

// advance sends the next part of a body and reports whether the caller stays.
func (c *simulatedCaller) advance(now kcclock.Millis, b *book, ending bool) bool {
	if c.a.closed {
		return false
	}
	n := min(c.left, c.step)
	if n > 0 {
		v := short
		switch {
		case ending:
			var victims []*account
			v, victims = b.grow(now, c.a, n)
			for _, a := range victims {
				b.remove(a)
			}
			if v == pending {
				v, _ = b.grow(now, c.a, n)
			}
		case b.used+n <= b.size:
			b.keep(c.a, n)
			v = granted
		}
		c.a.queued = v != granted
		if v != granted {
			return now < c.waitUntil
		}
		b.receive(now, c.a, n)
		c.left, c.waitUntil = c.left-n, now+waitMs
	}
	if c.left == 0 && c.served != nil {
		*c.served++
		return false
	}
	return now < c.leaveAt
}

// Guards against a crowd that keeps ordinary callers out, with service in the order
// of arrival as the baseline.
func TestOrdinaryCallersAreServedBesideCrowd(t *testing.T) {
	got, baseline := simulateCrowd(true), simulateCrowd(false)
	t.Logf("%+v, in the order of arrival %+v", got, baseline)
	if got.smallServed < got.small {
		t.Errorf("%d of %d small requests were served", got.smallServed, got.small)
	}
	if got.largeServed <= baseline.largeServed {
		t.Errorf("%d of %d large requests were served, in the order of arrival %d", got.largeServed, got.large, baseline.largeServed)
	}
}

// Guards against ending or refusing anybody in calm.
func TestCalmEndsNobody(t *testing.T) {
	b := newBook(testSize, connBytes, 200)
	for now := kcclock.Millis(0); now < kcclock.Minute; now += 100 {
		for _, size := range []int64{4 << 20, 64 << 10, 4 << 20, 16 << 10} {
			a := startBody(t, b, now, size)
			b.enter(now+50, a, running)
			b.enter(now+90, a, waiting)
			b.remove(a)
		}
	}
	if b.used != 0 {
		t.Errorf("%d bytes are left", b.used)
	}
}

// Guards against limits above the descriptors or the memory that the settings state.
func TestLimitsKeepRoom(t *testing.T) {
	l := NewLimits(136<<20, 600, 200)
	if l.MaxConns*descriptorsPerConn > 600-200-reservedDescriptors || l.LedgerBytes > 136<<20/2 {
		t.Errorf("%+v", l)
	}
	if l := NewLimits(1<<20, 10, 200); l.MaxConns != minConns || l.LedgerBytes != minLedgerBytes {
		t.Errorf("of a very small process: %+v", l)
	}
}
