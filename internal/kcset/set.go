// Package kcset holds the generic value types and containers that several
// packages share.
package kcset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set that can
// be read but not added to; use New for one that can.
type Set[T comparable] map[T]struct{}

// New returns a set with the given members.
func New[T comparable](members ...T) Set[T] {
	s := make(Set[T], len(members))
	for _, m := range members {
		s.Add(m)
	}
	return s
}

// Add adds m to the set.
func (s Set[T]) Add(m T) { s[m] = struct{}{} }

// Remove removes m from the set.
func (s Set[T]) Remove(m T) { delete(s, m) }

// Has reports whether m is a member.
func (s Set[T]) Has(m T) bool {
	_, ok := s[m]
	return ok
}

// Sorted returns the members in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T { return slices.Sorted(maps.Keys(s)) }

// Optional is a value that may be absent.
type Optional[T any] struct {
	value T
	set   bool
}

// Some returns a present value.
func Some[T any](v T) Optional[T] { return Optional[T]{value: v, set: true} }

// Get returns the value and whether it is present.
func (o Optional[T]) Get() (T, bool) { return o.value, o.set }

// Or returns the value, or fallback if it is absent.
func (o Optional[T]) Or(fallback T) T {
	if o.set {
		return o.value
	}
	return fallback
}
