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
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

const (
	// tellMs is the time between messages to peers in the same availability
	// zone, farTellMs to those of others in the region. Other regions are not
	// told of it: their bytes are dear, and their upstreams are used last.
	tellMs    = 25 * kcclock.Millisecond
	farTellMs = 200 * kcclock.Millisecond
	// stillMs is the time after which an unchanged state is told again, well
	// below the time for which it counts.
	stillMs = 500 * kcclock.Millisecond
	// readerMs is the time after which an instance that was not heard does not
	// read for others.
	readerMs = 1200 * kcclock.Millisecond
	// passMs bounds a call of a peer in the same availability zone.
	passMs = 300 * kcclock.Millisecond
	// failMs is how long an instance whose call of the store failed does not
	// read for others.
	failMs = 3000 * kcclock.Millisecond
	// enterMs is how long an instance waits for the list before it enters.
	enterMs = 1000 * kcclock.Millisecond
	// firstAskers is the number of instances of an availability zone that ask
	// often for a store that is away: one may be gone as well.
	firstAskers = 2
)

// peerEntry is the entry of an instance in the list that instances share.
type peerEntry struct {
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	// LinkMbps is the bandwidth of its machine in Mbit/s, 0 if unknown.
	LinkMbps int `json:"linkMbps,omitempty"`
}

// rank orders the instances that may read for an availability zone: the lists
// that a reader passes on fill a slow link.
type rank struct {
	linkMbps int
	hash     uint64
}

func (r rank) above(other rank) bool {
	return r.linkMbps > other.linkMbps || r.linkMbps == other.linkMbps && r.hash > other.hash
}

func (e peerEntry) rank(zone, name string) rank {
	return rank{e.LinkMbps, kcset.RendezvousHash(zone, name)}
}

// peers tells the other instances of the region about the work of this one.
type peers struct {
	e    *Edge
	conn *net.UDPConn
	// ln takes reads of peers in the same availability zone.
	ln net.Listener

	mu   sync.Mutex
	list map[string]peerEntry
	// away holds the instances of other regions.
	away map[string]peerEntry
	// heard holds the time of the last message, from instances that can read
	// the store only.
	heard map[string]kcclock.Millis
	// own is the entry of this instance in the list, and known is true once
	// the list was read.
	own   peerEntry
	known bool
	// failedAt is the time of the last failed call of the store, 0 after one
	// that was answered.
	failedAt kcclock.Millis
}

func newPeers(e *Edge) *peers {
	return &peers{
		e: e, list: make(map[string]peerEntry), away: make(map[string]peerEntry), heard: make(map[string]kcclock.Millis),
	}
}

// listen opens the port for messages. Without it the instance still serves.
func (p *peers) listen() {
	addr, err := net.ResolveUDPAddr("udp", p.e.Deployment.PeerAddr)
	if err == nil && p.e.Deployment.PeerAddr != "" {
		p.conn, err = net.ListenUDP("udp", addr)
	}
	if err == nil && p.conn != nil {
		p.ln, err = net.Listen("tcp", p.e.Deployment.PeerAddr) //nolint:noctx // lasts as long as the process
	}
	if err != nil {
		p.e.Log.Error("messages between instances are off", "address", p.e.Deployment.PeerAddr, "error", err)
	}
}

func (p *peers) serving() net.Listener { return p.ln }

// reader returns the address of the instance that reads the store for this one.
// It returns false if that is this instance.
func (p *peers) reader() (string, bool) {
	now := kcclock.Boot{}.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := make(map[string]peerEntry, len(p.list))
	for name, entry := range p.list {
		if now-p.heard[name] <= readerMs {
			heard[name] = entry
		}
	}
	return chooseReader(p.e.Deployment, heard, p.failing(now))
}

// chooseReader returns the address of the instance that reads the store for an
// availability zone: of those that were heard lately and own, the one with the
// highest rank. Where the store rejects all of a zone, one of another zone of
// the region reads for it. It returns false if own has to read.
func chooseReader(own kctable.Deployment, heard map[string]peerEntry, failing bool) (string, bool) {
	best, most := "", rank{}
	if !failing {
		most = peerEntry{LinkMbps: own.LinkMbps}.rank(own.Zone, own.Instance)
	}
	near := false
	for name, entry := range heard {
		isNear := entry.Zone == own.Zone
		if !isNear && (!failing || near) {
			continue
		}
		r := entry.rank(own.Zone, name)
		if isNear && !near && failing || r.above(most) {
			best, most, near = entry.Address.String(), r, isNear
		}
	}
	return best, best != ""
}

// note takes the sign of life of a peer.
func (p *peers) note(m kcload.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.list[m.Instance]; known && m.Reads {
		p.heard[m.Instance] = kcclock.Boot{}.Now()
	} else if known {
		delete(p.heard, m.Instance)
	}
}

// storeCalled notes the result of a call of the store.
func (p *peers) storeCalled(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil || kcplatform.IsConflict(err) || errors.Is(err, kcfeed.ErrTrimmed):
		p.failedAt = 0
	case errors.Is(err, context.Canceled):
	default:
		p.failedAt = kcclock.Boot{}.Now()
	}
}

func (p *peers) failing(now kcclock.Millis) bool { return p.failedAt != 0 && now-p.failedAt < failMs }

// reads reports whether this instance can read the store for others.
func (p *peers) reads() bool {
	now := kcclock.Boot{}.Now()
	age, known := p.e.config.Age(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return known && age < peerAgeMs && !p.failing(now)
}

// evidencePath takes the evidence of peers in the same availability zone.
const evidencePath = "/evidence"

// maxEvidenceBytes bounds the evidence of a peer.
const maxEvidenceBytes = 1 << 20

// pass gives evidence to the instance that publishes it.
func (p *peers) pass(ctx context.Context, addr string, reports []kcgate.EvidenceReport) bool {
	raw, err := json.Marshal(reports)
	if err != nil {
		p.e.Log.Error("evidence not passed on", "error", err)
		return false
	}
	ctx, cancel := kcclock.WithTimeout(ctx, kcclock.Boot{}, passMs)
	defer cancel()
	resp, err := p.e.storePool.Do(ctx, addr, &kcconn.Request{
		Method: http.MethodPost, Target: evidencePath, Host: addr, Header: http.Header{}, Body: raw,
	})
	if err != nil {
		p.e.Log.Warn("evidence not passed on", "peer", addr, "error", err)
		return false
	}
	resp.Finish()
	return resp.StatusCode == http.StatusNoContent
}

// take accepts the evidence of a peer.
func (p *peers) take(w http.ResponseWriter, r *http.Request) {
	var reports []kcgate.EvidenceReport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEvidenceBytes)).Decode(&reports); err != nil {
		p.e.Log.Warn("evidence ignored", "peer", r.RemoteAddr, "error", err)
		http.Error(w, "no evidence: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, report := range reports {
		p.e.gate.Rollouts.MergeForPublishing(report)
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply takes entries of the list of instances.
func (p *peers) apply(records []kcfeed.Record, whole bool) {
	now := kcclock.Boot{}.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		clear(p.list)
		clear(p.away)
		p.known = true
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(p.list, r.Key)
			delete(p.away, r.Key)
			continue
		}
		var entry peerEntry
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			p.e.Log.Warn("instance ignored", "instance", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		switch {
		case r.Key == p.e.Deployment.Instance:
			p.own = entry
		case entry.Region == p.e.Deployment.Region:
			p.list[r.Key] = entry
			// A peer that does not answer is left at the first call.
			p.heard[r.Key] = now
		default:
			p.away[r.Key] = entry
		}
	}
	p.e.Log.Info("list of instances read", "instances", len(p.list), "otherRegions", len(p.away))
}

// everyone returns the addresses of the peers in all regions, the nearest first.
func (p *peers) everyone() []netip.AddrPort {
	near, far := p.targets()
	list := slices.Concat(near, far)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.away {
		list = append(list, entry.Address)
	}
	return list
}

// listKnown reports whether the list of instances was read.
func (p *peers) listKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// targets returns the addresses of the peers in the own availability zone and
// of the others.
func (p *peers) targets() (near, far []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.list {
		if entry.Zone == p.e.Deployment.Zone {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	return near, far
}

// enter puts this instance into the list, and leave takes it out.
func (p *peers) enter(ctx context.Context) {
	addr, err := netip.ParseAddrPort(p.e.Deployment.PeerAddr)
	if err != nil || p.conn == nil {
		return
	}
	d := p.e.Deployment
	entry := peerEntry{Zone: d.Zone, Region: d.Region, Address: addr, LinkMbps: d.LinkMbps}
	raw, err := json.Marshal(entry)
	if err != nil {
		p.e.Log.Error("entry of the instance not written", "error", err)
		return
	}
	clock := kcclock.Boot{}
	for until := clock.Now() + enterMs; clock.Now() < until && ctx.Err() == nil; {
		known, entered := p.entered(entry)
		if entered {
			return
		}
		if known {
			break
		}
		_ = kcclock.Wait(ctx, clock, tellMs)
	}
	for ctx.Err() == nil && !p.write(ctx, raw) {
		_ = kcclock.Wait(ctx, clock, failMs)
	}
}

// entered reports whether the list is known, and whether it holds the entry of
// this instance already, from a time before a restart.
func (p *peers) entered(entry peerEntry) (known, entered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known, p.known && p.own == entry
}

// first reports whether this instance is among the first in its availability
// zone to ask the store for others, alive or not.
func (p *peers) first() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.e.Deployment
	own, ahead := peerEntry{LinkMbps: d.LinkMbps}.rank(d.Zone, d.Instance), 0
	for name, entry := range p.list {
		if entry.Zone == d.Zone && entry.rank(d.Zone, name).above(own) {
			ahead++
		}
	}
	return ahead < firstAskers
}

// lost notes that the peer at addr did not answer. It may read for others again
// once it is heard.
func (p *peers) lost(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.list {
		if entry.Address.String() == addr {
			delete(p.heard, name)
		}
	}
}

func (p *peers) leave() {
	if p.conn != nil {
		p.write(context.Background(), nil)
	}
}

func (p *peers) write(ctx context.Context, raw []byte) bool {
	ctx, cancel := kcclock.WithTimeout(ctx, kcclock.Boot{}, callMs)
	defer cancel()
	err := p.e.store.SetKey(ctx, kcplatform.TopicProgress, kcplatform.InstanceKey(p.e.Deployment.Instance), raw)
	if err != nil {
		p.e.Log.Warn("call of the store failed", "call", "write instance", "error", err)
	}
	return err == nil
}

// tell sends the state of this instance while it changes.
func (p *peers) tell(ctx context.Context) {
	if p.conn == nil {
		<-ctx.Done()
		return
	}
	entering := make(chan struct{})
	defer func() { <-entering }()
	go func() {
		defer close(entering)
		p.enter(ctx)
	}()
	clock := kcclock.Boot{}
	seq := uint64(time.Now().UnixMilli()) << 16
	last, lastAt, farAt := "", kcclock.Millis(0), kcclock.Millis(0)
	var sessions sessionTeller
	for kcclock.Wait(ctx, clock, tellMs) == nil {
		now := clock.Now()
		sessions.tell(p, now)
		m := kcload.Message{Instance: p.e.Deployment.Instance, Reads: p.reads(), Shares: p.e.gate.Upstreams.LoadShares()}
		state := string(kcload.Encode(m))
		if state == last && now-lastAt < stillMs {
			continue
		}
		last, lastAt = state, now
		seq++
		m.Seq = seq
		raw := kcload.Encode(m)
		near, far := p.targets()
		if now-farAt >= farTellMs {
			farAt = now
			near = append(near, far...)
		}
		p.send(raw, near)
	}
}

func (p *peers) send(raw []byte, to []netip.AddrPort) {
	for _, addr := range to {
		if _, err := p.conn.WriteToUDPAddrPort(raw, addr); err != nil {
			p.e.metrics.Count("peers.sendFailed")
		}
	}
}

// hear takes the messages of peers.
func (p *peers) hear(ctx context.Context) {
	if p.conn == nil {
		<-ctx.Done()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, kcload.MaxBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.e.metrics.Count("peers.readFailed")
			continue
		}
		if err := p.takeMessage(buf[:n], from); err != nil {
			p.e.metrics.Count("peers.badMessage")
		}
	}
}

// takeMessage takes a message of a peer.
func (p *peers) takeMessage(raw []byte, from netip.AddrPort) error {
	if kcload.IsSessionsQuery(raw) {
		order, err := kcload.DecodeSessionsQuery(raw)
		if err == nil {
			p.answerSessions(order, from)
		}
		return err
	}
	if kcload.IsSessions(raw) {
		m, err := kcload.DecodeSessions(raw)
		if err == nil {
			p.e.gate.Rollouts.MergeSessions(m)
		}
		return err
	}
	m, err := kcload.Decode(raw)
	if err == nil {
		p.note(m)
		p.e.gate.Upstreams.SetPeerLoad(m)
	}
	return err
}
