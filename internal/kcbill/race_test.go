package kcbill

import (
	"context"
	"errors"
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// hookLog calls onAppend before each append.
type hookLog struct {
	kclog.Log
	onAppend func()
}

func (l hookLog) Append(ctx context.Context, stream string, recs []kclog.NewRecord) (int64, error) {
	l.onAppend()
	return l.Log.Append(ctx, stream, recs)
}

// Guards against a voided bill that is dropped, because the append of its
// closed record ends after the answer was withheld.
func TestVoidDuringAppend(t *testing.T) {
	w := newCluster(1)
	w.start("a", "z1")
	l := w.nodes["a"].ledger
	id, err := w.open("a", true, 5)
	if err != nil {
		t.Fatal(err)
	}
	l.Close(id, "", 5, kcapi.Completed)
	l.opts.Log = hookLog{w.log, func() { l.Void(id) }}
	for range 2 {
		if err := l.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if b, _ := w.readIndex().Lookup(id); b.State != Voided || l.Pending() != 0 {
		t.Errorf("bill %+v, %d pending", b, l.Pending())
	}
}

// Guards against a stopping instance that accepts a copy after it has handed
// over its copies, so that the copy is lost.
func TestStoppingHolderTakesNoCopies(t *testing.T) {
	w := newCluster(1)
	w.start("a", "z1")
	h := w.nodes["a"].holder
	if err := h.HandOver(t.Context(), noPeers{}); err != nil {
		t.Fatal(err)
	}
	if err := h.Hold("b", []Bill{{RequestID: "q"}}); !errors.Is(err, ErrHolderFull) || h.CopyCount() != 0 {
		t.Errorf("error %v, %d copies", err, h.CopyCount())
	}
}
