package kcpeer

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// view is the number of peers that a round exchanges digests with.
	maxExchangesPerRound = 3
	// maxRemoteExchanges bounds the exchanges per round between regions, summed
	// over all instances: 60 exchanges of up to 4 KB take about 2 Mbit/s of a
	// 30 Mbit/s link.
	maxRemoteExchanges = 60
)

// DigestResponseHandler is a DigestHandler that also wants to know when a digest was asked
// for. The time bounds from below when the digest was made, which a digest
// that arrives unasked cannot: it may have been on its way for long.
type DigestResponseHandler interface {
	// ReadDigestResponse takes the digest that was asked for at the time requestedAt. The
	// client p reaches the peer until ctx ends.
	ReadDigestResponse(ctx context.Context, p Peer, d *Digest, requestedAt kcclock.Millis)
}

// Run exchanges digests until ctx ends. The returned channel is closed then.
func (n *Node) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			n.RunRound(ctx)
			select {
			case <-ctx.Done():
			case <-n.opts.Clock.After(n.opts.PeriodMs):
			}
		}
	}()
	return done
}

// Round exchanges digests with the peers of one round and returns after the
// last of them answered or failed.
func (n *Node) RunRound(ctx context.Context) {
	peers := choosePeers(n.rng, n.round, n.opts.Self, n.LivePeers())
	n.round++
	done := make(chan struct{}, len(peers))
	for _, m := range peers {
		go func() {
			n.exchange(ctx, m)
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
}

func (n *Node) exchange(ctx context.Context, m kcmember.Member) {
	_ = n.Call(ctx, m, n.opts.TimeoutMs, func(ctx context.Context, p Peer) error {
		requestedAt := n.opts.Clock.Now()
		response, err := p.Exchange(ctx, n.buildDigest())
		if err != nil {
			return err
		}
		for _, part := range n.opts.Handlers.Digests {
			part.ReadDigest(response)
			if r, ok := part.(DigestResponseHandler); ok {
				r.ReadDigestResponse(ctx, p, response, requestedAt)
			}
		}
		return nil
	})
}

// choosePeers returns the peers of a round: one of another availability zone
// of the region, one of another region as often as the bound on remote
// exchanges permits, one of the own zone, and random ones of the region if
// there is room. Other zones take turns, so that each is heard from within a
// known number of rounds; the own zone must be heard from too, because an
// instance that hears only other zones may itself be cut off.
func choosePeers(rng *rand.Rand, round int, self kcmember.Member, live []kcmember.Member) []kcmember.Member {
	var chosen, otherZones, ownZone, ownRegion, otherRegions []kcmember.Member
	for _, m := range live {
		switch {
		case m.Region != self.Region:
			otherRegions = append(otherRegions, m)
			continue
		case m.Zone != self.Zone:
			otherZones = append(otherZones, m)
		default:
			ownZone = append(ownZone, m)
		}
		ownRegion = append(ownRegion, m)
	}
	pickOne := func(candidates []kcmember.Member) {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(m kcmember.Member) bool {
			return slices.ContainsFunc(chosen, func(o kcmember.Member) bool { return o.ID == m.ID })
		})
		if len(candidates) > 0 && len(chosen) < maxExchangesPerRound {
			chosen = append(chosen, candidates[rng.IntN(len(candidates))])
		}
	}
	pickOne(membersOfZoneInTurn(otherZones, round))
	if rng.IntN(len(live)+1) < maxRemoteExchanges {
		pickOne(membersOfZoneInTurn(otherRegions, round))
	}
	pickOne(ownZone)
	for range maxExchangesPerRound {
		pickOne(ownRegion)
	}
	// An instance that is alone in its region still has peers.
	for len(ownRegion) == 0 && len(chosen) < min(maxExchangesPerRound, len(otherRegions)) {
		pickOne(otherRegions)
	}
	return chosen
}

// membersOfZoneInTurn returns the members of one zone; zones take turns by round.
func membersOfZoneInTurn(members []kcmember.Member, round int) []kcmember.Member {
	var zones []string
	for _, m := range members {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	slices.Sort(zones)
	zone := zones[round%len(zones)]
	return slices.DeleteFunc(slices.Clone(members), func(m kcmember.Member) bool { return m.Zone != zone })
}
