package kcpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// failureCooldownMs is how long LivePeers excludes a peer after a failed call,
	// so that ownership of keys moves on before the list of instances changes.
	failureCooldownMs = 3 * kcclock.Second
	// idleConnTimeout is longer than the usual time between two messages to the
	// same peer in a small deployment. In a large deployment most calls open a new
	// connection.
	idleConnTimeout = 15 * time.Second
	maxIdleConns    = 64
)

// Options configures a Node.
type Options struct {
	// Self is this instance as it appears in the list of instances.
	Self  kcmember.Member
	Clock kcclock.Clock
	// Members returns the live entry instances of the list, including Self if the
	// list has it. It must return a new slice after each change.
	Members func() []kcmember.Member
	Metrics *kcmetric.Registry
	// Seed makes the choice of peers repeatable.
	Seed uint64
	// PeriodMs is the pause between two rounds of digest exchanges.
	PeriodMs kcclock.Millis
	// TimeoutMs limits the duration of one digest exchange.
	TimeoutMs kcclock.Millis
	Handlers  Handlers
	// TLS is used for calls to peers; nil means plain TCP.
	TLS *tls.Config
	// Deployment identifies the deployment and its log. Requests and responses of
	// instances with another one are refused.
	Deployment string
	// Log receives a line about foreign peers; nil discards it.
	Log *slog.Logger
}

// Node exchanges messages between this instance and its peers and tracks which
// of them are reachable.
type Node struct {
	opts           Options
	pooledClient   *http.Client
	unpooledClient *http.Client
	gzipper        compressor
	rng            *rand.Rand
	round          int
	mu             sync.Mutex
	cooldownEnds   map[string]kcclock.Millis // by peer id
	lastCallFailed kcset.Set[string]         // peers whose last call failed
	cachedLive     *liveSet                  // nil if it must be computed again
	// foreignLoggedAt holds the time of the last log line about a foreign peer, by
	// address. It holds at most maxForeignLogged entries.
	foreignLoggedAt map[string]kcclock.Millis
}

// NewNode returns a node. It starts no exchanges before Run is called.
func NewNode(opts Options) *Node {
	dial := opts.Metrics.Traffic("peer").Dial
	pooledTransport := &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, TLSClientConfig: opts.TLS,
		DialContext: dial,
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	unpooledTransport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: opts.TLS, DialContext: dial}
	return &Node{
		opts: opts, pooledClient: &http.Client{Transport: kcresponse.NewTransport(pooledTransport)},
		unpooledClient: &http.Client{Transport: kcresponse.NewTransport(unpooledTransport)},
		rng:            rand.New(rand.NewPCG(opts.Seed, 1)),
		cooldownEnds:   make(map[string]kcclock.Millis), lastCallFailed: kcset.New[string](),
		foreignLoggedAt: make(map[string]kcclock.Millis),
	}
}

// liveSet is the cached result of LivePeers and LiveInstances. At 380 instances
// computing it takes 0.7 ms, and jobs alone need it five times a second.
type liveSet struct {
	// source is the list that the set was computed from.
	source []kcmember.Member
	// validUntil is the earliest end of a cooldown among source, or 0 if there is
	// none.
	validUntil kcclock.Millis
	peers      []kcmember.Member
	ids        []string
}

// LivePeers returns the other entry instances that are not leaving, without
// those whose last call failed less than 3 s ago. The caller must not change
// the slice.
func (n *Node) LivePeers() []kcmember.Member { return n.currentLiveSet().peers }

// LiveInstances returns the ids of this instance and its live peers, the
// members for a rendezvous hash. The caller must not change the slice.
func (n *Node) LiveInstances() []string { return n.currentLiveSet().ids }

func (n *Node) currentLiveSet() *liveSet {
	now, members := n.opts.Clock.Now(), n.opts.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.cachedLive; l != nil && sameSlice(l.source, members) && (l.validUntil == 0 || now < l.validUntil) {
		return l
	}
	l := &liveSet{source: members, ids: []string{n.opts.Self.ID}}
	for _, m := range members {
		switch end := n.cooldownEnds[m.ID]; {
		case m.ID == n.opts.Self.ID || m.Leaving:
		case end > now:
			if l.validUntil == 0 || end < l.validUntil {
				l.validUntil = end
			}
		default:
			l.peers = append(l.peers, m)
			l.ids = append(l.ids, m.ID)
		}
	}
	l.peers, l.ids = slices.Clip(l.peers), slices.Clip(l.ids)
	n.cachedLive = l
	return l
}

// sameSlice reports whether a and b have the same length and backing array. The
// directory makes a new list for every change, so the same slice means no change.
func sameSlice(a, b []kcmember.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// client is the HTTP client of one call. It compresses and decompresses bodies
// and counts their bytes.
type client struct {
	node        *Node
	http        *http.Client
	gotResponse bool
}

// Call runs f with an RPC client of the peer. The context that f gets expires
// after timeout milliseconds. After a failed call the next ones use new
// connections until one succeeds, because the pooled connection may be dead
// while new ones work. A call counts as failed if it ends without a response or
// its timeout expires. An error response shows that the peer is reachable. A call
// that ends because ctx is done counts as neither.
func (n *Node) Call(ctx context.Context, m kcmember.Member, timeout kcclock.Millis, f func(context.Context, Peer) error) error {
	parent := ctx
	ctx, cancel := kcclock.WithTimeout(ctx, n.opts.Clock, timeout)
	defer cancel()
	c := n.clientFor(m.ID)
	scheme := "http://"
	if n.opts.TLS != nil {
		scheme = "https://"
	}
	err := f(ctx, NewPeerProtobufClient(scheme+m.Addr, c))
	switch {
	case err == nil || (c.gotResponse && ctx.Err() == nil):
		n.markReachable(m.ID)
	case parent.Err() == nil:
		n.markFailed(m.ID)
	}
	if err != nil {
		return fmt.Errorf("peer %s: %w", m.ID, err)
	}
	return nil
}

func (n *Node) clientFor(id string) *client {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastCallFailed.Has(id) {
		return &client{node: n, http: n.unpooledClient}
	}
	return &client{node: n, http: n.pooledClient}
}

func (n *Node) markReachable(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCallFailed.Remove(id)
	if _, ok := n.cooldownEnds[id]; ok {
		delete(n.cooldownEnds, id)
		n.cachedLive = nil
	}
}

func (n *Node) markFailed(id string) {
	n.opts.Metrics.Count("peer.failures")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCallFailed.Add(id)
	n.cooldownEnds[id] = n.opts.Clock.Now() + failureCooldownMs
	n.cachedLive = nil
}

func (n *Node) buildDigest() *Digest {
	d := &Digest{Instance: n.opts.Self.ID, Zone: n.opts.Self.Zone, Region: n.opts.Self.Region}
	for _, p := range n.opts.Handlers.Digests {
		p.FillDigest(d)
	}
	return d
}
