package kcprice

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a price that increases with the permitted wait after rounding,
// and against an overflow that turns a huge price into a credit.
func TestQuoteFallsWithMaxWait(t *testing.T) {
	list := kcrules.PriceList{Steps: []kcrules.PriceStep{
		{MinWaitMs: 0, Factor: 1.5}, {MinWaitMs: 10_000, Factor: 1}, {MinWaitMs: 600_000, Factor: 0.6},
	}}
	rapid.Check(t, func(t *rapid.T) {
		cost := rapid.Float64Range(0, 1e19).Draw(t, "cost")
		a := kcclock.Millis(rapid.Int64Range(0, 1e6).Draw(t, "a"))
		b := a + kcclock.Millis(rapid.Int64Range(0, 1e6).Draw(t, "b"))
		urgent, patient := NewQuote(list, cost, a), NewQuote(list, cost, b)
		if patient.Amount > urgent.Amount || patient.Amount < 0 {
			t.Fatalf("wait %d costs %d, wait %d costs %d", a, urgent.Amount, b, patient.Amount)
		}
	})
	if got := NewQuote(list, math.MaxFloat64, 0).Amount; got != math.MaxInt64 {
		t.Errorf("huge cost: %d", got)
	}
}
