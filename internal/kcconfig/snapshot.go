package kcconfig

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// maxRecordsPerSnapshot bounds the records that a new reader has to fold.
const maxRecordsPerSnapshot = 1000

// usableSnapshot decodes a snapshot record. It is usable if every offset from
// Through on is still in the log, that is from first on.
func usableSnapshot(rec kclog.Record, first int64) (Snapshot, bool) {
	var snap Snapshot
	if err := json.Unmarshal(rec.Body, &snap); err != nil {
		return snap, false
	}
	return snap, snap.NextOffset >= first && snap.NextOffset <= rec.Offset
}

// snapshotDue returns the snapshot to write now, if any.
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
	// The newest snapshot is near the end of its retention, or gone.
	trimmed := r.snapshotOffset < r.logFirstOffset && r.logFirstOffset > 0
	intervalElapsed := now-r.snapshotSeenAt >= r.opts.SnapshotIntervalMs
	if (!intervalElapsed && !trimmed && records < maxRecordsPerSnapshot) || !r.opts.WritesSnapshots() {
		return Snapshot{}, false
	}
	// A failed append is tried again after a while, not at once.
	if !intervalElapsed && now-r.snapshotSeenAt < kcclock.Second {
		return Snapshot{}, false
	}
	r.snapshotSeenAt = now
	return r.state.Snapshot(), true
}

// writeSnapshot appends a snapshot if one is due. Changes that are appended at
// the same time stand after Through and are replayed by every reader. A lost
// answer does no harm: a second snapshot is as good.
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
