package kcjob

import (
	"context"
	"runtime"
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// answerLosingLog loses the response to the first append and is unavailable
// from then on.
type answerLosingLog struct {
	kclog.Log
	appends int
}

func (l *answerLosingLog) Append(context.Context, string, []kclog.NewRecord) (int64, error) {
	if l.appends++; l.appends == 1 {
		return 0, kclog.ErrAnswerLost
	}
	return 0, kclog.ErrUnavailable
}

// emptyLedger is a ledger that is never full.
type emptyLedger struct{ Ledger }

func (emptyLedger) Full() bool { return false }

// Guards against a caller that waits without limit for its job to be accepted,
// because the log became unavailable after the response to an append was lost.
func TestSubmitEndsWhileTheLogIsDown(t *testing.T) {
	clock := kcclock.NewManual(0)
	q := NewQueue(Options{Log: &answerLosingLog{}, Clock: clock, Shards: 1, MaxQueued: 10, Ledger: emptyLedger{}})
	done := make(chan *kcapi.Error, 1)
	go func() {
		_, err := q.Submit(context.Background(), Job{ID: "j", RequestID: "r"}, false)
		done <- err
	}()
	for {
		select {
		case err := <-done:
			if err == nil || err.Execution != kcapi.Unknown {
				t.Errorf("error %+v, want execution unknown", err)
			}
			return
		default:
			clock.Advance(appendRetryMs)
			runtime.Gosched()
		}
	}
}
