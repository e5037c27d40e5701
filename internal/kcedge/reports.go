package kcedge

import (
	"context"
	"net/netip"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// minZoneReportIntervalMs is the shortest time between load reports to peers
	// in the same availability zone, minRegionReportIntervalMs that to peers in
	// other availability zones of the region. Other regions get no load reports:
	// traffic between regions is expensive, and their upstreams are used last.
	minZoneReportIntervalMs   = 25 * kcclock.Millisecond
	minRegionReportIntervalMs = 200 * kcclock.Millisecond
	// maxZoneReportsPerSecond and maxRegionReportsPerSecond bound the reports that
	// an instance sends to all peers together: those of 10 and of 33 peers at the
	// shortest intervals, the size of the grown deployments. Beyond that the
	// intervals grow, and the placement compares fewer upstreams.
	maxZoneReportsPerSecond   = 400
	maxRegionReportsPerSecond = 165
	// maxReportIntervalMs leaves a report time to be lost once before the one
	// before it expires.
	maxReportIntervalMs = 800 * kcclock.Millisecond
	// unchangedReportIntervalMs is the time after which an unchanged state is
	// sent again. It is well below the time for which a report is valid.
	unchangedReportIntervalMs = 500 * kcclock.Millisecond
)

// sendReports sends the load of this instance when it changes, and session
// reports.
func (p *peers) sendReports(ctx context.Context) {
	if p.udpConn == nil {
		<-ctx.Done()
		return
	}
	registrationDone := make(chan struct{})
	defer func() { <-registrationDone }()
	go func() {
		defer close(registrationDone)
		p.register(ctx)
	}()
	clock := kcclock.Boot{}
	seq := uint64(time.Now().UnixMilli()) << 16
	var last kcload.Message
	lastSentAt, regionSentAt := kcclock.Millis(0), kcclock.Millis(0)
	var sessions sessionReporter
	var sync quarantineSync
	for p.awaitReport(ctx, clock) {
		now := clock.Now()
		sessions.report(p, now)
		sync.query(p, now)
		p.sendQuarantine(now)
		p.sendLimits(now)
		near, far := p.ownRegion()
		if now-lastSentAt < reportInterval(len(near), maxZoneReportsPerSecond, minZoneReportIntervalMs) {
			continue
		}
		m := kcload.Message{
			Instance: p.edge.Deployment.Instance, CanReadStore: p.canReadStore(),
			Loads: p.edge.gate.Upstreams.LoadShares(),
		}
		if m.SameState(last) && now-lastSentAt < unchangedReportIntervalMs {
			continue
		}
		last, lastSentAt = m, now
		seq++
		m.Seq = seq
		raw := kcload.Encode(m)
		if now-regionSentAt >= reportInterval(len(far), maxRegionReportsPerSecond, minRegionReportIntervalMs) {
			regionSentAt = now
			near = append(near, far...)
		}
		p.send(raw, near)
	}
}

// awaitReport waits until the next report or urgent message is due. It returns
// false once ctx has ended.
func (p *peers) awaitReport(ctx context.Context, clock kcclock.Clock) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.urgent:
		p.sendQuarantine(clock.Now())
	case <-clock.After(minZoneReportIntervalMs):
	}
	return true
}

// sendLimits tells the peers of all regions what upstreams say about the requests
// that they take.
func (p *peers) sendLimits(now kcclock.Millis) {
	if r, ok := p.edge.gate.Upstreams.LimitReport(); ok {
		p.tellAll("peers.limitsTold", kcload.EncodeLimitReport(r, now))
	}
}

// tellAll sends messages to the peers of all regions and counts them.
func (p *peers) tellAll(counter string, messages [][]byte) {
	to := p.allRegions()
	for _, raw := range messages {
		p.edge.metrics.Count(counter)
		p.send(raw, to)
	}
}

// reportInterval returns the time between load reports to a number of peers, so
// that an instance sends at most perSecond of them to all together.
func reportInterval(peers, perSecond int, shortest kcclock.Millis) kcclock.Millis {
	return min(max(kcclock.Millis(peers)*kcclock.Second/kcclock.Millis(perSecond), shortest), maxReportIntervalMs)
}

// send sends a message to instances. Its first bytes tell which one it is meant
// for.
func (p *peers) send(raw []byte, to []destination) {
	b := make([]byte, 0, instanceIDBytes+len(raw))
	for _, d := range to {
		b = append(d.id.appendTo(b[:0]), raw...)
		if _, err := p.udpConn.WriteToUDPAddrPort(b, d.addr); err != nil {
			p.edge.metrics.Count("peers.sendFailed")
		}
	}
}

// receive handles the messages of peers until ctx ends.
func (p *peers) receive(ctx context.Context) {
	if p.udpConn == nil {
		<-ctx.Done()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = p.udpConn.Close() })
	defer stop()
	buf := make([]byte, instanceIDBytes+kcload.MaxMessageBytes)
	for {
		n, from, err := p.udpConn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.edge.metrics.Count("peers.readFailed")
			continue
		}
		if err := p.handleMessage(buf[:n], from); err != nil {
			p.edge.metrics.Count("peers.badMessage")
		}
	}
}

// handleMessage decodes and applies one message of a peer.
func (p *peers) handleMessage(raw []byte, from netip.AddrPort) error {
	raw, own := p.ownID.cutPrefix(raw)
	if !own {
		p.recordForeign(from.Addr().String())
		return nil
	}
	if kcload.IsSessionQuery(raw) {
		q, err := kcload.DecodeSessionQuery(raw)
		if err == nil {
			p.answerSessionQuery(q.OrderOffset, destination{from, instanceID(q.Sender)})
		}
		return err
	}
	if kcload.IsSessionReport(raw) {
		m, err := kcload.DecodeSessionReport(raw)
		if err == nil {
			p.edge.gate.Rollouts.MergeSessions(m)
		}
		return err
	}
	if kcload.IsQuarantineReport(raw) {
		r, err := kcload.DecodeQuarantineReport(raw, kcclock.Boot{}.Now())
		if err == nil {
			p.edge.gate.Quarantine.Merge(r)
		}
		return err
	}
	if kcload.IsQuarantineQuery(raw) {
		q, err := kcload.DecodeQuarantineQuery(raw)
		if err == nil {
			p.answerQuarantineQuery(destination{from, instanceID(q.Sender)})
		}
		return err
	}
	if kcload.IsLimitReport(raw) {
		r, err := kcload.DecodeLimitReport(raw, kcclock.Boot{}.Now())
		if err == nil {
			p.edge.gate.Upstreams.MergeLimits(r)
		}
		return err
	}
	m, err := kcload.Decode(raw)
	if err == nil {
		p.recordHeartbeat(m)
		p.edge.gate.Upstreams.SetPeerLoad(m)
		p.edge.gate.Admission.ReleaseAll()
	}
	return err
}
