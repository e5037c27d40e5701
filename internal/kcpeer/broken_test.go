package kcpeer_test

import (
	"context"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a broken response of a peer that counts as complete, and against a
// sound one that is rejected.
func TestBrokenPeerResponsesAreErrors(t *testing.T) {
	name := strings.Repeat("n", 1000) // chunks of half of it are hardly larger than what they hold
	raw, err := proto.Marshal(&kcpeer.Digest{Instance: name})
	if err != nil {
		t.Fatal(err)
	}
	kcfault.Reader{
		Header: "Content-Type: application/protobuf\r\n", Body: string(raw), Want: name, RequiresFraming: true,
		Read: func(ctx context.Context, addr string, _ []byte) (got string, err error) {
			err = callPeer(ctx, addr, func(ctx context.Context, p kcpeer.Peer) error {
				d, err := p.Exchange(ctx, &kcpeer.Digest{})
				got = d.GetInstance()
				return err
			})
			return got, err
		},
	}.Check(t)
}

// Guards against a part of a message that counts as the whole one, in which a claim that
// may still arrive in the log looks like one that was never made.
func TestCutPeerMessagesAreErrors(t *testing.T) {
	raw, err := proto.Marshal(&kcpeer.ClaimResponse{Verdict: 5, Error: "timeout", Late: true})
	if err != nil {
		t.Fatal(err)
	}
	kcfault.Reader{
		Header: "Content-Type: application/protobuf\r\n", Body: string(raw),
		Read: func(ctx context.Context, addr string, _ []byte) (got string, err error) {
			err = callPeer(ctx, addr, func(ctx context.Context, p kcpeer.Peer) error {
				resp, err := p.Claim(ctx, &kcpeer.ClaimRequest{})
				got = resp.String()
				return err
			})
			return got, err
		},
	}.CheckCuts(t)
}

func callPeer(ctx context.Context, addr string, f func(context.Context, kcpeer.Peer) error) error {
	node := kcpeer.NewNode(kcpeer.Options{Clock: kcclock.System{}, Metrics: kcmetric.New()})
	return node.Call(ctx, kcmember.Member{ID: "p", Addr: addr}, kcclock.Minute, f)
}
