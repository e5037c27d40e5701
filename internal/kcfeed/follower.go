// Package kcfeed follows keyed topics of a log: for each key the newest value
// is kept, and the follower knows at which time what it holds was the newest.
package kcfeed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// ErrTrimmed is returned by Read if records after the offset were deleted.
var ErrTrimmed = errs.New("the records were deleted")

// Trimmed is an ErrTrimmed that tells where the records begin now.
type TrimmedError struct{ FirstOffset int64 }

// Error describes the failure.
func (e TrimmedError) Error() string { return ErrTrimmed.Error() }

// Is reports that the error is an ErrTrimmed.
func (e TrimmedError) Is(target error) bool { return target == ErrTrimmed }

// Record is one value of a key.
type Record struct {
	Key string `json:"key"`
	// Value is empty if the key was removed.
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// Whole is true if Records holds the newest record of each key, and nothing
	// else is left of the topic.
	Snapshot bool
	// End is the offset from which to read on.
	NextOffset int64
	// AgeMs is how old the answer was when it was given: 0 from the store.
	AgeMs kcclock.Millis
	// WaitedMs is the time for which an empty answer was held back.
	WaitedMs kcclock.Millis
}

// Reader reads one topic.
type Reader interface {
	// Newest returns the newest record of each key and an offset from which
	// reads miss no later record.
	ReadSnapshot(ctx context.Context, topic string) (Page, error)
	// Read returns the records from an offset on. It waits up to wait for the
	// first one.
	Read(ctx context.Context, topic string, from int64, wait kcclock.Millis) (Page, error)
}

// Options configures a Follower.
type Options struct {
	Reader Reader
	Clock  kcclock.Clock
	Log    *slog.Logger
	Topic  string
	// LongPollMs is how long a read waits at the store for a record.
	LongPollMs kcclock.Millis
	// BatchDelayMs is the time after a read that found records.
	BatchDelayMs kcclock.Millis
	// ReadSlackMs bounds a read beyond its wait, SnapshotTimeoutMs the read of all keys,
	// which may take several calls.
	ReadSlackMs       kcclock.Millis
	SnapshotTimeoutMs kcclock.Millis
	// Outage is shared by the followers of an instance. It is needed.
	Outage *OutageCoordinator
	// Helped reports whether a peer can be asked instead of the store.
	PeerAvailable func() bool
	// Apply takes records in the order of the log. whole is true if they are
	// everything there is, and lapsed if reads failed since the last call.
	Apply func(records []Record, whole, lapsed bool)
}

// Follower reads a topic until its context ends.
type Follower struct {
	opts Options
	// confirmed is the time up to which all records are known, 0 for never.
	confirmedAt atomic.Int64
	nextOffset  atomic.Int64
	recent      recentRecords
}

// New returns a follower that has read nothing.
func New(opts Options) *Follower { return &Follower{opts: opts} }

// Age returns how old the state is, and false if nothing was read yet.
func (f *Follower) Age(now kcclock.Millis) (kcclock.Millis, bool) {
	at := f.confirmedAt.Load()
	return now - kcclock.Millis(at), at != 0
}

// End returns the offset after the last record that was applied.
func (f *Follower) NextOffset() int64 { return f.nextOffset.Load() }

// Pauses after failed calls double from the first to the second value: short
// enough to be back within the bounds of the configuration, long enough that a
// store that recovers is not met by all instances at once.
const (
	minBackoff = 150 * kcclock.Millisecond
	maxBackoff = 800 * kcclock.Millisecond
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	whole, lost := true, false
	pause, wait := minBackoff, f.opts.LongPollMs
	for ctx.Err() == nil {
		n, err := f.poll(ctx, whole, lost, wait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrTrimmed):
			f.opts.Log.Warn("log was trimmed, reading the newest records", "topic", f.opts.Topic, "from", f.NextOffset())
			whole = true
			continue
		case err != nil:
			if !lost {
				f.opts.Log.Warn("dependency lost", "dependency", "store", "topic", f.opts.Topic, "error", err)
			}
			// A store that is silent would hold a call for the wait as well, and
			// its return would be noticed that much later.
			lost, wait = true, 0
			f.opts.Outage.waitRetry(ctx, f.opts.Topic, kcclock.Millis(float64(pause)*(0.5+rand.Float64())), f.opts.PeerAvailable)
			pause = min(2*pause, maxBackoff)
			continue
		case lost:
			f.opts.Outage.recovered()
			f.opts.Log.Info("dependency regained", "dependency", "store", "topic", f.opts.Topic, "offset", f.NextOffset())
		}
		whole, lost, pause, wait = false, false, minBackoff, f.opts.LongPollMs
		if n > 0 {
			f.sleep(ctx, f.opts.BatchDelayMs)
			// The answer may have been asked for long ago. The next read ends
			// before the state is older than a full wait.
			age, _ := f.Age(f.opts.Clock.Now())
			wait = max(wait-age, 0)
		}
	}
}

func (f *Follower) sleep(ctx context.Context, d kcclock.Millis) {
	if d > 0 {
		_ = kcclock.Wait(ctx, f.opts.Clock, d)
	}
}

// step makes one call and applies its result.
func (f *Follower) poll(ctx context.Context, whole, lapsed bool, wait kcclock.Millis) (int, error) {
	asked := f.opts.Clock.Now()
	limit := wait + f.opts.ReadSlackMs
	if whole {
		limit = f.opts.SnapshotTimeoutMs
	}
	ctx, cancel := kcclock.WithTimeout(ctx, f.opts.Clock, limit)
	defer cancel()
	var page Page
	var err error
	if whole {
		page, err = f.opts.Reader.ReadSnapshot(ctx, f.opts.Topic)
	} else {
		page, err = f.opts.Reader.Read(ctx, f.opts.Topic, f.NextOffset(), wait)
	}
	if err != nil {
		return 0, err
	}
	whole = whole || page.Snapshot
	if whole || len(page.Records) > 0 {
		f.opts.Apply(page.Records, whole, lapsed)
	}
	if whole {
		f.recent.reset(page.NextOffset)
	} else {
		f.recent.add(page.Records, page.NextOffset)
	}
	f.nextOffset.Store(page.NextOffset)
	// An empty answer was held back for the whole wait, so nothing was written
	// in that time.
	if !whole && len(page.Records) == 0 && f.opts.Clock.Now()-asked >= page.WaitedMs {
		asked += page.WaitedMs
	}
	f.advanceConfirmed(asked - page.AgeMs)
	return len(page.Records), nil
}

// confirm moves the time up to which all records are known. It never goes back.
func (f *Follower) advanceConfirmed(at kcclock.Millis) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}
