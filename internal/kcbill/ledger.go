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

// ErrBacklog means that no bill can be opened: too many bills are pending, or
// neither the log nor a peer can be reached.
var ErrBacklog = errors.New("bills: too many bills wait for the log, or neither the log nor a peer can be reached")

// Peers stores copies of bills at other instances.
type Peers interface {
	// Live returns the other entry instances that are not leaving.
	Live() []kcmember.Member
	// Hold asks p to store copies for the instance from. If the error is nil, p
	// stores all of them. After an error, p stores all or none.
	Hold(ctx context.Context, p kcmember.Member, from string, bills []Bill) error
	// Release tells p which copies it can drop.
	Release(ctx context.Context, p kcmember.Member, from string, requestIDs []string) error
}

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	// Instance, Zone and Region are those of this process.
	Instance string
	Zone     string
	Region   string
	Log      kclog.Log
	Clock    kcclock.Clock
	// Peers may be nil if there are no other instances.
	Peers  Peers
	Shards int
	// FlushIntervalMs is the minimum time between two batches for the log.
	FlushIntervalMs kcclock.Millis
	// CopyIntervalMs is the minimum time between two messages with copies; 0 means
	// no minimum. Bills that are added while a message is in flight share the next
	// one, so a busy instance batches even without it.
	CopyIntervalMs kcclock.Millis
	// MaxPending bounds the number of bills that are not in the log yet.
	MaxPending int
	// AllowUnreplicated accepts work while neither the log nor a peer can be
	// reached. Bills are then lost if the instance fails. It is meant for trials
	// with a single instance.
	AllowUnreplicated bool
}

// pendingBill is a bill whose final state is not in the log yet.
type pendingBill struct {
	bill Bill
	// holderID is the peer that has copiedBill. It is "" if no peer has a copy.
	holderID   string
	copiedBill Bill
	// loggedBill is the latest record in the log. Its state is "" if there is none.
	loggedBill Bill
	// possibleHolders are all instances that may have a copy, by id.
	possibleHolders map[string]kcmember.Member
}

// isDurable reports whether the amount stays the same if this instance fails.
func (e *pendingBill) isDurable() bool {
	return e.holderID != "" && e.copiedBill.Amount == e.bill.Amount ||
		e.loggedBill.State != "" && e.loggedBill.Amount == e.bill.Amount
}

// Ledger keeps the bills of one instance until they are in the log.
type Ledger struct {
	opts LedgerOptions

	mu      sync.Mutex
	pending map[string]*pendingBill
	// uncopied holds the request ids whose latest state may have no copy.
	uncopied kcset.Set[string]
	// usablePeers lists the peers that were usable in the last round. A change is
	// detected by comparing it, without a look at every bill.
	usablePeers string
	// releases are the copies that holders can drop, by peer id.
	releases map[string]*peerRelease
	// peerFailedAt is the time of the last failed message, by peer id.
	peerFailedAt map[string]kcclock.Millis
	noPeer       bool
	logDown      bool
	// changed is closed and replaced when a bill may have become durable.
	changed chan struct{}
	// copyDue has a token when there are bills without a copy, copyNow when a
	// caller waits for one of them, and flushNow when bills must go to the log
	// because no peer takes a copy.
	copyDue  chan struct{}
	copyNow  chan struct{}
	flushNow chan struct{}
}

type peerRelease struct {
	peer kcmember.Member
	ids  []string
}

// NewLedger returns an empty ledger.
func NewLedger(opts LedgerOptions) *Ledger {
	if opts.Peers == nil {
		opts.Peers = noPeers{}
	}
	return &Ledger{
		opts: opts, pending: make(map[string]*pendingBill), releases: make(map[string]*peerRelease),
		peerFailedAt: make(map[string]kcclock.Millis), uncopied: kcset.New[string](),
		changed: make(chan struct{}), copyDue: make(chan struct{}, 1),
		copyNow: make(chan struct{}, 1), flushNow: make(chan struct{}, 1),
	}
}

// Full reports whether new billable work must be refused.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full()
}

func (l *Ledger) full() bool {
	return len(l.pending) >= l.opts.MaxPending || l.noPeer && l.logDown && !l.opts.AllowUnreplicated
}

// Has reports whether the bill of a request is pending.
func (l *Ledger) Has(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.pending[requestID]
	return ok
}

// Pending returns the number of bills that are not in the log yet.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

// Open adds a bill before the request is dispatched. It returns ErrBacklog if
// new billable work must be refused. A second Open of a request id has no
// effect.
func (l *Ledger) Open(b Bill, repeatable bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.pending[b.RequestID]; known {
		return nil
	}
	if l.full() {
		return ErrBacklog
	}
	if b.Group == "" {
		b.Group = l.opts.Instance
	}
	l.addPending(NewOpened(b, repeatable))
	return nil
}

// Close ends a bill with the amount that the workspace pays, in micro-units of
// currency. Only the first Close of a request id has an effect.
func (l *Ledger) Close(requestID, version string, amount int64, x kcapi.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.pending[requestID]
	if !ok || e.bill.State.isFinal() {
		return
	}
	e.bill.State, e.bill.Amount, e.bill.Execution = Closed, amount, x
	e.bill.At = l.opts.Clock.Now()
	if version != "" {
		e.bill.Version = version
	}
	l.uncopied.Add(requestID)
	signal(l.copyDue)
}

// Void sets the amount of a closed bill to 0, because its answer is withheld.
// If the bill is durable by now, Void returns false and the answer can be
// released. The voided record supersedes a closed one whose append was wrongly
// taken for failed, unless this instance fails before it writes the voided
// record.
func (l *Ledger) Void(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDurable(requestID) {
		return false
	}
	e := l.pending[requestID]
	e.bill.State, e.bill.Amount = Voided, 0
	l.uncopied.Add(requestID)
	signal(l.copyDue)
	return true
}

// AddClosed adds a bill that follows from a record in the log, such as the end
// of a job. It ignores MaxPending, because the work was admitted before.
func (l *Ledger) AddClosed(b Bill) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.pending[b.RequestID]; known {
		return
	}
	b.State = Closed
	l.addPending(b)
}

func (l *Ledger) addPending(b Bill) {
	l.pending[b.RequestID] = &pendingBill{bill: b, possibleHolders: make(map[string]kcmember.Member)}
	l.uncopied.Add(b.RequestID)
	signal(l.copyDue)
}

// IsDurable reports whether the charge stays the same if this instance fails:
// the bill is in the log, or a peer holds a copy.
func (l *Ledger) IsDurable(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDurable(requestID)
}

func (l *Ledger) isDurable(requestID string) bool {
	e, ok := l.pending[requestID]
	return !ok || e.isDurable() || l.opts.AllowUnreplicated && l.noPeer && l.logDown
}

// AwaitDurable returns nil once the bill is durable. It returns the error of
// ctx if ctx ends first.
func (l *Ledger) AwaitDurable(ctx context.Context, requestID string) error {
	for {
		l.mu.Lock()
		durable, changed := l.isDurable(requestID), l.changed
		l.mu.Unlock()
		if durable {
			return nil
		}
		signal(l.copyNow)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signal puts a token into a channel of capacity 1 unless it already holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// notifyWaiters wakes the callers of AwaitDurable. The caller holds l.mu.
func (l *Ledger) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// removeLogged removes a bill that is in the log and queues the release of its
// copies. The caller holds l.mu.
func (l *Ledger) removeLogged(e *pendingBill) {
	delete(l.pending, e.bill.RequestID)
	l.uncopied.Remove(e.bill.RequestID)
	for id, p := range e.possibleHolders {
		r, ok := l.releases[id]
		if !ok {
			r = &peerRelease{peer: p}
			l.releases[id] = r
		}
		// A release that is dropped here only causes one repeated record later.
		if len(r.ids) < l.opts.MaxPending {
			r.ids = append(r.ids, e.bill.RequestID)
		}
	}
}

// noPeers implements Peers for an instance without peers.
type noPeers struct{}

func (noPeers) Live() []kcmember.Member                                          { return nil }
func (noPeers) Hold(context.Context, kcmember.Member, string, []Bill) error      { return errNoPeer }
func (noPeers) Release(context.Context, kcmember.Member, string, []string) error { return errNoPeer }
