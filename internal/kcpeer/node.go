package kcpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// avoidMs is the time for which a peer that failed is left out of
	// LivePeers, so that ownership of keys moves on before the list changes.
	avoidMs = 3 * kcclock.Second
	// idleConnection is longer than the usual time between two messages to the
	// same peer at small sizes; at large sizes connections are opened anew.
	idleConnection = 15 * time.Second
	maxIdlePeers   = 64
)

// Options configures a Node.
type Options struct {
	// Self is this instance as the list shows it.
	Self  kcmember.Member
	Clock kcclock.Clock
	// Members returns the live entry instances of the list, and Self if the
	// list has it.
	Members func() []kcmember.Member
	Metrics *kcmetric.Registry
	// Seed makes the choice of peers repeatable.
	Seed uint64
	// PeriodMs is the time between two rounds of exchanges.
	PeriodMs kcclock.Millis
	// TimeoutMs bounds one exchange.
	TimeoutMs kcclock.Millis
	Handlers  Handlers
	// TLS is used for calls to peers; nil means plain TCP.
	TLS *tls.Config
}

// Node is this instance among its peers.
type Node struct {
	opts    Options
	pooled  *http.Client
	fresh   *http.Client
	zip     compressor
	rng     *rand.Rand
	round   int
	mu      sync.Mutex
	avoided map[string]kcclock.Millis // peer id to the end of the avoidance
	failing kcset.Set[string]         // peers whose last call failed
	live    *live                     // nil if it must be made anew
}

// NewNode returns a node that does not run yet.
func NewNode(opts Options) *Node {
	dial := opts.Metrics.Traffic("peer").Dial
	pooled := &http.Transport{
		MaxIdleConns: maxIdlePeers, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnection, TLSClientConfig: opts.TLS,
		DialContext: dial,
	}
	fresh := &http.Transport{DisableKeepAlives: true, TLSClientConfig: opts.TLS, DialContext: dial}
	return &Node{
		opts: opts, pooled: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: fresh},
		rng:     rand.New(rand.NewPCG(opts.Seed, 1)),
		avoided: make(map[string]kcclock.Millis), failing: kcset.New[string](),
	}
}

// live is what LivePeers and LiveInstances answer while nothing has changed.
// At 380 instances a new list of them takes 0.7 ms, and jobs alone ask for it
// five times a second.
type live struct {
	// of is the list it was made from.
	of []kcmember.Member
	// until is the end of the first avoidance among of, or 0 if there is none.
	until kcclock.Millis
	peers []kcmember.Member
	ids   []string
}

// LivePeers returns the other entry instances that are not leaving, without
// those whose last call failed within 3 s. The caller must not change the
// slice.
func (n *Node) LivePeers() []kcmember.Member { return n.currentLive().peers }

// LiveInstances returns the ids of this instance and its live peers, the
// members for a rendezvous hash. The caller must not change the slice.
func (n *Node) LiveInstances() []string { return n.currentLive().ids }

func (n *Node) currentLive() *live {
	now, members := n.opts.Clock.Now(), n.opts.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.live; l != nil && sameSlice(l.of, members) && (l.until == 0 || now < l.until) {
		return l
	}
	l := &live{of: members, ids: []string{n.opts.Self.ID}}
	for _, m := range members {
		switch end := n.avoided[m.ID]; {
		case m.ID == n.opts.Self.ID || m.Leaving:
		case end > now:
			if l.until == 0 || end < l.until {
				l.until = end
			}
		default:
			l.peers = append(l.peers, m)
			l.ids = append(l.ids, m.ID)
		}
	}
	l.peers, l.ids = slices.Clip(l.peers), slices.Clip(l.ids)
	n.live = l
	return l
}

// sameSlice reports whether a and b are the same part of the same array. The
// directory makes a new list for every change.
func sameSlice(a, b []kcmember.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// client is the HTTP client of one call. It counts bytes.
type client struct {
	node     *Node
	http     *http.Client
	answered bool
}

// Call runs f with a client of the peer. The context that f gets ends after
// timeout milliseconds. After a failed call the next one uses a fresh
// connection, because the old one may be silent for good while new ones work.
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
	case err == nil || (c.answered && ctx.Err() == nil):
		n.reached(m.ID)
	case parent.Err() == nil:
		n.failed(m.ID)
	}
	if err != nil {
		return fmt.Errorf("peer %s: %w", m.ID, err)
	}
	return nil
}

func (n *Node) clientFor(id string) *client {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failing.Has(id) {
		return &client{node: n, http: n.fresh}
	}
	return &client{node: n, http: n.pooled}
}

func (n *Node) reached(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failing.Remove(id)
	if _, ok := n.avoided[id]; ok {
		delete(n.avoided, id)
		n.live = nil
	}
}

func (n *Node) failed(id string) {
	n.opts.Metrics.Count("peer.failures")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failing.Add(id)
	n.avoided[id] = n.opts.Clock.Now() + avoidMs
	n.live = nil
}

func (n *Node) digest() *Digest {
	d := &Digest{Instance: n.opts.Self.ID, Zone: n.opts.Self.Zone, Region: n.opts.Self.Region}
	for _, p := range n.opts.Handlers.Digests {
		p.FillDigest(d)
	}
	return d
}
