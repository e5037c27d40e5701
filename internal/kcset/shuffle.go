package kcset

// Shuffle visits the numbers below a bound in random order. It keeps a buffer, so
// that visiting the first of many numbers does not touch the others.
type Shuffle struct {
	// order holds each number at its own index between two visits. swapped holds
	// the index with which each visited index was swapped.
	order, swapped []int
}

// Each calls visit with the numbers from 0 to n-1 in random order until it returns
// false. intN returns a random number below its argument.
func (s *Shuffle) Each(n int, intN func(int) int, visit func(i int) bool) {
	for len(s.order) < n {
		s.order = append(s.order, len(s.order))
	}
	s.swapped = s.swapped[:0]
	for i := range n {
		k := i + intN(n-i)
		s.order[i], s.order[k] = s.order[k], s.order[i]
		s.swapped = append(s.swapped, k)
		if !visit(s.order[i]) {
			break
		}
	}
	for i := len(s.swapped) - 1; i >= 0; i-- {
		k := s.swapped[i]
		s.order[i], s.order[k] = s.order[k], s.order[i]
	}
}
