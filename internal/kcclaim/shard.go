package kcclaim

import (
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	notRun = kcapi.NotRun
	// expiredPerKey is how many expired keys take the memory of a held one.
	expiredPerKey = 20
)

// shard is the folded state of one claim stream.
type shard struct {
	stream   string
	maxKeys  int
	follower *kclog.Follower
	live     func(instance string) bool

	mu   sync.Mutex
	book *ShardState
}

func newShard(opts ClaimerOptions, stream string) *shard {
	s := &shard{
		stream: stream, maxKeys: opts.MaxKeys, live: opts.IsListed,
		book: NewShardState(ShardStateOptions{WindowMs: opts.WindowMs, MaxAnswerBytes: opts.MaxAnswerBytes}),
	}
	s.follower = kclog.NewFollower(kclog.FollowerOptions{
		Log: opts.Log, Clock: opts.Clock, Stream: stream,
		Fold: func(r kclog.Record) { s.locked(func() { s.book.Fold(r) }) },
		Gap:  func(from, to int64) { s.locked(func() { s.book.HandleGap(from, to) }) },
		Page: func(p kclog.Page) { s.locked(func() { s.book.HandlePage(p) }) },
	})
	return s
}

func (s *shard) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// decide tells what the folded records say about the claim. The second result
// is true if the claim may be appended.
func (s *shard) decide(claim Claim) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.book.Lookup(claim.Key)
	if e == nil {
		return s.decideFree(claim)
	}
	d := Decision{Entry: *e}
	switch {
	case e.Holder.Attempt == claim.Attempt:
		d.Verdict = Acquired
	case e.Holder.Fingerprint != claim.Fingerprint:
		d.Verdict = KeyReused
	case e.Outcome != nil:
		outcome := *e.Outcome // the book drops the body of an old answer
		d.Entry.Outcome = &outcome
		d.Verdict = HasOutcome
	case s.book.now > e.Holder.Deadline+outcomeGrace, s.isGone(e):
		d.Verdict = HolderLost
	default:
		d.Verdict = InProgress
	}
	return d, false
}

// isGone reports whether the instance that holds the key is not on the list.
// If it is and reports later, its outcome counts.
func (s *shard) isGone(e *Entry) bool {
	return s.live != nil && s.book.now > e.ClaimedAt+listGrace && !s.live(e.Holder.Instance)
}

func (s *shard) decideFree(claim Claim) (Decision, bool) {
	_, closed := s.book.closed[claim.Attempt]
	switch know := s.book.know(claim.Key); {
	case know == past:
		return Decision{Verdict: KeyExpired}, false
	case know == ahead:
		return Decision{Verdict: Unavailable, Err: ErrKeyTimeAhead}, false
	case know == unknown:
		return Decision{Verdict: Unavailable, Err: ErrHistoryUnknown}, false
	case closed:
		return Decision{Verdict: Unavailable, Err: ErrAttemptClosed}, false
	case len(s.book.entries) >= s.maxKeys || len(s.book.expired) >= expiredPerKey*s.maxKeys:
		return Decision{Verdict: Unavailable, Err: ErrShardFull}, false
	}
	return Decision{}, true
}
