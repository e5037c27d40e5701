package kcinstance

import (
	"context"
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// flushTimeoutMs bounds the flush of outcomes and bills after the shutdown
// timeout or a second signal.
const flushTimeoutMs = 2 * kcclock.Second

// connCloseTimeoutMs bounds the wait for connections without a running request, and for
// the answers to requests that were interrupted.
const connCloseTimeoutMs = kcclock.Second

// gracefulStop reports not ready, keeps serving for the lame duck period so
// that the load balancer can notice, waits for running requests up to the
// shutdown timeout and flushes outcomes and bills. Closing Options.ForceStop
// ends the lame duck period and the wait for requests.
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
	i.entry.EndRunning()
	if left := i.jobQueue.Stop(stopCtx); left > 0 {
		i.opts.Log.Error("jobsCut", "jobs", left)
	}
	if len(interrupted) > 0 {
		i.opts.Log.Error("requestsCut", "requestIds", strings.Join(interrupted, ","))
	}
	err := i.closeCallerServer(ctx)
	err = errors.Join(err, i.flushRecords(ctx, stopCtx))
	_ = i.closeListeners()
	if len(interrupted) > 0 {
		err = errors.Join(err, errs.New("%d requests were interrupted", len(interrupted)))
	}
	if err != nil {
		return errs.New("stopped before all work was finished: %v", err)
	}
	i.opts.Log.Info("stopped")
	return nil
}

// flushRecords writes outcomes and bills, also if requests were interrupted.
// While the log is down it waits for the rest of the shutdown timeout, because
// the outcome of a request stays unknown until it is written. The flushes run
// concurrently, so that waiting for the log does not use up the time to hand
// bills over to a peer.
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
	i.entry.Drain(ctx) // waits for the handlers of interrupted requests
	i.upstreamClient.WaitBackground(ctx)
	flushes := []func() error{
		func() error { return i.claimer.FlushOutcomes(ctx) },
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

// closeCallerServer closes the caller listener. It waits until the requests that were
// interrupted have been answered. Connections that remain open after that are idle or
// have sent a part of a request, to which no response was sent.
func (i *Instance) closeCallerServer(ctx context.Context) error {
	ctx, cancel := kcclock.WithTimeout(ctx, i.opts.Clock, connCloseTimeoutMs)
	defer cancel()
	if i.callerServer.Shutdown(ctx) == nil {
		return nil
	}
	return i.callerServer.Close()
}
