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
	// maxOutlierShare is the part of the upstreams of a target, rounded up, that may
	// be faulty themselves: the widest known fault of that kind strikes a
	// quarter of the upstreams.
	maxOutlierShare = 0.25
	// minOutlierUpstreams is the number of upstreams from which a single one can be
	// told from a version.
	minOutlierUpstreams = 3
	// minRestAnswers is the number of answers of the other upstreams without
	// which they say little: a version that fails a third of its answers fails
	// none of six in one of eleven cases, and is then stopped a few answers
	// later.
	minRestAnswers = 6
	// minOutlierRatio is how many times more often than the others an outlier
	// fails.
	minOutlierRatio = 4
)

// upstreamArm is the side of the evidence for one upstream of a target in its
// first step, when few upstreams carry all of its requests.
func upstreamArm(upstream string) string { return targetArm + "@" + upstream }

// outliers returns the upstreams whose failures are their own and not those of
// the version that all of them run. It answers loads in which a faulty upstream
// gets a large part of the few requests of a new version. It is wrong for a
// version that is bad on a few upstreams only, until more of them fail.
func findOutliers(failures map[string]kcrollout.Count) kcset.Set[string] {
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
	if rest.Total < minRestAnswers || minOutlierRatio*rest.Bad*worst.Total >= worst.Bad*rest.Total {
		return out
	}
	for _, name := range names[:n] {
		if failures[name].Bad > 0 {
			out.Add(name)
		}
	}
	return out
}

// targetEvidence returns the evidence on the target of an order without its
// outliers, and those.
func targetEvidence(e *kcrollout.Evidence) (kcrollout.Strata, kcset.Set[string]) {
	single := e.PooledBy(func(version string) (string, bool) { return strings.CutPrefix(version, upstreamArm("")) })
	failures := make(map[string]kcrollout.Count, len(single))
	for name, strata := range single {
		failures[name] = strata.Sum()[kcrollout.Failure]
	}
	skipped := findOutliers(failures)
	sum := e.Pooled(targetArm)
	for name, strata := range single {
		if skipped.Has(name) {
			continue
		}
		for stratum, t := range strata {
			sum[stratum] = sum[stratum].Plus(t)
		}
	}
	return sum, skipped
}
