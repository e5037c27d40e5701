package kcinstance

import (
	"context"
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// flushMs is the time that the flush gets after the stop limit or a second
// signal.
const flushMs = 2 * kcclock.Second

// closeMs bounds the wait for connections without a request.
const closeMs = kcclock.Second

// stop reports not ready, gives the load balancer time to notice, finishes the
// running requests within the stop limit and writes the bills. A close of
// Options.Force ends the wait.
func (i *Instance) stop(ctx context.Context) error {
	timing := i.opts.Settings.Timing
	i.entry.EnterLameDuck()
	i.opts.Log.Info("leaving", "waitMs", int64(timing.LeaveMs))
	limited, cancel := kcclock.WithTimeout(ctx, i.opts.Clock, timing.LeaveMs+timing.StopMs)
	defer cancel()
	forced := make(chan struct{})
	go func() {
		defer close(forced)
		select {
		case <-i.opts.Force:
			cancel()
		case <-limited.Done():
		}
	}()
	defer func() { cancel(); <-forced }()
	if timing.LeaveMs > 0 {
		select {
		case <-i.opts.Clock.After(timing.LeaveMs):
		case <-limited.Done():
		}
	}
	i.opts.Log.Info("stopping")
	cut := i.entry.Drain(limited)
	if left := i.jobs.Stop(limited); left > 0 {
		i.opts.Log.Error("jobsCut", "jobs", left)
	}
	if len(cut) > 0 {
		i.opts.Log.Error("requestsCut", "requestIds", strings.Join(cut, ","))
	}
	err := i.closeCallers(limited, len(cut) > 0)
	err = errors.Join(err, i.flush(ctx, limited))
	_ = i.close()
	if len(cut) > 0 {
		err = errors.Join(err, errs.New("%d requests were cut off", len(cut)))
	}
	if err != nil {
		return errs.New("stopped with work cut off: %v", err)
	}
	i.opts.Log.Info("stopped")
	return nil
}

// flush writes outcomes and bills, also if requests were cut. While the log is
// down it waits for what is left of the stop limit, since outcomes that are not
// written stay unknown. The parts run side by side, so that the wait for the
// log leaves time to hand bills to a peer.
func (i *Instance) flush(ctx, limited context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-limited.Done():
			_ = kcclock.Wait(ctx, i.opts.Clock, flushMs)
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() { cancel(); <-ended }()
	i.entry.Drain(ctx) // the handlers of requests that were cut
	i.upstream.WaitBackground(ctx)
	parts := []func() error{
		func() error { return i.claimer.FlushOutcomes(ctx) },
		func() error { return i.ledger.Drain(ctx) },
		func() error { return i.holder.HandOver(ctx, i.billPeers()) },
	}
	results := make(chan error, len(parts))
	for _, part := range parts {
		go func() { results <- part() }()
	}
	var err error
	for range parts {
		err = errors.Join(err, <-results)
	}
	return err
}

// closeCallers closes the caller listener. Connections that are left after the
// requests have ended are idle or have sent a part of a request, which nobody
// has answered yet.
func (i *Instance) closeCallers(ctx context.Context, cut bool) error {
	ctx, cancel := kcclock.WithTimeout(ctx, i.opts.Clock, closeMs)
	defer cancel()
	if !cut && i.caller.Shutdown(ctx) == nil {
		return nil
	}
	return i.caller.Close()
}
