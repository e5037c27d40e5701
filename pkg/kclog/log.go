// Package kclog is the client of the platform's append-only log service.
package kclog

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Errors of Log.
var (
	// ErrUnavailable means that the log is down and nothing was appended.
	ErrUnavailable = errors.New("log: unavailable, nothing was appended")
	// ErrAnswerLost means that the append may have taken effect.
	ErrAnswerLost = errors.New("log: answer lost, the append may have taken effect")
)

// NewRecord is a record that is not yet in the log.
type NewRecord struct {
	// ID is unique to the record; a repeated append carries the same ID.
	ID string `json:"id"`
	// Kind is the type of Body.
	Kind string `json:"kind"`
	// Body is a JSON object.
	Body json.RawMessage `json:"body"`
}

// Record is a record in the log. A record that was appended twice has two
// offsets and one ID; readers use the first.
type Record struct {
	// Offset grows by one per record of a stream and starts at 0.
	Offset int64 `json:"offset"`
	// AppendedAt is the time of the append by the clock of the log service.
	AppendedAt kcclock.Millis `json:"appendedAtMs"`
	NewRecord
}

// Page is a sequence of consecutive records.
type Page struct {
	Records []Record `json:"records"`
	// FirstOffset is the oldest offset that is retained.
	FirstOffset int64 `json:"firstOffset"`
	// EndOffset is the offset that the next record will get.
	EndOffset int64 `json:"endOffset"`
	// Now is the current time by the clock of the log service.
	Now kcclock.Millis `json:"nowMs"`
}

// Log appends to streams and reads them.
type Log interface {
	// Append adds recs to stream and returns the offset of the first. The
	// error is or wraps ErrUnavailable or ErrAnswerLost.
	Append(ctx context.Context, stream string, recs []NewRecord) (int64, error)
	// Read returns at most limit records, starting at offset from. It waits up
	// to wait milliseconds if there are none yet. A read below the oldest
	// retained offset starts at that offset.
	Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (Page, error)
}

// Encode returns a record of the given kind with body as JSON. It panics if
// body cannot be encoded, which is a programming error of the caller.
func Encode(id, kind string, body any) NewRecord {
	b, err := json.Marshal(body)
	if err != nil {
		panic("log: record kind " + kind + " cannot be encoded: " + err.Error())
	}
	return NewRecord{ID: id, Kind: kind, Body: b}
}
