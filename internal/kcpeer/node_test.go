package kcpeer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// senderRecorder counts the received digests by sender.
type senderRecorder struct {
	mu       sync.Mutex
	received map[string]int
}

func (r *senderRecorder) FillDigest(*kcpeer.Digest) {}

func (r *senderRecorder) ReadDigest(d *kcpeer.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[d.Instance]++
}

func (r *senderRecorder) senders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id := range r.received {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

type testPeer struct {
	node     *kcpeer.Node
	recorder *senderRecorder
	metrics  *kcmetric.Registry
	member   kcmember.Member
	server   *httptest.Server
	// digests, if set, takes part in exchanges.
	digests atomic.Pointer[digestRecorder]
}

func (p *testPeer) FillDigest(d *kcpeer.Digest) {
	if part := p.digests.Load(); part != nil {
		part.FillDigest(d)
	}
}

func (p *testPeer) ReadDigest(d *kcpeer.Digest) {
	if part := p.digests.Load(); part != nil {
		part.ReadDigest(d)
	}
}

// startCluster starts one node for each "id zone region" and makes all of them
// members for each other.
func startCluster(t *testing.T, clock kcclock.Clock, specs ...string) []*testPeer {
	t.Helper()
	var members []kcmember.Member
	peers := make([]*testPeer, 0, len(specs))
	for n, spec := range specs {
		f := strings.Fields(spec)
		p := &testPeer{recorder: &senderRecorder{received: make(map[string]int)}, metrics: kcmetric.New()}
		p.member = kcmember.Member{ID: f[0], Role: kcmember.RoleEntry, Zone: f[1], Region: f[2]}
		p.node = kcpeer.NewNode(kcpeer.Options{
			Self: p.member, Clock: clock, Members: func() []kcmember.Member { return members }, Metrics: p.metrics,
			Seed: uint64(n), PeriodMs: kcclock.Second, TimeoutMs: kcclock.Second,
			Handlers: kcpeer.Handlers{Digests: []kcpeer.DigestHandler{p.recorder, p}},
		})
		p.server = httptest.NewServer(p.node.Handler())
		t.Cleanup(p.server.Close)
		p.member.Addr = p.server.Listener.Addr().String()
		members = append(members, p.member)
		peers = append(peers, p)
	}
	return peers
}

// Guards against rounds that skip an availability zone or a region for long,
// which would delay a withdrawal there and make instances look cut off.
func TestRoundsReachEveryZoneAndRegion(t *testing.T) {
	var specs []string
	for n := range 9 {
		zone := n % 3
		specs = append(specs, fmt.Sprintf("i%d zone-%d region-%d", n, zone, zone/2))
	}
	peers := startCluster(t, kcclock.NewManual(0), specs...)
	peers[0].node.RunRound(t.Context())
	zones := map[string]bool{}
	for _, p := range peers[1:] {
		if slices.Contains(p.recorder.senders(), "i0") {
			zones[p.member.Zone] = true
		}
	}
	if !zones["zone-1"] || !zones["zone-2"] || len(peers[0].recorder.senders()) != 3 {
		t.Fatalf("zones %v, peers %v", zones, peers[0].recorder.senders())
	}
	var text strings.Builder
	if _, err := peers[0].metrics.WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "peer.exchange.messages 3\n") || strings.Contains(text.String(), "bytesIn 0\n") {
		t.Fatalf("metrics:\n%s", text.String())
	}
}

// Guards against a failed peer that remains the owner of keys, and against one
// that is never used again after it recovered.
func TestFailedPeerIsExcluded(t *testing.T) {
	clock := kcclock.NewManual(0)
	peers := startCluster(t, clock, "a zone-1 region-1", "b zone-1 region-1")
	peers[1].server.Close()
	peers[0].node.RunRound(t.Context())
	if got := peers[0].node.LiveInstances(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("live after failure: %v", got)
	}
	clock.Advance(3 * kcclock.Second)
	if got := peers[0].node.LiveInstances(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("live after the cooldown: %v", got)
	}
}

// Guards against a call that hangs on a connection on which no response arrives,
// and against reusing that connection for the next call.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			// The server reads the request and never responds.
			go func() { _, _ = io.Copy(io.Discard, c) }()
			accepted <- c
		}
	}()
	clock := kcclock.NewManual(0)
	node := startCluster(t, clock, "a zone-1 region-1")[0].node
	silent := kcmember.Member{ID: "b", Addr: ln.Addr().String()}
	for range 2 {
		ended := make(chan error, 1)
		go func() {
			ended <- node.Call(t.Context(), silent, kcclock.Second, func(ctx context.Context, p kcpeer.Peer) error {
				_, err := p.Exchange(ctx, &kcpeer.Digest{})
				return err
			})
		}()
		defer (<-accepted).Close()
		clock.AwaitWaiters(1)
		clock.Advance(kcclock.Second)
		if err := <-ended; !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v, want the timeout", err)
		}
	}
}

// Guards against a leaving peer that remains in the live set because the cached
// set is not computed again after the list changed.
func TestLeavingPeerIsExcluded(t *testing.T) {
	member := func(id string, leaving bool) kcmember.Member {
		return kcmember.Member{ID: id, Role: kcmember.RoleEntry, Leaving: leaving}
	}
	members := []kcmember.Member{member("a", false), member("b", false)}
	node := kcpeer.NewNode(kcpeer.Options{
		Self: members[0], Clock: kcclock.NewManual(0), Members: func() []kcmember.Member { return members },
		Metrics: kcmetric.New(),
	})
	if got := node.LiveInstances(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("live: %v", got)
	}
	members = []kcmember.Member{member("a", false), member("b", true)}
	if got := node.LiveInstances(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("live after the list changed: %v", got)
	}
}
