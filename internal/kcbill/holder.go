package kcbill

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// ErrHolderFull means that an instance has reached its limit of copies or is
// about to stop. The sender then tries another peer or the log.
var ErrHolderFull = errors.New("bills: this instance takes no more copies")

// HolderOptions configures a Holder.
type HolderOptions struct {
	Log    kclog.Log
	Clock  kcclock.Clock
	Shards int
	// ListedInstances returns the ids of all entry instances on the list, including
	// those that are leaving.
	ListedInstances func() []string
	// MaxCopies bounds the number of copies.
	MaxCopies int
	// SweepIntervalMs is the time between two sweeps.
	SweepIntervalMs kcclock.Millis
	// SenderTimeoutMs is how long a sender must be missing from the list before its
	// copies are appended. It covers the lag of the list. A sender that comes back
	// later does no harm, because its closed bill supersedes the interrupted one.
	SenderTimeoutMs kcclock.Millis
	// ReleaseTimeoutMs is the time after which a closed copy is appended if it was
	// not released. For an opened copy, it starts at the deadline of the request.
	ReleaseTimeoutMs kcclock.Millis
}

type heldBill struct {
	bill      Bill
	sender    string
	heldSince kcclock.Millis
}

// Holder stores copies of the bills of other instances. It appends a copy to
// the log if its sender fails.
type Holder struct {
	opts HolderOptions

	mu     sync.Mutex
	copies map[string]heldBill
	// stopping is true once HandOver was called.
	stopping bool
	// missingSince holds, by sender, the time at which the sender was first missing
	// from the list.
	missingSince map[string]kcclock.Millis
}

// NewHolder returns an empty holder.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{opts: opts, copies: make(map[string]heldBill), missingSince: make(map[string]kcclock.Millis)}
}

// CopyCount returns the number of copies.
func (h *Holder) CopyCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.copies)
}

// Hold stores copies for sender. It stores all of them, or none and returns
// ErrHolderFull.
func (h *Holder) Hold(sender string, bills []Bill) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	added := 0
	for _, b := range bills {
		if _, known := h.copies[b.RequestID]; !known {
			added++
		}
	}
	if h.stopping || len(h.copies)+added > h.opts.MaxCopies {
		return ErrHolderFull
	}
	now := h.opts.Clock.Now()
	for _, b := range bills {
		// Messages can be reordered: an opened copy must not replace a closed one.
		if prev, known := h.copies[b.RequestID]; known && !b.Supersedes(prev.bill) {
			continue
		}
		h.copies[b.RequestID] = heldBill{bill: b, sender: sender, heldSince: now}
	}
	return nil
}

// Release drops copies whose bills are in the log.
func (h *Holder) Release(sender string, requestIDs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range requestIDs {
		if c, ok := h.copies[id]; ok && c.sender == sender {
			delete(h.copies, id)
		}
	}
}

// Run sweeps until ctx ends, then closes the returned channel.
func (h *Holder) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			_ = h.Sweep(ctx)
			select {
			case <-ctx.Done():
			case <-h.opts.Clock.After(h.opts.SweepIntervalMs):
			}
		}
	}()
	return done
}

// Sweep appends the copies whose sender is gone or did not release them in
// time. Copies whose append failed are kept for the next sweep.
func (h *Holder) Sweep(ctx context.Context) error {
	return h.appendCopies(ctx, h.dueCopies(h.opts.ListedInstances()))
}

func (h *Holder) appendCopies(ctx context.Context, due []heldBill) error {
	byStream := make(map[string][]Bill)
	for _, c := range due {
		b := c.bill
		if b.State == Opened {
			b.State, b.At = Interrupted, h.opts.Clock.Now()
		}
		stream := Stream(b.Group, h.opts.Shards)
		byStream[stream] = append(byStream[stream], b)
	}
	var failed error
	for stream, bills := range byStream {
		for batch := range slices.Chunk(bills, maxBatchBills) {
			if _, err := h.opts.Log.Append(ctx, stream, billRecords(batch)); err != nil {
				failed = err
				break
			}
			h.dropAppended(batch)
		}
	}
	return failed
}

// dropAppended removes the copies that were appended, unless a state that
// supersedes the appended one has arrived since.
func (h *Holder) dropAppended(appended []Bill) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range appended {
		if c, ok := h.copies[b.RequestID]; ok && !c.bill.Supersedes(b) {
			delete(h.copies, b.RequestID)
		}
	}
}

func (h *Holder) dueCopies(listed []string) []heldBill {
	present := kcset.New(listed...)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Clock.Now()
	missing := make(map[string]kcclock.Millis)
	var due []heldBill
	for _, c := range h.copies {
		if !present.Has(c.sender) {
			since, known := h.missingSince[c.sender]
			if !known {
				since = now
			}
			missing[c.sender] = since
		}
		if h.isDue(c, now, missing) {
			due = append(due, c)
		}
	}
	h.missingSince = missing
	slices.SortFunc(due, func(a, b heldBill) int { return compareByRequestID(a.bill, b.bill) })
	return due
}

func (h *Holder) isDue(c heldBill, now kcclock.Millis, missing map[string]kcclock.Millis) bool {
	if since, gone := missing[c.sender]; gone && now >= since+h.opts.SenderTimeoutMs {
		return true
	}
	if c.bill.State == Opened {
		return now >= c.bill.Deadline+h.opts.ReleaseTimeoutMs
	}
	return now >= c.heldSince+h.opts.ReleaseTimeoutMs
}

// HandOver moves all copies out of the holder before a planned stop: to the log
// or, while it is down, to another peer. From then on, Hold refuses new copies.
func (h *Holder) HandOver(ctx context.Context, peers Peers) error {
	h.mu.Lock()
	h.stopping = true
	all := make([]heldBill, 0, len(h.copies))
	for _, c := range h.copies {
		all = append(all, c)
	}
	h.mu.Unlock()
	slices.SortFunc(all, func(a, b heldBill) int { return compareByRequestID(a.bill, b.bill) })
	if len(all) == 0 || h.appendCopies(ctx, all) == nil {
		return nil
	}
	bySender := make(map[string][]Bill)
	for _, c := range all {
		bySender[c.sender] = append(bySender[c.sender], c.bill)
	}
	var failed error
	for sender, bills := range bySender {
		failed = errors.Join(failed, handOverToPeer(ctx, peers, sender, bills))
	}
	return failed
}

func handOverToPeer(ctx context.Context, peers Peers, sender string, bills []Bill) error {
	err := errNoPeer
	for _, p := range slices.DeleteFunc(peers.Live(), func(p kcmember.Member) bool { return p.ID == sender }) {
		if err = peers.Hold(ctx, p, sender, bills); err == nil {
			return nil
		}
	}
	return err
}
