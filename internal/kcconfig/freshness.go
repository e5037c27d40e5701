package kcconfig

import (
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// FreshnessBoundMs is the bound of the freshness rule: an instance may miss accepted
// changes for this long without noticing.
const FreshnessBoundMs = 3 * kcclock.Second

// Reasons of a Freshness.
const (
	FreshEndRead   = "endRead"   // the end of the log was read within the bound
	FreshStoreDown = "storeDown" // nobody can read the log, so nothing was accepted
	StaleNoState   = "noState"   // neither the log nor a peer gave a state yet
	StaleBehind    = "behind"    // a peer folded records that are missing here
	StaleZoneCut   = "zoneCut"   // an availability zone was not heard from
)

// FreshnessInput is what the freshness of an instance depends on.
type FreshnessInput struct {
	Now kcclock.Millis
	// EndReadAt is the newest time at which this instance or a peer read an
	// end of the log up to which this instance has folded; 0 is never.
	EndReadAt kcclock.Millis
	// Behind is true if a peer folded records that this instance lacks.
	Behind bool
	// Zones are the availability zones of the other entry instances on the
	// list, ListKnown whether the list was ever read.
	Zones     []string
	ListKnown bool
	// Heard tells when each availability zone was heard from.
	LastHeard map[string]kcclock.Millis
}

// Freshness tells whether the rules in force are known to be current.
type Freshness struct {
	Fresh  bool
	Reason string
	// Zone is one that was not heard from, if Reason is StaleZoneCut.
	Zone string
}

// DecideFreshness applies the rule: an instance is fresh while it or a peer
// read the end of the log within the bound. If neither it nor any peer that it
// reaches has done so, the store is taken to be down for all only while every
// availability zone is heard from. The cases are in docs/notes/freshness.md.
func DecideFreshness(in FreshnessInput) Freshness {
	switch {
	case in.EndReadAt == 0:
		return Freshness{Reason: StaleNoState}
	case in.Now-in.EndReadAt <= FreshnessBoundMs:
		return Freshness{Fresh: true, Reason: FreshEndRead}
	case in.Behind:
		return Freshness{Reason: StaleBehind}
	case !in.ListKnown:
		return Freshness{Reason: StaleZoneCut}
	}
	for _, zone := range in.Zones {
		if at, ok := in.LastHeard[zone]; !ok || in.Now-at > FreshnessBoundMs {
			return Freshness{Reason: StaleZoneCut, Zone: zone}
		}
	}
	return Freshness{Fresh: true, Reason: FreshStoreDown}
}
