package kcroute

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Rate is an exponentially weighted count of events. All calls on one Rate have the
// same window. The zero value has no events.
type Rate struct {
	count float64
	at    kcclock.Millis
}

// Add returns the rate after n more events.
func (r Rate) Add(n float64, now, window kcclock.Millis) Rate {
	return Rate{r.Count(now, window) + n, now}
}

// Count returns the weighted number of events.
func (r Rate) Count(now, window kcclock.Millis) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(window))
}

// PerMs returns the events per millisecond.
func (r Rate) PerMs(now, window kcclock.Millis) float64 {
	return r.Count(now, window) / float64(window)
}
