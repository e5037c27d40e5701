package kcinstance

import (
	"context"
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// flushTimeoutMs is the time that the flush gets after the stop limit or a second
// signal.
const flushTimeoutMs = 2 * kcclock.Second

// connCloseTimeoutMs bounds the wait for connections without a request.
const connCloseTimeoutMs = kcclock.Second

// stop reports not ready, gives the load balancer time to notice, finishes the
// running requests within the stop limit and writes the bills. A close of
// Options.Force ends the wait.
func (i *Instance) gracefulStop(ctx context.Context) error {
	timing := i.opts.Settings.Timing
	i.entry.EnterLameDuck()
	i.opts.Log.Info("leaving", "waitMs", int64(timing.LameDuckMs))
	stopCtx, cancel := kcclock.WithTimeout(ctx, i.opts.Clock, timing.LameDuckMs+timing.ShutdownTimeoutMs)
	defer cancel()
	forced := make(chan struct{})
	go func() {
		defer close(forced)
		select {
		case <-i.opts.ForceStop:
			cancel()
		case <-stopCtx.Done():
		}
	}()
	defer func() { cancel(); <-forced }()
	if timing.LameDuckMs > 0 {
		select {
		case <-i.opts.Clock.After(timing.LameDuckMs):
		case <-stopCtx.Done():
		}
	}
	i.opts.Log.Info("stopping")
	interrupted := i.entry.Drain(stopCtx)
	if left := i.jobQueue.Stop(stopCtx); left > 0 {
		i.opts.Log.Error("jobsCut", "jobs", left)
	}
	if len(interrupted) > 0 {
		i.opts.Log.Error("requestsCut", "requestIds", strings.Join(interrupted, ","))
	}
	err := i.closeCallerServer(stopCtx, len(interrupted) > 0)
	err = errors.Join(err, i.flushRecords(ctx, stopCtx))
	_ = i.closeListeners()
	if len(interrupted) > 0 {
		err = errors.Join(err, errs.New("%d requests were cut off", len(interrupted)))
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
func (i *Instance) flushRecords(ctx, stopCtx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-stopCtx.Done():
			_ = kcclock.Wait(ctx, i.opts.Clock, flushTimeoutMs)
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() { cancel(); <-ended }()
	i.entry.Drain(ctx) // the handlers of requests that were cut
	i.upstreamClient.Wait(ctx)
	flushes := []func() error{
		func() error { return i.claimer.Flush(ctx) },
		func() error { return i.ledger.Drain(ctx) },
		func() error { return i.billHolder.HandOver(ctx, i.billPeers()) },
	}
	results := make(chan error, len(flushes))
	for _, flush := range flushes {
		go func() { results <- flush() }()
	}
	var err error
	for range flushes {
		err = errors.Join(err, <-results)
	}
	return err
}

// closeCallerServer closes the caller listener. Connections that are left after the
// requests have ended are idle or have sent a part of a request, which nobody
// has answered yet.
func (i *Instance) closeCallerServer(ctx context.Context, interrupted bool) error {
	ctx, cancel := kcclock.WithTimeout(ctx, i.opts.Clock, connCloseTimeoutMs)
	defer cancel()
	if !interrupted && i.callerServer.Shutdown(ctx) == nil {
		return nil
	}
	return i.callerServer.Close()
}
