package kcrollout

import (
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// maxEarlierOrders is the number of replaced orders of a service that are remembered.
const maxEarlierOrders = 4

// OrderHistory holds the newest order of a service with its published state, and the
// orders before it. The store may come back from a copy in another era: an order that
// the copy lacks is written again at another offset, and until then the copy holds an
// earlier one. It is not safe for concurrent use.
type OrderHistory struct {
	// Order is the newest order. Its offset is -1 if there is none.
	Order kctable.RolloutOrder
	// Progress is the last published state, and Published is true if it is one of Order.
	// A published state is never replaced by an earlier one.
	Progress  kctable.RolloutProgress
	Published bool
	// ActiveVersion is the version that the previous order left active, and
	// RevertedVersion the one that it reverted. Both are empty if there is none.
	ActiveVersion, RevertedVersion string
	// unread is a state of an order after Order, which has not been read yet.
	unread kctable.RolloutProgress
	// orders holds the orders that were read, the newest one last.
	orders []readOrder
}

// readOrder is an order and the positions at which it was read, at most one for each
// era.
type readOrder struct {
	order kctable.RolloutOrder
	at    []kctable.Position
}

// NewOrderHistory returns a history without orders.
func NewOrderHistory(service string) OrderHistory {
	return OrderHistory{Order: kctable.RolloutOrder{Service: service, Offset: -1}}
}

// ReadOrder records an order that was read and reports whether it is newer than the
// newest known one. An order in the copy of a restored store is never newer.
func (h *OrderHistory) ReadOrder(o kctable.RolloutOrder, copied bool) bool {
	newer := h.supersedes(o)
	if newer && copied {
		return false
	}
	if newer {
		if h.Published {
			h.endOrder(h.Progress)
		}
		first := kctable.Position{Era: o.Era, Offset: o.Offset}
		orders := append(slices.Clone(h.orders), readOrder{order: o, at: []kctable.Position{first}})
		h.orders = orders[max(len(orders)-1-maxEarlierOrders, 0):]
		h.Published = false
	}
	if len(h.orders) > 0 && h.Order != h.newest().order {
		h.Order = h.newest().order
		h.applyAgain()
	}
	return newer
}

func (h *OrderHistory) newest() *readOrder { return &h.orders[len(h.orders)-1] }

// supersedes reports whether an order was given after the newest one. In an era in
// which that one was not read yet, an order with the content of a known one is that
// one, and its position is recorded.
func (h *OrderHistory) supersedes(o kctable.RolloutOrder) bool {
	if len(h.orders) == 0 {
		return true
	}
	at := kctable.Position{Era: o.Era, Offset: o.Offset}
	if after, ok := h.newest().compare(at); ok {
		return after
	}
	r := h.withContent(o)
	if r == nil {
		return true
	}
	after, ok := r.compare(at)
	if !ok {
		r.at, r.order.Last = append(slices.Clone(r.at), at), at
	}
	return after
}

// withContent returns the newest order with the content of o, but prefers one at its
// offset: an order that the copy holds has kept it.
func (h *OrderHistory) withContent(o kctable.RolloutOrder) (found *readOrder) {
	for i := len(h.orders) - 1; i >= 0; i-- {
		r := &h.orders[i]
		if r.order.Target != o.Target || r.order.TimeLimitMs != o.TimeLimitMs {
			continue
		}
		if found == nil || r.hasOffset(o.Offset) && !found.hasOffset(o.Offset) {
			found = r
		}
	}
	return found
}

func (r *readOrder) hasOffset(offset int64) bool {
	return slices.ContainsFunc(r.at, func(x kctable.Position) bool { return x.Offset == offset })
}

// compare reports whether a position is after the order. ok is false if the order was
// not read in the era of the position.
func (r *readOrder) compare(at kctable.Position) (after, ok bool) {
	for _, x := range r.at {
		if x.Era == at.Era {
			return at.Offset > x.Offset, true
		}
	}
	last := r.at[len(r.at)-1]
	ok = at.Era == 0 || last.Era == 0
	return ok && at.Offset > last.Offset, ok
}

// ReadProgress records a published state and reports whether the known one has
// changed. A state that was published before the known one changes nothing.
func (h *OrderHistory) ReadProgress(p kctable.RolloutProgress) bool {
	newest, later := h.place(p)
	if later {
		if !p.Precedes(h.unread) {
			h.unread = p
		}
		return false
	}
	if newest {
		p = p.WithOrder(h.Order)
	}
	if h.Published && !newest || h.Published == newest && p.Precedes(h.Progress) {
		return false
	}
	changed := h.Progress != p
	h.Progress, h.Published = p, newest
	if len(h.orders) > 0 && !newest {
		// The final state of the previous order arrived after this order.
		h.endOrder(p)
	}
	return changed
}

// applyAgain applies the states that may be of an order that has just been read.
func (h *OrderHistory) applyAgain() {
	p, unread := h.Progress, h.unread
	h.unread = kctable.RolloutProgress{}
	for _, x := range []kctable.RolloutProgress{p, unread} {
		if x.Target != "" {
			h.ReadProgress(x)
		}
	}
}

// place reports whether a state is one of the newest order, or of an order after it.
func (h *OrderHistory) place(p kctable.RolloutProgress) (newest, later bool) {
	if i := h.find(p.Target, p.Positions()); i >= 0 {
		return i == len(h.orders)-1, false
	}
	return false, len(h.orders) > 0 && !kctable.Earlier(p.Positions(), h.newest().at)
}

// find returns the index of the order that positions of another instance are of, or
// -1. An empty target is that of any order.
func (h *OrderHistory) find(target string, at []kctable.Position) int {
	found := -1
	for i, r := range h.orders {
		if target != "" && r.order.Target != target {
			continue
		}
		if kctable.SharePosition(r.at, at) {
			return i
		}
		if kctable.SameRecord(r.at, at) {
			found = i
		}
	}
	return found
}

// endOrder records which versions an order has left active and reverted.
func (h *OrderHistory) endOrder(p kctable.RolloutProgress) {
	switch p.State {
	case kctable.RolloutComplete:
		h.ActiveVersion, h.RevertedVersion = p.Target, ""
	case kctable.RolloutReverted:
		h.RevertedVersion = p.Target
	case kctable.RolloutRunning:
	}
}

// IsStopped reports whether the previous order has stopped a version.
func (h *OrderHistory) IsStopped(version string) bool {
	return version != h.Order.Target && (h.ActiveVersion != "" && version != h.ActiveVersion ||
		h.RevertedVersion != "" && version == h.RevertedVersion)
}

// IsNewest reports whether a report is about the newest order.
func (h *OrderHistory) IsNewest(r EvidenceReport) bool {
	return len(h.orders) > 0 && h.find(r.Target, r.positions()) == len(h.orders)-1
}

// HasOffset reports whether the newest order was read at an offset, in any era.
func (h *OrderHistory) HasOffset(offset int64) bool {
	return len(h.orders) > 0 && h.newest().hasOffset(offset)
}
