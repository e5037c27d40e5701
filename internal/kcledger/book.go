package kcledger

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// phase is what a connection does.
type phase int

const (
	// waiting is a connection without a complete header: new, idle or sending one.
	waiting phase = iota
	// reading is a request whose body is being read. It has not run.
	reading
	// running is a request that may have been sent on. It is ended only while its
	// caller does not read the answer.
	running
)

const (
	// slowMs is the time in which a caller must send progressBytes, or end its
	// request, in order not to count as slow. It is 20 round trips between the
	// regions of the known deployments, plus the time of a lost packet.
	slowMs = 500 * kcclock.Millisecond
	// stuckMs is the time after which a write that the caller does not read may be
	// ended. A lost packet is sent again within a second.
	stuckMs = 2000 * kcclock.Millisecond
	// progressBytes is one window of a connection that has just been opened.
	progressBytes = 16 << 10
	// smallBytes is the largest charge of a small request. Headers of the known
	// deployments and a short body are below it.
	smallBytes = 128 << 10
	// smallShare is the share of the ledger that is kept for small requests.
	smallShare = 8
	// endingShare is the part of the connections, one in so many, that may be ending
	// at the same time. The server waits half a second for the rest of a body before it
	// closes a connection.
	endingShare = 16
)

// verdict is the answer to a request for bytes.
type verdict int

const (
	// granted means that the bytes are charged.
	granted verdict = iota
	// pending means that the bytes of ended callers will suffice.
	pending
	// short means that no caller may be ended for the requesting one.
	short
)

// account is what one connection holds.
type account struct {
	// order is the order in which connections were accepted.
	order uint64
	phase phase
	// served is true once the connection has carried a complete request.
	served bool
	// requests is the number of requests that have ended.
	requests uint64
	// startedAt is when the current request began to arrive.
	startedAt kcclock.Millis
	// progressAt is when the last progressBytes had arrived, received what arrived
	// since then.
	progressAt kcclock.Millis
	received   int64
	// held is the charge beyond that of the connection.
	held int64
	// writing is true while a part of an answer is written, since writeAt.
	writing bool
	writeAt kcclock.Millis
	// queued is true while the caller waits for the ledger, which is not its fault.
	queued bool
	// closed is true once the connection was closed. It is not charged any more.
	closed bool
	// ended is true once the caller was chosen to be ended.
	ended bool
}

// book holds the accounts and decides who is ended. It is not safe for concurrent
// use and knows no network. The load that it addresses is many callers that each
// keep to the limits of one request and exceed the memory together.
type book struct {
	size, connBytes int64
	maxConns        int
	accounts        map[*account]struct{}
	used            int64
	// ending is the part of used that ended callers are about to release.
	ending int64
	// endingConns is the number of ended callers.
	endingConns int
	order       uint64
}

func newBook(size, connBytes int64, maxConns int) *book {
	return &book{size: size, connBytes: connBytes, maxConns: maxConns, accounts: make(map[*account]struct{})}
}

// open charges a new connection. If there is no room for it, it returns the caller
// that is to be ended instead, or nil if none may be or one is about to leave.
func (b *book) open(now kcclock.Millis) (opened, victim *account) {
	if len(b.accounts) < b.maxConns && b.used+b.connBytes <= b.size {
		b.order++
		a := &account{order: b.order, startedAt: now, progressAt: now}
		b.accounts[a] = struct{}{}
		b.used += b.connBytes
		return a, nil
	}
	if b.endingConns >= max(b.maxConns/endingShare, 1) {
		return nil, nil
	}
	if victim = b.longestSilent(now); victim != nil {
		b.end(victim)
	}
	return nil, victim
}

// longestSilent returns the slow caller that has made no progress for longest. One
// that has never completed a request comes before one that has.
func (b *book) longestSilent(now kcclock.Millis) *account {
	var found *account
	for a := range b.accounts {
		if !a.mayEnd(now) || !a.slow(now) {
			continue
		}
		switch {
		case found == nil, found.served && !a.served:
			found = a
		case found.served == a.served && olderProgress(a, found):
			found = a
		}
	}
	return found
}

func olderProgress(a, b *account) bool {
	if a.silentSince() != b.silentSince() {
		return a.silentSince() < b.silentSince()
	}
	return a.order < b.order
}

func (a *account) silentSince() kcclock.Millis {
	if a.writing {
		return a.writeAt
	}
	return a.progressAt
}

// stuck reports whether the caller does not read its answer.
func (a *account) stuck(now kcclock.Millis) bool { return a.writing && now-a.writeAt >= stuckMs }

func (a *account) mayEnd(now kcclock.Millis) bool {
	return !a.ended && (a.phase != running || a.stuck(now))
}

func (a *account) slow(now kcclock.Millis) bool {
	return a.stuck(now) || a.phase != running && !a.queued && now-a.progressAt >= slowMs
}

// limitFor returns the part of the ledger that may be used with a charge.
func (b *book) limitFor(charge int64) int64 {
	if charge <= smallBytes {
		return b.size
	}
	return b.size - b.size/smallShare
}

// grow charges n bytes to an account. If they do not fit, it chooses callers that
// are to be ended: slow ones, the longest silent first, and then the newest of those
// with large requests that give way. It never ends a small request that is not
// slow.
func (b *book) grow(now kcclock.Millis, a *account, n int64) (v verdict, victims []*account) {
	if a.closed {
		return granted, nil
	}
	if a.ended {
		return short, nil
	}
	limit := b.limitFor(a.held + n)
	for {
		switch {
		case b.used+n <= limit:
			a.held += n
			b.used += n
			return granted, victims
		case b.used-b.ending+n <= limit:
			return pending, victims
		}
		victim := b.victimFor(now, a, n)
		if victim == nil {
			return short, victims
		}
		b.end(victim)
		victims = append(victims, victim)
	}
}

// victimFor returns the caller that is ended for n bytes of another one, or nil.
func (b *book) victimFor(now kcclock.Millis, asking *account, n int64) *account {
	var slowest, newest *account
	for a := range b.accounts {
		if a == asking || a.held == 0 || !a.mayEnd(now) {
			continue
		}
		if a.slow(now) && (slowest == nil || olderProgress(a, slowest)) {
			slowest = a
		}
		if a.givesWayTo(asking, n) && (newest == nil || newer(a, newest)) {
			newest = a
		}
	}
	if slowest != nil {
		return slowest
	}
	return newest
}

// largerFactor is how much more a request must hold than another one in order to
// give way to it. A factor above 1 keeps two requests from ending each other.
const largerFactor = 2

// givesWayTo reports whether a request that is not slow is ended for n bytes of
// another one. It has to be large, and newer or much larger than the other one:
// callers with the largest bodies lose first, as they take the room of most others.
func (a *account) givesWayTo(asking *account, n int64) bool {
	if a.phase == running || a.held <= smallBytes {
		return false
	}
	return a.held >= largerFactor*(asking.held+n) || asking.phase != running && newer(a, asking) && asking.held >= a.held
}

func newer(a, b *account) bool {
	if a.startedAt != b.startedAt {
		return a.startedAt > b.startedAt
	}
	return a.order > b.order
}

func (b *book) end(a *account) {
	a.ended = true
	b.ending += a.held
	b.endingConns++
}

// keep charges n bytes that exist already, even if they do not fit. Until there is
// room again, no others are granted and no connection is opened.
func (b *book) keep(a *account, n int64) {
	if a.closed {
		return
	}
	a.held += n
	b.used += n
	if a.ended {
		b.ending += n
	}
}

// shrink releases n bytes of an account.
func (b *book) shrink(a *account, n int64) {
	n = min(n, a.held)
	a.held -= n
	b.used -= n
	if a.ended {
		b.ending -= n
	}
}

// receive records that n bytes arrived.
func (b *book) receive(now kcclock.Millis, a *account, n int64) {
	if a.phase == waiting && a.held == 0 {
		a.startedAt, a.progressAt, a.received = now, now, 0
	}
	if a.received += n; a.received >= progressBytes {
		a.progressAt, a.received = now, 0
	}
}

// enter changes what a connection does. A connection that waits for a request
// again holds nothing. One whose request is complete is not ended any more.
func (b *book) enter(now kcclock.Millis, a *account, p phase) {
	if a.closed {
		return
	}
	switch p {
	case waiting:
		b.shrink(a, a.held)
		a.served = true
		a.requests++
	case running:
		if a.ended {
			a.ended = false
			b.ending -= a.held
			b.endingConns--
		}
	case reading:
	}
	a.phase, a.progressAt, a.received = p, now, 0
}

// remove releases all that a connection holds.
func (b *book) remove(a *account) {
	if a.closed {
		return
	}
	a.closed = true
	b.shrink(a, a.held)
	if a.ended {
		b.endingConns--
	}
	delete(b.accounts, a)
	b.used -= b.connBytes
}
