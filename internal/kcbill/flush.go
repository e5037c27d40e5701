package kcbill

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	// maxBatchBills bounds the bills in one message or append.
	maxBatchBills = 500
	// peerBackoffMs is how long a peer is not tried again after a failed message.
	peerBackoffMs = kcclock.Second
	// maxPeerAttempts bounds the failed messages in one call of CopyToPeers.
	maxPeerAttempts = 3
	// maxAppendsPerSecond is the budget for bills, out of the 300 appends per
	// second that all instances may make together.
	maxAppendsPerSecond = 100
	// batchDelayMs is how long a bill that no caller waits for is delayed so that
	// other bills can share its message. It is shorter than the usual time to the
	// first token, so the opened copy is at a peer by then. It is longer than a
	// quick call, so such a call sends only its closed copy.
	batchDelayMs = 25 * kcclock.Millisecond
	// appendTimeoutMs bounds one append. An answer that arrives later is treated as
	// lost.
	appendTimeoutMs = 5 * kcclock.Second
	// maxRetryDelayMs bounds the backoff between two attempts while the log is
	// down.
	maxRetryDelayMs = 5 * kcclock.Second
)

// errNoPeer means that no peer in another availability zone accepted the
// copies.
var errNoPeer = errors.New("bills: no peer in another availability zone holds the copies")

// Run sends copies to peers and writes batches to the log until ctx ends, then
// closes the returned channel. The two loops are independent: a slow log does
// not delay copies, and a slow peer does not delay the log.
func (l *Ledger) Run(ctx context.Context) <-chan struct{} {
	done, copied := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(copied)
		l.copyLoop(ctx)
	}()
	go func() {
		defer close(done)
		l.flushLoop(ctx)
		<-copied
	}()
	return done
}

func (l *Ledger) copyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		// The timer detects holders that have left the list.
		select {
		case <-ctx.Done():
			return
		case <-l.opts.Clock.After(kcclock.Second):
		case <-l.copyNow:
		case <-l.copyDue:
			select {
			case <-ctx.Done():
				return
			case <-l.copyNow:
			case <-l.opts.Clock.After(batchDelayMs):
			}
		}
		if l.CopyToPeers(ctx) != nil {
			signal(l.flushNow)
		}
		if l.opts.CopyIntervalMs <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-l.opts.Clock.After(l.opts.CopyIntervalMs):
		}
	}
}

func (l *Ledger) flushLoop(ctx context.Context) {
	wait := l.flushInterval()
	for {
		flushNow := l.flushNow
		if wait > l.flushInterval() {
			flushNow = nil // the log failed: only the growing backoff applies
		}
		select {
		case <-ctx.Done():
			return
		case <-l.opts.Clock.After(wait):
		case <-flushNow:
		}
		if err := l.Flush(ctx); err != nil {
			wait = min(2*wait, maxRetryDelayMs)
		} else {
			wait = l.flushInterval()
		}
	}
}

// flushInterval returns the time between two batches. It grows with the number
// of instances, so that all of them together stay within maxAppendsPerSecond.
func (l *Ledger) flushInterval() kcclock.Millis {
	live := kcclock.Millis(len(l.opts.Peers.Live()) + 1)
	return max(l.opts.FlushIntervalMs, live*kcclock.Second/maxAppendsPerSecond)
}

// CopyToPeers sends every bill whose latest state has no copy to a peer in
// another availability zone, and tells holders which copies they can drop. It
// returns an error if bills are left without a copy.
func (l *Ledger) CopyToPeers(ctx context.Context) error {
	l.sendReleases(ctx)
	tries := 0
	for {
		peers := l.holderCandidates()
		batch := l.uncopiedBatch(peers)
		if len(batch) == 0 {
			l.setNoPeer(len(peers) == 0)
			return nil
		}
		if len(peers) == 0 || tries == maxPeerAttempts {
			l.setNoPeer(true)
			return errNoPeer
		}
		if err := l.sendCopies(ctx, peers[0], batch); err != nil {
			tries++
		}
	}
}

// Flush writes every ended bill to the log, and also the opened bills that no
// peer holds. Bills whose append failed stay pending. If the answer of an
// append is lost, a bill is written twice; readers drop the second record.
func (l *Ledger) Flush(ctx context.Context) error {
	var firstErr error
	for stream, bills := range l.unloggedByStream() {
		for batch := range slices.Chunk(bills, maxBatchBills) {
			if err := l.appendBatch(ctx, stream, batch); err != nil {
				firstErr = cmp.Or(firstErr, err)
				break
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logDown = firstErr != nil
	l.notifyWaiters()
	return firstErr
}

func (l *Ledger) appendBatch(ctx context.Context, stream string, bills []Bill) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeoutMs.Duration())
	defer cancel()
	if _, err := l.opts.Log.Append(ctx, stream, billRecords(bills)); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range bills {
		e, ok := l.pending[b.RequestID]
		if !ok {
			continue
		}
		e.loggedBill = b
		if b.State.isFinal() && b.State == e.bill.State {
			l.removeLogged(e)
		}
	}
	l.notifyWaiters()
	return nil
}

func billRecords(bills []Bill) []kclog.NewRecord {
	recs := make([]kclog.NewRecord, 0, len(bills))
	for _, b := range bills {
		recs = append(recs, b.Record())
	}
	return recs
}

func (l *Ledger) unloggedByStream() map[string][]Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][]Bill)
	for _, id := range slices.Sorted(maps.Keys(l.pending)) {
		e := l.pending[id]
		if e.loggedBill.State == e.bill.State || e.bill.State == Opened && e.holderID != "" {
			continue
		}
		stream := Stream(e.bill.Group, l.opts.Shards)
		out[stream] = append(out[stream], e.bill)
	}
	return out
}

// holderCandidates returns the peers that can hold copies, the preferred one
// first: peers in the same region come before others. Rendezvous hashing
// spreads the senders over the peers and keeps each sender at the same holder.
func (l *Ledger) holderCandidates() []kcmember.Member {
	live := l.opts.Peers.Live()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	live = slices.DeleteFunc(live, func(p kcmember.Member) bool {
		failed, ok := l.peerFailedAt[p.ID]
		return p.Zone == l.opts.Zone || ok && now < failed+peerBackoffMs
	})
	slices.SortFunc(live, func(a, b kcmember.Member) int {
		otherRegion := func(p kcmember.Member) int {
			if p.Region == l.opts.Region {
				return 0
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(otherRegion(a), otherRegion(b)),
			cmp.Compare(kcset.RendezvousHash(l.opts.Instance, b.ID), kcset.RendezvousHash(l.opts.Instance, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return live
}

// uncopiedBatch returns a batch of bills whose latest state neither a usable
// peer nor the log holds.
func (l *Ledger) uncopiedBatch(peers []kcmember.Member) []Bill {
	usable := kcset.New[string]()
	for _, p := range peers {
		usable.Add(p.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLostHolders(usable)
	var batch []Bill
	for _, id := range kcset.Sorted(l.uncopied) {
		e := l.pending[id]
		if e.holderID != "" && e.copiedBill.State == e.bill.State || e.loggedBill.State == e.bill.State {
			l.uncopied.Remove(id)
			continue
		}
		if batch = append(batch, e.bill); len(batch) == maxBatchBills {
			break
		}
	}
	return batch
}

// resetLostHolders marks the bills whose holder is no longer usable for a new
// copy. The caller holds l.mu.
func (l *Ledger) resetLostHolders(usable kcset.Set[string]) {
	names := strings.Join(kcset.Sorted(usable), "\n")
	if names == l.usablePeers {
		return
	}
	l.usablePeers = names
	for id, e := range l.pending {
		if e.holderID != "" && !usable.Has(e.holderID) {
			e.holderID = ""
			l.uncopied.Add(id)
		}
	}
}

func (l *Ledger) sendCopies(ctx context.Context, p kcmember.Member, batch []Bill) error {
	l.mu.Lock()
	for _, b := range batch {
		// A message that failed may still have arrived. The holder is recorded first,
		// so that the copy is released later.
		if e, ok := l.pending[b.RequestID]; ok {
			e.possibleHolders[p.ID] = p
		}
	}
	l.mu.Unlock()
	err := l.opts.Peers.Hold(ctx, p, l.opts.Instance, batch)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.peerFailedAt[p.ID] = l.opts.Clock.Now()
		return err
	}
	delete(l.peerFailedAt, p.ID)
	for _, b := range batch {
		if e, ok := l.pending[b.RequestID]; ok {
			e.holderID, e.copiedBill = p.ID, b
		}
	}
	l.notifyWaiters()
	return nil
}

func (l *Ledger) sendReleases(ctx context.Context) {
	l.mu.Lock()
	queued := l.releases
	l.releases = make(map[string]*peerRelease)
	l.mu.Unlock()
	for _, r := range queued {
		// A lost release only causes one repeated record, so it is not retried.
		_ = l.opts.Peers.Release(ctx, r.peer, l.opts.Instance, r.ids)
	}
}

func (l *Ledger) setNoPeer(noPeer bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noPeer = noPeer
}

// Drain makes every bill durable before a planned stop: in the log, or at a
// peer that appends it once this instance is gone. All copies are sent again,
// because a holder may have failed unnoticed. Drain retries until ctx ends.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		l.markAllUncopied()
		flushErr := l.Flush(ctx)
		copyErr := l.CopyToPeers(ctx)
		if flushErr == nil || copyErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(flushErr, copyErr)
		case <-l.opts.Clock.After(l.opts.FlushIntervalMs):
		}
	}
}

func (l *Ledger) markAllUncopied() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.pending {
		e.holderID = ""
		l.uncopied.Add(id)
	}
}
