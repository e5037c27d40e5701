package kcedge

import (
	"context"
	"net/http"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// notReadyNoticeMs is the time in which the platform notices that an instance
	// is not ready: two checks, one a second, plus a margin.
	notReadyNoticeMs = 2300 * kcclock.Millisecond
	// exitReserveMs is the part of the grace period that is reserved for the exit
	// of the process.
	exitReserveMs = 400 * kcclock.Millisecond
	// lastAnswersMs is a part of exitReserveMs. It bounds the wait for the answers to
	// the requests that are ended, and the one for refusals that are still written.
	lastAnswersMs = 150 * kcclock.Millisecond
)

// closeServers closes the listeners. A request that was read a moment before still
// gets its answer, which is a refusal by now.
func (e *Edge) closeServers(servers []*http.Server) {
	ctx, cancel := kcclock.WithTimeout(context.Background(), kcclock.Boot{}, lastAnswersMs)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) == nil {
			continue
		}
		if err := s.Close(); err != nil {
			e.Log.Warn("cannot close listener", "error", err)
		}
	}
}

// shutDown reports not ready, waits until the platform has noticed, stops
// accepting requests, and waits for the running ones within the grace period. Those
// that run for longer are answered before the process ends.
func (e *Edge) shutDown() {
	clock := kcclock.Boot{}
	began := clock.Now()
	e.gate.StartDraining()
	e.Log.Info("stopping", "running", e.gate.InFlight(), "graceMs", e.Deployment.Bounds.GraceMs)
	_ = kcclock.Wait(context.Background(), clock, min(notReadyNoticeMs, e.Deployment.Bounds.GraceMs/2))
	e.gate.StopAccepting()
	e.conns.closeIdle(1)
	left := e.Deployment.Bounds.GraceMs - exitReserveMs - (clock.Now() - began)
	ctx, cancel := kcclock.WithTimeout(context.Background(), clock, left)
	defer cancel()
	relayDrained := make(chan struct{})
	go func() {
		defer close(relayDrained)
		e.relay.Drain(ctx)
	}()
	e.gate.Drain(ctx)
	<-relayDrained
	e.gate.EndRunning()
	answers, cancelAnswers := kcclock.WithTimeout(context.Background(), clock, lastAnswersMs)
	defer cancelAnswers()
	e.gate.Drain(answers)
	e.conns.closeIdle(1)
}
