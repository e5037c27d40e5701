package kcclock

import "context"

// WithTimeout returns a context that is canceled after d milliseconds of clock,
// with the cause context.DeadlineExceeded. A d of 0 or less means no timeout.
func WithTimeout(ctx context.Context, clock Clock, d Millis) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	switch clock.(type) {
	case System, Boot:
		// The timer of the context is released when the context is canceled. A
		// timer of Clock.After would be kept until d has passed.
		return context.WithTimeout(ctx, d.Duration())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	expired := clock.After(d)
	go func() {
		select {
		case <-expired:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// Wait blocks for d milliseconds of clock. If ctx is done earlier, it returns
// the cause.
func Wait(ctx context.Context, clock Clock, d Millis) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-clock.After(d):
		return nil
	}
}
