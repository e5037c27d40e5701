package kcinstance

import (
	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// billCopyTimeoutMs bounds a call that stores or releases copies of bills at
	// a peer. It is well above two round trips between regions. Responses to
	// callers are delayed by it when a peer that holds copies stops responding.
	billCopyTimeoutMs = 250 * kcclock.Millisecond
	// billCopyReleaseMs is far above the interval between two batches for the
	// log.
	billCopyReleaseMs = 30 * kcclock.Second
)

func (i *Instance) newHolder() *kcbill.Holder {
	timing := i.opts.Settings.Timing
	return kcbill.NewHolder(kcbill.HolderOptions{
		Log: i.opts.RecordLog, Clock: i.opts.Clock, Shards: timing.Shards, ListedInstances: i.listedInstances,
		MaxCopies: 2 * timing.MaxPendingBills, SweepIntervalMs: kcclock.Second,
		SenderTimeoutMs: timing.FailoverDelayMs, ReleaseTimeoutMs: billCopyReleaseMs,
	})
}

func (i *Instance) newLedger() *kcbill.Ledger {
	set := i.opts.Settings
	return kcbill.NewLedger(kcbill.LedgerOptions{
		Instance: set.Instance.ID, Zone: set.Instance.Zone, Region: set.Instance.Region,
		Log: i.opts.RecordLog, Clock: i.opts.Clock, Peers: i.billPeers(), Shards: set.Timing.Shards,
		FlushIntervalMs: set.Timing.BillFlushIntervalMs, MaxPending: set.Timing.MaxPendingBills,
		AllowUnreplicated: i.opts.AllowUnreplicatedBills,
	})
}

func (i *Instance) billPeers() kcbill.Peers {
	return kcbill.RemotePeers{Node: i.node, TimeoutMs: billCopyTimeoutMs}
}

// listedInstances returns the ids of all entry instances on the member list.
func (i *Instance) listedInstances() []string {
	var ids []string
	for _, m := range i.directory.Members() {
		if m.Role == kcmember.RoleEntry {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func withBillHandler(h kcpeer.Handlers, holder *kcbill.Holder) kcpeer.Handlers {
	if h.Bills == nil {
		h.Bills = holder
	}
	return h
}
