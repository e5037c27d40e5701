package kcbill

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/twitchtv/twirp"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// RemotePeers calls the peers over Twirp.
type RemotePeers struct {
	Node *kcpeer.Node
	// TimeoutMs bounds one call. It must be short, because answers wait for copies.
	TimeoutMs kcclock.Millis
}

// Live returns the other entry instances that are not leaving.
func (r RemotePeers) Live() []kcmember.Member { return slices.Clone(r.Node.LivePeers()) }

// Hold asks p to store copies for the instance from.
func (r RemotePeers) Hold(ctx context.Context, p kcmember.Member, from string, bills []Bill) error {
	req := &kcpeer.HoldBillsRequest{Instance: from}
	for _, b := range bills {
		body, err := json.Marshal(b)
		if err != nil {
			return errs.Wrap(err)
		}
		req.Bills = append(req.Bills, body)
	}
	return r.Node.Call(ctx, p, r.TimeoutMs, func(ctx context.Context, peer kcpeer.Peer) error {
		_, err := peer.HoldBills(ctx, req)
		return err
	})
}

// Release tells p which copies it can drop.
func (r RemotePeers) Release(ctx context.Context, p kcmember.Member, from string, requestIDs []string) error {
	req := &kcpeer.ReleaseBillsRequest{Instance: from, RequestIds: requestIDs}
	return r.Node.Call(ctx, p, r.TimeoutMs, func(ctx context.Context, peer kcpeer.Peer) error {
		_, err := peer.ReleaseBills(ctx, req)
		return err
	})
}

// HoldBills handles the RPC of the same name.
func (h *Holder) HoldBills(_ context.Context, req *kcpeer.HoldBillsRequest) (*kcpeer.HoldBillsResponse, error) {
	bills := make([]Bill, 0, len(req.Bills))
	for _, body := range req.Bills {
		var b Bill
		if err := json.Unmarshal(body, &b); err != nil || b.RequestID == "" {
			return nil, twirp.InvalidArgumentError("bills", "must be JSON bodies of bill records")
		}
		bills = append(bills, b)
	}
	if err := h.Hold(req.Instance, bills); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &kcpeer.HoldBillsResponse{}, nil
}

// ReleaseBills handles the RPC of the same name.
func (h *Holder) ReleaseBills(_ context.Context, req *kcpeer.ReleaseBillsRequest) (*kcpeer.ReleaseBillsResponse, error) {
	h.Release(req.Instance, req.RequestIds)
	return &kcpeer.ReleaseBillsResponse{}, nil
}
