package kcgate

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

const (
	// maxOutlierShare is the share of the upstreams of a target, rounded up, that
	// may be faulty independently of the version. The widest known fault of that
	// kind affects a quarter of the upstreams.
	maxOutlierShare = 0.25
	// minOutlierUpstreams is the least number of upstreams with which the fault
	// of one can be told from a fault of the version.
	minOutlierUpstreams = 3
	// minRestAnswers is the least number of responses of the other upstreams for
	// a comparison. A version that fails a third of its responses fails none of
	// six in one of eleven cases, and is then stopped a few responses later.
	minRestAnswers = 6
	// minOutlierRatio is the least ratio of the failure rate of outliers to that
	// of the other upstreams.
	minOutlierRatio = 4
	// minSlowOutlierRatio is the same for slow answers, of which all upstreams have
	// some.
	minSlowOutlierRatio = 2
)

// upstreamArm is the arm of one upstream of a target. It is used in the first
// step of an order, when few upstreams serve all requests of the target.
func upstreamArm(upstream string) string { return targetArm + "@" + upstream }

// findOutliers returns the upstreams that fail independently of the version which
// all of them run. Otherwise a faulty upstream that serves a large part of the
// few requests of a new version would stop that version. The result is wrong for
// a version that fails on a few upstreams only, until more of them fail.
func findOutliers(failures map[string]kcrollout.Count, minRatio int64) kcset.Set[string] {
	out := kcset.New[string]()
	if len(failures) < minOutlierUpstreams {
		return out
	}
	names := make([]string, 0, len(failures))
	for name := range failures {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(failures[b].Bad, failures[a].Bad), strings.Compare(a, b))
	})
	n := int(math.Ceil(maxOutlierShare * float64(len(names))))
	var worst, rest kcrollout.Count
	for i, name := range names {
		sum := &rest
		if i < n {
			sum = &worst
		}
		sum.Bad += failures[name].Bad
		sum.Total += failures[name].Total
	}
	if rest.Total < minRestAnswers || minRatio*rest.Bad*worst.Total >= worst.Bad*rest.Total {
		return out
	}
	for _, name := range names[:n] {
		if failures[name].Bad > 0 {
			out.Add(name)
		}
	}
	return out
}

// targetEvidence returns the evidence on the target of an order without the
// failures at its outliers, and the outliers. How slow their answers are still
// counts: the stalled streams of a slow version are failures, which may happen at
// a few upstreams only. Slow answers are left out if they alone make an upstream an
// outlier.
func targetEvidence(e *kcrollout.Evidence) (kcrollout.Strata, kcset.Set[string]) {
	single := e.PooledBy(func(version string) (string, bool) { return strings.CutPrefix(version, upstreamArm("")) })
	failures, slow := make(map[string]kcrollout.Count, len(single)), make(map[string]kcrollout.Count, len(single))
	for name, strata := range single {
		failures[name], slow[name] = strata.Sum()[kcrollout.Failure], strata.Sum()[kcrollout.Slow]
	}
	skipped, slowOnes := findOutliers(failures, minOutlierRatio), findOutliers(slow, minSlowOutlierRatio)
	sum := e.Pooled(targetArm)
	for name, strata := range single {
		for stratum, t := range strata {
			if skipped.Has(name) {
				t = kcrollout.Tally{kcrollout.Slow: t[kcrollout.Slow], kcrollout.VerySlow: t[kcrollout.VerySlow]}
			}
			if slowOnes.Has(name) {
				t[kcrollout.Slow], t[kcrollout.VerySlow] = kcrollout.Count{}, kcrollout.Count{}
			}
			sum[stratum] = sum[stratum].Plus(t)
		}
	}
	return sum, skipped
}
