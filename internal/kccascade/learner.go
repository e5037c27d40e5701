// Package kccascade learns from ratings how good versions and cascades are for
// each class, and finds the cheapest sequence that meets a quality target.
package kccascade

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Chain is a cascade of one or two versions. Second runs if the answer of First
// fails the check; it is "" for a single version.
type Chain struct {
	First  string
	Second string
}

// confidenceZ is the z value of the bounds on learned shares. It is one-sided
// 95%, so a chain that does not meet the target is considered to meet it in at
// most about one of twenty evaluations of independent evidence.
const confidenceZ = 1.645

// minEvidenceWeight is the evidence below which no conclusion is drawn. With
// fewer ratings the Wilson bound is too loose to separate the usual targets.
const minEvidenceWeight = 40

// Options configures a Learner.
type Options struct {
	// HalfLifeMs is the time in which the weight of a rating halves. Without
	// new ratings the evidence decays and the declared quality decides again.
	HalfLifeMs kcclock.Millis
	// RecentHalfLifeMs is the half-life of a second count, which can only lower
	// an estimate: it reveals a change for the worse that the long-term
	// evidence still hides.
	RecentHalfLifeMs kcclock.Millis
}

// Learner holds decaying counts of ratings and check results per class. It is
// not safe for concurrent use.
type Learner struct {
	opts    Options
	ratings map[chainKey]*outcomeCounts
	checks  map[versionKey]*outcomeCounts
}

type chainKey struct {
	class kcrules.Class
	chain Chain
}

type versionKey struct {
	class   kcrules.Class
	version string
}

// NewLearner returns a learner without evidence.
func NewLearner(opts Options) *Learner {
	if opts.HalfLifeMs <= 0 {
		opts.HalfLifeMs = 12 * kcclock.Hour
	}
	if opts.RecentHalfLifeMs <= 0 {
		opts.RecentHalfLifeMs = 20 * kcclock.Minute
	}
	return &Learner{opts: opts, ratings: make(map[chainKey]*outcomeCounts), checks: make(map[versionKey]*outcomeCounts)}
}

// RecordRating adds a rating of an answer given by chain.
func (l *Learner) RecordRating(class kcrules.Class, chain Chain, good bool, now kcclock.Millis) {
	k := chainKey{class, chain}
	if l.ratings[k] == nil {
		l.ratings[k] = &outcomeCounts{}
	}
	l.ratings[k].add(good, now, l.opts)
}

// RecordCheck adds the result of the check in the request path for an answer of
// version.
func (l *Learner) RecordCheck(class kcrules.Class, version string, passed bool, now kcclock.Millis) {
	k := versionKey{class, version}
	if l.checks[k] == nil {
		l.checks[k] = &outcomeCounts{}
	}
	l.checks[k].add(passed, now, l.opts)
}

// Quality returns the learned share of good answers of chain.
func (l *Learner) Quality(class kcrules.Class, chain Chain, now kcclock.Millis) Estimate {
	return l.ratings[chainKey{class, chain}].estimate(now, l.opts)
}

// PassRate returns the learned share of answers of version that pass the check.
func (l *Learner) PassRate(class kcrules.Class, version string, now kcclock.Millis) Estimate {
	return l.checks[versionKey{class, version}].estimate(now, l.opts)
}

// outcomeCounts counts outcomes over a long and a recent period.
type outcomeCounts struct{ long, recent decayingCount }

func (r *outcomeCounts) add(good bool, now kcclock.Millis, opts Options) {
	r.long.add(good, now, opts.HalfLifeMs)
	r.recent.add(good, now, opts.RecentHalfLifeMs)
}

// estimate returns the long-term estimate, or the recent one if it is worse by
// more than chance explains.
func (r *outcomeCounts) estimate(now kcclock.Millis, opts Options) Estimate {
	if r == nil {
		return Estimate{Upper: 1}
	}
	long, recent := r.long.estimate(now, opts.HalfLifeMs), r.recent.estimate(now, opts.RecentHalfLifeMs)
	if recent.Sufficient() && recent.Upper < long.Lower {
		return recent
	}
	return long
}

// decayingCount is a count of successes whose weight halves with time.
type decayingCount struct {
	good, total float64
	decayedAt   kcclock.Millis
}

func (s *decayingCount) add(good bool, now, halfLife kcclock.Millis) {
	s.decay(now, halfLife)
	s.total++
	if good {
		s.good++
	}
}

func (s *decayingCount) decay(now, halfLife kcclock.Millis) {
	if now > s.decayedAt {
		f := math.Exp2(-float64(now-s.decayedAt) / float64(halfLife))
		s.good *= f
		s.total *= f
		s.decayedAt = now
	}
}

// Estimate is a share with its confidence interval. Mean, Lower and Upper are
// from 0 to 1.
type Estimate struct {
	// Weight is the number of outcomes in the evidence after decay.
	Weight float64
	Mean   float64
	Lower  float64
	Upper  float64
}

// Sufficient reports whether the evidence allows a conclusion.
func (e Estimate) Sufficient() bool { return e.Weight >= minEvidenceWeight }

func (s *decayingCount) estimate(now, halfLife kcclock.Millis) Estimate {
	f := 1.0
	if now > s.decayedAt {
		f = math.Exp2(-float64(now-s.decayedAt) / float64(halfLife))
	}
	return WilsonInterval(s.good*f, s.total*f)
}

// WilsonInterval returns the Wilson score interval for good successes in total
// trials.
func WilsonInterval(good, total float64) Estimate {
	if total <= 0 {
		return Estimate{Upper: 1}
	}
	p, z2 := good/total, confidenceZ*confidenceZ
	center := (p + z2/(2*total)) / (1 + z2/total)
	half := confidenceZ / (1 + z2/total) * math.Sqrt(p*(1-p)/total+z2/(4*total*total))
	return Estimate{Weight: total, Mean: p, Lower: max(center-half, 0), Upper: min(center+half, 1)}
}
