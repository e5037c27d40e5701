package kctable

import (
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Position is the place of a record in its log. Offsets are unique within one era of
// the store only.
type Position struct {
	// Era is 0 if unknown.
	Era    int64 `json:"era"`
	Offset int64 `json:"offset"`
}

// RolloutOrder is an instruction of the operator to move the requests of a
// service to another version.
type RolloutOrder struct {
	Service     string
	Target      string
	TimeLimitMs kcclock.Millis
	// Offset is the offset of the order in its log, and Era the era of the store in which
	// it was read, 0 if unknown. They are those of the first record that was read.
	Offset int64
	Era    int64
	// Last is the position at which the order was read in the last era. It is zero if the
	// order was read in one era only.
	Last Position
}

// Positions returns the positions that others may know the order by, the last one
// last.
func (o RolloutOrder) Positions() []Position { return positions(o.Era, o.Offset, o.Last) }

// Offsets returns the offsets of the positions, each of them once.
func (o RolloutOrder) Offsets() []int64 {
	if o.Last == (Position{}) || o.Last.Offset == o.Offset {
		return []int64{o.Offset}
	}
	return []int64{o.Offset, o.Last.Offset}
}

// RolloutState is the published state of a rollout order.
type RolloutState int

// Values of RolloutState.
const (
	RolloutRunning RolloutState = iota
	RolloutComplete
	RolloutReverted
)

// String returns the name of the state.
func (s RolloutState) String() string { return [...]string{"running", "complete", "reverted"}[s] }

// RolloutProgress is the published progress of a rollout order.
type RolloutProgress struct {
	Service string
	Target  string
	State   RolloutState
	// StartedAt is the wall-clock time at which the first instance saw the order.
	StartedAt kcclock.Millis
	// OrderOffset is the offset of the order.
	OrderOffset int64
	// OrderEra and OrderLast are the Era and Last of the order.
	OrderEra  int64
	OrderLast Position
	// TargetServing is true once the target version gets requests. It stays true.
	TargetServing bool
	// Step is 0 while the target gets part of the requests on trial, and 1 once
	// it gets all of them.
	Step int
}

// Positions returns the positions of the order.
func (p RolloutProgress) Positions() []Position {
	return positions(p.OrderEra, p.OrderOffset, p.OrderLast)
}

// WithOrder returns the progress under the positions by which an instance knows the
// order.
func (p RolloutProgress) WithOrder(o RolloutOrder) RolloutProgress {
	p.OrderOffset, p.OrderEra, p.OrderLast = o.Offset, o.Era, o.Last
	return p
}

// Precedes reports whether the progress was published before a known one: of an
// earlier order, or at an earlier step of the same one.
func (p RolloutProgress) Precedes(known RolloutProgress) bool {
	if p.Target != known.Target || !SameRecord(p.Positions(), known.Positions()) {
		return Earlier(p.Positions(), known.Positions())
	}
	if known.State != RolloutRunning || p.State != RolloutRunning {
		return p.State == RolloutRunning
	}
	return p.Step < known.Step || p.Step == known.Step && known.TargetServing && !p.TargetServing
}

func positions(era, offset int64, last Position) []Position {
	list := []Position{{Era: era, Offset: offset}}
	if last != (Position{}) {
		list = append(list, last)
	}
	return list
}

// SharePosition reports whether two lists of positions have one in common.
func SharePosition(a, b []Position) bool {
	return slices.ContainsFunc(a, func(x Position) bool { return x.Era != 0 && slices.Contains(b, x) })
}

// SameRecord reports whether two lists of positions may be of one record. Without an
// era that both name, a record that the copy of the store holds has kept its offset.
func SameRecord(a, b []Position) bool {
	common, offset := false, false
	for _, x := range a {
		for _, y := range b {
			common = common || x.Era == y.Era && x.Era != 0
			offset = offset || x.Offset == y.Offset
		}
	}
	return SharePosition(a, b) || offset && !common
}

// Earlier reports whether the record at the positions a was written before the one at
// b. Both lists end with the last position.
func Earlier(a, b []Position) bool {
	for i := range a {
		x := a[len(a)-1-i]
		for _, y := range b {
			if x.Era == y.Era && x.Era != 0 {
				return x.Offset < y.Offset
			}
		}
	}
	x, y := a[len(a)-1], b[len(b)-1]
	if x.Era == 0 || y.Era == 0 {
		return x.Offset < y.Offset
	}
	return x.Era < y.Era
}
