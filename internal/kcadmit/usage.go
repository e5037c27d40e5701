package kcadmit

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

const (
	// usageWindowMs is the window of the use by workspaces: short enough to notice a
	// burst of a few seconds.
	usageWindowMs = 3000.0
	// maxWorkspaces bounds the workspaces whose use is known.
	maxWorkspaces = 1024
	// heavyUse is the multiple of the mean use of a workspace from which it has no
	// credit.
	heavyUse = 3.0
	// recountMs is the time between two counts of the active workspaces.
	recountMs = 200 * kcclock.Millisecond
)

// usage holds the recent use of a service by workspace.
type usage struct {
	byWorkspace map[string]*decayingCount
	total       decayingCount
	active      int
	countedAt   kcclock.Millis
}

func newUsage() usage { return usage{byWorkspace: make(map[string]*decayingCount)} }

func (u *usage) add(now kcclock.Millis, workspace string, costMs float64) {
	w := u.byWorkspace[workspace]
	if w == nil {
		if len(u.byWorkspace) >= maxWorkspaces {
			u.count(now)
		}
		if len(u.byWorkspace) >= maxWorkspaces {
			return
		}
		w = &decayingCount{}
		u.byWorkspace[workspace] = w
	}
	costMs = max(costMs, 1)
	w.add(now, costMs, usageWindowMs)
	u.total.add(now, costMs, usageWindowMs)
	if now-u.countedAt >= recountMs {
		u.count(now)
	}
}

// count counts the active workspaces and forgets the others.
func (u *usage) count(now kcclock.Millis) {
	u.countedAt = now
	for name, w := range u.byWorkspace {
		if now-w.at > 3*kcclock.Millis(usageWindowMs) {
			delete(u.byWorkspace, name)
		}
	}
	u.active = len(u.byWorkspace)
}

// credit returns 1 for workspaces that use no more than the others, and falls to 0
// for those that use several times as much.
func (u *usage) credit(now kcclock.Millis, workspace string) float64 {
	w := u.byWorkspace[workspace]
	if w == nil || u.active <= 1 {
		return 1
	}
	mean := u.total.at0(now, usageWindowMs) / float64(u.active)
	if mean <= 0 {
		return 1
	}
	over := w.at0(now, usageWindowMs)/mean - 1
	return min(max(1-over/(heavyUse-1), 0), 1)
}
