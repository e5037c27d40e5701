package kcinstance

import (
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	// claimBatchDelayMs is how long a claim waits for other claims of its shard
	// to join its batch.
	claimBatchDelayMs = 5
	// claimAppendBurst is the burst size of the append budget: one append per
	// shard of claims and bills.
	claimAppendBurst = 16
)

func (i *Instance) newClaimer(metrics *kcmetric.Registry) *kcclaim.Claimer {
	return kcclaim.NewClaimer(kcclaim.ClaimerOptions{
		Log: kclog.NewGuard(kclog.GuardOptions{
			Log: i.opts.RecordLog, Clock: i.opts.Clock, Outage: func() { metrics.Count("log.outages") },
		}),
		Clock: i.opts.Clock, Instance: i.opts.Settings.Instance.ID, Shards: i.opts.Settings.Timing.Shards,
		Budget:       kclog.NewBudget(i.opts.Clock, claimAppendBurst, i.claimAppendsPerSecond),
		BatchDelayMs: claimBatchDelayMs, WindowMs: i.opts.Settings.Timing.ClaimWindowMs, CountEvent: metrics.Count,
		IsListed: i.isListed,
	})
}

// claimAppendsPerSecond returns the rate of appends that this instance may use
// for claims and outcomes.
func (i *Instance) claimAppendsPerSecond() float64 {
	live := i.node.LiveInstances()
	shards := i.opts.Settings.Timing.Shards
	owned := 0
	for n := range shards {
		if kcset.Owner(kcclaim.Stream(n), live) == i.opts.Settings.Instance.ID {
			owned++
		}
	}
	return kcclaim.AppendsPerSecond(len(live), owned, shards)
}

// isListed reports whether an entry instance is on the member list, leaving or
// not. This instance always counts as listed.
func (i *Instance) isListed(id string) bool {
	return id == i.opts.Settings.Instance.ID ||
		slices.ContainsFunc(i.directory.EntryInstances(), func(m kcmember.Member) bool { return m.ID == id })
}

func withClaimHandler(h kcpeer.Handlers, claimer *kcclaim.Claimer) kcpeer.Handlers {
	if h.Claims == nil {
		h.Claims = claimer
	}
	return h
}
