package kcconfig

import (
	"context"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	readPageRecords = 500
	// longPollMs is the wait of a long poll. It must be below FreshnessBoundMs,
	// because an empty answer only proves the end of the log for the time at which
	// the read was sent.
	longPollMs = kcclock.Second
	// readTimeoutMs bounds the time of a read on top of its wait, so that an
	// unresponsive connection is replaced. The timeout doubles with each failure up
	// to maxReadTimeoutMs, because a log service that answers slowly still accepts
	// changes.
	readTimeoutMs    = 2 * kcclock.Second
	maxReadTimeoutMs = 16 * kcclock.Second
	// retryDelayMs is the delay after a failed read.
	retryDelayMs = 250 * kcclock.Millisecond
	// slowReadMs is the time of a read on top of its wait from which the next read
	// does not use a long poll. The sum of wait and read time must stay well below
	// FreshnessBoundMs, or an instance would treat a slow log service as down.
	slowReadMs = 500 * kcclock.Millisecond
)

// Run follows the log and writes snapshots until ctx ends, then closes the
// returned channel.
func (r *Reader) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait := kcclock.Millis(0)
		for ctx.Err() == nil {
			askedAt := r.opts.Clock.Now()
			more, err := r.Poll(ctx, wait)
			slow := r.opts.Clock.Now()-askedAt-wait >= slowReadMs
			wait = longPollMs
			if more || slow {
				wait = 0
			}
			if err == nil {
				r.writeSnapshot(ctx)
				continue
			}
			r.opts.Metrics.Count("config.readsFailed")
			select {
			case <-ctx.Done():
			case <-r.opts.Clock.After(retryDelayMs):
			}
		}
	}()
	return done
}

// Poll reads one page of the log and folds it. It waits up to wait for a record
// and reports whether the log has more records. It must not be called
// concurrently.
func (r *Reader) Poll(ctx context.Context, wait kcclock.Millis) (more bool, err error) {
	ctx, cancel := kcclock.WithTimeout(ctx, r.opts.Clock, wait+r.timeoutMs)
	defer cancel()
	askedAt := r.opts.Clock.Now()
	page, err := r.opts.Store.Read(ctx, Stream, r.logPosition(), readPageRecords, wait)
	if err != nil {
		r.timeoutMs = min(2*r.timeoutMs, maxReadTimeoutMs)
		return false, err
	}
	r.timeoutMs = min(max(readTimeoutMs, 2*(r.opts.Clock.Now()-askedAt-wait)), maxReadTimeoutMs)
	r.applyPage(page, askedAt)
	return r.logPosition() < page.EndOffset, nil
}

// Freshness tells whether the rules in force are known to be up to date.
func (r *Reader) Freshness() Freshness {
	return r.tracker.freshness(r.opts.Clock.Now(), r.opts.InstanceID, r.opts.InstanceZones)
}

// Fresh reports whether the rules in force are known to be up to date.
func (r *Reader) Fresh() bool { return r.Freshness().Fresh }
