package kclog

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// NewID returns a unique record id.
func NewID() string { return rand.Text() }

// AppenderOptions configures an Appender.
type AppenderOptions struct {
	Log   Log
	Clock kcclock.Clock
	// Budget limits the rate of appends; nil means no limit.
	Budget *Budget
	// MaxDelayMs is how long a batch waits for more records after its first.
	MaxDelayMs kcclock.Millis
	// MaxBatch is the number of records at which a batch is sent without
	// waiting longer; 0 means 500.
	MaxBatch int
	// TimeoutMs bounds one batch including its retries; 0 means 5 s.
	TimeoutMs kcclock.Millis
	// Attempts bounds the attempts for one batch; 0 means 3.
	Attempts int
	// BackoffMs is the wait before the second attempt; it doubles with each
	// further attempt. 0 means 20, a negative value means no wait.
	BackoffMs kcclock.Millis
	// Jitter returns a number from 0 to 1; nil means a random number.
	Jitter func() float64
}

// Appender appends records in batches. After a lost answer it reads the stream
// back and appends again only if the batch is not there. It has the Append
// method of Log.
type Appender struct {
	opts           AppenderOptions
	runningBatches sync.WaitGroup

	mu      sync.Mutex
	streams map[string]*streamState
}

type streamState struct {
	// knownEnd is the highest known end offset of the stream, or unknownOffset.
	// A record that is appended from now on has this offset or a higher one.
	knownEnd  int64
	openBatch *appendBatch
}

type appendBatch struct {
	recs []NewRecord
	full chan struct{}
	done chan struct{}
	// firstOffset and err are set before done is closed.
	firstOffset int64
	err         error
}

const (
	unknownOffset    = -1
	readBackPageSize = 1000
)

// NewAppender returns an appender.
func NewAppender(opts AppenderOptions) *Appender {
	if opts.MaxBatch <= 0 {
		opts.MaxBatch = 500
	}
	if opts.TimeoutMs <= 0 {
		opts.TimeoutMs = 5 * kcclock.Second
	}
	if opts.Attempts <= 0 {
		opts.Attempts = 3
	}
	if opts.BackoffMs == 0 {
		opts.BackoffMs = 20
	}
	if opts.Jitter == nil {
		opts.Jitter = mathrand.Float64
	}
	return &Appender{opts: opts, streams: make(map[string]*streamState)}
}

// Append adds recs to stream at consecutive offsets and returns the offset of
// the first. The error wraps ErrUnavailable if nothing was appended, and
// ErrAnswerLost if the append may have taken effect or may still do so.
func (a *Appender) Append(ctx context.Context, stream string, recs []NewRecord) (int64, error) {
	if ctx.Err() != nil {
		return 0, fmt.Errorf("%w: stream %s: %w", ErrUnavailable, stream, context.Cause(ctx))
	}
	b, index := a.joinBatch(ctx, stream, recs)
	select {
	case <-b.done:
		return b.firstOffset + int64(index), b.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: stream %s: %w", ErrAnswerLost, stream, context.Cause(ctx))
	}
}

// Wait blocks until every started batch has ended.
func (a *Appender) Wait() { a.runningBatches.Wait() }

// joinBatch adds recs to the open batch of stream and returns the index of the
// first within the batch. It starts a batch if none is open.
func (a *Appender) joinBatch(ctx context.Context, stream string, recs []NewRecord) (*appendBatch, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.streams[stream]
	if !ok {
		s = &streamState{knownEnd: unknownOffset}
		a.streams[stream] = s
	}
	b := s.openBatch
	if b == nil {
		b = &appendBatch{full: make(chan struct{}), done: make(chan struct{})}
		s.openBatch = b
		a.runningBatches.Add(1)
		// A batch serves several callers, so the context of one of them must
		// not cancel it.
		go a.runBatch(context.WithoutCancel(ctx), stream, s, b)
	}
	index := len(b.recs)
	b.recs = append(b.recs, recs...)
	if len(b.recs) >= a.opts.MaxBatch {
		s.openBatch = nil
		close(b.full)
	}
	return b, index
}

func (a *Appender) runBatch(ctx context.Context, stream string, s *streamState, b *appendBatch) {
	defer a.runningBatches.Done()
	defer close(b.done)
	if a.opts.MaxDelayMs > 0 {
		select {
		case <-b.full:
		case <-a.opts.Clock.After(a.opts.MaxDelayMs):
		}
	}
	ctx, cancel := kcclock.WithTimeout(ctx, a.opts.Clock, a.opts.TimeoutMs)
	defer cancel()
	// The batch accepts further records while it waits for the budget.
	err := a.takeBudget(ctx)
	a.mu.Lock()
	if s.openBatch == b {
		s.openBatch = nil
	}
	minOffset := s.knownEnd
	a.mu.Unlock()
	if err != nil {
		b.err = fmt.Errorf("%w: stream %s: append budget: %w", ErrUnavailable, stream, err)
		return
	}
	op := &appendOperation{a: a, stream: stream, recs: b.recs, minOffset: minOffset}
	b.firstOffset, b.err = op.runAttempts(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.err == nil {
		op.minOffset = max(op.minOffset, b.firstOffset+int64(len(b.recs)))
	}
	s.knownEnd = max(s.knownEnd, op.minOffset)
}

func (a *Appender) takeBudget(ctx context.Context) error {
	if a.opts.Budget == nil {
		return nil
	}
	return a.opts.Budget.Take(ctx)
}

// appendOperation is the append of one batch with its retries.
type appendOperation struct {
	a      *Appender
	stream string
	recs   []NewRecord
	// minOffset is a lower bound of the offsets that the records can have, or
	// unknownOffset.
	minOffset int64
	// maybeAppended is true once an attempt may have taken effect. unverified
	// is true from such an attempt until the stream has been searched for its
	// records.
	maybeAppended, unverified bool
}

func (op *appendOperation) runAttempts(ctx context.Context) (int64, error) {
	var err error
	for n := range op.a.opts.Attempts {
		if n > 0 && op.backOff(ctx, n) != nil {
			break
		}
		var first int64
		if first, err = op.attempt(ctx, n); err == nil {
			return first, nil
		}
	}
	if op.unverified {
		// Search the stream after the last attempt too. Otherwise every answer
		// that this attempt lost would count as a failure.
		if first, found, readErr := op.readBack(ctx); readErr == nil && found {
			return first, nil
		}
	}
	if op.maybeAppended {
		// err is not wrapped, so that the result does not match ErrUnavailable.
		return 0, fmt.Errorf("%w: stream %s: last try: %s", ErrAnswerLost, op.stream, err.Error())
	}
	if errors.Is(err, ErrUnavailable) {
		return 0, err
	}
	return 0, fmt.Errorf("%w: stream %s: %w", ErrUnavailable, op.stream, err)
}

func (op *appendOperation) attempt(ctx context.Context, n int) (int64, error) {
	if op.unverified {
		first, found, err := op.readBack(ctx)
		if err != nil || found {
			return first, err
		}
	}
	if op.minOffset == unknownOffset {
		page, err := op.a.opts.Log.Read(ctx, op.stream, 0, 1, 0)
		if err != nil {
			return 0, err
		}
		op.minOffset = page.EndOffset
	}
	if n > 0 {
		if err := op.a.takeBudget(ctx); err != nil {
			return 0, err
		}
	}
	first, err := op.a.opts.Log.Append(ctx, op.stream, op.recs)
	if errors.Is(err, ErrAnswerLost) {
		op.maybeAppended, op.unverified = true, true
	}
	return first, err
}

// readBack searches the stream for the records of this batch. An append is
// atomic, so it compares only the id of the first record.
func (op *appendOperation) readBack(ctx context.Context) (int64, bool, error) {
	for from := op.minOffset; ; {
		page, err := op.a.opts.Log.Read(ctx, op.stream, from, readBackPageSize, 0)
		if err != nil {
			return 0, false, err
		}
		for _, r := range page.Records {
			if r.ID == op.recs[0].ID {
				op.unverified = false
				return r.Offset, true, nil
			}
			from = r.Offset + 1
		}
		if from >= page.EndOffset || len(page.Records) == 0 {
			op.unverified = false
			return 0, false, nil
		}
	}
}

func (op *appendOperation) backOff(ctx context.Context, n int) error {
	d := float64(op.a.opts.BackoffMs<<(n-1)) * (0.5 + op.a.opts.Jitter()/2)
	return kcclock.Wait(ctx, op.a.opts.Clock, kcclock.Millis(d))
}
