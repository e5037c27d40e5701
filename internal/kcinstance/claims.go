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
	// claimBatchDelayMs is how long a claim waits for others of its shard.
	claimBatchDelayMs = 5
	// claimAppendBurst is the number of appends that an instance may do at once: one
	// per shard of claims and bills.
	claimAppendBurst = 16
)

func (i *Instance) newClaimer(metrics *kcmetric.Registry) *kcclaim.Claimer {
	return kcclaim.NewClaimer(kcclaim.ClaimerOptions{
		Log: kclog.NewGuard(kclog.GuardOptions{
			Log: i.opts.RecordLog, Clock: i.opts.Clock, Outage: func() { metrics.Count("log.outages") },
		}),
		Clock: i.opts.Clock, Instance: i.opts.Settings.Instance.ID, Shards: i.opts.Settings.Timing.Shards,
		Budget:  kclog.NewBudget(i.opts.Clock, claimAppendBurst, i.claimAppendsPerSecond),
		BatchMs: claimBatchDelayMs, WindowMs: i.opts.Settings.Timing.ClaimWindowMs, Count: metrics.Count, Live: i.isListed,
	})
}

// claimAppendsPerSecond returns the appends a second that this instance may spend on
// claims and outcomes.
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

// isListed reports whether an entry instance is on the list, leaving or not.
func (i *Instance) isListed(id string) bool {
	return id == i.opts.Settings.Instance.ID ||
		slices.ContainsFunc(i.directory.Entries(), func(m kcmember.Member) bool { return m.ID == id })
}

func withClaimHandler(h kcpeer.Handlers, claimer *kcclaim.Claimer) kcpeer.Handlers {
	if h.Claims == nil {
		h.Claims = claimer
	}
	return h
}
