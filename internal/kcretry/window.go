package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// windowSlots is the number of parts of a window: a repeat is counted for up to
// one part longer than the window.
const windowSlots = 20

// Window permits repeats as a share of the first tries of a sliding window, as
// operators bound them. It is not safe for concurrent use.
type WindowBudget struct {
	// Share is the number of repeats per first try.
	Share float64
	// Slack is the number of repeats beyond it.
	BaseRetries float64
	// SpanMs is the length of the window.
	SpanMs kcclock.Millis

	slots [windowSlots + 1]struct {
		at             kcclock.Millis
		first, repeats int
	}
}

func (w *WindowBudget) slot(now kcclock.Millis) int {
	size := max(w.SpanMs/windowSlots, 1)
	at := now / size
	i := int(at % kcclock.Millis(len(w.slots)))
	if w.slots[i].at != at {
		w.slots[i].at, w.slots[i].first, w.slots[i].repeats = at, 0, 0
	}
	return i
}

// Try counts a first try.
func (w *WindowBudget) AddFirstTry(now kcclock.Millis) { w.slots[w.slot(now)].first++ }

// Retry takes a repeat and reports whether there was one.
func (w *WindowBudget) TakeRetry(now kcclock.Millis) bool {
	i := w.slot(now)
	first, repeats := 0, 0
	for k := range w.slots {
		if w.slots[i].at-w.slots[k].at <= windowSlots {
			first += w.slots[k].first
			repeats += w.slots[k].repeats
		}
	}
	if float64(repeats+1) > w.Share*float64(first)+w.BaseRetries {
		return false
	}
	w.slots[i].repeats++
	return true
}
