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
	// claimBatchMs is how long a claim waits for others of its shard.
	claimBatchMs = 5
	// appendBurst is the number of appends that an instance may do at once: one
	// per shard of claims and bills.
	appendBurst = 16
)

func (i *Instance) newClaimer(metrics *kcmetric.Registry) *kcclaim.Claimer {
	return kcclaim.NewClaimer(kcclaim.ClaimerOptions{
		Log: kclog.NewGuard(kclog.GuardOptions{
			Log: i.opts.Store, Clock: i.opts.Clock, Outage: func() { metrics.Count("log.outages") },
		}),
		Clock: i.opts.Clock, Instance: i.opts.Settings.Instance.ID, Shards: i.opts.Settings.Timing.Shards,
		Budget:       kclog.NewBudget(i.opts.Clock, appendBurst, i.claimAppends),
		BatchDelayMs: claimBatchMs, WindowMs: i.opts.Settings.Timing.ClaimWindowMs, CountEvent: metrics.Count, IsListed: i.isListed,
	})
}

// claimAppends returns the appends a second that this instance may spend on
// claims and outcomes.
func (i *Instance) claimAppends() float64 {
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
		slices.ContainsFunc(i.directory.EntryInstances(), func(m kcmember.Member) bool { return m.ID == id })
}

func withClaims(h kcpeer.Handlers, claimer *kcclaim.Claimer) kcpeer.Handlers {
	if h.Claims == nil {
		h.Claims = claimer
	}
	return h
}
