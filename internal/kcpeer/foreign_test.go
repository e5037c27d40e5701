package kcpeer_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// claimCounter counts the claims that it decides.
type claimCounter struct{ claims int }

func (c *claimCounter) Claim(context.Context, *kcpeer.ClaimRequest) (*kcpeer.ClaimResponse, error) {
	c.claims++
	return &kcpeer.ClaimResponse{}, nil
}

func (c *claimCounter) Finish(context.Context, *kcpeer.FinishRequest) (*kcpeer.FinishResponse, error) {
	return &kcpeer.FinishResponse{}, nil
}

// Guards against a claim that an instance of another deployment decides, which
// listens at the address of a peer and appends to another log.
func TestClaimOfAnotherDeploymentIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name, caller, owner string
		claims              int
	}{
		{"same deployment", "a", "a", 1},
		{"another deployment", "a", "b", 0},
		{"a caller without a deployment", "", "b", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock, decided := kcclock.NewManual(0), &claimCounter{}
			var logs strings.Builder
			metrics := kcmetric.New()
			owner := kcpeer.NewNode(kcpeer.Options{
				Self: kcmember.Member{ID: "owner"}, Clock: clock, Members: func() []kcmember.Member { return nil },
				Metrics: metrics, Handlers: kcpeer.Handlers{Claims: decided}, Deployment: tc.owner,
				Log: slog.New(slog.NewTextHandler(&logs, nil)),
			})
			s := httptest.NewServer(owner.Handler())
			defer s.Close()
			member := kcmember.Member{ID: "owner", Role: kcmember.RoleEntry, Addr: s.Listener.Addr().String()}
			self := kcmember.Member{ID: "caller", Role: kcmember.RoleEntry}
			caller := kcpeer.NewNode(kcpeer.Options{
				Self: self, Clock: clock, Members: func() []kcmember.Member { return []kcmember.Member{self, member} },
				Metrics: kcmetric.New(), Deployment: tc.caller,
			})
			for range 2 {
				err := caller.Call(t.Context(), member, kcclock.Second, func(ctx context.Context, p kcpeer.Peer) error {
					_, err := p.Claim(ctx, &kcpeer.ClaimRequest{})
					return err
				})
				if refused := err != nil; refused != (tc.claims == 0) {
					t.Fatalf("refused %v: %v", refused, err)
				}
			}
			if decided.claims != 2*tc.claims {
				t.Errorf("%d claims decided", decided.claims)
			}
			if tc.claims > 0 {
				return
			}
			if len(caller.LivePeers()) != 0 {
				t.Error("the foreign instance still counts as a live peer, so that it owns shards")
			}
			var text strings.Builder
			if _, err := metrics.WriteTo(&text); err != nil || !strings.Contains(text.String(), "peer.foreign 2\n") {
				t.Errorf("metrics, %v:\n%s", err, text.String())
			}
			if n := strings.Count(logs.String(), "foreignPeer"); n != 1 {
				t.Errorf("%d log lines in one interval:\n%s", n, logs.String())
			}
		})
	}
}

// Guards against an answer of an instance whose build does not check the
// deployment of its callers.
func TestAnswerOfAnotherDeploymentIsRefused(t *testing.T) {
	clock, decided := kcclock.NewManual(0), &claimCounter{}
	s := httptest.NewServer(kcpeer.NewPeerServer(oldPeer{decided}))
	defer s.Close()
	member := kcmember.Member{ID: "owner", Role: kcmember.RoleEntry, Addr: s.Listener.Addr().String()}
	caller := kcpeer.NewNode(kcpeer.Options{
		Self: kcmember.Member{ID: "caller"}, Clock: clock, Members: func() []kcmember.Member { return []kcmember.Member{member} },
		Metrics: kcmetric.New(), Deployment: "a",
	})
	err := caller.Call(t.Context(), member, kcclock.Second, func(ctx context.Context, p kcpeer.Peer) error {
		_, err := p.Claim(ctx, &kcpeer.ClaimRequest{})
		return err
	})
	if err == nil || len(caller.LivePeers()) != 0 {
		t.Errorf("%v, %d live peers", err, len(caller.LivePeers()))
	}
}

// oldPeer serves claims without a check of the deployment.
type oldPeer struct{ *claimCounter }

func (oldPeer) Exchange(_ context.Context, d *kcpeer.Digest) (*kcpeer.Digest, error) { return d, nil }

func (oldPeer) ReadConfig(context.Context, *kcpeer.ReadConfigRequest) (*kcpeer.ReadConfigResponse, error) {
	return &kcpeer.ReadConfigResponse{}, nil
}

func (oldPeer) HoldBills(context.Context, *kcpeer.HoldBillsRequest) (*kcpeer.HoldBillsResponse, error) {
	return &kcpeer.HoldBillsResponse{}, nil
}

func (oldPeer) ReleaseBills(context.Context, *kcpeer.ReleaseBillsRequest) (*kcpeer.ReleaseBillsResponse, error) {
	return &kcpeer.ReleaseBillsResponse{}, nil
}
