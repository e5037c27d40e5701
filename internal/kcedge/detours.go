package kcedge

import (
	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// detourReserveMs is how long the ways to an upstream may take beyond a connection of
// this instance, so that its failure is seen as one.
const detourReserveMs = 100 * kcclock.Millisecond

// newDetours sets up the connections to upstreams, which lead through peers while this
// instance is cut off, and the relay that passes on those of peers.
func (e *Edge) newDetours() {
	clock := kcclock.Boot{}
	direct := e.DialUpstream
	if direct == nil {
		direct = kcconn.NewDialer(dialTimeoutMs, unackedTimeoutMs)
	}
	e.reach = &kcdetour.Reach{Clock: clock, Log: e.Log, Count: e.metrics.Count}
	e.detours = &kcdetour.Dialer{
		Clock: clock, Log: e.Log, Count: e.metrics.Count, Reach: e.reach, Direct: direct,
		DialPeer: kcconn.NewDialer(dialTimeoutMs, unackedTimeoutMs), TimeoutMs: dialTimeoutMs + detourReserveMs,
		Upstreams: func() int { return len(e.gate.Upstreams.Addresses()) },
		Peers:     func() []kcdetour.Peer { return e.peers.tunnelPeers() },
		OnDetour:  func(addr string) { e.upstreamPool.CloseIdle(addr) },
		OnCutOff:  func() { e.upstreamPool.Prune(func(string) bool { return false }) },
	}
	e.relay = &kcdetour.Relay{
		Clock: clock, Log: e.Log, Count: e.metrics.Count, Reach: e.reach, Direct: direct, CutOff: e.detours.CutOff,
		InstanceID: e.peers.ownID.String(), OnForeign: e.peers.recordForeign, UnackedTimeoutMs: unackedTimeoutMs,
		Known: func(addr string) bool { return e.gate.Upstreams.Addresses().Has(addr) },
	}
}

// tunnelPeers returns the peers that may pass connections on, those of the own
// availability zone and region first.
func (p *peers) tunnelPeers() []kcdetour.Peer {
	list := p.allRegions()
	peers := make([]kcdetour.Peer, 0, len(list))
	for _, d := range list {
		peers = append(peers, kcdetour.Peer{Addr: d.addr.String(), ID: d.id.String()})
	}
	return peers
}
