package kcclaim

import (
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	notRun = kcapi.NotRun
	// expiredKeysPerHeldKey is how many expired keys take the memory of one held
	// key.
	expiredKeysPerHeldKey = 20
)

// shard follows one claim stream and keeps the state derived from it.
type shard struct {
	stream   string
	maxKeys  int
	follower *kclog.Follower
	isListed func(instance string) bool

	mu    sync.Mutex
	state *ShardState
}

func newShard(opts ClaimerOptions, stream string) *shard {
	s := &shard{
		stream: stream, maxKeys: opts.MaxKeys, isListed: opts.IsListed,
		state: NewShardState(ShardStateOptions{WindowMs: opts.WindowMs, MaxAnswerBytes: opts.MaxAnswerBytes}),
	}
	s.follower = kclog.NewFollower(kclog.FollowerOptions{
		Log: opts.Log, Clock: opts.Clock, Stream: stream,
		Fold: func(r kclog.Record) { s.withLock(func() { s.state.Fold(r) }) },
		Gap:  func(from, to int64) { s.withLock(func() { s.state.HandleGap(from, to) }) },
		Page: func(p kclog.Page) { s.withLock(func() { s.state.HandlePage(p) }) },
	})
	return s
}

func (s *shard) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// decideClaim decides the claim from the records read so far. The second result
// is true if the claim may be appended.
func (s *shard) decideClaim(claim Claim) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.state.Lookup(claim.Key)
	if e == nil {
		return s.decideUnheld(claim)
	}
	d := Decision{Entry: *e}
	switch {
	case e.Holder.Attempt == claim.Attempt:
		d.Verdict = Acquired
	case e.Holder.Fingerprint != claim.Fingerprint:
		d.Verdict = KeyReused
	case e.Outcome != nil:
		outcome := *e.Outcome // the shard state drops the body of an old answer
		d.Entry.Outcome = &outcome
		d.Verdict = HasOutcome
	case s.state.logNow > e.Holder.Deadline+outcomeGraceMs, s.isHolderGone(e):
		d.Verdict = HolderLost
	default:
		d.Verdict = InProgress
	}
	return d, false
}

// isHolderGone reports whether the instance that holds the key is missing from
// the instance list. An outcome that such an instance reports later still
// counts.
func (s *shard) isHolderGone(e *Entry) bool {
	return s.isListed != nil && s.state.logNow > e.ClaimedAt+listingGraceMs && !s.isListed(e.Holder.Instance)
}

func (s *shard) decideUnheld(claim Claim) (Decision, bool) {
	_, closed := s.state.closedAttempts[claim.Attempt]
	switch status := s.state.unheldStatus(claim.Key); {
	case status == keyPastWindow:
		return Decision{Verdict: KeyExpired}, false
	case status == keyTimeAhead:
		return Decision{Verdict: Unavailable, Err: ErrKeyTimeAhead}, false
	case status == keyHistoryUnknown:
		return Decision{Verdict: Unavailable, Err: ErrHistoryUnknown}, false
	case closed:
		return Decision{Verdict: Unavailable, Err: ErrAttemptClosed}, false
	case len(s.state.entries) >= s.maxKeys || len(s.state.expiredKeys) >= expiredKeysPerHeldKey*s.maxKeys:
		return Decision{Verdict: Unavailable, Err: ErrShardFull}, false
	}
	return Decision{}, true
}
