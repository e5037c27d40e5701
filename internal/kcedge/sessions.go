package kcedge

import (
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// sessionReportIntervalMs is the shortest time between session reports, which
	// go to the peers of all regions. It is below the duration of a short answer,
	// because the next request of a session follows the end of the previous one.
	sessionReportIntervalMs = 50 * kcclock.Millisecond
	// maxQueriedPeers is the number of peers that are asked for their sessions.
	// One or two of them may be gone.
	maxQueriedPeers = 3
)

// querySessions asks some peers for the sessions of a rollout order that this
// instance has learned of late.
func (p *peers) querySessions(order int64) {
	list := p.allRegions()
	if len(list) == 0 {
		if p.listKnown() {
			p.edge.gate.Rollouts.MarkSessionsSynced(order)
		}
		return
	}
	query := kcload.SessionQuery{OrderOffset: order, Sender: uint32(p.ownID)}
	p.send(kcload.EncodeSessionQuery(query), list[:min(len(list), maxQueriedPeers)])
}

// answerSessionQuery sends the known sessions of a rollout order to the peer
// that asked for them.
func (p *peers) answerSessionQuery(order int64, to destination) {
	for _, m := range p.edge.gate.Rollouts.SessionSnapshot(order) {
		for _, raw := range kcload.EncodeSessionReport(m) {
			p.send(raw, []destination{to})
		}
	}
}

// sessionReporter reports sessions that stay at their version during a rollout
// to the peers. sentAt is the time of the last report, fullSentAt that of the
// last full one.
type sessionReporter struct{ sentAt, fullSentAt kcclock.Millis }

func (s *sessionReporter) report(p *peers, now kcclock.Millis) {
	for _, order := range p.edge.gate.Rollouts.AwaitingSessions() {
		p.querySessions(order)
	}
	if now-s.sentAt < sessionReportIntervalMs {
		return
	}
	full := now-s.fullSentAt >= unchangedReportIntervalMs
	if full {
		s.fullSentAt = now
	}
	for _, m := range p.edge.gate.Rollouts.SessionUpdates(full) {
		s.sentAt = now
		for _, raw := range kcload.EncodeSessionReport(m) {
			p.edge.metrics.Count("peers.sessionsTold")
			p.send(raw, p.allRegions())
		}
	}
}
