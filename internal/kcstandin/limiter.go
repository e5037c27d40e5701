package kcstandin

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// limiter is a token bucket whose time comes from a kcclock. It holds the tokens
// of one second, at least one. The zero value has no limit. It is not safe for
// concurrent use.
type limiter struct {
	perSecond float64
	bucket    *rate.Limiter
}

// allow reports whether one more event is within the limit of perSecond events a
// second; 0 means no limit. A change of the limit starts a new, full bucket.
func (l *limiter) allow(now kcclock.Millis, perSecond float64) bool {
	if perSecond <= 0 {
		l.perSecond, l.bucket = 0, nil
		return true
	}
	if l.bucket == nil || l.perSecond != perSecond {
		l.perSecond, l.bucket = perSecond, rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
	}
	return l.bucket.AllowN(time.UnixMilli(int64(now)), 1)
}
