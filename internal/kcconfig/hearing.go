package kcconfig

import (
	"maps"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// forgetPeerMs is the time after which a peer that is silent is forgotten.
const forgetPeerMs = kcclock.Minute

type peerHeard struct {
	zone   string
	at     kcclock.Millis
	offset int64
}

// hearing is what is known of the end of the log and of the peers.
type hearing struct {
	mu sync.Mutex
	// next is the offset up to which this instance has folded.
	next int64
	// endReadAt is the newest read of an end that is not above next. A read of
	// a later end waits in aheadAt until the records before aheadEnd are
	// folded.
	endReadAt kcclock.Millis
	aheadAt   kcclock.Millis
	aheadEnd  int64
	zones     map[string]kcclock.Millis
	peers     map[string]peerHeard
}

func (h *hearing) init() {
	h.zones, h.peers = make(map[string]kcclock.Millis), make(map[string]peerHeard)
}

// endRead notes that the log ended at end at some time not before at.
func (h *hearing) endRead(at kcclock.Millis, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case end <= h.next:
		h.endReadAt = max(h.endReadAt, at)
	case at > h.aheadAt:
		h.aheadAt, h.aheadEnd = at, end
	}
}

// folded notes that this instance has folded all records below next.
func (h *hearing) folded(next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next = next
	if h.aheadAt > 0 && h.aheadEnd <= next {
		h.endReadAt = max(h.endReadAt, h.aheadAt)
		h.aheadAt, h.aheadEnd = 0, 0
	}
}

// heard takes the digest that a peer made at some time not before at.
func (h *hearing) heard(zone string, d *kcpeer.Digest, at kcclock.Millis) {
	if d.EndWasRead && d.EndReadAgeMs >= 0 {
		h.endRead(at-kcclock.Millis(d.EndReadAgeMs), d.ConfigOffset)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones[d.Zone] = max(h.zones[d.Zone], at)
	for _, z := range d.ZonesHeard {
		// The peer may have heard of this zone only from this instance.
		if z.Zone != zone && z.AgeMs >= 0 {
			h.zones[z.Zone] = max(h.zones[z.Zone], at-kcclock.Millis(z.AgeMs))
		}
	}
	h.peers[d.Instance] = peerHeard{zone: d.Zone, at: at, offset: d.ConfigOffset}
	for id, p := range h.peers {
		if at-p.at > forgetPeerMs {
			delete(h.peers, id)
		}
	}
}

// fill writes what this instance knows into a digest.
func (h *hearing) fill(d *kcpeer.Digest, now kcclock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endReadAt > 0 {
		d.EndWasRead, d.EndReadAgeMs = true, int64(now-h.endReadAt)
	}
	for zone, at := range h.zones {
		if now-at <= forgetPeerMs {
			d.ZonesHeard = append(d.ZonesHeard, &kcpeer.ZoneHeard{Zone: zone, AgeMs: int64(now - at)})
		}
	}
}

func (h *hearing) freshness(now kcclock.Millis, self string, zonesOf func() map[string]string) Freshness {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := FreshnessInput{Now: now, EndReadAt: h.endReadAt}
	if now-h.endReadAt > FreshnessBoundMs {
		zones := zonesOf()
		in.ListKnown = zones != nil
		in.Behind = h.aheadEnd > h.next
		in.LastHeard = h.zones
		for _, p := range h.peers {
			in.Behind = in.Behind || p.offset > h.next
		}
		for id, zone := range zones {
			if id != self && !slices.Contains(in.Zones, zone) {
				in.Zones = append(in.Zones, zone)
			}
		}
		slices.Sort(in.Zones)
	}
	return DecideFreshness(in)
}

// peersHeard returns the peers in the order of their ids. The caller holds the
// lock.
func (h *hearing) peersHeard(now kcclock.Millis) []PeerStatus {
	out := make([]PeerStatus, 0, len(h.peers))
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		p := h.peers[id]
		out = append(out, PeerStatus{Instance: id, Zone: p.zone, AgeMs: now - p.at, ConfigOffset: p.offset})
	}
	return out
}
