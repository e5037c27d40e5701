package kcfleet

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// readClaimsAndBills folds the claim and bill streams of all shards.
func readClaimsAndBills(t *testing.T, f *fleet) (*kcclaim.ShardState, *kcbill.Index) {
	t.Helper()
	claims := kcclaim.NewShardState(kcclaim.ShardStateOptions{WindowMs: kcclock.Day, MaxAnswerBytes: 1 << 20})
	bills := kcbill.NewIndex()
	for shard := range kcsettings.Defaults().Timing.Shards {
		for _, r := range f.readStream(fmt.Sprintf("claims-%02d", shard)) {
			claims.Fold(r)
		}
		stream := fmt.Sprintf("bills-%02d", shard)
		for _, r := range f.readStream(stream) {
			bills.Fold(stream, r)
		}
	}
	return claims, bills
}

func orderKey(key string) kcclaim.Key {
	return kcclaim.Key{Workspace: "demo", Service: "orders", Operation: "place", IdempotencyKey: key}
}

// billedAmount returns the billed amount, or -1 if there is no bill.
func billedAmount(bills *kcbill.Index, requestID string) int64 {
	if b, ok := bills.Lookup(requestID); ok {
		return b.Amount
	}
	return -1
}

// checkChatBills checks that each answered chat request was billed with the price
// in the header of its response.
func checkChatBills(t *testing.T, bills *kcbill.Index, histories []orderHistory) {
	t.Helper()
	chats := 0
	for _, h := range histories {
		for _, c := range h.chats {
			chats++
			if n := billedAmount(bills, c.requestID); strconv.FormatInt(n, 10) != c.price {
				t.Errorf("chat request %s was answered by %s with price %s but the billed amount is %d", c.requestID, c.instance, c.price, n)
			}
		}
	}
	t.Logf("%d chats answered", chats)
}

// checkBills compares the bills with the claims. Each order that ran must have
// one bill with its price under the request id of its claim. No other request may
// be billed for an order.
func checkBills(t *testing.T, f *fleet, histories []orderHistory) {
	t.Helper()
	claims, bills := readClaimsAndBills(t, f)
	runs := orderRuns(t, f)
	unbilled := 0
	for _, h := range histories {
		e := claims.Lookup(orderKey(h.key))
		if runs[h.key] == 0 {
			continue
		}
		if e == nil || billedAmount(bills, e.Holder.RequestID) != orderPrice {
			unbilled++
			t.Logf("no bill for %s", h.key)
			continue
		}
	}
	checkChatBills(t, bills, histories)
	if unbilled > 0 {
		t.Errorf("%d of %d orders that ran have no bill with the right price", unbilled, len(runs))
	}
	// A job whose response was lost is not in the histories, but may have run.
	holders := kcset.New[string]()
	for key := range runs {
		if e := claims.Lookup(orderKey(key)); e != nil {
			holders.Add(e.Holder.RequestID)
		}
	}
	for _, b := range bills.All() {
		if b.Conflict != "" {
			t.Errorf("bill %s: %s", b.RequestID, b.Conflict)
		}
		if b.Version == "orders/place" && b.Amount > 0 && !holders.Has(b.RequestID) &&
			!holdsUnknownOutcome(claims, histories, runs, b.RequestID) {
			t.Errorf("request %s was billed for an order that did not run", b.RequestID)
		}
	}
}

// holdsUnknownOutcome reports whether the request holds the claim of an order that
// did not run but whose outcome is unknown. Such a request is billed, because it
// may have run, even if the call never reached the service.
func holdsUnknownOutcome(claims *kcclaim.ShardState, histories []orderHistory, runs map[string]int, requestID string) bool {
	for _, h := range histories {
		e := claims.Lookup(orderKey(h.key))
		if e != nil && e.Holder.RequestID == requestID && runs[h.key] == 0 {
			return e.Outcome == nil || e.Outcome.Execution == kcapi.Unknown
		}
	}
	return false
}
