package kcclaim

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Peers gives access to the other instances.
type Peers interface {
	// LiveInstances returns the ids of this instance and its live peers.
	LiveInstances() []string
	// LivePeers returns the live peers without this instance.
	LivePeers() []kcmember.Member
	// Call runs f with a client of the peer and bounds it by timeout.
	Call(ctx context.Context, m kcmember.Member, timeout kcclock.Millis, f func(context.Context, kcpeer.Peer) error) error
}

// Shares of kclog.AppendsPerSecond for claims and outcomes. Bills have the
// remaining 100 a second (see kcbill).
const (
	ownerAppendsPerSecond  = 150 // divided by the shards
	sharedAppendsPerSecond = 50  // divided by the instances
)

// AppendsPerSecond returns the append rate of an instance that owns some of the
// shards. Owners append for all instances and get most of the rate: with equal
// shares, an owner among 380 instances had 0.79 appends a second, and a claim
// waited 561 ms. The rest is for instances that cannot reach an owner.
func AppendsPerSecond(live, owned, shards int) float64 {
	return ownerAppendsPerSecond*float64(owned)/float64(shards) + sharedAppendsPerSecond/float64(max(live, 1))
}

// SetPeers makes the Claimer forward claims to the owners of their shards, so
// that claims of all instances share batches. Call it before Acquire.
func (c *Claimer) SetPeers(peers Peers) { c.peers = peers }

var errNoRemoteOwner = errs.New("claim: no other live instance owns the shard")

// forwardClaim has the owner of the shard append and decide the claim. The
// second result is true if the owner may have received the claim.
func (c *Claimer) forwardClaim(ctx context.Context, s *shard, claim Claim) (Decision, bool, error) {
	body, err := json.Marshal(claim)
	if err != nil {
		return Decision{}, false, errs.Wrap(err)
	}
	var resp *kcpeer.ClaimResponse
	sent, err := c.callOwner(ctx, s, func(ctx context.Context, p kcpeer.Peer) (err error) {
		resp, err = p.Claim(ctx, &kcpeer.ClaimRequest{Claim: body})
		return err
	})
	if err != nil {
		return Decision{}, sent, err
	}
	d, err := decodeDecision(resp, claim)
	return d, true, err
}

// forwardOutcome has the owner of the shard append the outcome. After an error
// the outcome may be in the log; a second record of it has no effect.
func (c *Claimer) forwardOutcome(ctx context.Context, s *shard, o Outcome) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errs.Wrap(err)
	}
	_, err = c.callOwner(ctx, s, func(ctx context.Context, p kcpeer.Peer) error {
		_, err := p.Finish(ctx, &kcpeer.FinishRequest{Outcome: body})
		return err
	})
	return err
}

// callOwner calls the owner of the shard if it is a live peer. The first result
// is true if the owner may have received the call.
func (c *Claimer) callOwner(ctx context.Context, s *shard, f func(context.Context, kcpeer.Peer) error) (bool, error) {
	if c.peers == nil {
		return false, errNoRemoteOwner
	}
	owner := kcset.Owner(s.stream, c.peers.LiveInstances())
	for _, m := range c.peers.LivePeers() {
		if m.ID != owner {
			continue
		}
		err := c.peers.Call(ctx, m, c.opts.ForwardTimeoutMs, f)
		if err != nil {
			c.opts.CountEvent("claims.forwardsFailed")
		}
		return true, err
	}
	return false, errNoRemoteOwner
}

// decodeDecision decodes and validates the response of the owner. Acquired must
// name this attempt and any entry must name this key: what the owner read in
// the log is final, because an attempt holds its key until it closes itself,
// but the response may belong to another claim.
func decodeDecision(resp *kcpeer.ClaimResponse, claim Claim) (Decision, error) {
	d := Decision{Verdict: Verdict(resp.GetVerdict()), recordMayArrive: resp.GetLate()}
	if len(resp.GetEntry()) > 0 {
		if err := json.Unmarshal(resp.GetEntry(), &d.Entry); err != nil {
			return Decision{}, errs.Wrap(err)
		}
	}
	if d.Entry.Holder.Attempt != "" && d.Entry.Holder.Key != claim.Key {
		return Decision{}, errs.New("claim: the owner answered for another key")
	}
	switch {
	case d.Verdict == Acquired && d.Entry.Holder.Attempt != claim.Attempt, d.Verdict == HasOutcome && d.Entry.Outcome == nil,
		d.Verdict < Acquired, d.Verdict > HolderLost:
		return Decision{}, errs.New("claim: the owner's answer does not fit its verdict %d", d.Verdict)
	case d.Verdict == Unavailable:
		d.Err = errs.New("claim: the owner of the shard: %s", resp.GetError())
	}
	return d, nil
}

// Claim appends and decides a claim of another instance. It does not close the
// attempt, because only the claimant knows whether it gives up.
func (c *Claimer) Claim(ctx context.Context, req *kcpeer.ClaimRequest) (*kcpeer.ClaimResponse, error) {
	var claim Claim
	if err := json.Unmarshal(req.GetClaim(), &claim); err != nil {
		return nil, errs.Wrap(err)
	}
	d := c.acquireLocally(ctx, c.shardOf(claim.Key), claim)
	resp := &kcpeer.ClaimResponse{Verdict: int32(d.Verdict), Late: d.recordMayArrive}
	if d.Entry.Holder.Attempt != "" {
		entry, err := json.Marshal(d.Entry)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		resp.Entry = entry
	}
	if d.Err != nil {
		resp.Error = d.Err.Error()
	}
	return resp, nil
}

// Finish appends an outcome of another instance. It returns once the record is
// in the log.
func (c *Claimer) Finish(ctx context.Context, req *kcpeer.FinishRequest) (*kcpeer.FinishResponse, error) {
	var o Outcome
	if err := json.Unmarshal(req.GetOutcome(), &o); err != nil {
		return nil, errs.Wrap(err)
	}
	if err := c.appendOutcomeLocally(ctx, o); err != nil {
		return nil, err
	}
	return &kcpeer.FinishResponse{}, nil
}
