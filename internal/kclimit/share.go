// Package kclimit enforces the limits of workspaces. Each limit is divided
// between the instances by the demand that they report; there is no shared
// counter.
package kclimit

// maxEqualParts bounds the share that one instance takes of a limit, as a
// multiple of an equal share, whatever demand it assumes for the others. It
// also bounds the overshoot: if n instances all see n live instances, their
// shares sum to at most maxEqualParts times the limit even if their views of
// the demand contradict each other, and to at most the limit once the views
// agree.
const maxEqualParts = 2.0

// equalPart is the part of a limit that is divided equally. It lets an instance
// admit the first requests of a workspace before the others know its demand.
const equalPart = 0.1

// InstanceShare returns the share of a limit, from 0 to 1, of an instance with
// the demand own when all live instances together have the demand total.
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
