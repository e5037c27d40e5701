// Package kcstandin provides stand-ins, which are in-memory fakes, for the
// platform's services and for upstreams. They can inject the faults that the real
// ones have. The demo, the tests and cmd/kingcuprail-standin use them.
package kcstandin

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// LogFaults are the faults that a Log injects. The zero value injects none.
type LogFaults struct {
	// Down makes every append and read fail.
	Down bool `json:"down" help:"Refuse every append and read."`
	// LostShare is the share, from 0 to 1, of appends that take effect but return
	// an error because the response is lost.
	LostShare float64 `json:"loseAnswers" name:"lose-answers" help:"Share of appends, 0 to 1, that take effect without an answer."`
	// RefusedShare is the share, from 0 to 1, of appends that fail without
	// taking effect.
	RefusedShare float64 `json:"refuseAppends" name:"refuse-appends" help:"Share of appends, 0 to 1, that are refused."`
	// DelayMs is the delay of every append and read.
	DelayMs kcclock.Millis `json:"delayMs" help:"Delay of every answer in milliseconds."`
	// AppendsPerSecond limits the rate of appends. Appends above it are refused.
	// 0 means no limit.
	AppendsPerSecond float64 `json:"appendsPerSecond" help:"Appends a second; others are refused. 0 means no limit."`
	// RetentionMs replaces the retention of LogOptions if it is not 0.
	RetentionMs kcclock.Millis `json:"retentionMs" help:"Age at which records are removed, in milliseconds; 0 keeps them."`
}

// LogOptions configures a Log.
type LogOptions struct {
	Clock kcclock.Clock
	Seed  uint64
	// RetentionMs is the age above which records are removed; 0 keeps them.
	RetentionMs kcclock.Millis
}

// Log is an in-memory append-only log with any number of streams.
type Log struct {
	opts LogOptions

	mu          sync.Mutex
	rng         *rand.Rand
	appendLimit limiter
	faults      LogFaults
	streams     map[string]*logStream
	appendCount int64
}

type logStream struct {
	firstOffset int64
	records     []kclog.Record
	// appended is closed and replaced at every append.
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog(opts LogOptions) *Log {
	return &Log{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), streams: make(map[string]*logStream)}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// AppendCount returns the number of appends that took effect.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// Append adds recs to stream and returns the offset of the first.
func (l *Log) Append(ctx context.Context, stream string, recs []kclog.NewRecord) (int64, error) {
	if err := l.waitDelay(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", kclog.ErrAnswerLost, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.rng.Float64() < l.faults.RefusedShare {
		return 0, kclog.ErrUnavailable
	}
	if !l.appendLimit.allow(l.opts.Clock.Now(), l.faults.AppendsPerSecond) {
		return 0, fmt.Errorf("%w: too many appends", kclog.ErrUnavailable)
	}
	s := l.getOrCreateStream(stream)
	first := s.firstOffset + int64(len(s.records))
	now := l.opts.Clock.Now()
	for i, r := range recs {
		s.records = append(s.records, kclog.Record{Offset: first + int64(i), AppendedAt: now, NewRecord: r})
	}
	l.appendCount++
	close(s.appended)
	s.appended = make(chan struct{})
	if l.rng.Float64() < l.faults.LostShare {
		return 0, kclog.ErrAnswerLost
	}
	return first, nil
}

// Read returns at most limit records that start at offset from. If there are
// none, it waits up to wait milliseconds for an append (long polling).
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	if err := l.waitDelay(ctx); err != nil {
		return kclog.Page{}, fmt.Errorf("%w: %w", kclog.ErrUnavailable, err)
	}
	page, appended, err := l.readNow(stream, from, limit)
	if err != nil || wait <= 0 || len(page.Records) > 0 {
		return page, err
	}
	select {
	case <-appended:
	case <-l.opts.Clock.After(wait):
	case <-ctx.Done():
		return kclog.Page{}, fmt.Errorf("%w: %w", kclog.ErrUnavailable, ctx.Err())
	}
	page, _, err = l.readNow(stream, from, limit)
	return page, err
}

func (l *Log) readNow(stream string, from int64, limit int) (kclog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return kclog.Page{}, nil, kclog.ErrUnavailable
	}
	s := l.getOrCreateStream(stream)
	now := l.opts.Clock.Now()
	s.removeExpired(now, cmp.Or(l.faults.RetentionMs, l.opts.RetentionMs))
	end := s.firstOffset + int64(len(s.records))
	from = min(max(from, s.firstOffset), end)
	to := min(from+int64(limit), end)
	page := kclog.Page{FirstOffset: s.firstOffset, EndOffset: end, Now: now}
	page.Records = append(page.Records, s.records[from-s.firstOffset:to-s.firstOffset]...)
	return page, s.appended, nil
}

func (l *Log) getOrCreateStream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) removeExpired(now, retention kcclock.Millis) {
	if retention <= 0 {
		return
	}
	n := 0
	for n < len(s.records) && s.records[n].AppendedAt+retention < now {
		n++
	}
	s.records = s.records[n:]
	s.firstOffset += int64(n)
}

func (l *Log) waitDelay(ctx context.Context) error {
	l.mu.Lock()
	d := l.faults.DelayMs
	l.mu.Unlock()
	if d <= 0 {
		return nil
	}
	select {
	case <-l.opts.Clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
