// Package kcprice fixes the price of a request at its admission.
package kcprice

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Quote is the price of a request, which does not change after admission.
type Quote struct {
	// Amount is in micro-units of currency.
	Amount int64
	// Factor is the factor of the price list that was applied.
	Factor float64
}

// NewQuote returns the price of work with the given list price, in micro-units,
// for a caller that can wait up to wait. Fractions are rounded up; an amount
// beyond the range of int64 is capped at its maximum.
func NewQuote(list kcrules.PriceList, cost float64, wait kcclock.Millis) Quote {
	factor := list.FactorFor(wait)
	amount := math.Ceil(max(cost*factor, 0))
	if amount >= math.MaxInt64 {
		return Quote{Amount: math.MaxInt64, Factor: factor}
	}
	return Quote{Amount: int64(amount), Factor: factor}
}
