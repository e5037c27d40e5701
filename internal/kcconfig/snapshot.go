package kcconfig

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// maxRecordsPerSnapshot is the number of records after a snapshot from which
// the next one is due. It limits the records that a new reader has to fold.
const maxRecordsPerSnapshot = 1000

// usableSnapshot decodes a snapshot record. It is usable if the log still holds
// every offset from NextOffset on; first is the first offset that it holds.
func usableSnapshot(rec kclog.Record, first int64) (Snapshot, bool) {
	var snap Snapshot
	if err := json.Unmarshal(rec.Body, &snap); err != nil {
		return snap, false
	}
	return snap, snap.NextOffset >= first && snap.NextOffset <= rec.Offset
}

// snapshotDue returns the snapshot to write now. It returns false if none is
// due.
func (r *Reader) snapshotDue() (Snapshot, bool) {
	if r.opts.WritesSnapshots == nil {
		return Snapshot{}, false
	}
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.NextOffset == 0 || r.logNextOffset != r.state.NextOffset {
		return Snapshot{}, false
	}
	records := r.state.NextOffset - 1 - r.snapshotOffset
	// The newest snapshot is about to be trimmed or is already gone.
	trimmed := r.snapshotOffset < r.logFirstOffset && r.logFirstOffset > 0
	intervalElapsed := now-r.snapshotSeenAt >= r.opts.SnapshotIntervalMs
	if (!intervalElapsed && !trimmed && records < maxRecordsPerSnapshot) || !r.opts.WritesSnapshots() {
		return Snapshot{}, false
	}
	// A failed append is retried after a second at the earliest.
	if !intervalElapsed && now-r.snapshotSeenAt < kcclock.Second {
		return Snapshot{}, false
	}
	r.snapshotSeenAt = now
	return r.state.Snapshot(), true
}

// writeSnapshot appends a snapshot if one is due. Changes that are appended at
// the same time have offsets from NextOffset on, and every reader folds them
// after the snapshot. A lost answer does no harm, because a second snapshot is
// equivalent.
func (r *Reader) writeSnapshot(ctx context.Context) {
	snap, ok := r.snapshotDue()
	if !ok {
		return
	}
	ctx, cancel := kcclock.WithTimeout(ctx, r.opts.Clock, readTimeoutMs)
	defer cancel()
	rec := kclog.Encode(rand.Text(), KindSnapshot, snap)
	if _, err := r.opts.Store.Append(ctx, Stream, []kclog.NewRecord{rec}); err != nil {
		r.opts.Log.Warn("configSnapshotNotWritten", "error", err)
	}
}
