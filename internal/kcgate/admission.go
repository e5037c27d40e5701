package kcgate

import (
	"cmp"
	"context"

	"github.com/kingcuprail/kingcuprail/internal/kcadmit"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

func newAdmission(opts Options, upstreams *Upstreams) *kcadmit.Admission {
	return kcadmit.NewAdmission(kcadmit.AdmissionOptions{
		Enabled: opts.Deployment.Overload, Clock: opts.Clock, Log: opts.Log, Metrics: opts.Metrics, Senders: upstreams.senders,
		Room: func(service string) kcroom.Room { return upstreams.Room(service, nil) },
	})
}

// senders returns the number of listed instances of the region.
func (l *Upstreams) senders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peerZones) + 1
}

// awaitAdmission waits until the request may be sent to an upstream. again is true
// after an upstream had no room for it. It reports whether it may be sent; if not,
// it has been answered.
func (x *exchange) awaitAdmission(ctx context.Context, model string, tried kcset.Set[string], again bool) bool {
	// A request that may have run is not held: a refusal after the wait would have to
	// promise that it has not.
	// One that only other regions may run does not compete for the room of this one.
	if x.g.Admission == nil || x.attempts.mayHaveRun() || !x.regions.Allow(x.g.Upstreams.region) {
		return true
	}
	t := x.g.Admission.Await(ctx, x.service, x.meta.ID, x.admissionRequest(model, again))
	if ctx.Err() != nil || t.Decision == kcadmit.Refused {
		x.fail(ctx, t.Reason, t.RetryAfterMs)
		return false
	}
	if t.WaitedMs == 0 {
		return true
	}
	// While the request waited, its key may have been withdrawn, and the upstreams
	// that were full may have room.
	clear(tried)
	x.table = x.g.Table()
	_, fresh := x.g.keysFresh()
	return x.checkKey(fresh)
}

// admissionRequest returns what admission has to know about the request.
func (x *exchange) admissionRequest(model string, again bool) kcadmit.Request {
	p := x.promptFor(model)
	return kcadmit.Request{
		Workspace: x.workspace, Kind: x.route.Name, Urgency: x.rank, Prompt: p.Tokens > 0,
		CostMs:      p.MsPerToken * float64(p.Tokens),
		ObjectiveMs: cmp.Or(x.route.LatencyObjectiveMs, -1),
		ObjectiveAt: x.receivedAt + cmp.Or(x.route.LatencyObjectiveMs, x.deadline-x.receivedAt), DeadlineAt: x.deadline,
		PatienceUntil: x.receivedAt + x.meta.CallerTimeoutMs, Bytes: int64(len(x.body)), Again: again,
	}
}

// fullRetryAfter returns when the caller should return if all upstreams are full.
// rejected is true if an upstream has just said so.
func (x *exchange) fullRetryAfter(rejected bool) kcclock.Millis {
	if x.g.Admission == nil {
		return upstreamsFullRetryMs
	}
	return x.g.Admission.RetryAfter(x.service, x.admissionRequest(x.meta.Model, rejected))
}
