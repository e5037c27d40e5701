package kclog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// FromOldest starts a Follower at the oldest retained record.
const FromOldest = -1

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Log    Log
	Clock  kcclock.Clock
	Stream string
	// From is the first offset to fold, or FromOldest.
	From int64
	// Fold is called for each record in the order of the log. Calls do not
	// overlap. A record that was appended twice is folded twice.
	Fold func(Record)
	// Gap is called before Fold when the records from offset from to before
	// offset to were trimmed unread; nil ignores gaps.
	Gap func(from, to int64)
	// Page is called after the records of a page were folded; nil is allowed.
	// It carries the time of the log and the retained range.
	Page func(Page)
	// Limit bounds the records per read; 0 means 1000.
	Limit int
	// WaitMs is how long a read of Run waits for new records; 0 means 10 s.
	WaitMs kcclock.Millis
	// RetryMs is the wait of Run after a failed read; 0 means 500.
	RetryMs kcclock.Millis
}

// Follower folds the records of one stream.
type Follower struct {
	opts FollowerOptions

	// fold orders the calls of Fold, Gap and Page and guards the fields below.
	foldMu     sync.Mutex
	nextOffset int64
	endReadAt  kcclock.Millis

	// mu guards the shared reads of CatchUp.
	mu             sync.Mutex
	runningCatchUp *catchUp
	queuedCatchUp  *catchUp
}

// catchUp is a read to the end that several callers share.
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

// EndReadAt returns when the newest read that reached the end was started, or
// 0. Everything that was in the log by then has been folded.
func (f *Follower) EndReadAt() kcclock.Millis {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	return f.endReadAt
}

// CatchUp folds every record that was in the log when the call began. Calls
// that wait at the same time share one read.
func (f *Follower) CatchUp(ctx context.Context) error {
	c := f.joinCatchUp(ctx)
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return fmt.Errorf("%w: stream %s: %w", ErrUnavailable, f.opts.Stream, context.Cause(ctx))
	}
}

// joinCatchUp returns a read that has not begun yet, because one that is
// under way may have passed the end already.
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
	// A shared read does not end with the caller that started it; the client
	// of the log bounds each call.
	go f.runCatchUps(context.WithoutCancel(ctx), c)
	return c
}

func (f *Follower) runCatchUps(ctx context.Context, c *catchUp) {
	for c != nil {
		c.err = f.readToEnd(ctx)
		close(c.done)
		f.mu.Lock()
		// Only the caller that finds no current read starts a goroutine, so the
		// next one is taken over under the same lock.
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

// step folds one page and reports whether it reached the end.
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
			continue // another read has folded it
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

// Run folds new records until ctx ends. The returned channel is closed then.
func (f *Follower) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if _, err := f.readPage(ctx, f.opts.WaitMs); err != nil {
				// Half of the wait is random, so that instances do not retry in step.
				pause := f.opts.RetryMs/2 + rand.N(f.opts.RetryMs/2+1)
				_ = kcclock.Wait(ctx, f.opts.Clock, pause)
			}
		}
	}()
	return done
}
