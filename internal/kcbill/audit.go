package kcbill

import (
	"cmp"
	"context"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const readPageRecords = 1000

// ReadStream passes all records that the stream holds at the time of the call
// to fold, in offset order, and returns the time of the log service. Records
// appended during the read are skipped.
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

// ExpectedBill describes a request that must have a bill, because a record in
// another stream proves that it ran or has a price.
type ExpectedBill struct {
	RequestID string
	// Source names the record that contains the request id.
	Source string
	// Amounts are the allowed amounts in micro-units of currency.
	Amounts []int64
	// Due is the time from which the bill must be in the log.
	Due kcclock.Millis
}

// Finding is one billing error.
type Finding struct {
	RequestID string `json:"requestId"`
	Stream    string `json:"stream,omitempty"`
	Reason    string `json:"reason"`
}

// Findings holds the errors that Audit found.
type Findings struct {
	// Gaps are due requests without a bill.
	Gaps []Finding `json:"gaps"`
	// Duplicates are request ids whose records cannot all belong to one bill.
	Duplicates []Finding `json:"doubles"`
	// WrongAmounts are bills with an amount that is not allowed for the request.
	WrongAmounts []Finding `json:"wrongAmounts"`
	// Recent counts the requests without a bill that are not due yet.
	Recent int `json:"recent"`
}

// Any reports whether there is at least one error.
func (f Findings) Any() bool { return len(f.Gaps)+len(f.Duplicates)+len(f.WrongAmounts) > 0 }

// Audit compares the bills with the requests that must have one. now is the
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
