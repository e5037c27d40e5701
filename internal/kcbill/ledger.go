package kcbill

import (
	"context"
	"errors"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// ErrBacklog means that no bill can be opened: too many wait for the log, or
// neither a peer nor the log can be reached.
var ErrBacklog = errors.New("bills: too many bills wait for the log, or neither the log nor a peer can be reached")

// Peers keeps copies of bills at other instances.
type Peers interface {
	// Live returns the other entry instances that are not leaving.
	Live() []kcmember.Member
	// Hold asks p to keep copies for the instance from. All bills or none are
	// kept if the error is nil or not; after an error they may be kept.
	Hold(ctx context.Context, p kcmember.Member, from string, bills []Bill) error
	// Release tells p that copies are no longer needed.
	Release(ctx context.Context, p kcmember.Member, from string, requestIDs []string) error
}

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	// Instance and Zone are those of this process.
	Instance string
	Zone     string
	Region   string
	Log      kclog.Log
	Clock    kcclock.Clock
	// Peers may be nil for an instance without peers.
	Peers  Peers
	Shards int
	// FlushMs is the time between two batches for the log.
	FlushMs kcclock.Millis
	// CopyMs is the least time between two messages with copies; 0 means none.
	// Bills that come while a message is on its way share the next one, so a
	// busy instance batches without it.
	CopyMs kcclock.Millis
	// MaxPending bounds the bills that are not yet in the log.
	MaxPending int
	// SingleMemory lets work go on while neither the log nor a peer can be
	// reached. Bills are then lost with the instance. It is meant for trials
	// with one instance.
	SingleMemory bool
}

// entry is a bill that is not yet in the log in its final state.
type entry struct {
	bill Bill
	// holder has a copy in the state copied; it is "" if nobody has.
	holder string
	copied Bill
	// logged is the newest record in the log; its state is "" if there is none.
	logged Bill
	// holders are all instances that may have a copy.
	holders map[string]kcmember.Member
}

// safe reports whether the loss of this instance cannot change the amount.
func (e *entry) safe() bool {
	return e.holder != "" && e.copied.Amount == e.bill.Amount ||
		e.logged.State != "" && e.logged.Amount == e.bill.Amount
}

// Ledger holds the bills of one instance until they are in the log.
type Ledger struct {
	opts LedgerOptions

	mu      sync.Mutex
	entries map[string]*entry
	// fresh holds the request ids whose newest state may have no copy.
	fresh kcset.Set[string]
	// usable names the peers that were usable at the last round, to notice a
	// change without a look at every bill.
	usable string
	// released are the copies that holders no longer need.
	released map[string]*release
	// failedAt is the time of the last failed message to a peer.
	failedAt map[string]kcclock.Millis
	alone    bool
	logDown  bool
	// progress is closed and replaced when a bill may have become safe.
	progress chan struct{}
	// soon has a token when there are bills without a copy, wake when somebody
	// waits for one, and urgent when bills wait for the log because no peer
	// takes a copy.
	soon   chan struct{}
	wake   chan struct{}
	urgent chan struct{}
}

type release struct {
	peer kcmember.Member
	ids  []string
}

// NewLedger returns a ledger without bills.
func NewLedger(opts LedgerOptions) *Ledger {
	if opts.Peers == nil {
		opts.Peers = nobody{}
	}
	return &Ledger{
		opts: opts, entries: make(map[string]*entry), released: make(map[string]*release),
		failedAt: make(map[string]kcclock.Millis), fresh: kcset.New[string](),
		progress: make(chan struct{}), soon: make(chan struct{}, 1),
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// Full reports whether new billable work must be refused.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full()
}

func (l *Ledger) full() bool {
	return len(l.entries) >= l.opts.MaxPending || l.alone && l.logDown && !l.opts.SingleMemory
}

// Has reports whether the bill of a request waits for the log.
func (l *Ledger) Has(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.entries[requestID]
	return ok
}

// Pending returns the number of bills that are not yet in the log.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// Open takes a bill before the dispatch. It returns ErrBacklog if new billable
// work must be refused. A second Open of a request id has no effect.
func (l *Ledger) Open(b Bill, repeatable bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.entries[b.RequestID]; known {
		return nil
	}
	if l.full() {
		return ErrBacklog
	}
	if b.Group == "" {
		b.Group = l.opts.Instance
	}
	l.add(NewOpened(b, repeatable))
	return nil
}

// Close ends a bill with what the workspace pays, in micro-units. Only the
// first Close of a request id counts.
func (l *Ledger) Close(requestID, version string, amount int64, x kcapi.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[requestID]
	if !ok || e.bill.State.final() {
		return
	}
	e.bill.State, e.bill.Amount, e.bill.Execution = Closed, amount, x
	e.bill.At = l.opts.Clock.Now()
	if version != "" {
		e.bill.Version = version
	}
	l.fresh.Add(requestID)
	signal(l.soon)
}

// Void makes a closed bill cost nothing, because its answer is withheld. It
// returns false, and the answer can be released, if the bill is safe by now.
// The voided record counts instead of a closed one whose append was thought to
// have failed, unless this instance is lost before it is written.
func (l *Ledger) Void(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.safe(requestID) {
		return false
	}
	e := l.entries[requestID]
	e.bill.State, e.bill.Amount = Voided, 0
	l.fresh.Add(requestID)
	signal(l.soon)
	return true
}

// AddClosed takes a bill that follows from a record in the log, such as the
// end of a job. It is taken beyond the bound as well, because the work behind
// it was admitted before.
func (l *Ledger) AddClosed(b Bill) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.entries[b.RequestID]; known {
		return
	}
	b.State = Closed
	l.add(b)
}

func (l *Ledger) add(b Bill) {
	l.entries[b.RequestID] = &entry{bill: b, holders: make(map[string]kcmember.Member)}
	l.fresh.Add(b.RequestID)
	signal(l.soon)
}

// Safe reports whether the loss of this instance can no longer change what
// the request costs: the bill is in the log or a peer holds a copy.
func (l *Ledger) Safe(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.safe(requestID)
}

func (l *Ledger) safe(requestID string) bool {
	e, ok := l.entries[requestID]
	return !ok || e.safe() || l.opts.SingleMemory && l.alone && l.logDown
}

// Await returns nil once the bill is Safe. It returns the error of ctx if ctx
// ends before.
func (l *Ledger) Await(ctx context.Context, requestID string) error {
	for {
		l.mu.Lock()
		safe, progress := l.safe(requestID), l.progress
		l.mu.Unlock()
		if safe {
			return nil
		}
		signal(l.wake)
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signal puts a token into a channel with room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// advanced wakes the callers of Await; l.mu is held.
func (l *Ledger) advanced() {
	close(l.progress)
	l.progress = make(chan struct{})
}

// settle removes a bill that is in the log and queues the release of its
// copies; l.mu is held.
func (l *Ledger) settle(e *entry) {
	delete(l.entries, e.bill.RequestID)
	l.fresh.Remove(e.bill.RequestID)
	for id, p := range e.holders {
		r, ok := l.released[id]
		if !ok {
			r = &release{peer: p}
			l.released[id] = r
		}
		// A release that is dropped here costs one repeated record later.
		if len(r.ids) < l.opts.MaxPending {
			r.ids = append(r.ids, e.bill.RequestID)
		}
	}
}

// nobody are the peers of an instance that has none.
type nobody struct{}

func (nobody) Live() []kcmember.Member                                          { return nil }
func (nobody) Hold(context.Context, kcmember.Member, string, []Bill) error      { return errNoPeer }
func (nobody) Release(context.Context, kcmember.Member, string, []string) error { return errNoPeer }
