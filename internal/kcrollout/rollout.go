// Package kcrollout decides which requests a new version gets, and stops a
// version that has turned bad.
package kcrollout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
)

// Share returns the share of requests, from 0 to 1, that the new version of
// the roll-out gets.
func Share(r kcrules.Rollout) float64 {
	if r.Stopped || len(r.Stages) == 0 {
		return 0
	}
	return r.Stages[min(max(r.StageIndex, 0), len(r.Stages)-1)]
}

// Finished reports whether the new version gets all requests.
func Finished(r kcrules.Rollout) bool { return !r.Stopped && Share(r) >= 1 }

// WorkspaceShare returns the share of the workspace's requests that the new
// version gets. Until the roll-out has finished it is at most MaxRolloutShare,
// so a workspace that sets none gets the new version last.
func WorkspaceShare(r kcrules.Rollout, w kcrules.Workspace) float64 {
	if Finished(r) {
		return 1
	}
	return min(Share(r), w.MaxRolloutShare)
}

// Exposed reports whether the request with the given key goes to the new
// version. The decision is a hash of the version and the key, so all instances
// agree, and a request that is exposed at one stage is exposed at every later
// one.
func Exposed(r kcrules.Rollout, w kcrules.Workspace, key string) bool {
	share := WorkspaceShare(r, w)
	if share <= 0 {
		return false
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.To)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return float64(d.Sum64()>>11)/(1<<53) < share
}
