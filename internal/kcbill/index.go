package kcbill

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// EffectiveBill is the bill in effect for a request id.
type EffectiveBill struct {
	Bill
	Stream string
	// AppendedAt is the append time by the clock of the log service.
	AppendedAt kcclock.Millis
	// Conflict describes how the records of the request id contradict each other.
	// It is empty if they agree.
	Conflict string
}

// Index reduces bill streams to one effective bill per request id. It is not
// safe for concurrent use. The records of one stream must be folded in offset
// order; the order of the streams does not matter.
type Index struct {
	bills map[string]EffectiveBill
	// Repeated counts the records after the first of a request id.
	Repeated int
	// Unreadable counts the records that are not valid bills.
	Unreadable int
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{bills: make(map[string]EffectiveBill)} }

// Fold applies one record of a bill stream.
func (b *Index) Fold(stream string, r kclog.Record) {
	var bill Bill
	if r.Kind != KindBill || json.Unmarshal(r.Body, &bill) != nil || bill.RequestID == "" {
		b.Unreadable++
		return
	}
	next := EffectiveBill{Bill: bill, Stream: stream, AppendedAt: r.AppendedAt}
	prev, known := b.bills[bill.RequestID]
	if !known {
		b.bills[bill.RequestID] = next
		return
	}
	b.Repeated++
	conflict := cmp.Or(prev.Conflict, conflictOf(prev, next))
	if !bill.Supersedes(prev.Bill) {
		next = prev
	}
	next.Conflict = conflict
	b.bills[bill.RequestID] = next
}

// conflictOf describes a contradiction between two records that correct
// instances cannot produce. It returns "" if there is none.
func conflictOf(a, b EffectiveBill) string {
	switch {
	case a.Stream != b.Stream:
		return "records in " + a.Stream + " and " + b.Stream
	case a.Price != b.Price || a.Workspace != b.Workspace:
		return "records with different prices or workspaces"
	case a.State == Closed && b.State == Closed && a.Amount != b.Amount:
		return "closed records with different amounts"
	default:
		return ""
	}
}

// Lookup returns the effective bill of a request id.
func (b *Index) Lookup(requestID string) (EffectiveBill, bool) {
	c, ok := b.bills[requestID]
	return c, ok
}

// All returns the effective bills, ordered by request id.
func (b *Index) All() []EffectiveBill {
	out := make([]EffectiveBill, 0, len(b.bills))
	for _, c := range b.bills {
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y EffectiveBill) int { return compareByRequestID(x.Bill, y.Bill) })
	return out
}

// Total is the sum over the bills of one workspace and version.
type Total struct {
	Workspace string `json:"workspace"`
	Version   string `json:"version"`
	Count     int    `json:"count"`
	// Amount is in micro-units of currency.
	Amount int64 `json:"amount"`
	// Free counts the bills with amount 0, Running the opened ones.
	Free    int `json:"free"`
	Running int `json:"running"`
}

// Totals returns the totals, ordered by workspace and version.
func (b *Index) Totals() []Total {
	type key struct{ workspace, version string }
	sums := make(map[key]*Total)
	for _, c := range b.bills {
		k := key{c.Workspace, c.Version}
		t, ok := sums[k]
		if !ok {
			t = &Total{Workspace: c.Workspace, Version: c.Version}
			sums[k] = t
		}
		t.Count++
		t.Amount += c.Amount
		if c.Amount == 0 {
			t.Free++
		}
		if c.State == Opened {
			t.Running++
		}
	}
	out := make([]Total, 0, len(sums))
	for _, t := range sums {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(x, y Total) int {
		return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Version, y.Version))
	})
	return out
}
