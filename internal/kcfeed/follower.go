// Package kcfeed follows keyed topics of a log. It keeps the newest value of
// each key and knows the point in time at which its state was last confirmed to
// be current.
package kcfeed

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// ErrTrimmed is returned by Read if records from the requested offset on were
// deleted.
var ErrTrimmed = errs.New("the records were deleted")

// TrimmedError is an ErrTrimmed with the offset of the first record that is
// left.
type TrimmedError struct{ FirstOffset int64 }

// Error implements the error interface.
func (e TrimmedError) Error() string { return ErrTrimmed.Error() }

// Is reports whether target is ErrTrimmed.
func (e TrimmedError) Is(target error) bool { return target == ErrTrimmed }

// ErrRestored means that the store has come back from a copy since the requested
// offset was given out. The record that now has this offset, and those below it, may
// be others than before.
var ErrRestored = errs.New("the store has come back from a copy")

// Position is a place in a log.
type Position struct {
	// Era is the era of the store in which Offset was given out, 0 if unknown. Offsets
	// of two eras cannot be compared.
	Era    int64
	Offset int64
}

// differs reports whether two eras are known and not the same.
func differs(a, b int64) bool { return a != 0 && b != 0 && a != b }

// precedes reports whether an era is known and earlier than another one.
func precedes(a, b int64) bool { return a != 0 && a < b }

// Record is one version of the value of a key.
type Record struct {
	// Key is empty for a record that could not be decoded.
	Key string `json:"key"`
	// Value is empty if the key was removed.
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// Malformed is the number of records that could not be decoded and that a
	// snapshot leaves out.
	Malformed int
	// Snapshot is true if Records holds the newest record of every key and
	// replaces all earlier state of the topic.
	Snapshot bool
	// Era is the era of the store in the response, 0 if that carries none. The store
	// begins another era when it comes back from a copy, and gives the offsets since
	// the copy out again.
	Era int64
	// NextOffset is the offset at which the next read starts.
	NextOffset int64
	// EndOffset is the end of the log when the answer was given. If it is above
	// NextOffset, the page is a part of what the log held. 0 means NextOffset.
	EndOffset int64
	// AgeMs is the age of the data when the answer was given: 0 from the store.
	AgeMs kcclock.Millis
	// StoreReturnedMs is how long ago the peer that answered saw the store come back
	// from an outage, 0 if it saw none lately.
	StoreReturnedMs kcclock.Millis
	// WaitedMs is how long an empty answer was held back in a long poll.
	WaitedMs kcclock.Millis
}

// InOtherEra reports whether the page, which was read from a position, belongs to
// another era.
func (p Page) InOtherEra(from Position) bool { return differs(p.Era, from.Era) }

// Partial reports whether the log held further records when the page was read.
func (p Page) Partial() bool { return p.NextOffset < p.EndOffset }

// errNoProgress means that a page has no record although the log goes on after
// it.
var errNoProgress = errs.New("a read returned no record before the end of the log")

// Reader reads one topic.
type Reader interface {
	// ReadSnapshot returns the newest record of every key and an offset from
	// which reads miss no later record. A snapshot that was kept from an era before that
	// of known, if any, or that ends below known in its era must not be returned.
	ReadSnapshot(ctx context.Context, topic string, known Position) (Page, error)
	// Read returns the records from a position on. If there are none, it waits up
	// to wait for the first one. The page may belong to another era.
	Read(ctx context.Context, topic string, from Position, wait kcclock.Millis) (Page, error)
}

// Options configures a Follower.
type Options struct {
	Reader Reader
	Clock  kcclock.Clock
	Log    *slog.Logger
	Topic  string
	// LongPollMs is how long a read waits at the store for a record.
	LongPollMs kcclock.Millis
	// BatchDelayMs is the delay after a read that returned records, so that later
	// ones are read in one batch.
	BatchDelayMs kcclock.Millis
	// ReadSlackMs bounds a read beyond the time that it waits for records.
	// SnapshotTimeoutMs bounds the read of a snapshot, which may take several
	// calls.
	ReadSlackMs       kcclock.Millis
	SnapshotTimeoutMs kcclock.Millis
	// Outage is shared by the followers of an instance. It is required.
	Outage *OutageCoordinator
	// PeerAvailable reports whether a peer can be asked instead of the store.
	PeerAvailable func() bool
	// RereadAfterMs, if set, is the time after a snapshot of a restored store at which
	// the follower reads a second one. By then writers must have written again, and what
	// nobody writes again must be gone.
	RereadAfterMs kcclock.Millis
	// Apply receives what was read in the order of the log.
	Apply func(Update)
}

// Update is what a Follower has read.
type Update struct {
	Records []Record
	// Era is the era that the offsets of Records belong to, 0 if unknown.
	Era int64
	// Snapshot is true if Records are the complete state.
	Snapshot bool
	// Restored is true for a snapshot of a store that has come back from a copy. It may
	// be older than what was read before, until the writers have written again.
	Restored bool
	// StoreReturnedAt is when the store came back from its last outage, or was first seen
	// back from a copy. It is 0 if it did neither. Records may have been removed for an
	// outage, and are missing in the copy if they are newer.
	StoreReturnedAt kcclock.Millis
}

// Follower reads a topic until its context ends.
type Follower struct {
	opts Options
	// confirmedAt is the time up to which all records are known, 0 for never.
	confirmedAt atomic.Int64
	// position is the one after the last record that was applied. Its era is the
	// latest one that was seen.
	position atomic.Pointer[Position]
	recent   recentRecords
	// restored is set from the time at which another era was seen until its snapshot is
	// applied.
	restored bool
	// rereadAt is when the second snapshot after one of a restored store is due, 0 for
	// none.
	rereadAt kcclock.Millis
	// failedAt is the time of the first read that failed since the time as of which the
	// state is known, 0 if none has. The store may have come back since.
	failedAt kcclock.Millis
	// backlog is set while records that the log already held are unread.
	backlog backlog
}

// backlog is the part of a log that one read could not return.
type backlog struct {
	// end is the end of the log as of time at, 0 if there is no backlog.
	end int64
	at  kcclock.Millis
}

// New returns a follower that has read nothing.
func New(opts Options) *Follower {
	f := &Follower{opts: opts}
	f.position.Store(&Position{})
	return f
}

// Age returns how old the state is, and false if nothing was read yet.
func (f *Follower) Age(now kcclock.Millis) (kcclock.Millis, bool) {
	at := f.confirmedAt.Load()
	return now - kcclock.Millis(at), at != 0
}

// NextOffset returns the offset after the last record that was applied.
func (f *Follower) NextOffset() int64 { return f.position.Load().Offset }

// The backoff after failed calls doubles from minBackoff to maxBackoff. It is
// short enough to recover within the bounds of the configuration, and long
// enough that a recovering store is not called by all instances at once.
const (
	minBackoff = 150 * kcclock.Millisecond
	maxBackoff = 800 * kcclock.Millisecond
)

const (
	// resetQuietMs is the time without a reset after which the next one is not delayed. A
	// log that is trimmed often is no reason for a delay.
	resetQuietMs = 300 * kcclock.Millisecond
	// resetLogIntervalMs is the time between two log lines about resets that follow each
	// other.
	resetLogIntervalMs = 10 * kcclock.Second
)

// resetPacer delays the snapshots that follow each other because reads cannot go on
// from them, as from a store whose answers are of different eras. It doubles the delay
// from minBackoff to maxBackoff.
type resetPacer struct {
	delay, nextAt kcclock.Millis
	// notLogged is the number of resets since the last log line, at loggedAt.
	notLogged int
	loggedAt  kcclock.Millis
}

// next returns the delay before the snapshot.
func (r *resetPacer) next(now kcclock.Millis) kcclock.Millis {
	if r.nextAt == 0 || now-r.nextAt >= resetQuietMs {
		r.delay = 0
	} else {
		r.delay = min(max(2*r.delay, minBackoff), maxBackoff)
	}
	r.nextAt = now + r.delay
	return r.delay
}

// MinRereadAfterMs is the least RereadAfterMs: no snapshot that a peer has kept since
// the first one must be taken for the second.
const MinRereadAfterMs = sharedSnapshotMaxAgeMs + 500*kcclock.Millisecond

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	snapshot, inOutage, retried, resets := true, false, false, resetPacer{}
	backoff, wait := minBackoff, f.opts.LongPollMs
	for ctx.Err() == nil {
		n, err := f.poll(ctx, snapshot, wait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrTrimmed), errors.Is(err, ErrRestored):
			snapshot = true
			if inOutage {
				// The store answers again. The others need not wait for the snapshot.
				f.opts.Outage.recovered()
			}
			delay := resets.next(f.opts.Clock.Now())
			f.logReset(err, &resets)
			f.sleep(ctx, delay)
			continue
		case err != nil && !retried:
			// The connection may have failed and not the store. The next read takes a
			// new one.
			f.opts.Log.Warn("read failed, trying again at once", "topic", f.opts.Topic, "from", f.NextOffset(), "error", err)
			retried, wait = true, 0
			continue
		case err != nil:
			f.opts.Outage.recordUnavailable()
			if !inOutage {
				f.opts.Log.Warn("dependency lost", "dependency", "store", "topic", f.opts.Topic, "from", f.NextOffset(), "error", err)
			}
			// A silent store would hold a long poll for the whole wait, and its
			// recovery would be noticed that much later.
			inOutage, wait = true, 0
			f.opts.Outage.waitRetry(ctx, f.opts.Topic, kcclock.Millis(float64(backoff)*(0.5+rand.Float64())), f.opts.PeerAvailable)
			backoff = min(2*backoff, maxBackoff)
			continue
		case inOutage:
			f.opts.Outage.recovered()
			f.opts.Log.Info("dependency regained", "dependency", "store", "topic", f.opts.Topic, "offset", f.NextOffset())
		}
		inOutage, retried, backoff = false, false, minBackoff
		snapshot, wait = f.nextRead()
		if f.backlog.end != 0 {
			wait = 0
			continue
		}
		if f.failedAt != 0 {
			// A peer has answered that has not read the store since this instance lost it.
			f.sleep(ctx, minBackoff)
			wait = 0
			continue
		}
		if n > 0 {
			f.sleep(ctx, f.opts.BatchDelayMs)
			// The answer may have been requested long ago. The next read is shortened
			// to end before the state is older than a full wait.
			age, _ := f.Age(f.opts.Clock.Now())
			wait = max(wait-age, 0)
		}
	}
}

// logReset logs why a snapshot is read. Of those that follow each other it logs one in
// an interval.
func (f *Follower) logReset(cause error, resets *resetPacer) {
	now := f.opts.Clock.Now()
	if resets.delay > 0 && now-resets.loggedAt < resetLogIntervalMs {
		resets.notLogged++
		return
	}
	what := "log was trimmed, reading the newest records"
	if errors.Is(cause, ErrRestored) {
		what = "store was restored, reading the newest records"
	}
	f.opts.Log.Warn(what, "topic", f.opts.Topic, "from", f.NextOffset(), "era", f.position.Load().Era, "notLogged", resets.notLogged)
	resets.notLogged, resets.loggedAt = 0, now
}

// nextRead reports whether a snapshot is to be read next, and how long another read may
// wait.
func (f *Follower) nextRead() (snapshot bool, wait kcclock.Millis) {
	if f.rereadAt == 0 {
		return false, f.opts.LongPollMs
	}
	left := max(f.rereadAt-f.opts.Clock.Now(), 0)
	return left == 0, min(left, f.opts.LongPollMs)
}

func (f *Follower) sleep(ctx context.Context, d kcclock.Millis) {
	if d > 0 {
		_ = kcclock.Wait(ctx, f.opts.Clock, d)
	}
}

// poll makes one call and applies its result.
func (f *Follower) poll(ctx context.Context, snapshot bool, wait kcclock.Millis) (int, error) {
	requestedAt, from := f.opts.Clock.Now(), *f.position.Load()
	page, err := f.read(ctx, snapshot, from, wait)
	if err != nil {
		return 0, err
	}
	f.recordStoreAnswer(page)
	f.apply(page, from)
	// An empty answer was held back for the whole wait, so nothing was written in
	// that time.
	if !page.Snapshot && len(page.Records) == 0 && f.opts.Clock.Now()-requestedAt >= page.WaitedMs {
		requestedAt += page.WaitedMs
	}
	f.confirm(page, requestedAt-page.AgeMs)
	return len(page.Records), nil
}

// read makes one call from a position.
func (f *Follower) read(ctx context.Context, snapshot bool, from Position, wait kcclock.Millis) (page Page, err error) {
	limit := wait + f.opts.ReadSlackMs
	if snapshot {
		limit = f.opts.SnapshotTimeoutMs
	}
	ctx, cancel := kcclock.WithTimeout(ctx, f.opts.Clock, limit)
	defer cancel()
	if snapshot {
		page, err = f.opts.Reader.ReadSnapshot(ctx, f.opts.Topic, f.known())
		page.Snapshot = true
	} else {
		page, err = f.opts.Reader.Read(ctx, f.opts.Topic, from, wait)
	}
	switch {
	case errors.Is(err, ErrTrimmed):
		return page, err
	case err != nil:
		f.failedAt = cmp.Or(f.failedAt, f.opts.Clock.Now())
		return page, err
	case !page.Snapshot && page.InOtherEra(from):
		f.position.Store(&Position{page.Era, from.Offset})
		f.restored = true
		return page, ErrRestored
	case page.Partial() && len(page.Records) == 0:
		return page, errNoProgress
	}
	return page, nil
}

// known returns the position that a snapshot must reach. After the store has come back
// from a copy, any snapshot of the new era does.
func (f *Follower) known() Position {
	at := *f.position.Load()
	if f.restored || at.Era == 0 {
		at.Offset = 0
	}
	return at
}

// apply applies a page that was read from a position.
func (f *Follower) apply(page Page, from Position) {
	if records := f.decoded(page); page.Snapshot || len(records) > 0 {
		update := Update{
			Records: records, Era: cmp.Or(page.Era, from.Era), Snapshot: page.Snapshot, StoreReturnedAt: f.opts.Outage.ReturnedAt(),
		}
		if page.Snapshot && (f.restored || page.InOtherEra(from)) {
			update.Restored, update.StoreReturnedAt = true, f.opts.Clock.Now()
		}
		f.opts.Apply(update)
		switch {
		case update.Restored && f.opts.RereadAfterMs > 0:
			f.rereadAt = f.opts.Clock.Now() + max(f.opts.RereadAfterMs, MinRereadAfterMs)
		case update.Snapshot:
			f.rereadAt = 0
		}
	}
	f.restored = f.restored && !page.Snapshot
	next := Position{cmp.Or(page.Era, from.Era), page.NextOffset}
	if page.Snapshot {
		f.recent.reset(next)
	} else {
		f.recent.add(page.Records, next)
	}
	f.position.Store(&next)
}

// decoded returns the records of a page without those that could not be decoded.
// These keep their place in the log, but they must not cost the other records.
func (f *Follower) decoded(page Page) []Record {
	malformed := func(r Record) bool { return r.Key == "" }
	records := page.Records
	if slices.ContainsFunc(records, malformed) {
		records = slices.DeleteFunc(slices.Clone(records), malformed)
	}
	if n := page.Malformed + len(page.Records) - len(records); n > 0 {
		f.opts.Log.Warn("cannot decode records; ignoring them", "topic", f.opts.Topic, "records", n, "end", page.NextOffset)
	}
	return records
}

// recordStoreAnswer records what a page tells of outages of the store.
func (f *Follower) recordStoreAnswer(page Page) {
	now := f.opts.Clock.Now()
	if page.StoreReturnedMs > 0 {
		f.opts.Outage.recordReturn(now - page.StoreReturnedMs)
	}
	if outage, ended := f.opts.Outage.recordAnswer(now - page.AgeMs); ended {
		f.opts.Log.Info("store is back after an outage", "topic", f.opts.Topic, "outageMs", outage, "ageMs", page.AgeMs)
	}
}

// confirm records what a page that was applied tells of the age of the state. at
// is the time as of which the page shows the log. A part of the log confirms
// nothing until the records that the log held at that time are read.
func (f *Follower) confirm(page Page, at kcclock.Millis) {
	if at >= f.failedAt {
		f.failedAt = 0
	}
	if !page.Partial() {
		f.backlog = backlog{}
		f.advanceConfirmed(at)
		return
	}
	if f.backlog.end != 0 && page.NextOffset >= f.backlog.end {
		f.advanceConfirmed(f.backlog.at)
		f.backlog = backlog{}
	}
	if f.backlog.end == 0 {
		f.backlog = backlog{end: page.EndOffset, at: at}
		f.opts.Log.Info("reading a backlog", "topic", f.opts.Topic, "offset", page.NextOffset, "end", page.EndOffset)
	}
}

// advanceConfirmed moves confirmedAt forward to at. It never moves it back.
func (f *Follower) advanceConfirmed(at kcclock.Millis) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}
