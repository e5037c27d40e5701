package kcbill

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// BenchmarkWaitingBills measures the memory of one pending bill and its copy,
// the figure behind the bound in docs/OPERATIONS.md.
func BenchmarkWaitingBills(b *testing.B) {
	b.ReportAllocs()
	l := NewLedger(LedgerOptions{Clock: &kcclock.Manual{}, Shards: 8, MaxPending: b.N + 1})
	h := NewHolder(HolderOptions{Clock: &kcclock.Manual{}, MaxCopies: b.N + 1})
	for i := range b.N {
		bill := Bill{RequestID: fmt.Sprintf("%026d", i), Workspace: "prairie-crews", Version: "small@1", Price: 120}
		if err := l.Open(bill, true); err != nil {
			b.Fatal(err)
		}
		if err := h.Hold("a", []Bill{bill}); err != nil {
			b.Fatal(err)
		}
	}
}
