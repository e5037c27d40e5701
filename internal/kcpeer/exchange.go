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
	view = 3
	// remoteExchanges bounds the exchanges per round between regions, summed
	// over all instances: 60 exchanges of up to 4 KB take about 2 Mbit/s of a
	// 30 Mbit/s link.
	remoteExchanges = 60
)

// DigestResponseHandler is a DigestHandler that also wants to know when a digest was asked
// for. The time bounds from below when the digest was made, which a digest
// that arrives unasked cannot: it may have been on its way for long.
type DigestResponseHandler interface {
	// ReadDigestResponse takes the digest that was asked for at the time askedAt. The
	// client p reaches the peer until ctx ends.
	ReadDigestResponse(ctx context.Context, p Peer, d *Digest, askedAt kcclock.Millis)
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
		askedAt := n.opts.Clock.Now()
		answer, err := p.Exchange(ctx, n.digest())
		if err != nil {
			return err
		}
		for _, part := range n.opts.Handlers.Digests {
			part.ReadDigest(answer)
			if r, ok := part.(DigestResponseHandler); ok {
				r.ReadDigestResponse(ctx, p, answer, askedAt)
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
	var out, near, own, local, remote []kcmember.Member
	for _, m := range live {
		switch {
		case m.Region != self.Region:
			remote = append(remote, m)
			continue
		case m.Zone != self.Zone:
			near = append(near, m)
		default:
			own = append(own, m)
		}
		local = append(local, m)
	}
	take := func(from []kcmember.Member) {
		from = slices.DeleteFunc(slices.Clone(from), func(m kcmember.Member) bool {
			return slices.ContainsFunc(out, func(o kcmember.Member) bool { return o.ID == m.ID })
		})
		if len(from) > 0 && len(out) < view {
			out = append(out, from[rng.IntN(len(from))])
		}
	}
	take(zoneInTurn(near, round))
	if rng.IntN(len(live)+1) < remoteExchanges {
		take(zoneInTurn(remote, round))
	}
	take(own)
	for range view {
		take(local)
	}
	// An instance that is alone in its region still has peers.
	for len(local) == 0 && len(out) < min(view, len(remote)) {
		take(remote)
	}
	return out
}

// zoneInTurn returns the members of one zone; zones take turns by round.
func zoneInTurn(members []kcmember.Member, round int) []kcmember.Member {
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
