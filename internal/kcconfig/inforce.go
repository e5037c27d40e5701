package kcconfig

import (
	"context"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// exchangeTimeoutMs bounds one Exchange call to an instance.
const exchangeTimeoutMs = kcclock.Second

// InForceResult tells when an instance was first seen to apply a change.
type InForceResult struct {
	Member kcmember.Member
	// AfterMs is the time from the start of the wait to the first answer that shows
	// the change in force, or -1 if there was no such answer.
	AfterMs kcclock.Millis
	// Err is the error of the last failed call, if AfterMs is -1.
	Err error
}

// AwaitInForce polls the entry instances among members until all of them have
// folded the record at offset, or ctx ends.
func AwaitInForce(
	ctx context.Context, clock kcclock.Clock, node *kcpeer.Node, members []kcmember.Member, offset int64,
) []InForceResult {
	var out []InForceResult
	for _, m := range members {
		if m.Role == kcmember.RoleEntry && !m.Leaving {
			out = append(out, InForceResult{Member: m, AfterMs: -1})
		}
	}
	started := clock.Now()
	done := make(chan struct{}, len(out))
	for n := range out {
		go func() {
			out[n].awaitOffset(ctx, clock, node, started, offset)
			done <- struct{}{}
		}()
	}
	for range out {
		<-done
	}
	return out
}

func (f *InForceResult) awaitOffset(
	ctx context.Context, clock kcclock.Clock, node *kcpeer.Node, started kcclock.Millis, offset int64,
) {
	for {
		var d *kcpeer.Digest
		err := node.Call(ctx, f.Member, exchangeTimeoutMs, func(ctx context.Context, p kcpeer.Peer) (err error) {
			d, err = p.Exchange(ctx, &kcpeer.Digest{})
			return err
		})
		if err == nil && d.ConfigOffset > offset {
			f.AfterMs, f.Err = clock.Now()-started, nil
			return
		}
		if ctx.Err() != nil {
			return
		}
		f.Err = err
		select {
		case <-ctx.Done():
			return
		case <-clock.After(retryDelayMs):
		}
	}
}
