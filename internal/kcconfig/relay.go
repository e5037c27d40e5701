package kcconfig

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Bounds of a relay: records and bytes in one answer, and calls for one digest.
const (
	maxRelayRecords = 500
	maxRelayBytes   = 256 << 10
	maxRelayCalls   = 8
)

// FillDigest adds the position and the freshness information to a digest.
func (r *Reader) FillDigest(d *kcpeer.Digest) {
	// The offset is read last, so that it is not below the end of the log that the
	// freshness information refers to.
	r.tracker.fillDigest(d, r.opts.Clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	d.ConfigOffset, d.ConfigChain = r.state.NextOffset, r.state.ChainHash
}

// ReadDigest does nothing. A digest in a request of a peer may have been in
// transit for long, and the answers of later rounds hold the same information.
// ReadAnswer handles answers.
func (r *Reader) ReadDigest(*kcpeer.Digest) {}

// ReadDigestResponse records the digest that a peer answered with and fetches the
// records that this instance lacks.
func (r *Reader) ReadDigestResponse(ctx context.Context, p kcpeer.Peer, d *kcpeer.Digest, askedAt kcclock.Millis) {
	r.tracker.recordDigest(r.opts.Zone, d, askedAt)
	for range maxRelayCalls {
		r.mu.Lock()
		next, chain := r.state.NextOffset, r.state.ChainHash
		r.mu.Unlock()
		if next >= d.ConfigOffset {
			return
		}
		resp, err := p.ReadConfig(ctx, &kcpeer.ReadConfigRequest{FromOffset: next, Limit: maxRelayRecords, Chain: chain})
		if err != nil || !r.applyRelay(resp) {
			return
		}
	}
}

// applyRelay folds records or adopts a state from a peer that has the same
// chain hash. It reports whether the position advanced.
func (r *Reader) applyRelay(resp *kcpeer.ReadConfigResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.NextOffset
	if len(resp.State) > 0 && r.state.NextOffset == 0 {
		r.adoptPeerState(resp.State)
	}
	for _, rec := range resp.Records {
		if rec.Offset < r.state.NextOffset {
			continue
		}
		if rec.Offset > r.state.NextOffset {
			r.opts.Metrics.Count("config.relayGap")
			break
		}
		r.fold(kclog.Record{
			Offset: rec.Offset, AppendedAt: kcclock.Millis(rec.AppendedAtMs),
			NewRecord: kclog.NewRecord{ID: rec.Id, Kind: rec.Kind, Body: rec.Body},
		})
	}
	if r.state.NextOffset == before {
		return false
	}
	r.opts.Metrics.Add("config.relayed", r.state.NextOffset-before)
	r.reconcileWithLog()
	r.foldPendingRecords()
	r.publishRules()
	return true
}

// adoptPeerState adopts the state of a peer in a reader that has folded
// nothing. The log is still read from its start and is authoritative if it
// differs.
func (r *Reader) adoptPeerState(body []byte) {
	var snap Snapshot
	if err := json.Unmarshal(body, &snap); err != nil {
		return
	}
	state, err := StateFromSnapshot(snap)
	if err != nil || state.NextOffset == 0 {
		return
	}
	r.replaceState(state)
	if r.logState == nil {
		r.logState = NewState()
	}
	r.opts.Log.Info("configStateFromPeer", "through", snap.NextOffset)
}

// ReadConfig handles the RPC of a peer that lacks records.
func (r *Reader) ReadConfig(_ context.Context, req *kcpeer.ReadConfigRequest) (*kcpeer.ReadConfigResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.state.NextOffset - int64(len(r.recent))
	resp := &kcpeer.ReadConfigResponse{FirstOffset: first, EndOffset: r.state.NextOffset}
	switch {
	case req.FromOffset >= r.state.NextOffset:
	case req.FromOffset >= first:
		if r.recent[req.FromOffset-first].hashBefore != req.Chain {
			r.opts.Metrics.Count("config.relayConflict")
			return nil, twirp.NewError(twirp.FailedPrecondition, "the records before the offset differ")
		}
		resp.Records = relayRecords(r.recent[req.FromOffset-first:], int(req.Limit))
	case req.FromOffset == 0:
		resp.FirstOffset = r.state.NextOffset
		resp.State = mustEncode(r.state.Snapshot())
	}
	return resp, nil
}

func relayRecords(from []recentRecord, limit int) []*kcpeer.ConfigRecord {
	var out []*kcpeer.ConfigRecord
	size := 0
	for _, rec := range from {
		size += len(rec.Body)
		if len(out) >= min(limit, maxRelayRecords) || (size > maxRelayBytes && len(out) > 0) {
			break
		}
		out = append(out, &kcpeer.ConfigRecord{
			Offset: rec.Offset, AppendedAtMs: int64(rec.AppendedAt), Id: rec.ID, Kind: rec.Kind, Body: rec.Body,
		})
	}
	return out
}
