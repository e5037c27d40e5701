package kcconfig

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Bounds of one relay.
const (
	maxRelayRecords = 500
	maxRelayBytes   = 256 << 10
	maxRelayCalls   = 8
)

// FillDigest writes the position and the freshness into a digest.
func (r *Reader) FillDigest(d *kcpeer.Digest) {
	// The offset is read last, so that it is not below the end that the
	// freshness in the digest stands for.
	r.hear.fill(d, r.opts.Clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	d.ConfigOffset, d.ConfigChain = r.state.Next, r.state.Chain
}

// ReadDigest ignores digests that arrive unasked: they may have been on their
// way for long, and the answers of later rounds say the same.
func (r *Reader) ReadDigest(*kcpeer.Digest) {}

// ReadDigestResponse takes the digest that a peer answered with and fetches the
// records that are missing here.
func (r *Reader) ReadDigestResponse(ctx context.Context, p kcpeer.Peer, d *kcpeer.Digest, askedAt kcclock.Millis) {
	r.hear.heard(r.opts.Zone, d, askedAt)
	for range maxRelayCalls {
		r.mu.Lock()
		next, chain := r.state.Next, r.state.Chain
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

// applyRelay takes records or a state of a peer that holds the same chain. It
// reports whether anything was folded.
func (r *Reader) applyRelay(resp *kcpeer.ReadConfigResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Next
	if len(resp.State) > 0 && r.state.Next == 0 {
		r.adopt(resp.State)
	}
	for _, rec := range resp.Records {
		if rec.Offset < r.state.Next {
			continue
		}
		if rec.Offset > r.state.Next {
			r.opts.Metrics.Count("config.relayGap")
			break
		}
		r.fold(kclog.Record{
			Offset: rec.Offset, AppendedAt: kcclock.Millis(rec.AppendedAtMs),
			NewRecord: kclog.NewRecord{ID: rec.Id, Kind: rec.Kind, Body: rec.Body},
		})
	}
	if r.state.Next == before {
		return false
	}
	r.opts.Metrics.Add("config.relayed", r.state.Next-before)
	r.settle()
	r.releasePending()
	r.publish()
	return true
}

// adopt takes the state of a peer into an empty reader. The log is still read
// from its start and decides if it differs.
func (r *Reader) adopt(body []byte) {
	var snap Snapshot
	if err := json.Unmarshal(body, &snap); err != nil {
		return
	}
	state, err := StateFrom(snap)
	if err != nil || state.Next == 0 {
		return
	}
	r.replace(state)
	if r.shadow == nil {
		r.shadow = NewState()
	}
	r.opts.Log.Info("configStateFromPeer", "through", snap.Through)
}

// ReadConfig answers a peer that lacks records.
func (r *Reader) ReadConfig(_ context.Context, req *kcpeer.ReadConfigRequest) (*kcpeer.ReadConfigResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.state.Next - int64(len(r.recent))
	resp := &kcpeer.ReadConfigResponse{FirstOffset: first, EndOffset: r.state.Next}
	switch {
	case req.FromOffset >= r.state.Next:
	case req.FromOffset >= first:
		if r.recent[req.FromOffset-first].before != req.Chain {
			r.opts.Metrics.Count("config.relayConflict")
			return nil, twirp.NewError(twirp.FailedPrecondition, "the records before the offset differ")
		}
		resp.Records = relayRecords(r.recent[req.FromOffset-first:], int(req.Limit))
	case req.FromOffset == 0:
		resp.FirstOffset = r.state.Next
		resp.State = encode(r.state.Snapshot())
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
