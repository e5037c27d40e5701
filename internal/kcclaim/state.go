package kcclaim

import (
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Entry is the state of one key.
type Entry struct {
	// Holder is the claim that holds the key.
	Holder Claim `json:"holder"`
	// Offset and ClaimedAt are those of the claim record.
	Offset    int64          `json:"offset"`
	ClaimedAt kcclock.Millis `json:"claimedAt"`
	// Outcome is nil while the holder has not reported.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// ShardStateOptions configures a Book. All instances must agree on WindowMs.
type ShardStateOptions struct {
	// WindowMs is how long a key is remembered with its outcome. The log must
	// retain records for at least twice as long.
	WindowMs kcclock.Millis
	// MaxAnswerBytes bounds the bodies of recorded answers; the oldest are
	// dropped first and count as truncated then.
	MaxAnswerBytes int
}

// ShardState folds the records of one shard. It is not safe for concurrent use.
//
// Memory (measured with 50,000 keys): 510 bytes per held key, 810 with its
// outcome, plus the answer; 70 bytes per closed attempt until its deadline; 40
// bytes per expired key that carries no time.
type ShardState struct {
	opts ShardStateOptions
	// entries has a key for each held key only; order lists them by offset.
	entries         map[string]*Entry
	entriesByOffset []*Entry
	// closed holds attempts that reported NotRun or came second, with their
	// deadlines. A delayed duplicate of their claim must not hold the key.
	closedAttempts map[string]kcclock.Millis
	expiredKeys    kcset.Set[uint64]

	nextOffset int64
	// now is the newest time of the log.
	logNow kcclock.Millis
	// start is the offset of the first record that was folded. Records before
	// it were appended at floor at the latest.
	firstOffset       int64
	trimmedUntil      kcclock.Millis
	trimmedUntilUnset bool
	// covered is true if no claim before start holds an unknown key.
	historyCovered bool

	checkpointID    string
	checkpointAt    kcclock.Millis
	checkpointParts kcset.Set[int]

	recordedAnswers     []*Outcome
	recordedAnswerBytes int
	prunedAt            kcclock.Millis
}

// NewShardState returns an empty book of a stream that starts at offset 0.
func NewShardState(opts ShardStateOptions) *ShardState {
	b := &ShardState{opts: opts}
	b.reset(0)
	b.historyCovered, b.trimmedUntilUnset = true, false
	return b
}

func (b *ShardState) reset(start int64) {
	*b = ShardState{
		opts: b.opts, entries: make(map[string]*Entry), closedAttempts: make(map[string]kcclock.Millis),
		expiredKeys: kcset.New[uint64](), checkpointParts: kcset.New[int](), firstOffset: start, nextOffset: start, trimmedUntilUnset: true, logNow: b.logNow,
	}
}

// HandleGap forgets everything, because a record that was trimmed unread may have
// changed any key. Claims before offset to are known from a checkpoint only.
func (b *ShardState) HandleGap(_, to int64) { b.reset(to) }

// Fold applies one record. Records of unknown kinds or with undecodable
// bodies have no effect, alike at every reader.
func (b *ShardState) Fold(r kclog.Record) {
	b.advanceLogTime(r.AppendedAt)
	b.nextOffset = r.Offset + 1
	switch r.Kind {
	case KindClaim:
		var c Claim
		if json.Unmarshal(r.Body, &c) == nil {
			b.foldClaim(r, c)
		}
	case KindOutcome:
		var o Outcome
		if json.Unmarshal(r.Body, &o) == nil {
			b.foldOutcome(o)
		}
	case KindExpired:
		var e ExpiredKeys
		if json.Unmarshal(r.Body, &e) == nil {
			b.foldExpired(r, e)
		}
	}
}

// HandlePage takes over the time of the log.
func (b *ShardState) HandlePage(p kclog.Page) {
	b.advanceLogTime(p.Now)
	b.prune()
}

func (b *ShardState) advanceLogTime(now kcclock.Millis) {
	if b.trimmedUntilUnset {
		b.trimmedUntil, b.trimmedUntilUnset = now, false
	}
	b.logNow = max(b.logNow, now)
}

// Lookup returns the state of key, or nil if nothing holds it.
func (b *ShardState) Lookup(key Key) *Entry { return b.entries[key.String()] }

// knowledge tells what the book can say about a key that nothing holds.
type unheldKeyStatus int

const (
	// free keys have never been held.
	keyFree unheldKeyStatus = iota
	// past keys are older than the window.
	keyPastWindow
	// unknown keys may have been held by a claim that was trimmed unread.
	keyHistoryUnknown
	// ahead keys carry a time that has not come yet. They could be held, be
	// trimmed and still look newer than everything that was trimmed.
	keyTimeAhead
)

// know tells whether a key that nothing holds may be claimed.
func (b *ShardState) unheldStatus(key Key) unheldKeyStatus {
	if b.expiredKeys.Has(key.hash()) {
		return keyPastWindow
	}
	made, timed := key.createdAt()
	switch {
	case timed && made > b.logNow+maxClockSkew:
		return keyTimeAhead
	case timed && (made+b.opts.WindowMs < b.logNow || (b.firstOffset > 0 && made <= b.trimmedUntil+maxClockSkew)):
		return keyPastWindow
	case !timed && !b.historyCovered:
		return keyHistoryUnknown
	default:
		return keyFree
	}
}

func (b *ShardState) foldClaim(r kclog.Record, c Claim) {
	if _, closed := b.closedAttempts[c.Attempt]; closed || r.AppendedAt > c.Deadline {
		return
	}
	if e, held := b.entries[c.String()]; held {
		if e.Holder.Attempt != c.Attempt {
			b.closedAttempts[c.Attempt] = c.Deadline
		}
		return
	}
	made, timed := c.createdAt()
	if b.expiredKeys.Has(c.hash()) || (timed && (made+b.opts.WindowMs < r.AppendedAt || made > r.AppendedAt+maxClockSkew)) {
		return
	}
	e := &Entry{Holder: c, Offset: r.Offset, ClaimedAt: r.AppendedAt}
	b.entries[c.String()] = e
	b.entriesByOffset = append(b.entriesByOffset, e)
}

func (b *ShardState) foldOutcome(o Outcome) {
	if o.Execution == kcapi.NotRun {
		b.closedAttempts[o.Attempt] = o.Deadline
	}
	e, held := b.entries[o.String()]
	if !held || e.Holder.Attempt != o.Attempt || e.Outcome != nil {
		return
	}
	if o.Execution == kcapi.NotRun {
		delete(b.entries, o.String())
		return
	}
	e.Outcome = &o
	if len(o.Body) > 0 {
		b.recordedAnswers = append(b.recordedAnswers, e.Outcome)
		b.recordedAnswerBytes += len(o.Body)
	}
	for b.recordedAnswerBytes > b.opts.MaxAnswerBytes {
		oldest := b.recordedAnswers[0]
		b.recordedAnswerBytes -= len(oldest.Body)
		oldest.Body, oldest.Truncated = nil, true
		b.recordedAnswers = b.recordedAnswers[1:]
	}
}

// prune forgets what no later record can refer to. It changes no decision: a
// late claim of a closed attempt is ignored by its deadline, and one of an old
// timed key by the key's time.
func (b *ShardState) prune() {
	if b.logNow < b.prunedAt+kcclock.Minute {
		return
	}
	b.prunedAt = b.logNow
	for attempt, deadline := range b.closedAttempts {
		if deadline < b.logNow {
			delete(b.closedAttempts, attempt)
		}
	}
	kept := b.entriesByOffset[:0]
	for _, e := range b.entriesByOffset {
		if b.entries[e.Holder.String()] != e {
			continue
		}
		_, timed := e.Holder.createdAt()
		if timed && e.ClaimedAt+maxClockSkew+b.opts.WindowMs < b.logNow {
			delete(b.entries, e.Holder.String())
			continue
		}
		kept = append(kept, e)
	}
	clear(b.entriesByOffset[len(kept):])
	b.entriesByOffset = kept
}
