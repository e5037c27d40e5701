package kcpeer

import (
	"net"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// deploymentHeader carries Options.Deployment in requests and responses. The
// address of a peer may belong to an instance of another deployment by the time
// of a call. Its log is another one, so that a claim that it decides guards
// nothing here.
const deploymentHeader = "Kingcuprail-Deployment"

const (
	// foreignLogIntervalMs is the time between two log lines about the same
	// foreign peer.
	foreignLogIntervalMs = 10 * kcclock.Second
	// maxForeignLogged bounds the foreign peers that are logged in an interval.
	maxForeignLogged = 64
)

var errForeign = errs.New("peer: the instance belongs to another deployment or log")

// recordForeign counts a message of a foreign instance at addr and logs it.
func (n *Node) recordForeign(addr, deployment string) {
	n.opts.Metrics.Count("peer.foreign")
	// The port of an incoming connection differs each time.
	if host, _, err := net.SplitHostPort(addr); err == nil {
		addr = host
	}
	now := n.opts.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for known, at := range n.foreignLoggedAt {
		if now-at >= foreignLogIntervalMs {
			delete(n.foreignLoggedAt, known)
		}
	}
	if _, recent := n.foreignLoggedAt[addr]; recent || len(n.foreignLoggedAt) >= maxForeignLogged {
		return
	}
	n.foreignLoggedAt[addr] = now
	n.opts.Log.Warn("foreignPeer", "peer", addr, "deployment", deployment, "own", n.opts.Deployment)
}
