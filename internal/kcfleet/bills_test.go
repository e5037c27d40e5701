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

// readLog folds the claims and the bills.
func readLog(t *testing.T, f *fleet) (*kcclaim.ShardState, *kcbill.Book) {
	t.Helper()
	book := kcclaim.NewShardState(kcclaim.ShardStateOptions{WindowMs: kcclock.Day, MaxAnswerBytes: 1 << 20})
	bills := kcbill.NewBook()
	for shard := range kcsettings.Defaults().Timing.Shards {
		for _, r := range f.records(fmt.Sprintf("claims-%02d", shard)) {
			book.Fold(r)
		}
		stream := fmt.Sprintf("bills-%02d", shard)
		for _, r := range f.records(stream) {
			bills.Fold(stream, r)
		}
	}
	return book, bills
}

func orderKey(key string) kcclaim.Key {
	return kcclaim.Key{Workspace: "demo", Service: "orders", Operation: "place", IdempotencyKey: key}
}

// amountOf returns the billed amount, or -1 if there is no bill.
func amountOf(bills *kcbill.Book, requestID string) int64 {
	if b, ok := bills.Lookup(requestID); ok {
		return b.Amount
	}
	return -1
}

// checkChatBills checks that each answered chat has one bill with the price that
// the answer showed.
func checkChatBills(t *testing.T, bills *kcbill.Book, histories []history) {
	t.Helper()
	chats := 0
	for _, h := range histories {
		for _, c := range h.chats {
			chats++
			if n := amountOf(bills, c.requestID); strconv.FormatInt(n, 10) != c.price {
				t.Errorf("chat %s was answered by %s at price %s and billed with %d", c.requestID, c.instance, c.price, n)
			}
		}
	}
	t.Logf("%d chats answered", chats)
}

// checkBills compares the bills with the claims: each order that ran has one
// bill with its price under the request id of its claim, and no other request
// is billed for an order.
func checkBills(t *testing.T, f *fleet, histories []history) {
	t.Helper()
	book, bills := readLog(t, f)
	ran := effects(t, f)
	missing := 0
	for _, h := range histories {
		e := book.Lookup(orderKey(h.key))
		if ran[h.key] == 0 {
			continue
		}
		if e == nil || amountOf(bills, e.Holder.RequestID) != orderPrice {
			missing++
			t.Logf("no bill for %s", h.key)
			continue
		}
	}
	checkChatBills(t, bills, histories)
	if missing > 0 {
		t.Errorf("%d of %d orders that ran have no bill with their price", missing, len(ran))
	}
	// A job whose answer was lost is not in the histories, but may have run.
	holders := kcset.New[string]()
	for key := range ran {
		if e := book.Lookup(orderKey(key)); e != nil {
			holders.Add(e.Holder.RequestID)
		}
	}
	for _, b := range bills.All() {
		if b.Conflict != "" {
			t.Errorf("bill %s: %s", b.RequestID, b.Conflict)
		}
		if b.Version == "orders/place" && b.Amount > 0 && !holders.Has(b.RequestID) && !unknownRan(book, histories, ran, b.RequestID) {
			t.Errorf("request %s was billed for an order that did not run", b.RequestID)
		}
	}
}

// unknownRan reports whether the request holds a key whose outcome is unknown.
// Such a request may have run and is billed, also if the call never arrived.
func unknownRan(book *kcclaim.ShardState, histories []history, ran map[string]int, requestID string) bool {
	for _, h := range histories {
		e := book.Lookup(orderKey(h.key))
		if e != nil && e.Holder.RequestID == requestID && ran[h.key] == 0 {
			return e.Outcome == nil || e.Outcome.Execution == kcapi.Unknown
		}
	}
	return false
}
