package kcclaim

import (
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Entry is the state of one held key.
type Entry struct {
	// Holder is the claim that holds the key.
	Holder Claim `json:"holder"`
	// Offset and ClaimedAt are the offset and log time of the claim record.
	Offset    int64          `json:"offset"`
	ClaimedAt kcclock.Millis `json:"claimedAt"`
	// Outcome is nil until the holder reports its outcome.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// ShardStateOptions configures a ShardState. All instances must agree on
// WindowMs.
type ShardStateOptions struct {
	// WindowMs is the deduplication window: how long a key is remembered with its
	// outcome. The log must retain records for at least twice as long.
	WindowMs kcclock.Millis
	// MaxAnswerBytes bounds the total size of the recorded answer bodies. Beyond
	// it, the oldest bodies are dropped and marked as truncated.
	MaxAnswerBytes int
}

// ShardState is the state derived from the records of one shard, applied in log
// order. It is not safe for concurrent use.
//
// Memory, with 50,000 keys: 510 bytes per held key, or 810 with its outcome,
// plus the answer; 70 bytes per closed attempt until its deadline; 40 bytes per
// expired key that carries no time.
type ShardState struct {
	opts ShardStateOptions
	// entries has one element per held key. entriesByOffset lists them in log
	// order and may still contain entries that no longer hold their key.
	entries         map[string]*Entry
	entriesByOffset []*Entry
	// closedAttempts maps closed attempts to their deadlines. An attempt is closed
	// if it reported NotRun or found the key held by another attempt. A delayed
	// duplicate of its claim must not hold the key.
	closedAttempts map[string]kcclock.Millis
	expiredKeys    kcset.Set[uint64]

	nextOffset int64
	// logNow is the newest known log time.
	logNow kcclock.Millis
	// firstOffset is the offset of the first applied record. Records before it
	// were appended at trimmedUntil at the latest. trimmedUntilUnset is true until
	// the first log time after a reset is known.
	firstOffset       int64
	trimmedUntil      kcclock.Millis
	trimmedUntilUnset bool
	// historyCovered is true if every claim before firstOffset that still holds a
	// key without a time is known.
	historyCovered bool

	checkpointID    string
	checkpointAt    kcclock.Millis
	checkpointParts kcset.Set[int]

	recordedAnswers     []*Outcome
	recordedAnswerBytes int
	prunedAt            kcclock.Millis
}

// NewShardState returns the empty state of a stream that starts at offset 0.
func NewShardState(opts ShardStateOptions) *ShardState {
	b := &ShardState{opts: opts}
	b.reset(0)
	b.historyCovered, b.trimmedUntilUnset = true, false
	return b
}

func (b *ShardState) reset(start int64) {
	*b = ShardState{
		opts: b.opts, entries: make(map[string]*Entry), closedAttempts: make(map[string]kcclock.Millis),
		expiredKeys: kcset.New[uint64](), checkpointParts: kcset.New[int](),
		firstOffset: start, nextOffset: start, trimmedUntilUnset: true, logNow: b.logNow,
	}
}

// HandleGap discards the state, because a record that was trimmed before it was
// read may have changed any key. Claims before offset to are then known only
// from a checkpoint.
func (b *ShardState) HandleGap(_, to int64) { b.reset(to) }

// Fold applies one record. Records of unknown kinds or with undecodable bodies
// have no effect, so all readers derive the same state.
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

// HandlePage advances the log time to that of the page and prunes the state.
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

// Lookup returns the state of key, or nil if no claim holds it.
func (b *ShardState) Lookup(key Key) *Entry { return b.entries[key.String()] }

// unheldKeyStatus classifies a key that no claim holds.
type unheldKeyStatus int

const (
	// keyFree keys have never been held.
	keyFree unheldKeyStatus = iota
	// keyPastWindow keys are older than the deduplication window.
	keyPastWindow
	// keyHistoryUnknown keys may have been held by a claim that was trimmed before
	// it was read.
	keyHistoryUnknown
	// keyTimeAhead keys carry a time in the future. Such a key could be held and
	// its claim trimmed, and the key would still look newer than everything that
	// was trimmed.
	keyTimeAhead
)

// unheldStatus returns whether a key that no claim holds may be claimed.
func (b *ShardState) unheldStatus(key Key) unheldKeyStatus {
	if b.expiredKeys.Has(key.hash()) {
		return keyPastWindow
	}
	keyTime, timed := key.createdAt()
	switch {
	case timed && keyTime > b.logNow+maxClockSkew:
		return keyTimeAhead
	case timed && (keyTime+b.opts.WindowMs < b.logNow || (b.firstOffset > 0 && keyTime <= b.trimmedUntil+maxClockSkew)):
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
	keyTime, timed := c.createdAt()
	if b.expiredKeys.Has(c.hash()) || (timed && (keyTime+b.opts.WindowMs < r.AppendedAt || keyTime > r.AppendedAt+maxClockSkew)) {
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

// prune removes state that no later record can refer to. It changes no
// decision: a late claim of a closed attempt is ignored because of its
// deadline, and a late claim of an old key with a time because of that time.
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
