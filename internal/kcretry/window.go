package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// windowBuckets is the number of parts of a window: a repeat is counted for up to
// one part longer than the window.
const windowBuckets = 20

// Window permits repeats as a share of the first tries of a sliding window, as
// operators bound them. It is not safe for concurrent use.
type WindowBudget struct {
	// Share is the number of repeats per first try.
	Share float64
	// Slack is the number of repeats beyond it.
	BaseRetries float64
	// SpanMs is the length of the window.
	SpanMs kcclock.Millis

	buckets [windowBuckets + 1]struct {
		index          kcclock.Millis
		first, repeats int
	}
}

func (w *WindowBudget) currentBucket(now kcclock.Millis) int {
	size := max(w.SpanMs/windowBuckets, 1)
	at := now / size
	i := int(at % kcclock.Millis(len(w.buckets)))
	if w.buckets[i].index != at {
		w.buckets[i].index, w.buckets[i].first, w.buckets[i].repeats = at, 0, 0
	}
	return i
}

// Try counts a first try.
func (w *WindowBudget) AddFirstTry(now kcclock.Millis) { w.buckets[w.currentBucket(now)].first++ }

// Retry takes a repeat and reports whether there was one.
func (w *WindowBudget) TakeRetry(now kcclock.Millis) bool {
	i := w.currentBucket(now)
	first, repeats := 0, 0
	for k := range w.buckets {
		if w.buckets[i].index-w.buckets[k].index <= windowBuckets {
			first += w.buckets[k].first
			repeats += w.buckets[k].repeats
		}
	}
	if float64(repeats+1) > w.Share*float64(first)+w.BaseRetries {
		return false
	}
	w.buckets[i].repeats++
	return true
}
