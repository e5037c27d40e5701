package kcclaim

import (
	"encoding/binary"
	"fmt"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	hashBytes = 8
	// hashesPerPart keeps the size of an expired record near 64 KiB.
	hashesPerPart = 6000
)

// foldExpired moves the listed keys from held to expired.
func (b *ShardState) foldExpired(r kclog.Record, e ExpiredKeys) {
	listed := kcset.New[uint64]()
	for h := e.Hashes; len(h) >= hashBytes; h = h[hashBytes:] {
		listed.Add(binary.BigEndian.Uint64(h))
	}
	for h := range listed {
		b.expiredKeys.Add(h)
	}
	for _, held := range b.entriesByOffset {
		if held.Offset < e.EndOffset && listed.Has(held.Holder.hash()) && b.entries[held.Holder.String()] == held {
			delete(b.entries, held.Holder.String())
		}
	}
	if e.Checkpoint != b.checkpointID {
		b.checkpointID, b.checkpointParts = e.Checkpoint, kcset.New[int]()
	}
	b.checkpointParts.Add(e.Part)
	if len(b.checkpointParts) == e.Parts {
		b.checkpointAt = r.AppendedAt
		b.historyCovered = b.historyCovered || e.EndOffset >= b.firstOffset
	}
}

// CheckpointRecords returns records that list every expired key, so that the
// keys outlive the trimming of their claims. It returns none if the newest
// checkpoint is younger than half of the window, or if the history of this
// state is not covered, because it may then lack expired keys.
func (b *ShardState) CheckpointRecords(id string) []kclog.NewRecord {
	if !b.historyCovered || b.nextOffset == 0 || b.logNow < b.checkpointAt+b.opts.WindowMs/2 {
		return nil
	}
	endOffset, hashes := b.nextOffset, kcset.New[uint64]()
	for h := range b.expiredKeys {
		hashes.Add(h)
	}
	for _, e := range b.entriesByOffset {
		if e.ClaimedAt+b.opts.WindowMs >= b.logNow {
			endOffset = e.Offset
			break
		}
		if _, timed := e.Holder.createdAt(); !timed && b.entries[e.Holder.String()] == e {
			hashes.Add(e.Holder.hash())
		}
	}
	sorted := kcset.Sorted(hashes)
	parts := max((len(sorted)+hashesPerPart-1)/hashesPerPart, 1)
	var recs []kclog.NewRecord
	for part := range parts {
		body := ExpiredKeys{Checkpoint: id, Part: part, Parts: parts, EndOffset: endOffset}
		for _, h := range sorted[part*hashesPerPart : min((part+1)*hashesPerPart, len(sorted))] {
			body.Hashes = binary.BigEndian.AppendUint64(body.Hashes, h)
		}
		recs = append(recs, kclog.Encode(fmt.Sprintf("expired-%s-%d", id, part), KindExpired, body))
	}
	return recs
}
