package kcedge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

const (
	// readerTimeoutMs is the time without a message after which an instance no
	// longer counts as a reader for others.
	readerTimeoutMs = 1200 * kcclock.Millisecond
	// evidenceCallTimeoutMs bounds a call that sends evidence to a peer in the
	// same availability zone.
	evidenceCallTimeoutMs = 300 * kcclock.Millisecond
	// storeFailureBackoffMs is how long an instance does not read for others
	// after a call of the store failed.
	storeFailureBackoffMs = 3000 * kcclock.Millisecond
	// listWaitMs is how long an instance waits for the list of instances before
	// it registers itself.
	listWaitMs = 1000 * kcclock.Millisecond
	// maxOutageProbers is the number of instances of an availability zone that
	// probe an unavailable store at the short interval. One of them may be gone
	// as well.
	maxOutageProbers = 2
)

// peerEntry is the entry of an instance in the shared list of instances.
type peerEntry struct {
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	// LinkMbps is the bandwidth of the machine of the instance in Mbit/s, 0 if
	// unknown.
	LinkMbps int `json:"linkMbps,omitempty"`
	// id follows from the key of the entry, the availability zone and the region.
	id instanceID
}

// readerRank orders the instances that may read the store for an availability
// zone: first by bandwidth, because the lists that a reader relays fill a slow
// link, then by rendezvous hash.
type readerRank struct {
	linkMbps int
	hash     uint64
}

func (r readerRank) higherThan(other readerRank) bool {
	return r.linkMbps > other.linkMbps || r.linkMbps == other.linkMbps && r.hash > other.hash
}

func (e peerEntry) readerRank(zone, name string) readerRank {
	return readerRank{e.LinkMbps, kcset.RendezvousHash(zone, name)}
}

// peers exchanges load reports, session reports and evidence with the other
// instances, and chooses the instance that reads the store for this one.
type peers struct {
	edge    *Edge
	ownID   instanceID
	udpConn *net.UDPConn
	// urgent gets a value when there is something to send that must not wait for
	// the next report.
	urgent chan struct{}
	// listener accepts reads and evidence of peers in the same availability zone.
	listener net.Listener

	mu sync.Mutex
	// sameRegion holds the other instances of the region.
	sameRegion map[string]peerEntry
	// otherRegions holds the instances of other regions.
	otherRegions map[string]peerEntry
	// heardAt holds the time of the last message of each instance that can read
	// the store.
	heardAt map[string]kcclock.Millis
	// ownEntry is the entry of this instance in the list. listRead is true once
	// the list was read.
	ownEntry peerEntry
	listRead bool
	// foreignLoggedAt is the time of the last log line about a foreign instance.
	foreignLoggedAt kcclock.Millis
	// storeFailedAt is the time of the last failed call of the store, 0 after a
	// successful one.
	storeFailedAt kcclock.Millis
}

func newPeers(e *Edge) *peers {
	return &peers{
		edge: e, ownID: newInstanceID(e.Deployment.Instance, e.Deployment.Zone, e.Deployment.Region),
		sameRegion: make(map[string]peerEntry), otherRegions: make(map[string]peerEntry),
		heardAt: make(map[string]kcclock.Millis), urgent: make(chan struct{}, 1),
	}
}

// wake sends what is pending at once.
func (p *peers) wake() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// listen opens the UDP and TCP ports for peers. If that fails, the instance
// serves callers without them.
func (p *peers) listen() {
	addr, err := net.ResolveUDPAddr("udp", p.edge.Deployment.PeerAddr)
	if err == nil && p.edge.Deployment.PeerAddr != "" {
		p.udpConn, err = net.ListenUDP("udp", addr)
	}
	if err == nil && p.udpConn != nil {
		p.listener, err = net.Listen("tcp", p.edge.Deployment.PeerAddr) //nolint:noctx // lasts as long as the process
	}
	if err != nil {
		p.edge.Log.Error("cannot listen for peers; running without them", "address", p.edge.Deployment.PeerAddr, "error", err)
	}
}

func (p *peers) tcpListener() net.Listener { return p.listener }

// readerAddr returns the address of the instance that reads the store for this
// one. It returns false if this instance reads for itself.
func (p *peers) readerAddr() (string, bool) {
	now := kcclock.Boot{}.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	recent := make(map[string]peerEntry, len(p.sameRegion))
	for name, entry := range p.sameRegion {
		if now-p.heardAt[name] <= readerTimeoutMs {
			recent[name] = entry
		}
	}
	return chooseReader(p.edge.Deployment, recent, p.storeFailing(now))
}

// chooseReader returns the address of the instance that reads the store for an
// availability zone: the one with the highest rank among own and those that
// were heard from recently. If no instance of the zone can read the store, one
// of another zone of the region reads for it. It returns false if own has to
// read.
func chooseReader(own kctable.Deployment, heard map[string]peerEntry, failing bool) (string, bool) {
	bestAddr, bestRank := "", readerRank{}
	if !failing {
		bestRank = peerEntry{LinkMbps: own.LinkMbps}.readerRank(own.Zone, own.Instance)
	}
	inZone := false
	for name, entry := range heard {
		entryInZone := entry.Zone == own.Zone
		if !entryInZone && (!failing || inZone) {
			continue
		}
		r := entry.readerRank(own.Zone, name)
		if entryInZone && !inZone && failing || r.higherThan(bestRank) {
			bestAddr, bestRank, inZone = entry.Address.String(), r, entryInZone
		}
	}
	return bestAddr, bestAddr != ""
}

// recordHeartbeat records that a peer is alive and whether it can read the
// store.
func (p *peers) recordHeartbeat(m kcload.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.sameRegion[m.Instance]; known && m.CanReadStore {
		p.heardAt[m.Instance] = kcclock.Boot{}.Now()
	} else if known {
		delete(p.heardAt, m.Instance)
	}
}

// recordStoreCall records the result of a call of the store.
func (p *peers) recordStoreCall(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil || kcplatform.IsConflict(err) || errors.Is(err, kcfeed.ErrTrimmed):
		p.storeFailedAt = 0
	case errors.Is(err, context.Canceled):
	default:
		p.storeFailedAt = kcclock.Boot{}.Now()
	}
}

func (p *peers) storeFailing(now kcclock.Millis) bool {
	return p.storeFailedAt != 0 && now-p.storeFailedAt < storeFailureBackoffMs
}

// canReadStore reports whether this instance can read the store for others.
func (p *peers) canReadStore() bool {
	now := kcclock.Boot{}.Now()
	age, known := p.edge.configFollower.Age(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return known && age < maxPeerAgeMs && !p.storeFailing(now)
}

// evidencePath is the path that accepts the evidence of peers in the same
// availability zone.
const evidencePath = "/evidence"

// maxEvidenceBytes bounds the evidence that a peer sends in one request.
const maxEvidenceBytes = 1 << 20

// forwardEvidence sends evidence to the instance that publishes it for the
// availability zone.
func (p *peers) forwardEvidence(ctx context.Context, addr string, reports []kcrollout.EvidenceReport) bool {
	raw, err := json.Marshal(reports)
	if err != nil {
		p.edge.Log.Error("cannot encode evidence", "error", err)
		return false
	}
	ctx, cancel := kcclock.WithTimeout(ctx, kcclock.Boot{}, evidenceCallTimeoutMs)
	defer cancel()
	resp, err := p.edge.storePool.Do(ctx, addr, &kcconn.Request{
		Method: http.MethodPost, Target: evidencePath + "?" + kcfeed.InstanceParam + "=" + p.idAt(addr), Host: addr,
		Header: http.Header{}, Body: raw,
	})
	if err != nil {
		p.edge.Log.Warn("cannot forward evidence", "peer", addr, "error", err)
		return false
	}
	resp.Finish()
	return resp.StatusCode == http.StatusNoContent
}

// serveEvidence accepts the evidence of a peer.
func (p *peers) serveEvidence(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(kcfeed.InstanceParam) != p.ownID.String() {
		p.recordForeign(r.RemoteAddr)
		http.Error(w, kcfeed.ErrForeign.Error(), http.StatusForbidden)
		return
	}
	var reports []kcrollout.EvidenceReport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEvidenceBytes)).Decode(&reports); err != nil {
		p.edge.Log.Warn("cannot decode evidence; ignoring it", "peer", r.RemoteAddr, "error", err)
		http.Error(w, "no evidence: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, report := range reports {
		p.edge.gate.Rollouts.MergeForPublishing(report)
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyInstanceRecords applies entries of the list of instances.
func (p *peers) applyInstanceRecords(records []kcfeed.Record, snapshot bool) {
	now := kcclock.Boot{}.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if snapshot {
		clear(p.sameRegion)
		clear(p.otherRegions)
		p.listRead = true
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(p.sameRegion, r.Key)
			delete(p.otherRegions, r.Key)
			continue
		}
		var entry peerEntry
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			p.edge.Log.Warn("cannot decode instance entry; ignoring it", "instance", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		entry.id = newInstanceID(r.Key, entry.Zone, entry.Region)
		switch {
		case r.Key == p.edge.Deployment.Instance:
			p.ownEntry = entry
		case entry.Region == p.edge.Deployment.Region:
			p.sameRegion[r.Key] = entry
			// Assume that the peer is alive. If it does not answer, the first call
			// removes it.
			p.heardAt[r.Key] = now
		default:
			p.otherRegions[r.Key] = entry
		}
	}
	zones := make(map[string]string, len(p.sameRegion))
	for name, entry := range p.sameRegion {
		zones[name] = entry.Zone
	}
	p.edge.gate.Upstreams.SetPeerZones(zones)
	p.edge.Log.Info("list of instances read", "instances", len(p.sameRegion), "otherRegions", len(p.otherRegions))
}

// allRegions returns the peers in all regions, those of the own availability zone
// first.
func (p *peers) allRegions() []destination {
	near, far := p.ownRegion()
	list := slices.Concat(near, far)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.otherRegions {
		list = append(list, destination{entry.Address, entry.id})
	}
	return list
}

// instanceCount returns the number of instances on the list, including this one.
func (p *peers) instanceCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sameRegion) + len(p.otherRegions) + 1
}

// listKnown reports whether the list of instances was read.
func (p *peers) listKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listRead
}

// ownRegion returns the peers in the own availability zone and those in the other
// ones of the region.
func (p *peers) ownRegion() (near, far []destination) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.sameRegion {
		if entry.Zone == p.edge.Deployment.Zone {
			near = append(near, destination{entry.Address, entry.id})
		} else {
			far = append(far, destination{entry.Address, entry.id})
		}
	}
	return near, far
}

// register adds this instance to the shared list of instances. unregister
// removes it.
func (p *peers) register(ctx context.Context) {
	addr, err := netip.ParseAddrPort(p.edge.Deployment.PeerAddr)
	if err != nil || p.udpConn == nil {
		return
	}
	d := p.edge.Deployment
	entry := peerEntry{Zone: d.Zone, Region: d.Region, Address: addr, LinkMbps: d.LinkMbps, id: p.ownID}
	raw, err := json.Marshal(entry)
	if err != nil {
		p.edge.Log.Error("cannot encode instance entry", "error", err)
		return
	}
	clock := kcclock.Boot{}
	for until := clock.Now() + listWaitMs; clock.Now() < until && ctx.Err() == nil; {
		known, alreadyRegistered := p.registered(entry)
		if alreadyRegistered {
			return
		}
		if known {
			break
		}
		_ = kcclock.Wait(ctx, clock, minZoneReportIntervalMs)
	}
	for ctx.Err() == nil && !p.writeEntry(ctx, raw) {
		_ = kcclock.Wait(ctx, clock, storeFailureBackoffMs)
	}
}

// registered reports whether the list was read, and whether it already holds
// the entry of this instance, written before a restart.
func (p *peers) registered(entry peerEntry) (known, registered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listRead, p.listRead && p.ownEntry == entry
}

// probesFirst reports whether this instance is among those of its availability
// zone that probe an unavailable store most often. Instances of the list that
// are not alive count as well.
func (p *peers) probesFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.edge.Deployment
	own, ahead := peerEntry{LinkMbps: d.LinkMbps}.readerRank(d.Zone, d.Instance), 0
	for name, entry := range p.sameRegion {
		if entry.Zone == d.Zone && entry.readerRank(d.Zone, name).higherThan(own) {
			ahead++
		}
	}
	return ahead < maxOutageProbers
}

// peerLost records that the peer at addr did not answer. It may read for others
// again once a message of it arrives.
func (p *peers) peerLost(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.sameRegion {
		if entry.Address.String() == addr {
			delete(p.heardAt, name)
		}
	}
}

func (p *peers) unregister() {
	if p.udpConn != nil {
		p.writeEntry(context.Background(), nil)
	}
}

func (p *peers) writeEntry(ctx context.Context, raw []byte) bool {
	ctx, cancel := kcclock.WithTimeout(ctx, kcclock.Boot{}, storeCallTimeoutMs)
	defer cancel()
	err := p.edge.store.SetKey(ctx, kcplatform.TopicStatus, kcplatform.InstanceKey(p.edge.Deployment.Instance), raw)
	if err != nil {
		p.edge.Log.Warn("call of the store failed", "call", "write instance", "error", err)
	}
	return err == nil
}
