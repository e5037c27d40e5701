package kcinstance

import (
	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// billPeerTimeoutMs is well above two round trips between regions. Answers
	// wait for it when a holder goes silent.
	billPeerTimeoutMs = 250 * kcclock.Millisecond
	// billReleaseMs is far above the time between two batches for the log.
	billReleaseMs = 30 * kcclock.Second
)

func (i *Instance) newHolder() *kcbill.Holder {
	timing := i.opts.Settings.Timing
	return kcbill.NewHolder(kcbill.HolderOptions{
		Log: i.opts.Store, Clock: i.opts.Clock, Shards: timing.Shards, ListedInstances: i.listedInstances,
		MaxCopies: 2 * timing.MaxPendingBills, SweepIntervalMs: kcclock.Second,
		SenderTimeoutMs: timing.InstanceGoneMs, ReleaseTimeoutMs: billReleaseMs,
	})
}

func (i *Instance) newLedger() *kcbill.Ledger {
	set := i.opts.Settings
	return kcbill.NewLedger(kcbill.LedgerOptions{
		Instance: set.Instance.ID, Zone: set.Instance.Zone, Region: set.Instance.Region,
		Log: i.opts.Store, Clock: i.opts.Clock, Peers: i.billPeers(), Shards: set.Timing.Shards,
		FlushIntervalMs: set.Timing.BillFlushMs, MaxPending: set.Timing.MaxPendingBills,
		AllowUnreplicated: i.opts.SingleMemory,
	})
}

func (i *Instance) billPeers() kcbill.Peers {
	return kcbill.RemotePeers{Node: i.node, TimeoutMs: billPeerTimeoutMs}
}

// listedInstances returns the ids of all entry instances on the list.
func (i *Instance) listedInstances() []string {
	var ids []string
	for _, m := range i.directory.Members() {
		if m.Role == kcmember.RoleEntry {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func withBills(h kcpeer.Handlers, holder *kcbill.Holder) kcpeer.Handlers {
	if h.Bills == nil {
		h.Bills = holder
	}
	return h
}
