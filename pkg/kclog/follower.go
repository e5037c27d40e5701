package kclog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// FromOldest as FollowerOptions.From starts at the oldest retained record.
const FromOldest = -1

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Log    Log
	Clock  kcclock.Clock
	Stream string
	// From is the offset of the first record to process, or FromOldest.
	From int64
	// Fold is called for each record in the order of the log. Calls do not
	// overlap. A record that was appended twice is passed twice.
	Fold func(Record)
	// Gap is called before Fold when the records from offset from up to but not
	// including to were trimmed before they were read; nil ignores gaps.
	Gap func(from, to int64)
	// Page is called after the records of a page were folded; nil is allowed.
	// The page carries the time of the log service and the retained range.
	Page func(Page)
	// Limit bounds the records of one read; 0 means 1000.
	Limit int
	// WaitMs is the long-poll time: how long a read in Run waits for new
	// records; 0 means 10 s.
	WaitMs kcclock.Millis
	// RetryMs is the longest wait in Run after a failed read; 0 means 500.
	RetryMs kcclock.Millis
}

// Follower reads one stream in order and passes its records to
// FollowerOptions.Fold.
type Follower struct {
	opts FollowerOptions

	// foldMu serializes the calls of Fold, Gap and Page and guards the fields
	// below.
	foldMu     sync.Mutex
	nextOffset int64
	endReadAt  kcclock.Millis

	// mu guards the reads that concurrent calls of CatchUp share.
	mu             sync.Mutex
	runningCatchUp *catchUp
	queuedCatchUp  *catchUp
}

// catchUp is a read to the end of the stream that several callers share.
type catchUp struct {
	done chan struct{}
	err  error
}

// NewFollower returns a follower that has read nothing.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.Limit <= 0 {
		opts.Limit = 1000
	}
	if opts.WaitMs <= 0 {
		opts.WaitMs = 10 * kcclock.Second
	}
	if opts.RetryMs <= 0 {
		opts.RetryMs = 500
	}
	return &Follower{opts: opts, nextOffset: opts.From}
}

// Next returns the offset of the next record to fold, or FromOldest.
func (f *Follower) Next() int64 {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	return f.nextOffset
}

// EndReadAt returns the start time of the latest read that reached the end of
// the stream, or 0. All records that were in the log at that time have been
// folded.
func (f *Follower) EndReadAt() kcclock.Millis {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	return f.endReadAt
}

// CatchUp folds every record that was in the log when the call began.
// Concurrent calls share one read.
func (f *Follower) CatchUp(ctx context.Context) error {
	c := f.joinCatchUp(ctx)
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return fmt.Errorf("%w: stream %s: %w", ErrUnavailable, f.opts.Stream, context.Cause(ctx))
	}
}

// joinCatchUp returns a read that has not begun yet. A read in progress cannot
// be shared, because it may already have passed the end.
func (f *Follower) joinCatchUp(ctx context.Context) *catchUp {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queuedCatchUp != nil {
		return f.queuedCatchUp
	}
	c := &catchUp{done: make(chan struct{})}
	if f.runningCatchUp != nil {
		f.queuedCatchUp = c
		return c
	}
	f.runningCatchUp = c
	// The context of the caller that starts a shared read must not cancel it;
	// the client of the log bounds each call.
	go f.runCatchUps(context.WithoutCancel(ctx), c)
	return c
}

func (f *Follower) runCatchUps(ctx context.Context, c *catchUp) {
	for c != nil {
		c.err = f.readToEnd(ctx)
		close(c.done)
		f.mu.Lock()
		// A caller starts a goroutine only if no read is running. So the next
		// read is taken over before the lock is released.
		c, f.queuedCatchUp = f.queuedCatchUp, nil
		f.runningCatchUp = c
		f.mu.Unlock()
	}
}

func (f *Follower) readToEnd(ctx context.Context) error {
	for {
		atEnd, err := f.readPage(ctx, 0)
		if err != nil || atEnd {
			return err
		}
	}
}

// readPage reads and folds one page and reports whether it reached the end.
func (f *Follower) readPage(ctx context.Context, wait kcclock.Millis) (bool, error) {
	from, startedAt := f.Next(), f.opts.Clock.Now()
	page, err := f.opts.Log.Read(ctx, f.opts.Stream, max(from, 0), f.opts.Limit, wait)
	if err != nil {
		return false, err
	}
	if page.EndOffset < from {
		return false, fmt.Errorf("%w: stream %s ends at %d but was read to %d", ErrUnavailable, f.opts.Stream, page.EndOffset, from)
	}
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	if f.nextOffset == FromOldest {
		f.nextOffset = page.FirstOffset
	}
	if page.FirstOffset > f.nextOffset {
		if f.opts.Gap != nil {
			f.opts.Gap(f.nextOffset, page.FirstOffset)
		}
		f.nextOffset = page.FirstOffset
	}
	for _, r := range page.Records {
		if r.Offset < f.nextOffset {
			continue // already folded by a concurrent read
		}
		f.opts.Fold(r)
		f.nextOffset = r.Offset + 1
	}
	if f.opts.Page != nil {
		f.opts.Page(page)
	}
	atEnd := f.nextOffset >= page.EndOffset
	if atEnd {
		f.endReadAt = max(f.endReadAt, startedAt)
	}
	return atEnd, nil
}

// Run folds new records in a goroutine until ctx is done. The returned channel
// is closed when the goroutine ends.
func (f *Follower) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if _, err := f.readPage(ctx, f.opts.WaitMs); err != nil {
				// Half of the wait is random, so that instances do not retry at
				// the same time.
				pause := f.opts.RetryMs/2 + rand.N(f.opts.RetryMs/2+1)
				_ = kcclock.Wait(ctx, f.opts.Clock, pause)
			}
		}
	}()
	return done
}
