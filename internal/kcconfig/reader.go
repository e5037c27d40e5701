package kcconfig

import (
	"bytes"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Bounds of the recent records that are kept for peers.
const (
	maxRecentRecords = 1000
	maxRecentBytes   = 1 << 20
)

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	Clock   kcclock.Clock
	Log     *slog.Logger
	Metrics *kcmetric.Registry
	Store   kclog.Log
	// Base is the lowest layer: the rules of the settings file.
	Base kcrules.Rules
	// InstanceID and Zone are the id and the availability zone of this instance.
	InstanceID string
	Zone       string
	// InstanceZones returns the availability zones of all entry instances on the
	// list by instance id. It includes this instance if the list does.
	InstanceZones func() map[string]string
	// WritesSnapshots reports whether this instance writes snapshots. Several
	// concurrent writers are safe. Nil means that it writes none.
	WritesSnapshots func() bool
	// SnapshotIntervalMs is the time between two snapshots. It must be well below
	// the retention of the log.
	SnapshotIntervalMs kcclock.Millis
	// OnFolded is called for every folded change, in log order.
	OnFolded func(kclog.Record, FoldResult)
}

// Reader folds the configuration stream and provides the rules in force. Its
// position never moves back: a record, snapshot or state older than what it has
// folded has no effect.
type Reader struct {
	opts    ReaderOptions
	rules   atomic.Pointer[kcrules.Rules]
	tracker freshnessTracker

	// timeoutMs bounds the next read of the log.
	timeoutMs kcclock.Millis

	mu            sync.Mutex
	state         *State
	changed       chan struct{}
	recent        []recentRecord // consecutive, the last one is at state.NextOffset-1
	recentBytes   int
	logNextOffset int64 // the next offset to read from the log
	// pendingRecords holds records of a trimmed log until a snapshot provides the
	// state to fold them into.
	pendingRecords []kclog.Record
	// logState is folded from the log alone while the state is not verified against
	// the log: after a whole state came from a peer, or after a relayed record
	// turned out to differ from the log. It is nil otherwise.
	logState     *State
	rebuildRules bool // the rules in force must be rebuilt from the whole state
	// changedKeys are the keys whose values in force are older than in the state.
	changedKeys []string
	// snapshotOffset is the offset of the newest snapshot seen, or -1 if none was
	// seen. snapshotSeenAt is the time of the newest snapshot or of the last
	// attempt to write one.
	snapshotOffset int64
	snapshotSeenAt kcclock.Millis
	logFirstOffset int64
}

type recentRecord struct {
	kclog.Record
	hashBefore uint64 // chain hash before the record
}

// NewReader returns a reader that has folded no record.
func NewReader(opts ReaderOptions) *Reader {
	if opts.Metrics == nil {
		opts.Metrics = kcmetric.New()
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.InstanceZones == nil {
		opts.InstanceZones = func() map[string]string { return nil }
	}
	r := &Reader{opts: opts, state: NewState(), changed: make(chan struct{}), snapshotOffset: -1, timeoutMs: readTimeoutMs}
	r.tracker.init()
	base := cloneRules(opts.Base)
	r.rules.Store(&base)
	return r
}

// Rules returns the rules in force. The caller must not modify them.
func (r *Reader) Rules() *kcrules.Rules { return r.rules.Load() }

// Changed returns a channel that is closed when further records have been
// folded.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Position returns the next offset to fold and the offset of the last accepted
// change, or NoRevision.
func (r *Reader) Position() (next, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.NextOffset, r.state.Revision
}

// RevisionOf returns the current revision of the key, which an update of the
// key must be based on.
func (r *Reader) RevisionOf(key string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.RevisionOf(key)
}

// Snapshot returns the folded state.
func (r *Reader) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot()
}

// logPosition returns the next offset to read from the log.
func (r *Reader) logPosition() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logNextOffset
}

// applyPage folds a page that was read from the log at logPosition. askedAt is
// the time before the read was sent.
func (r *Reader) applyPage(p kclog.Page, askedAt kcclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.EndOffset < r.logNextOffset {
		// The answer comes from a replica of the log that lags behind.
		r.opts.Metrics.Count("config.logWentBack")
		return
	}
	r.logFirstOffset = max(r.logFirstOffset, p.FirstOffset)
	if r.logNextOffset < p.FirstOffset {
		// If the state ends before this offset, a snapshot must cover the gap.
		r.logNextOffset, r.pendingRecords = p.FirstOffset, nil
	}
	for _, rec := range p.Records {
		if rec.Offset != r.logNextOffset {
			r.opts.Metrics.Count("config.logGap")
			break
		}
		r.logNextOffset++
		if rec.Kind == KindSnapshot {
			r.snapshotOffset, r.snapshotSeenAt = rec.Offset, askedAt-max(p.Now-rec.AppendedAt, 0)
		}
		r.applyLogRecord(rec)
	}
	r.tracker.recordFolded(r.state.NextOffset)
	if r.logNextOffset >= p.EndOffset && r.state.NextOffset >= p.EndOffset && r.logState == nil && len(r.pendingRecords) == 0 {
		r.tracker.recordEndRead(askedAt, p.EndOffset)
	}
	r.publishRules()
}

// applyLogRecord applies the record at logNextOffset-1 from the log.
func (r *Reader) applyLogRecord(rec kclog.Record) {
	target := r.state
	if r.logState != nil {
		target = r.logState
	}
	switch {
	case rec.Offset < target.NextOffset:
		r.compareWithLog(rec)
	case rec.Offset > target.NextOffset:
		r.collectTrimmed(rec, target)
	case r.logState != nil:
		r.logState.Fold(rec)
	default:
		r.fold(rec)
	}
	r.reconcileWithLog()
}

// reconcileWithLog ends the verification of a state that came from peers, once
// logState has been folded as far as the state. If they differ, the log is
// authoritative.
func (r *Reader) reconcileWithLog() {
	if r.logState == nil || r.logState.NextOffset < r.state.NextOffset {
		return
	}
	if r.logState.NextOffset > r.state.NextOffset {
		r.replaceState(r.logState)
	} else if !bytes.Equal(mustEncode(r.logState.Snapshot()), mustEncode(r.state.Snapshot())) {
		r.opts.Metrics.Count("config.relayDiffers")
		r.opts.Log.Error("configRelayDiffers", "offset", r.state.NextOffset)
		r.replaceState(r.logState)
	}
	r.logState = nil
}

// compareWithLog compares a record of the log with the one that was folded
// before at the same offset. If they differ, the log is folded again from its
// first offset.
func (r *Reader) compareWithLog(rec kclog.Record) {
	first := r.state.NextOffset - int64(len(r.recent))
	if r.logState != nil || rec.Offset < first {
		return
	}
	relayed := r.recent[rec.Offset-first]
	if extendChainHash(relayed.hashBefore, rec) == extendChainHash(relayed.hashBefore, relayed.Record) {
		return
	}
	r.opts.Metrics.Count("config.relayDiffers")
	r.opts.Log.Error("configRelayDiffers", "offset", rec.Offset)
	r.logState, r.logNextOffset, r.pendingRecords = NewState(), r.logFirstOffset, nil
}

// collectTrimmed collects records of a trimmed log until one of them is a
// snapshot that covers all offsets before the first of them. It then folds the
// records after the snapshot's state.
func (r *Reader) collectTrimmed(rec kclog.Record, target *State) {
	r.pendingRecords = append(r.pendingRecords, rec)
	if rec.Kind != KindSnapshot {
		return
	}
	snap, ok := usableSnapshot(rec, r.pendingRecords[0].Offset)
	if !ok || snap.NextOffset <= target.NextOffset {
		return
	}
	state, err := StateFromSnapshot(snap)
	if err != nil {
		r.opts.Log.Error("configSnapshotUnusable", "offset", rec.Offset, "error", err)
		return
	}
	records := r.pendingRecords
	r.pendingRecords = nil
	if r.logState != nil {
		r.logState = state
	} else {
		r.replaceState(state)
	}
	for _, rec := range records {
		switch {
		case rec.Offset < state.NextOffset:
		case r.logState != nil:
			state.Fold(rec)
		default:
			r.fold(rec)
		}
	}
}

// foldPendingRecords folds the pending records of a trimmed log once peers have
// provided the records before them.
func (r *Reader) foldPendingRecords() {
	if r.logState != nil || len(r.pendingRecords) == 0 || r.state.NextOffset < r.pendingRecords[0].Offset {
		return
	}
	records := r.pendingRecords
	r.pendingRecords = nil
	for _, rec := range records {
		if r.logState == nil && rec.Offset == r.state.NextOffset {
			r.fold(rec)
		} else {
			r.compareWithLog(rec)
		}
	}
}

// replaceState replaces the state as a whole.
func (r *Reader) replaceState(s *State) {
	r.state, r.recent, r.recentBytes, r.rebuildRules = s, nil, 0, true
}

func (r *Reader) fold(rec kclog.Record) {
	before := r.state.ChainHash
	v := r.state.Fold(rec)
	if rec.Kind == KindChange {
		r.changedKeys = append(r.changedKeys, v.Keys...)
		r.reportFold(rec, v)
	}
	r.recent = append(r.recent, recentRecord{rec, before})
	r.recentBytes += len(rec.Body)
	for len(r.recent) > maxRecentRecords || (r.recentBytes > maxRecentBytes && len(r.recent) > 1) {
		r.recentBytes -= len(r.recent[0].Body)
		r.recent = r.recent[1:]
	}
}

func (r *Reader) reportFold(rec kclog.Record, v FoldResult) {
	if v.Accepted {
		r.opts.Metrics.Count("config.accepted")
		r.opts.Log.Info("configAccepted", "offset", rec.Offset, "change", rec.ID)
	} else {
		r.opts.Metrics.Count("config.rejected")
		r.opts.Log.Info("configRejected", "offset", rec.Offset, "change", rec.ID, "reason", v.Reason)
	}
	if r.opts.OnFolded != nil {
		r.opts.OnFolded(rec, v)
	}
}

// publishRules puts the rules in force if they have changed and notifies the
// watchers of Changed.
func (r *Reader) publishRules() {
	if r.rebuildRules || len(r.changedKeys) > 0 {
		rules, err := r.computeRules()
		r.rebuildRules, r.changedKeys = false, nil
		if err != nil {
			// Not expected: every entry was decoded when it was accepted.
			r.opts.Log.Error("configNotApplied", "error", err)
			return
		}
		r.rules.Store(&rules)
	}
	r.tracker.recordFolded(r.state.NextOffset)
	close(r.changed)
	r.changed = make(chan struct{})
}

// computeRules returns the rules that the state puts in force. If the state was
// only folded further, only the values of changed keys are decoded.
func (r *Reader) computeRules() (kcrules.Rules, error) {
	if r.rebuildRules {
		rules := cloneRules(r.opts.Base)
		return rules, applyEntries(&rules, r.state.entries)
	}
	rules := cloneRules(*r.rules.Load())
	for _, key := range r.changedKeys {
		if err := setKey(&rules, key, r.state.entries[key].Value); err != nil {
			return rules, fmt.Errorf("%s: %w", key, err)
		}
	}
	return rules, nil
}
