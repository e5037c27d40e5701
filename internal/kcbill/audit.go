package kcbill

import (
	"cmp"
	"context"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const readPageRecords = 1000

// ReadStream folds the records that stand in a stream now, in the order of
// their offsets, and returns the time of the log service.
func ReadStream(ctx context.Context, log kclog.Log, stream string, fold func(kclog.Record)) (kcclock.Millis, error) {
	next, end := int64(0), int64(-1)
	for {
		page, err := log.Read(ctx, stream, next, readPageRecords, 0)
		if err != nil {
			return 0, err
		}
		if end < 0 {
			end = page.EndOffset
		}
		for _, r := range page.Records {
			if r.Offset < end {
				fold(r)
			}
			next = r.Offset + 1
		}
		if len(page.Records) == 0 || next >= end {
			return page.Now, nil
		}
	}
}

// Expected is a request that another stream proves to have run or to have a
// price, so that it must have a bill.
type ExpectedBill struct {
	RequestID string
	// Source tells where the request id stands.
	Source string
	// Amounts are the allowed amounts in micro-units.
	Amounts []int64
	// Due is the time after which the bill must be in the log.
	Due kcclock.Millis
}

// Finding is a fault of the bills.
type Finding struct {
	RequestID string `json:"requestId"`
	Stream    string `json:"stream,omitempty"`
	Reason    string `json:"reason"`
}

// Findings are the faults that Check found.
type Findings struct {
	// Gaps are requests without a bill.
	Gaps []Finding `json:"gaps"`
	// Doubles are request ids whose records cannot all belong to one bill.
	Duplicates []Finding `json:"doubles"`
	// WrongAmounts are bills with an amount that the request cannot have.
	WrongAmounts []Finding `json:"wrongAmounts"`
	// Recent counts the requests without a bill that are not yet due.
	Recent int `json:"recent"`
}

// Any reports whether there is a fault.
func (f Findings) Any() bool { return len(f.Gaps)+len(f.Duplicates)+len(f.WrongAmounts) > 0 }

// Check compares the bills with the requests that must have one. now is the
// time of the log service.
func (b *Index) Audit(now kcclock.Millis, expected []ExpectedBill) Findings {
	f := Findings{Gaps: []Finding{}, Duplicates: []Finding{}, WrongAmounts: []Finding{}}
	for _, c := range b.All() {
		if c.Conflict != "" {
			f.Duplicates = append(f.Duplicates, Finding{RequestID: c.RequestID, Stream: c.Stream, Reason: c.Conflict})
		}
		if c.Amount != 0 && c.Amount != c.Price {
			f.WrongAmounts = append(f.WrongAmounts, Finding{c.RequestID, c.Stream, "the amount is neither the price nor 0"})
		}
	}
	for _, e := range expected {
		c, ok := b.bills[e.RequestID]
		switch {
		case !ok && now < e.Due:
			f.Recent++
		case !ok:
			f.Gaps = append(f.Gaps, Finding{RequestID: e.RequestID, Reason: "no bill for " + e.Source})
		case c.State.isFinal() && !slices.Contains(e.Amounts, c.Amount):
			f.WrongAmounts = append(f.WrongAmounts, Finding{c.RequestID, c.Stream, "the amount does not fit " + e.Source})
		}
	}
	for _, list := range [][]Finding{f.Gaps, f.Duplicates, f.WrongAmounts} {
		slices.SortFunc(list, func(x, y Finding) int { return cmp.Compare(x.RequestID, y.RequestID) })
	}
	return f
}
