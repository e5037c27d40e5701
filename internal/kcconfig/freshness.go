package kcconfig

import (
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// FreshnessBoundMs is the bound of the freshness rule: the longest time for
// which an instance can miss accepted changes without detecting it.
const FreshnessBoundMs = 3 * kcclock.Second

// Values of Freshness.Reason.
const (
	FreshEndRead   = "endRead"   // the end of the log was read within the bound
	FreshStoreDown = "storeDown" // no instance can read the log, so no change was accepted
	StaleNoState   = "noState"   // no state was received yet, neither from the log nor from a peer
	StaleBehind    = "behind"    // a peer has folded records that this instance lacks
	StaleZoneCut   = "zoneCut"   // nothing was received from an availability zone
)

// FreshnessInput holds what the freshness of an instance depends on.
type FreshnessInput struct {
	Now kcclock.Millis
	// EndReadAt is the latest time at which this instance or a peer read the end of
	// the log, provided that this instance has folded up to that end. 0 means
	// never.
	EndReadAt kcclock.Millis
	// Behind is true if a peer has folded records that this instance lacks.
	Behind bool
	// Zones are the availability zones of the other entry instances on the list.
	// ListKnown tells whether the list was ever read.
	Zones     []string
	ListKnown bool
	// LastHeard is the latest time of information from each availability zone,
	// received directly or through a peer.
	LastHeard map[string]kcclock.Millis
}

// Freshness tells whether the rules in force are known to be up to date.
type Freshness struct {
	Fresh  bool
	Reason string
	// Zone is a zone from which nothing was received within the bound, if Reason is
	// StaleZoneCut.
	Zone string
}

// DecideFreshness applies the freshness rule. An instance is fresh while it or
// a peer has read the end of the log within the bound. If neither it nor any
// reachable peer has done so, the log service is assumed to be down for all
// instances, but only while information arrives from every availability zone.
// The cases are in docs/notes/freshness.md.
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
