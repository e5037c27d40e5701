package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// windowBuckets is the number of parts into which a window is divided. A retry
// counts for up to one part longer than the window.
const windowBuckets = 20

// WindowBudget permits retries as a share of the first tries in a sliding
// window, as operators configure it. It is not safe for concurrent use.
type WindowBudget struct {
	// Share is the number of retries per first try.
	Share float64
	// BaseRetries is the number of retries that are permitted in addition to
	// Share.
	BaseRetries float64
	// SpanMs is the length of the window.
	SpanMs kcclock.Millis

	buckets [windowBuckets + 1]struct {
		index          kcclock.Millis
		first, retries int
	}
}

// currentBucket returns the position of the bucket for now, and clears the
// bucket if it is from an earlier round.
func (w *WindowBudget) currentBucket(now kcclock.Millis) int {
	size := max(w.SpanMs/windowBuckets, 1)
	at := now / size
	i := int(at % kcclock.Millis(len(w.buckets)))
	if w.buckets[i].index != at {
		w.buckets[i].index, w.buckets[i].first, w.buckets[i].retries = at, 0, 0
	}
	return i
}

// AddFirstTry counts a first try.
func (w *WindowBudget) AddFirstTry(now kcclock.Millis) { w.buckets[w.currentBucket(now)].first++ }

// TakeRetry reports whether the window permits a retry, and counts it if so.
func (w *WindowBudget) TakeRetry(now kcclock.Millis) bool {
	i := w.currentBucket(now)
	first, retries := 0, 0
	for k := range w.buckets {
		if w.buckets[i].index-w.buckets[k].index <= windowBuckets {
			first += w.buckets[k].first
			retries += w.buckets[k].retries
		}
	}
	if float64(retries+1) > w.Share*float64(first)+w.BaseRetries {
		return false
	}
	w.buckets[i].retries++
	return true
}
