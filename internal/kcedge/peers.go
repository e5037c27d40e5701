package kcedge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

const (
	// tellMs is the time between messages to peers in the same availability
	// zone, farTellMs to those of others in the region. Other regions are not
	// told: their bytes are dear, and their upstreams are used last.
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
	// peerWaitMs is how long a read of the list of instances waits: the longest
	// time that the store allows.
	peerWaitMs = 30_000 * kcclock.Millisecond
	// peerPauseMs lets the instances of a start be read together.
	peerPauseMs = 1000 * kcclock.Millisecond
)

// peerEntry is the entry of an instance in the list that instances share.
type peerEntry struct {
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
}

// peers tells the other instances of the region about the work of this one.
type peers struct {
	e    *Edge
	conn *net.UDPConn
	// ln takes reads of peers in the same availability zone.
	ln net.Listener

	mu    sync.Mutex
	list  map[string]peerEntry
	heard map[string]kcclock.Millis
}

func newPeers(e *Edge) *peers {
	return &peers{e: e, list: make(map[string]peerEntry), heard: make(map[string]kcclock.Millis)}
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

// reader returns the address of the instance that reads the store for its
// availability zone: of those that were heard lately and this one, the one with
// the highest hash. It returns false if that is this instance.
func (p *peers) reader() (string, bool) {
	now := kcclock.Boot{}.Now()
	own := p.e.Deployment
	best, most := "", kcset.RendezvousHash(own.Zone, own.Instance)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.list {
		if entry.Zone != own.Zone || now-p.heard[name] > readerMs {
			continue
		}
		if h := kcset.RendezvousHash(own.Zone, name); h > most {
			best, most = entry.Address.String(), h
		}
	}
	return best, best != ""
}

func (p *peers) note(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.list[instance]; known {
		p.heard[instance] = kcclock.Boot{}.Now()
	}
}

// evidencePath takes the evidence of peers in the same availability zone.
const evidencePath = "/evidence"

// maxEvidenceBytes bounds the evidence of a peer.
const maxEvidenceBytes = 1 << 20

// pass gives evidence to the instance that publishes it.
func (p *peers) pass(ctx context.Context, addr string, reports []kcgate.Report) bool {
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
	var reports []kcgate.Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEvidenceBytes)).Decode(&reports); err != nil {
		p.e.Log.Warn("evidence ignored", "peer", r.RemoteAddr, "error", err)
		http.Error(w, "no evidence: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, report := range reports {
		p.e.gate.Orders.Relay(report)
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply takes entries of the list of instances.
func (p *peers) apply(records []kcfeed.Record, whole, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		clear(p.list)
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(p.list, r.Key)
			continue
		}
		var entry peerEntry
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			p.e.Log.Warn("instance ignored", "instance", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		if r.Key != p.e.Deployment.Instance && entry.Region == p.e.Deployment.Region {
			p.list[r.Key] = entry
		}
	}
	p.e.Log.Info("list of instances read", "instances", len(p.list))
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
	raw, err := json.Marshal(peerEntry{Zone: d.Zone, Region: d.Region, Address: addr})
	if err != nil {
		p.e.Log.Error("entry of the instance not written", "error", err)
		return
	}
	for ctx.Err() == nil && !p.write(ctx, raw) {
		_ = kcclock.Wait(ctx, kcclock.Boot{}, 2*kcclock.Second)
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
	err := p.e.store.SetKey(ctx, kcplatform.TopicInstances, p.e.Deployment.Instance, raw)
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
	p.enter(ctx)
	clock := kcclock.Boot{}
	seq := uint64(time.Now().UnixMilli()) << 16
	last, lastAt, farAt := "", kcclock.Millis(0), kcclock.Millis(0)
	for kcclock.Wait(ctx, clock, tellMs) == nil {
		now := clock.Now()
		m := kcload.Message{Instance: p.e.Deployment.Instance, Shares: p.e.gate.Upstreams.Shares()}
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
		for _, addr := range near {
			if _, err := p.conn.WriteToUDPAddrPort(raw, addr); err != nil {
				p.e.metrics.Count("peers.sendFailed")
			}
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
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.e.metrics.Count("peers.readFailed")
			continue
		}
		m, err := kcload.Decode(buf[:n])
		if err != nil {
			p.e.metrics.Count("peers.badMessage")
			continue
		}
		p.note(m.Instance)
		p.e.gate.Upstreams.SetPeer(m)
	}
}
