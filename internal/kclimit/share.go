// Package kclimit holds the limits of workspaces. A limit is divided between
// the instances by the demand that they report; there is no shared counter.
package kclimit

// maxEqualParts bounds the part of a limit that one instance takes to this many
// equal parts, whatever it believes about the others. It also bounds the
// overshoot: the parts of n instances that all see n live instances sum to at
// most maxEqualParts times the limit even if their views of the demand contradict
// each other, and to at most the limit once the views agree.
const maxEqualParts = 2.0

// equalPart is the part of the limit that is divided equally. It lets an
// instance admit the first requests of a workspace before its demand is known
// to the others.
const equalPart = 0.1

// Share returns the part of a limit, from 0 to 1, that an instance takes whose
// demand is own, when all live instances together have the demand total.
func InstanceShare(own, total float64, live int) float64 {
	n := float64(max(live, 1))
	if live <= 1 {
		return 1
	}
	if total <= 0 || own < 0 {
		return 1 / n
	}
	return min(equalPart/n+(1-equalPart)*min(own/max(total, own), 1), maxEqualParts/n)
}
