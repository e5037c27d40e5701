package kcedge

import (
	"context"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// awareMs is the time in which the platform notices that an instance is
	// not ready: two checks, one a second, and a little.
	awareMs = 2300 * kcclock.Millisecond
	// lastMs is left of the grace period for the end of the process.
	lastMs = 400 * kcclock.Millisecond
)

// leave reports not ready, lets new connections end, and waits for the running
// requests within the grace period.
func (e *Edge) leave() {
	clock := kcclock.Boot{}
	began := clock.Now()
	e.gate.StartDraining()
	e.Log.Info("stopping", "running", e.gate.InFlight(), "graceMs", e.Deployment.Bounds.GraceMs)
	_ = kcclock.Wait(context.Background(), clock, min(awareMs, e.Deployment.Bounds.GraceMs/2))
	e.gate.StopAccepting()
	e.conns.closeIdle(1)
	left := e.Deployment.Bounds.GraceMs - lastMs - (clock.Now() - began)
	ctx, cancel := kcclock.WithTimeout(context.Background(), clock, left)
	defer cancel()
	e.gate.Drain(ctx)
	e.conns.closeIdle(1)
}
