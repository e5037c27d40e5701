package kcclaim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// fakePeers connects the claimers of a test cluster without a network.
type fakePeers struct {
	kcpeer.Peer
	w    *testCluster
	self int
}

func (p fakePeers) LiveInstances() []string {
	var out []string
	for i := range instanceCount {
		out = append(out, fmt.Sprint("i", i))
	}
	return out
}

func (p fakePeers) LivePeers() []kcmember.Member {
	var out []kcmember.Member
	for i := range instanceCount {
		if i != p.self {
			out = append(out, kcmember.Member{ID: fmt.Sprint("i", i), Addr: fmt.Sprint(i)})
		}
	}
	return out
}

var errPeer = errors.New("no answer")

// Call reaches the peer depending on testCluster.forwardFault.
func (p fakePeers) Call(
	ctx context.Context, m kcmember.Member, _ kcclock.Millis, f func(context.Context, kcpeer.Peer) error,
) error {
	if p.w.forwardFault == "refuse" {
		return errPeer
	}
	var to int
	if _, err := fmt.Sscan(m.Addr, &to); err != nil {
		return err
	}
	err := f(ctx, fakePeer{claimer: p.w.claimers[to]})
	if p.w.forwardFault == "lose" {
		return errPeer
	}
	return err
}

type fakePeer struct {
	kcpeer.Peer
	claimer *kcclaim.Claimer
}

func (p fakePeer) Claim(ctx context.Context, req *kcpeer.ClaimRequest) (*kcpeer.ClaimResponse, error) {
	return p.claimer.Claim(ctx, req)
}

func (p fakePeer) Finish(ctx context.Context, req *kcpeer.FinishRequest) (*kcpeer.FinishResponse, error) {
	return p.claimer.Finish(ctx, req)
}

// Guards against a claim that is lost, duplicated or refused because the owner
// of its shard cannot be reached or its response is lost, and against an owner
// that is not used.
func TestClaimIsForwardedToOwner(t *testing.T) {
	for _, forward := range []string{"ok", "refuse", "lose"} {
		t.Run(forward, func(t *testing.T) {
			w := newTestCluster()
			w.enableForwarding()
			w.forwardFault = forward
			owner := kcset.Owner("claims-00", fakePeers{}.LiveInstances())
			for n := range instanceCount {
				name := fmt.Sprint(n)
				if d := w.acquire(name, n, "key-"+name, "body", 1000); d.Verdict != kcclaim.Acquired {
					t.Fatalf("instance %d: verdict %d, error %v", n, d.Verdict, d.Err)
				}
				w.dispatch(name)
				w.reportOutcome(name, kcapi.Completed)
				d := w.acquire("repeat", (n+1)%instanceCount, "key-"+name, "body", 1000)
				if d.Verdict != kcclaim.HasOutcome || string(d.Entry.Outcome.Body) != name {
					t.Fatalf("repeat of instance %d: verdict %d, entry %+v", n, d.Verdict, d.Entry)
				}
			}
			// After a lost response the claimant finds the owner's claim record and
			// appends none. An outcome is appended again, because its append returns
			// nothing to wait for, and the second record has no effect.
			want := 2 * instanceCount
			if forward == "lose" {
				want += instanceCount - 1
			}
			if records := w.log.Len(); records != want {
				t.Errorf("%d records, want %d; owner %s", records, want, owner)
			}
		})
	}
}

// Guards against append rates that add up to more than the log accepts, and
// against an owner that only gets the share of any other instance.
func TestAppendRatesAddUpToTheLogLimit(t *testing.T) {
	for _, live := range []int{1, 9, 380} {
		total := 0.0
		for n := range live {
			owned := 8/live + min(1, max(0, 8%live-n))
			total += kcclaim.AppendsPerSecond(live, owned, 8)
		}
		if total > 200.0001 || total < 199.9 {
			t.Errorf("%d instances may append %.2f records a second, want 200", live, total)
		}
	}
	if n := kcclaim.AppendsPerSecond(380, 1, 8); n < 18 {
		t.Errorf("an owner among 380 instances may append %.2f records a second, want its share of 150", n)
	}
}

// Guards against a repeated request that gets status 409 although its deadline
// is after the outcome.
func TestRepeatWaitsForOutcome(t *testing.T) {
	w := newTestCluster()
	w.acquire("first", 0, "a", "body", 1000)
	w.dispatch("first")
	claim := kcclaim.Claim{
		Key: keyOf("a"), Attempt: "repeat", Fingerprint: "body", Instance: "i1", Deadline: w.clock.Now() + 900,
	}
	got := make(chan kcclaim.Decision, 1)
	go func() { got <- w.claimers[1].Acquire(t.Context(), claim) }()
	// The first claim left two timers on the clock. The repeated request adds the
	// timeout of its attempt, the timeout of its wait and its poll interval.
	w.clock.AwaitWaiters(5)
	w.reportOutcome("first", kcapi.Completed)
	w.clock.Advance(20)
	if d := <-got; d.Verdict != kcclaim.HasOutcome {
		t.Fatalf("verdict %d, error %v, want HasOutcome", d.Verdict, d.Err)
	}
}
