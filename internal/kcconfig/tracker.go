package kcconfig

import (
	"maps"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// peerExpiryMs is the time after which a silent peer is removed.
const peerExpiryMs = kcclock.Minute

type peerReport struct {
	zone       string
	receivedAt kcclock.Millis
	offset     int64
}

// freshnessTracker records the last known end of the log and the last digests
// of the peers.
type freshnessTracker struct {
	mu sync.Mutex
	// foldedOffset is the offset up to which this instance has folded.
	foldedOffset int64
	// endReadAt is the time of the latest read of an end that is not above
	// foldedOffset. A read of a later end is kept in unfoldedEndReadAt until the
	// records below unfoldedEnd are folded.
	endReadAt         kcclock.Millis
	unfoldedEndReadAt kcclock.Millis
	unfoldedEnd       int64
	zoneHeardAt       map[string]kcclock.Millis
	peers             map[string]peerReport
}

func (h *freshnessTracker) init() {
	h.zoneHeardAt, h.peers = make(map[string]kcclock.Millis), make(map[string]peerReport)
}

// recordEndRead records that the log ended at the offset end at some time not
// before at.
func (h *freshnessTracker) recordEndRead(at kcclock.Millis, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case end <= h.foldedOffset:
		h.endReadAt = max(h.endReadAt, at)
	case at > h.unfoldedEndReadAt:
		h.unfoldedEndReadAt, h.unfoldedEnd = at, end
	}
}

// recordFolded records that this instance has folded all records below next.
func (h *freshnessTracker) recordFolded(next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.foldedOffset = next
	if h.unfoldedEndReadAt > 0 && h.unfoldedEnd <= next {
		h.endReadAt = max(h.endReadAt, h.unfoldedEndReadAt)
		h.unfoldedEndReadAt, h.unfoldedEnd = 0, 0
	}
}

// recordDigest records a digest that a peer created at some time not before at.
func (h *freshnessTracker) recordDigest(zone string, d *kcpeer.Digest, at kcclock.Millis) {
	if d.EndWasRead && d.EndReadAgeMs >= 0 {
		h.recordEndRead(at-kcclock.Millis(d.EndReadAgeMs), d.ConfigOffset)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneHeardAt[d.Zone] = max(h.zoneHeardAt[d.Zone], at)
	for _, z := range d.ZonesHeard {
		// The peer may have its information about this zone only from this instance.
		if z.Zone != zone && z.AgeMs >= 0 {
			h.zoneHeardAt[z.Zone] = max(h.zoneHeardAt[z.Zone], at-kcclock.Millis(z.AgeMs))
		}
	}
	h.peers[d.Instance] = peerReport{zone: d.Zone, receivedAt: at, offset: d.ConfigOffset}
	for id, p := range h.peers {
		if at-p.receivedAt > peerExpiryMs {
			delete(h.peers, id)
		}
	}
}

// fillDigest adds the times of the last end read and of the zones to a digest.
func (h *freshnessTracker) fillDigest(d *kcpeer.Digest, now kcclock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endReadAt > 0 {
		d.EndWasRead, d.EndReadAgeMs = true, int64(now-h.endReadAt)
	}
	for zone, at := range h.zoneHeardAt {
		if now-at <= peerExpiryMs {
			d.ZonesHeard = append(d.ZonesHeard, &kcpeer.ZoneHeard{Zone: zone, AgeMs: int64(now - at)})
		}
	}
}

func (h *freshnessTracker) freshness(now kcclock.Millis, self string, zonesOf func() map[string]string) Freshness {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := FreshnessInput{Now: now, EndReadAt: h.endReadAt}
	if now-h.endReadAt > FreshnessBoundMs {
		zones := zonesOf()
		in.ListKnown = zones != nil
		in.Behind = h.unfoldedEnd > h.foldedOffset
		in.LastHeard = h.zoneHeardAt
		for _, p := range h.peers {
			in.Behind = in.Behind || p.offset > h.foldedOffset
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

// peerStatuses returns the status of the peers in the order of their ids. The
// caller holds h.mu.
func (h *freshnessTracker) peerStatuses(now kcclock.Millis) []PeerStatus {
	out := make([]PeerStatus, 0, len(h.peers))
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		p := h.peers[id]
		out = append(out, PeerStatus{Instance: id, Zone: p.zone, AgeMs: now - p.receivedAt, ConfigOffset: p.offset})
	}
	return out
}
