package kcedge

import (
	"net/netip"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// sessionsMs is the least time between messages about sessions, which go to
	// the peers of all regions. It is below the time of a short answer: the next
	// request of a session comes after its end.
	sessionsMs = 50 * kcclock.Millisecond
	// askedPeers is the number of peers that are asked for what they know: one
	// or two may be gone.
	askedPeers = 3
)

// askSessions asks some peers for the sessions of an order that this instance
// has seen late.
func (p *peers) askSessions(order int64) {
	list := p.everyone()
	if len(list) == 0 {
		if p.listKnown() {
			p.e.gate.Rollouts.MarkSessionsSynced(order)
		}
		return
	}
	p.send(kcload.EncodeSessionsQuery(order), list[:min(len(list), askedPeers)])
}

// answerSessions answers such a query.
func (p *peers) answerSessions(order int64, to netip.AddrPort) {
	for _, m := range p.e.gate.Rollouts.SessionSnapshot(order) {
		for _, raw := range kcload.EncodeSessions(m) {
			p.send(raw, []netip.AddrPort{to})
		}
	}
}

// sessionTeller tells the others of sessions that stay at their version.
type sessionTeller struct{ toldAt, allAt kcclock.Millis }

func (s *sessionTeller) tell(p *peers, now kcclock.Millis) {
	for _, order := range p.e.gate.Rollouts.AwaitingSessions() {
		p.askSessions(order)
	}
	if now-s.toldAt < sessionsMs {
		return
	}
	all := now-s.allAt >= stillMs
	if all {
		s.allAt = now
	}
	for _, m := range p.e.gate.Rollouts.SessionUpdates(all) {
		s.toldAt = now
		for _, raw := range kcload.EncodeSessions(m) {
			p.e.metrics.Count("peers.sessionsTold")
			p.send(raw, p.everyone())
		}
	}
}
