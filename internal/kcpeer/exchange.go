package kcpeer

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxExchangesPerRound is the number of peers that a round exchanges digests
	// with, if there are that many.
	maxExchangesPerRound = 3
	// maxRemoteExchanges limits the exchanges between regions in one round period,
	// summed over all instances. 60 exchanges of up to 4 KB take about 2 Mbit/s of
	// a 30 Mbit/s link.
	maxRemoteExchanges = 60
)

// DigestResponseHandler is a DigestHandler that also learns when a digest was
// requested. The peer made the digest after that time. For a digest that arrives
// unrequested there is no such bound, because it may have been delayed on the
// way.
type DigestResponseHandler interface {
	// ReadDigestResponse reads a digest that was requested at requestedAt. p is a
	// client of the peer that can be used until ctx is done.
	ReadDigestResponse(ctx context.Context, p Peer, d *Digest, requestedAt kcclock.Millis)
}

// Run exchanges digests periodically until ctx is done. The returned channel is
// closed when it has stopped.
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

// RunRound exchanges digests with the peers of one round and returns after the
// last exchange succeeded or failed.
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

// choosePeers returns the peers of a round: one in another availability zone of
// the region, one in another region as often as maxRemoteExchanges permits, one
// in the own availability zone, and random ones in the region for the remaining
// exchanges. The other availability zones are chosen round-robin, so that each
// is heard from within a known number of rounds. The own zone must be heard from
// too, because an instance that hears only from other zones may itself be cut
// off.
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
	// An instance without peers in its region exchanges only with other regions.
	for len(ownRegion) == 0 && len(chosen) < min(maxExchangesPerRound, len(otherRegions)) {
		pickOne(otherRegions)
	}
	return chosen
}

// membersOfZoneInTurn returns the members of one availability zone, which is
// chosen round-robin by round.
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
