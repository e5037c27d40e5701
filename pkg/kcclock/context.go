package kcclock

import "context"

// WithTimeout returns a context that ends after d milliseconds of the clock;
// its cause is then context.DeadlineExceeded. A d of 0 or less means no
// timeout.
func WithTimeout(ctx context.Context, clock Clock, d Millis) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	switch clock.(type) {
	case System, Boot:
		// The timer of the context is released with it; one of Clock.After
		// would last for the whole of d.
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

// Wait blocks for d milliseconds of clock. It returns the cause if ctx ends
// earlier.
func Wait(ctx context.Context, clock Clock, d Millis) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-clock.After(d):
		return nil
	}
}
